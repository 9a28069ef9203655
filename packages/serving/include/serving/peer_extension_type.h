/**
 * @file peer_extension_type.h
 * Optional parts of the messages between nodes, each encoded by the module that
 * needs it.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "base/time_type.h"

namespace boragewharf::serving {

/** Content of an extension. The numbers are part of the message format and are
 * never used again; nodes ignore numbers that they don't know. */
enum class ExtensionKind : uint16_t {
  kServerSpeeds = 1,     ///< Learned speeds of backend servers.
  kServiceRoom = 2,      ///< Free slots and waiting requests, by service.
  kRolloutState = 3,     ///< The duty holder's decision on a roll-out.
  kRolloutEvidence = 4,  ///< Results of the versions of a service.
  kForwarding = 5,       ///< One byte of ForwardingFlag.
  kServerLimits = 6,     ///< Limits that servers have named.
  kStateVersions = 7,    ///< Eras and version of the sender's state.
  kStreamVersions = 8,   ///< Software versions that began streams.
};

/** Bits of the payload of kForwarding. A node that sends this extension
 * understands compressed messages, forwards messages and accepts those with
 * kPartial. */
enum ForwardingFlag : uint8_t {
  kForward =
      1,  ///< To be forwarded once to the nodes of the receiver's region.
  /** Only status, admitted units, departures and leaving servers are present;
   * the rest of the sender's last report stays in force. */
  kPartial = 2,
};

/** Nodes to which an extension is sent. */
enum class ExtensionScope : uint8_t { kSameRegion, kAllRegions, kDutyNodes };

/** Most bytes of an extension, and most extensions of a message, so that a
 * message with all of them stays below the largest datagram. */
inline constexpr size_t kMaxExtensionBytes = 4096;
inline constexpr size_t kMaxExtensions = 8;

/** An extension of a message to other nodes. */
struct PeerExtension {
  uint16_t kind = 0;  ///< An ExtensionKind, or that of a later version.
  std::string payload;
  ExtensionScope scope = ExtensionScope::kSameRegion;  ///< Not sent.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->kind, this->payload);
  }
};

/** An extension from another node. */
struct ReceivedExtension {
  uint32_t sender = 0;       ///< PackIp() of the sender.
  uint64_t incarnation = 0;  ///< Process of the sender.
  TimePoint received;        ///< Local boot clock.
  uint16_t kind = 0;
  std::string payload;  ///< Bytes from the network; may be invalid.
};

}  // namespace boragewharf::serving
