/**
 * @file envelope_func.h
 * Encoding, authentication and decoding of envelopes.
 */
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "peer/envelope_type.h"

namespace boragewharf {

/**
 * Checks number, ids and lengths of keys.
 * @return False with kSettingsInvalid: not one or two keys, equal ids, or a
 *     secret shorter than 16 bytes.
 * @note Thread-safe.
 */
bool CheckPeerKeys(const PeerKeys& keys);

/**
 * Encodes and signs with the first key.
 * @pre CheckPeerKeys() holds for @p keys.
 * @return Empty optional with kPeerTooLarge if the result exceeds the limit of
 *     its kind.
 * @note Thread-safe.
 */
std::optional<std::string> SealEnvelope(const PeerKeys& keys,
                                        const Envelope& envelope);

/**
 * Verifies and decodes any bytes; the fields are looked at only after the MAC
 * has been found right.
 * @param expected Kind that is acceptable here.
 * @return Empty optional with kPeerTooLarge, kPeerTruncated, kPeerUnknownKey,
 *     kPeerBadMac or kPeerUnknownType (another kind or version).
 * @note Thread-safe.
 */
std::optional<Envelope> OpenEnvelope(const PeerKeys& keys,
                                     EnvelopeKind expected,
                                     std::string_view bytes);

}  // namespace boragewharf
