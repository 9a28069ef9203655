/**
 * @file peer_codec.cc
 * Encoding of messages between nodes.
 */
#include "node/peer_codec.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <sstream>

namespace boragewharf::serving {

/** Archives a server; found by argument-dependent look-up. */
template <class Archive>
void serialize(Archive& archive, BackendServer& server) {
  archive(server.id, server.service, server.address, server.zone, server.slots,
          server.started, server.draining, server.reclaimable);
}

}  // namespace boragewharf::serving

namespace boragewharf::fleet {

/** Archives a change; found by argument-dependent look-up. */
template <class Archive>
void serialize(Archive& archive, ServerChanged& change) {
  archive(change.revision, change.id, change.server);
}

}  // namespace boragewharf::fleet

namespace boragewharf::node {

/** Archives the state of a node. */
template <class Archive>
void serialize(Archive& archive, PeerState& state) {
  archive(state.config_revision, state.config_text, state.servers_revision,
          state.servers_known, state.complete, state.base, state.servers,
          state.changes);
}

namespace {

template <class Value>
std::string Encode(const Value& value) {
  std::ostringstream stream(std::ios::binary);
  {
    cereal::PortableBinaryOutputArchive archive(stream);
    archive(value);
  }
  return stream.str();
}

template <class Value>
std::optional<Value> Decode(std::string_view bytes) {
  std::istringstream stream(std::string(bytes), std::ios::binary);
  try {
    cereal::PortableBinaryInputArchive archive(stream);
    Value value;
    archive(value);
    return value;
  } catch (const std::exception&) {
    // Truncated or foreign bytes; the callers count and drop them.
    return std::nullopt;
  }
}

}  // namespace

std::string EncodePeerMessage(const serving::PeerMessage& message) {
  return Encode(message);
}

std::optional<serving::PeerMessage> DecodePeerMessage(std::string_view bytes) {
  return Decode<serving::PeerMessage>(bytes);
}

PeerState MakePeerState(const fleet::FleetState& state,
                        uint64_t config_revision,
                        uint64_t servers_revision) {
  PeerState told;
  told.config_revision = state.config_revision;
  if (config_revision < state.config_revision) {
    told.config_text = state.config_text;
  }
  told.servers_revision = state.servers_revision;
  told.servers_known = state.servers_known;
  told.base = servers_revision;
  told.complete =
      servers_revision == 0 || servers_revision < state.changes_base;
  if (told.complete) {
    for (const auto& [id, server] : state.servers) {
      told.servers.push_back(server);
    }
    return told;
  }
  for (const fleet::ServerChanged& change : state.changes) {
    if (change.revision > servers_revision) {
      told.changes.push_back(change);
    }
  }
  return told;
}

std::string EncodePeerState(const PeerState& state) {
  return Encode(state);
}

std::optional<PeerState> DecodePeerState(std::string_view bytes) {
  return Decode<PeerState>(bytes);
}

}  // namespace boragewharf::node
