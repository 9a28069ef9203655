/**
 * @file frame_func.h
 * Frames of TCP connections and bodies of refusals, internal to the package.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/result_func.h"
#include "peer/envelope_type.h"

namespace boragewharf {

/** Bytes of the length before each envelope. */
inline constexpr size_t kFrameLengthBytes = 4;

/** Seals an envelope and puts its length before it; see SealEnvelope(). */
std::optional<std::string> SealFrame(const PeerKeys& keys,
                                     const Envelope& envelope);

/**
 * Length of the envelope that follows.
 * @pre @p bytes has at least kFrameLengthBytes.
 */
uint32_t FrameLength(std::string_view bytes);

/** Body of a kRefusal response. */
std::string EncodeRefusal(ResultCode code, std::string_view detail);

/** Decodes any bytes; an unknown code becomes kPeerRefused. */
Reason DecodeRefusal(std::string_view body);

}  // namespace boragewharf
