/**
 * @file envelope_func.cc
 * Encoding, authentication and decoding of envelopes.
 */
#include "peer/envelope_func.h"

#include <algorithm>
#include <bit>
#include <cstring>

#include "base/digest_func.h"
#include "base/result_func.h"

namespace boragewharf {
namespace {

static_assert(std::endian::native == std::endian::little,
              "numbers are written in the machine's byte order");

constexpr uint8_t kFormatVersion = 1;
constexpr size_t kMinSecretBytes = 16;
constexpr size_t kMaxKeys = 2;

template <class T>
void Append(std::string& out, T value) {
  char bytes[sizeof(T)];
  std::memcpy(bytes, &value, sizeof(T));
  out.append(bytes, sizeof(T));
}

// The caller has checked the length.
template <class T>
T Take(std::string_view& in) {
  T value;
  std::memcpy(&value, in.data(), sizeof(T));
  in.remove_prefix(sizeof(T));
  return value;
}

size_t HeaderBytes(EnvelopeKind kind) {
  return kind == EnvelopeKind::kDatagram ? kDatagramHeaderBytes
                                         : kFrameHeaderBytes;
}

size_t MaxBytes(EnvelopeKind kind) {
  return kind == EnvelopeKind::kDatagram ? kMaxDatagramBytes : kMaxFrameBytes;
}

std::string ComputeMac(const PeerKey& key, std::string_view signed_part) {
  const Digest digest = HmacSha256(key.secret, signed_part);
  return std::string(AsView(digest).substr(0, kMacBytes));
}

}  // namespace

bool CheckPeerKeys(const PeerKeys& keys) {
  if (keys.keys.empty() || keys.keys.size() > kMaxKeys) {
    Fail(ResultCode::kSettingsInvalid, "expected one or two peer keys");
    return false;
  }
  if (keys.keys.size() == kMaxKeys && keys.keys[0].id == keys.keys[1].id) {
    Fail(ResultCode::kSettingsInvalid, "peer keys have the same id");
    return false;
  }
  for (const PeerKey& key : keys.keys) {
    if (key.secret.size() < kMinSecretBytes) {
      Fail(ResultCode::kSettingsInvalid, "peer key has less than 16 bytes");
      return false;
    }
  }
  return true;
}

std::optional<std::string> SealEnvelope(const PeerKeys& keys,
                                        const Envelope& envelope) {
  const size_t size =
      HeaderBytes(envelope.kind) + envelope.body.size() + kMacBytes;
  if (size > MaxBytes(envelope.kind)) {
    return Fail(ResultCode::kPeerTooLarge, std::to_string(size) + " bytes");
  }
  const PeerKey& key = keys.keys.front();
  std::string out;
  out.reserve(size);
  Append(out, kFormatVersion);
  Append(out, envelope.kind);
  Append(out, key.id);
  Append(out, envelope.type);
  Append(out, envelope.sender.value);
  Append(out, envelope.incarnation);
  Append(out, envelope.sequence);
  if (envelope.kind != EnvelopeKind::kDatagram) {
    Append(out, envelope.challenge);
    Append(out, envelope.nonce);
  }
  out += envelope.body;
  out += ComputeMac(key, out);
  return out;
}

std::optional<Envelope> OpenEnvelope(const PeerKeys& keys,
                                     EnvelopeKind expected,
                                     std::string_view bytes) {
  if (bytes.size() > MaxBytes(expected)) {
    return Fail(ResultCode::kPeerTooLarge);
  }
  if (bytes.size() < HeaderBytes(expected) + kMacBytes) {
    return Fail(ResultCode::kPeerTruncated);
  }
  std::string_view rest = bytes.substr(0, bytes.size() - kMacBytes);
  const std::string_view signed_part = rest;
  const auto version = Take<uint8_t>(rest);
  const auto kind = Take<uint8_t>(rest);
  const auto key_id = Take<uint32_t>(rest);
  const auto key =
      std::find_if(keys.keys.begin(), keys.keys.end(),
                   [&](const PeerKey& k) { return k.id == key_id; });
  if (key == keys.keys.end()) {
    return Fail(ResultCode::kPeerUnknownKey);
  }
  if (!ConstantTimeEqual(ComputeMac(*key, signed_part),
                         bytes.substr(signed_part.size()))) {
    return Fail(ResultCode::kPeerBadMac);
  }
  if (version != kFormatVersion || kind != static_cast<uint8_t>(expected)) {
    return Fail(ResultCode::kPeerUnknownType, "unexpected version or kind");
  }
  Envelope envelope;
  envelope.kind = expected;
  envelope.type = static_cast<MessageType>(Take<uint16_t>(rest));
  envelope.sender.value = Take<uint64_t>(rest);
  envelope.incarnation = Take<uint32_t>(rest);
  envelope.sequence = Take<uint64_t>(rest);
  if (expected != EnvelopeKind::kDatagram) {
    envelope.challenge = Take<uint64_t>(rest);
    envelope.nonce = Take<uint64_t>(rest);
  }
  envelope.body = std::string(rest);
  return envelope;
}

}  // namespace boragewharf
