/**
 * @file peer_codec.h
 * Messages between nodes, in cereal's portable binary form.
 */
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/fleet_type.h"
#include "serving/peer_type.h"
#include "serving/server_type.h"

namespace boragewharf::node {

/** Configuration and servers as one node tells another. */
struct PeerState {
  uint64_t config_revision = 0;
  std::string config_text;  ///< Compressed; empty if not newer.
  uint64_t servers_revision = 0;
  bool servers_known = false;
  bool complete = true;  ///< All servers; otherwise changes since a base.
  uint64_t base = 0;
  std::vector<serving::BackendServer> servers;  ///< If complete.
  std::vector<fleet::ServerChanged> changes;    ///< Otherwise.
};

/**
 * What a node tells one that has the given revisions.
 * @note Not thread-safe with the reducer.
 */
PeerState MakePeerState(const fleet::FleetState& state,
                        uint64_t config_revision,
                        uint64_t servers_revision);

/** Compresses a text with zlib; empty on failure. @note Thread-safe. */
std::string Compress(std::string_view text);

/** Inverse; empty if the bytes are damaged or too long. @note Thread-safe. */
std::optional<std::string> Decompress(std::string_view packed);

/** Encodes a datagram. @note Thread-safe. */
std::string EncodePeerMessage(const serving::PeerMessage& message);

/** Inverse; empty if the bytes are no message. @note Thread-safe. */
std::optional<serving::PeerMessage> DecodePeerMessage(std::string_view bytes);

/** Encodes the answer to a fetch of state. @note Thread-safe. */
std::string EncodePeerState(const PeerState& state);

/** Inverse; empty if the bytes are no state. @note Thread-safe. */
std::optional<PeerState> DecodePeerState(std::string_view bytes);

}  // namespace boragewharf::node
