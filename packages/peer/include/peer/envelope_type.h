/**
 * @file envelope_type.h
 * The authenticated envelope of every message between daemons.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/strong_id_type.h"

namespace boragewharf {

/** Types of messages; a number is never given a new meaning. */
enum class MessageType : uint16_t {
  kRefusal = 0,  ///< Answer of a server that refuses a request.
  kPing = 1,
  kAck = 2,
  kPingRequest = 3,
  kJoin = 16,  ///< JoinRequest, answered with MemberTable.
  kFetchDocument = 17,
  kClaim = 18,
  kOutcomeReport = 19,
  kStreamHandover = 20,
};

/** What an envelope is used as; under the MAC, so that none passes for another.
 */
enum class EnvelopeKind : uint8_t {
  kDatagram = 1,  ///< UDP.
  kHello = 2,     ///< First frame of a TCP server, with its challenge.
  kRequest = 3,   ///< TCP request.
  kResponse = 4,  ///< TCP response.
};

/** A shared secret. */
struct PeerKey {
  uint32_t id = 0;     ///< Named in each envelope.
  std::string secret;  ///< Never printed.
};

/**
 * The keys of a daemon. During a key rotation all daemons first accept the new
 * key as second, then sign with it, then drop the old one.
 */
struct PeerKeys {
  std::vector<PeerKey> keys;  ///< One or two; the first one signs.
};

/** Fields of an envelope. */
struct Envelope {
  EnvelopeKind kind = EnvelopeKind::kDatagram;  ///< See EnvelopeKind.
  MessageType type = MessageType::kRefusal;     ///< Type of the body.
  MemberId sender;           ///< Random per process start of the sender.
  uint32_t incarnation = 0;  ///< The sender's, see membership.
  uint64_t sequence = 0;     ///< Rises per sender (UDP) or connection (TCP).
  uint64_t challenge = 0;    ///< TCP: random number of the server, one per
                             ///< connection; binds requests to it.
  uint64_t nonce = 0;        ///< TCP: random number of the request, repeated in
                             ///< its response.
  std::string body;          ///< Encoded message.
};

/** Bytes of the MAC at the end of an envelope. */
inline constexpr size_t kMacBytes = 16;

/** Bytes before the body of a datagram's envelope. */
inline constexpr size_t kDatagramHeaderBytes = 1 + 1 + 4 + 2 + 8 + 4 + 8;

/** Bytes before the body of a TCP envelope. */
inline constexpr size_t kFrameHeaderBytes = kDatagramHeaderBytes + 8 + 8;

/** Bytes that the envelope adds to the body of a datagram. */
inline constexpr size_t kDatagramOverheadBytes =
    kDatagramHeaderBytes + kMacBytes;

/**
 * Largest datagram. Stays within the 1,500 bytes of an Ethernet frame, because
 * the loss of one fragment loses the whole datagram.
 */
inline constexpr size_t kMaxDatagramBytes = 1400;

/** Largest TCP envelope: a configuration document (1 MB) and its frame. */
inline constexpr size_t kMaxFrameBytes = size_t{2} * 1024 * 1024;

}  // namespace boragewharf
