/**
 * @file frame_func.cc
 * Frames of TCP connections and bodies of refusals.
 */
#include "frame_func.h"

#include <cstring>

#include "peer/envelope_func.h"

namespace boragewharf {
namespace {

constexpr size_t kMaxDetailBytes = 512;

}  // namespace

std::optional<std::string> SealFrame(const PeerKeys& keys,
                                     const Envelope& envelope) {
  const auto sealed = SealEnvelope(keys, envelope);
  if (!sealed) {
    return std::nullopt;
  }
  const auto length = static_cast<uint32_t>(sealed->size());
  std::string frame(kFrameLengthBytes, '\0');
  std::memcpy(frame.data(), &length, sizeof(length));
  frame += *sealed;
  return frame;
}

uint32_t FrameLength(std::string_view bytes) {
  uint32_t length = 0;
  std::memcpy(&length, bytes.data(), sizeof(length));
  return length;
}

std::string EncodeRefusal(ResultCode code, std::string_view detail) {
  const auto number = static_cast<uint16_t>(code);
  std::string body(sizeof(number), '\0');
  std::memcpy(body.data(), &number, sizeof(number));
  body += detail.substr(0, kMaxDetailBytes);
  return body;
}

Reason DecodeRefusal(std::string_view body) {
  uint16_t number = 0;
  if (body.size() < sizeof(number)) {
    return Reason{ResultCode::kPeerRefused, {}};
  }
  std::memcpy(&number, body.data(), sizeof(number));
  Reason reason{ResultCode::kPeerRefused,
                std::string(body.substr(sizeof(number), kMaxDetailBytes))};
  for (const ResultInfo& row : AllResultInfos()) {
    if (static_cast<uint16_t>(row.code) == number &&
        row.code != ResultCode::kOk) {
      reason.code = row.code;
    }
  }
  return reason;
}

}  // namespace boragewharf
