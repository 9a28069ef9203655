/**
 * @file peer_codec.h
 * Encoding of messages between nodes in cereal's portable binary format.
 */
#pragma once

#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/fleet_type.h"
#include "serving/peer_type.h"
#include "serving/server_type.h"

namespace boragewharf::node {

/** Configuration and servers that a node sends to a peer on request. */
struct PeerState {
  uint64_t config_revision = 0;
  std::string config_text;  ///< Compressed; empty if the peer is current.
  uint64_t servers_revision = 0;
  bool servers_known = false;
  bool full_list = true;       ///< Has all servers, not only changes.
  uint64_t base_revision = 0;  ///< Server revision that the peer has.
  std::vector<serving::BackendServer> servers;  ///< If full_list.
  std::vector<fleet::ServerChanged> changes;    ///< If not full_list.
  // Not sent by earlier versions.
  uint64_t config_era = 0;   ///< Era of the store for config_revision.
  uint64_t servers_era = 0;  ///< Era of the store for servers_revision.
  /** Ids of those of servers that this node keeps only in case they return. */
  std::set<std::string> lapsed;
};

/** State that a peer has when it asks for newer state. */
struct KnownState {
  uint64_t config_revision = 0;
  uint64_t servers_revision = 0;
  bool has_eras = false;  ///< The peer knows of eras and states the following.
  uint64_t config_version = 0;
  uint64_t config_era = 0;
  uint64_t servers_era = 0;
};

/** Whether the peer needs this node's configuration. Thread-safe. */
bool NeedsConfig(const fleet::FleetState& state, const KnownState& known);

/** Whether MakePeerState() has to list all servers: this node does not keep the
 * changes since the peer's list, or that is of another era. Thread-safe. */
bool NeedsFullList(const fleet::FleetState& state, const KnownState& known);

/**
 * Creates the reply to a peer.
 * @note Must run on the control loop, which modifies @p state.
 */
PeerState MakePeerState(const fleet::FleetState& state,
                        const KnownState& known);

/** Compresses text with zlib; empty on failure. Thread-safe. */
std::string Compress(std::string_view text);

/** Largest size of a configuration text or state; values in the store are
 * smaller. */
inline constexpr size_t kMaxTextBytes = size_t{16} * 1024 * 1024;

/** Reverses Compress(); empty if the input is corrupt or the text exceeds
 * @p max_bytes by more than 64 KiB. Thread-safe. */
std::optional<std::string> Decompress(std::string_view compressed,
                                      size_t max_bytes = kMaxTextBytes);

/**
 * Encodes a peer message as a datagram.
 * @param compressed Whether to compress it, for receivers that send
 *     ExtensionKind::kForwarding.
 * @note Thread-safe.
 */
std::string EncodePeerMessage(const serving::PeerMessage& message,
                              bool compressed = false);

/** Decodes a peer message; empty if the input is invalid. Thread-safe. */
std::optional<serving::PeerMessage> DecodePeerMessage(std::string_view bytes);

/** Encodes the response to a state fetch. Thread-safe. */
std::string EncodePeerState(const PeerState& state);

/** Decodes a peer state; empty if the input is invalid. Thread-safe. */
std::optional<PeerState> DecodePeerState(std::string_view bytes);

}  // namespace boragewharf::node
