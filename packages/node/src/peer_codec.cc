/**
 * @file peer_codec.cc
 * Encoding of messages between nodes.
 */
#include "node/peer_codec.h"

#include <zlib.h>

#include <algorithm>
#include <array>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/set.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <set>
#include <sstream>

#include "base/body_func.h"
#include "base/scope_guard.h"
#include "fleet/fleet_cmd.h"
#include "fleet/state_order_func.h"

namespace boragewharf::serving {

/** Serializes a server; found by argument-dependent lookup. */
template <class Archive>
void serialize(Archive& archive, BackendServer& server) {
  archive(server.id, server.service, server.address, server.zone, server.slots,
          server.started, server.draining, server.reclaimable);
}

}  // namespace boragewharf::serving

namespace boragewharf::fleet {

/** Serializes a server change; found by argument-dependent lookup. */
template <class Archive>
void serialize(Archive& archive, ServerChanged& change) {
  archive(change.revision, change.id, change.server);
}

}  // namespace boragewharf::fleet

namespace boragewharf::node {

/** Serializes the state sent to a peer. */
template <class Archive>
void serialize(Archive& archive, PeerState& state) {
  archive(state.config_revision, state.config_text, state.servers_revision,
          state.servers_known, state.full_list, state.base_revision,
          state.servers, state.changes);
}

namespace {

/** Properties of the servers of a PeerState that earlier versions don't know.
 * Encoded after it; earlier versions ignore what follows their own fields. */
struct ServerDetails {
  std::vector<std::string> versions;  ///< Each once.
  /** Index into versions, by position in PeerState::servers, followed by the
   * servers in PeerState::changes. */
  std::vector<uint16_t> version_of;
  /** By that position; only servers that are cold. */
  std::map<uint32_t, uint32_t> cold_left_ms;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->versions, this->version_of, this->cold_left_ms);
  }
};

/** Calls @p visit with each server of @p state in the order of
 * ServerDetails::version_of. */
template <class State, class Visitor>
void ForEachServer(State& state, Visitor visit) {
  for (auto& server : state.servers) {
    visit(server);
  }
  for (auto& change : state.changes) {
    if (change.server) {
      visit(*change.server);
    }
  }
}

ServerDetails MakeServerDetails(const PeerState& state) {
  ServerDetails details;
  std::map<std::string, uint16_t> known;
  uint32_t position = 0;
  ForEachServer(state, [&](const serving::BackendServer& server) {
    const auto next = static_cast<uint16_t>(
        std::min<size_t>(details.versions.size(), UINT16_MAX));
    const auto [found, added] = known.try_emplace(server.version, next);
    if (added) {
      details.versions.push_back(server.version);
    }
    details.version_of.push_back(found->second);
    if (server.cold_left_ms > 0) {
      details.cold_left_ms[position] = server.cold_left_ms;
    }
    ++position;
  });
  return details;
}

void ApplyServerDetails(const ServerDetails& details, PeerState& state) {
  uint32_t position = 0;
  ForEachServer(state, [&](serving::BackendServer& server) {
    if (position < details.version_of.size() &&
        details.version_of[position] < details.versions.size()) {
      server.version = details.versions[details.version_of[position]];
    }
    const auto cold = details.cold_left_ms.find(position);
    if (cold != details.cold_left_ms.end()) {
      server.cold_left_ms = cold->second;
    }
    ++position;
  });
}

constexpr auto kStateVersions =
    static_cast<uint16_t>(serving::ExtensionKind::kStateVersions);

/** Payload of the extension kStateVersions. */
struct StateVersions {
  uint64_t config_version = 0;
  uint64_t config_era = 0;
  uint64_t servers_era = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->config_version, this->config_era, this->servers_era);
  }
};

/** Adds the part of the status that is sent as an extension. It belongs to each
 * message, also to those that are forwarded and to partial ones, so it is added
 * here and comes first. */
