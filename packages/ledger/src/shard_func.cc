/**
 * @file shard_func.cc
 * Names, owners and JSON texts of ledger shards.
 */
#include "ledger/shard_func.h"

#include <openssl/evp.h>

#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "base/rendezvous_func.h"
#include "base/result_func.h"

namespace boragewharf::ledger {

namespace {

using nlohmann::json;

constexpr size_t kBase64Group = 4;
constexpr size_t kBase64GroupBytes = 3;

std::string Base64Encode(std::string_view bytes) {
  const size_t groups =
      (bytes.size() + kBase64GroupBytes - 1) / kBase64GroupBytes;
  std::string text(groups * kBase64Group + 1, '\0');
  const int length =
      EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                      reinterpret_cast<const unsigned char*>(bytes.data()),
                      static_cast<int>(bytes.size()));
  text.resize(static_cast<size_t>(length));
  return text;
}

std::string Base64Decode(std::string_view text) {
  if (text.empty()) {
    return {};
  }
  std::string bytes(text.size() / kBase64Group * kBase64GroupBytes + 1, '\0');
  const int length =
      EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                      reinterpret_cast<const unsigned char*>(text.data()),
                      static_cast<int>(text.size()));
  const auto padding =
      static_cast<size_t>(std::count(text.end() - 2, text.end(), '='));
  if (length < 0 || static_cast<size_t>(length) < padding) {
    throw std::invalid_argument("base64");
  }
  bytes.resize(static_cast<size_t>(length) - padding);
  return bytes;
}

Digest DigestFromJson(const json& value) {
  const std::string bytes = Base64Decode(value.get<std::string>());
  Digest digest{};
  if (bytes.size() != digest.size()) {
    throw std::invalid_argument("digest");
  }
  std::copy(bytes.begin(), bytes.end(), digest.begin());
  return digest;
}

RequestId IdFromJson(const json& value) {
  const std::optional<RequestId> id = ParseRequestId(value.get<std::string>());
  if (!id) {
    throw std::invalid_argument("id");
  }
  return *id;
}

WallTime WallFromJson(const json& value) {
  return WallTime(std::chrono::milliseconds(value.get<int64_t>()));
}

std::string_view StateName(EntryState state) {
  switch (state) {
    case EntryState::kClaimed:
      return "claimed";
    case EntryState::kFinished:
      return "finished";
    case EntryState::kReleased:
      return "released";
  }
  return "claimed";
}

EntryState StateFromJson(const json& value) {
  const auto name = value.get<std::string>();
  for (EntryState state :
       {EntryState::kClaimed, EntryState::kFinished, EntryState::kReleased}) {
    if (name == StateName(state)) {
      return state;
    }
  }
  throw std::invalid_argument("state");
}

std::string Dump(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

Entry EntryFromJson(const json& value) {
  Entry entry;
  entry.key = DigestFromJson(value.at("key"));
  entry.claim = IdFromJson(value.at("claim"));
  entry.request = DigestFromJson(value.at("request"));
  entry.claimant = MemberId{value.at("claimant").get<uint64_t>()};
  entry.state = StateFromJson(value.at("state"));
  entry.unresolved = value.value("unresolved", false);
  entry.changed = WallFromJson(value.at("changed"));
  if (entry.state == EntryState::kFinished) {
    entry.answer.status = value.at("status").get<uint16_t>();
    entry.answer.content_type = value.at("type").get<std::string>();
    entry.answer.body_kept = value.contains("body");
    entry.answer.body = Base64Decode(value.value("body", std::string()));
  }
  return entry;
}

EntryTable EntriesFromJson(const json& values) {
  EntryTable entries;
  entries.reserve(values.size());
  for (const json& value : values) {
    Entry entry = EntryFromJson(value);
    const Digest key = entry.key;
    entries.insert_or_assign(key, StoredEntry{std::move(entry), Dump(value)});
  }
  return entries;
}

ShardHeader HeaderFromJson(const json& value) {
  ShardHeader header;
  header.shard = ShardId{value.at("shard").get<uint32_t>()};
  header.shard_count = value.at("shards").get<uint32_t>();
  header.epoch = value.at("epoch").get<uint64_t>();
  header.owner = MemberId{value.at("owner").get<uint64_t>()};
  header.write = IdFromJson(value.at("write"));
  for (const json& segment : value.at("segments")) {
    header.segments.push_back({segment.at("name").get<std::string>(),
                               WallFromJson(segment.at("newest"))});
  }
  return header;
}

/** Parses the text and checks its format; throws on malformed text. */
std::optional<json> ParseKnownFormat(std::string_view body) {
  json value = json::parse(body);
  if (value.at("format").get<uint32_t>() > kShardFormat) {
    return Fail(ResultCode::kNewerFormat, "ledger object");
  }
  return value;
}

/**
 * Appends the entries to an object. They are joined as texts because
 * serializing every entry again for each write would take milliseconds of the
 * control thread.
 */
std::string AppendEntries(const json& object,
                          std::span<const std::string_view> entries) {
  std::string text = Dump(object);
  size_t size = text.size() + sizeof(",\"entries\":[]}");
  for (std::string_view entry : entries) {
    size += entry.size() + 1;
  }
  text.reserve(size);
  text.pop_back();
  text += ",\"entries\":[";
  bool first = true;
  for (std::string_view entry : entries) {
    text += first ? "" : ",";
    text += entry;
    first = false;
  }
  text += "]}";
  return text;
}

}  // namespace

