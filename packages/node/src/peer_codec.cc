/**
 * @file peer_codec.cc
 * Encoding of messages between nodes.
 */
#include "node/peer_codec.h"

#include <zlib.h>

#include <array>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <sstream>

#include "base/body_func.h"
#include "base/scope_guard.h"

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

/** Maximum size of a configuration text; values in the store are smaller. */
constexpr size_t kMaxConfigBytes = size_t{16} * 1024 * 1024;

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
  try {
    BodyReader reader(bytes);
    Value value;
    reader(value);
    return value;
  } catch (const std::exception&) {
    // Truncated or invalid input; the callers count and drop it.
    return std::nullopt;
  }
}

}  // namespace

std::string EncodePeerMessage(const serving::PeerMessage& message) {
  std::ostringstream stream(std::ios::binary);
  {
    cereal::PortableBinaryOutputArchive archive(stream);
    archive(message,
            serving::PeerMessageTail{message.report.leaving,
                                     message.report.prefill_speeds},
            message.report.crash_evidence,
            message.report.suspects.value_or(serving::SuspectReport{}));
  }
  return stream.str();
}

std::optional<serving::PeerMessage> DecodePeerMessage(std::string_view bytes) {
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
    return message;
  } catch (const std::exception&) {
    return std::nullopt;  // As in Decode().
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

std::optional<std::string> Decompress(std::string_view compressed) {
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
  while (result == Z_OK && text.size() <= kMaxConfigBytes) {
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

PeerState MakePeerState(const fleet::FleetState& state,
                        uint64_t config_revision,
                        uint64_t servers_revision) {
  PeerState reply;
  reply.config_revision = state.config_revision;
  if (config_revision < state.config_revision) {
    reply.config_text = Compress(state.config_text);
  }
  reply.servers_revision = state.servers_revision;
  reply.servers_known = state.servers_known;
  reply.base_revision = servers_revision;
  reply.full_list =
      servers_revision == 0 || servers_revision < state.changes_base;
  if (reply.full_list) {
    for (const auto& [id, server] : state.servers) {
      reply.servers.push_back(server);
    }
    return reply;
  }
  for (const fleet::ServerChanged& change : state.changes) {
    if (change.revision > servers_revision) {
      reply.changes.push_back(change);
    }
  }
  return reply;
}

std::string EncodePeerState(const PeerState& state) {
  return Encode(state);
}

std::optional<PeerState> DecodePeerState(std::string_view bytes) {
  return Decode<PeerState>(bytes);
}

}  // namespace boragewharf::node