void AddStateVersions(const serving::NodeStatus& status,
                      std::vector<serving::PeerExtension>& extensions) {
  if (!status.has_eras) {
    return;
  }
  std::ostringstream stream(std::ios::binary);
  {
    cereal::PortableBinaryOutputArchive archive(stream);
    archive(StateVersions{status.config_version, status.config_era,
                          status.servers_era});
  }
  extensions.insert(extensions.begin(), {kStateVersions, stream.str(), {}});
  if (extensions.size() > serving::kMaxExtensions) {
    extensions.resize(serving::kMaxExtensions);
  }
}

/** Moves that part back to the status. A payload that can't be read counts as
 * missing. */
void TakeStateVersions(serving::PeerMessage& message) {
  auto& extensions = message.report.extensions;
  const auto found = std::ranges::find(extensions, kStateVersions,
                                       &serving::PeerExtension::kind);
  if (found == extensions.end()) {
    return;
  }
  const std::string payload = std::move(found->payload);
  std::erase_if(extensions, [](const serving::PeerExtension& extension) {
    return extension.kind == kStateVersions;
  });
  try {
    BodyReader reader(payload);
    StateVersions versions;
    reader(versions);
    message.status.has_eras = true;
    message.status.config_version = versions.config_version;
    message.status.config_era = versions.config_era;
    message.status.servers_era = versions.servers_era;
  } catch (const std::exception&) {
    message.status.has_eras = false;
  }
}

/** First byte of a compressed message: that of the zlib format with a window of
 * 32 KiB. Other messages begin with cereal's byte for the byte order, 0 or 1.
 */
constexpr char kCompressedMark = 0x78;

/** Largest size of a message after decompression; a datagram has at most
 * 64 KiB. */
constexpr size_t kMaxMessageBytes = size_t{128} * 1024;

}  // namespace

std::string EncodePeerMessage(const serving::PeerMessage& message,
                              bool compressed) {
  std::ostringstream stream(std::ios::binary);
  {
    cereal::PortableBinaryOutputArchive archive(stream);
    archive(message,
            serving::PeerMessageTail{message.report.leaving,
                                     message.report.prefill_speeds},
            message.report.crash_evidence,
            message.report.suspects.value_or(serving::SuspectReport{}));
    std::vector<serving::PeerExtension> extensions = message.report.extensions;
    AddStateVersions(message.status, extensions);
    if (!extensions.empty()) {
      archive(extensions);
    }
  }
  return compressed ? Compress(stream.str()) : stream.str();
}

std::optional<serving::PeerMessage> DecodePeerMessage(std::string_view bytes) {
  std::optional<std::string> plain;
  if (!bytes.empty() && bytes.front() == kCompressedMark) {
    plain = Decompress(bytes, kMaxMessageBytes);
    if (!plain) {
      return std::nullopt;
    }
    bytes = *plain;
  }
  try {
    BodyReader reader(bytes);
    serving::PeerMessage message;
    reader(message);
    if (!reader.AtEnd()) {
      serving::PeerMessageTail tail;
      reader(tail);
      message.report.leaving = std::move(tail.leaving);
      message.report.prefill_speeds = std::move(tail.prefill_speeds);
    }
    if (!reader.AtEnd()) {
      reader(message.report.crash_evidence);
    }
    if (!reader.AtEnd()) {
      reader(message.report.suspects.emplace());
    }
    if (!reader.AtEnd()) {
      reader(message.report.extensions);
      TakeStateVersions(message);
      std::erase_if(message.report.extensions,
                    [](const serving::PeerExtension& extension) {
                      return extension.payload.size() >
                             serving::kMaxExtensionBytes;
                    });
      if (message.report.extensions.size() > serving::kMaxExtensions) {
        message.report.extensions.resize(serving::kMaxExtensions);
      }
    }
    return message;
  } catch (const std::exception&) {
    // Truncated or invalid input; the callers count and drop it.
    return std::nullopt;
  }
}