ShardId ShardOf(const Digest& key, uint32_t shard_count) {
  uint64_t value = 0;
  for (size_t i = 0; i < sizeof(value); ++i) {
    value = value << 8 | key[i];
  }
  return ShardId{static_cast<uint32_t>(value % shard_count)};
}

std::optional<MemberId> OwnerOf(ShardId shard, std::span<const MemberId> live) {
  return RendezvousOwner(ShardName(shard), live);
}

std::vector<ShardId> OwnedShards(MemberId self,
                                 std::span<const MemberId> live,
                                 uint32_t shard_count) {
  std::vector<ShardId> owned;
  for (uint32_t i = 0; i < shard_count; ++i) {
    if (OwnerOf(ShardId{i}, live) == self) {
      owned.push_back(ShardId{i});
    }
  }
  return owned;
}

std::string ShardName(ShardId shard) {
  char name[24];
  std::snprintf(name, sizeof(name), "shard-%02u", shard.value);
  return name;
}

std::string SegmentName(ShardId shard, uint64_t epoch, uint64_t number) {
  return ShardName(shard) + "-" + std::to_string(epoch) + "-" +
         std::to_string(number);
}

std::string EntryToJson(const Entry& entry) {
  json value = {{"key", Base64Encode(AsView(entry.key))},
                {"claim", ToString(entry.claim)},
                {"request", Base64Encode(AsView(entry.request))},
                {"claimant", entry.claimant.value},
                {"state", StateName(entry.state)},
                {"changed", entry.changed.time_since_epoch().count()}};
  if (entry.unresolved) {
    value["unresolved"] = true;
  }
  if (entry.state == EntryState::kFinished) {
    value["status"] = entry.answer.status;
    value["type"] = entry.answer.content_type;
    if (entry.answer.body_kept) {
      value["body"] = Base64Encode(entry.answer.body);
    }
  }
  return Dump(value);
}

std::string ShardToJson(const ShardHeader& header,
                        std::span<const std::string_view> entries) {
  json segments = json::array();
  for (const SegmentInfo& segment : header.segments) {
    segments.push_back({{"name", segment.name},
                        {"newest", segment.newest.time_since_epoch().count()}});
  }
  const json object = {
      {"format", kShardFormat},         {"shard", header.shard.value},
      {"shards", header.shard_count},   {"epoch", header.epoch},
      {"owner", header.owner.value},    {"write", ToString(header.write)},
      {"segments", std::move(segments)}};
  return AppendEntries(object, entries);
}

std::string SegmentToJson(ShardId shard,
                          std::span<const std::string_view> entries) {
  const json object = {{"format", kShardFormat}, {"shard", shard.value}};
  return AppendEntries(object, entries);
}

std::optional<ShardObject> ParseShard(std::string_view body) try {
  const std::optional<json> value = ParseKnownFormat(body);
  if (!value) {
    return std::nullopt;
  }
  return ShardObject{HeaderFromJson(*value),
                     EntriesFromJson(value->at("entries"))};
} catch (const std::exception& error) {
  return Fail(ResultCode::kStoreMalformed, error.what());
}

std::optional<EntryTable> ParseSegment(ShardId shard,
                                       std::string_view body) try {
  const std::optional<json> value = ParseKnownFormat(body);
  if (!value) {
    return std::nullopt;
  }
  if (value->at("shard").get<uint32_t>() != shard.value) {
    return Fail(ResultCode::kStoreMalformed, "segment of another shard");
  }
  return EntriesFromJson(value->at("entries"));
} catch (const std::exception& error) {
  return Fail(ResultCode::kStoreMalformed, error.what());
}

}  // namespace boragewharf::ledger