std::string Compress(std::string_view text) {
  uLongf size = compressBound(text.size());
  std::string compressed(size, '\0');
  const int result = compress2(
      reinterpret_cast<Bytef*>(compressed.data()), &size,
      reinterpret_cast<const Bytef*>(text.data()), text.size(), Z_BEST_SPEED);
  if (result != Z_OK) {
    return {};
  }
  compressed.resize(size);
  return compressed;
}

std::optional<std::string> Decompress(std::string_view compressed,
                                      size_t max_bytes) {
  std::string text;
  z_stream stream{};
  if (inflateInit(&stream) != Z_OK) {
    return std::nullopt;
  }
  const ScopeGuard guard([&] { inflateEnd(&stream); });
  stream.next_in =
      reinterpret_cast<Bytef*>(const_cast<char*>(compressed.data()));
  stream.avail_in = static_cast<uInt>(compressed.size());
  std::array<char, 65536> chunk{};
  int result = Z_OK;
  while (result == Z_OK && text.size() <= max_bytes) {
    stream.next_out = reinterpret_cast<Bytef*>(chunk.data());
    stream.avail_out = chunk.size();
    result = inflate(&stream, Z_NO_FLUSH);
    text.append(chunk.data(), chunk.size() - stream.avail_out);
  }
  if (result != Z_STREAM_END) {
    return std::nullopt;
  }
  return text;
}

bool NeedsConfig(const fleet::FleetState& state, const KnownState& known) {
  if (!known.has_eras) {
    return known.config_revision < state.config_revision;
  }
  return fleet::ConfigOrder{known.config_version, known.config_era,
                            known.config_revision} <
         fleet::OrderOfConfig(state);
}

bool NeedsFullList(const fleet::FleetState& state, const KnownState& known) {
  return known.servers_revision == 0 ||
         known.servers_revision < state.changes_base ||
         (known.has_eras && known.servers_era != state.servers_era);
}

PeerState MakePeerState(const fleet::FleetState& state,
                        const KnownState& known) {
  PeerState reply;
  reply.config_revision = state.config_revision;
  reply.config_era = state.config_era;
  if (NeedsConfig(state, known)) {
    reply.config_text = Compress(state.config_text);
  }
  reply.servers_revision = state.servers_revision;
  reply.servers_era = state.servers_era;
  reply.servers_known = state.servers_known;
  reply.base_revision = known.servers_revision;
  reply.full_list = NeedsFullList(state, known);
  if (reply.full_list) {
    reply.servers = fleet::ServersForPeers(state);
    reply.lapsed = fleet::LapsedServersForPeers(state);
    return reply;
  }
  // Only the newest change of each server.
  std::set<std::string_view> seen;
  for (auto change = state.changes.rbegin();
       change != state.changes.rend() &&
       change->revision > known.servers_revision;
       ++change) {
    if (seen.insert(change->id).second) {
      reply.changes.push_back(*change);
    }
  }
  std::ranges::reverse(reply.changes);
  return reply;
}

std::string EncodePeerState(const PeerState& state) {
  std::ostringstream stream(std::ios::binary);
  {
    cereal::PortableBinaryOutputArchive archive(stream);
    archive(state, MakeServerDetails(state), state.config_era,
            state.servers_era, state.lapsed);
  }
  return stream.str();
}

std::optional<PeerState> DecodePeerState(std::string_view bytes) {
  try {
    BodyReader reader(bytes);
    PeerState state;
    reader(state);
    if (!reader.AtEnd()) {
      ServerDetails details;
      reader(details);
      ApplyServerDetails(details, state);
    }
    if (!reader.AtEnd()) {
      reader(state.config_era, state.servers_era);
    }
    if (!reader.AtEnd()) {
      reader(state.lapsed);
    }
    return state;
  } catch (const std::exception&) {
    return std::nullopt;  // As in DecodePeerMessage().
  }
}

}  // namespace boragewharf::node
