/**
 * @file shard_type.h
 * What the store holds for one ledger shard.
 */
#pragma once

#include <cstdint>
#include <cstring>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/digest_func.h"
#include "base/request_id_type.h"
#include "base/strong_id_type.h"
#include "base/time_type.h"
#include "ledger/claim_type.h"

namespace boragewharf::ledger {

/** Format number of shard objects and segments. */
inline constexpr uint32_t kShardFormat = 1;

enum class EntryState : uint8_t {
  kClaimed,   ///< Granted; it may run.
  kFinished,  ///< It ran and its answer is known.
  kReleased,  ///< Provably not sent; the key is free.
};

/** What is recorded of one key. */
struct Entry {
  Digest key{};       ///< Digest of customer, service and key.
  RequestId claim;    ///< Claim that holds or last held the key.
  Digest request{};   ///< Digest of the request.
  MemberId claimant;  ///< Daemon that made the claim.
  EntryState state = EntryState::kClaimed;  ///< See EntryState.
  bool unresolved = false;  ///< A claimed one that is no longer running.
  WallTime changed;         ///< Last change; retention counts from here.
  StoredAnswer answer;      ///< For kFinished.

  auto operator<=>(const Entry&) const = default;
};

/** Hash of a key, which is a cryptographic digest already. */
struct DigestHash {
  size_t operator()(const Digest& digest) const noexcept {
    size_t hash = 0;
    std::memcpy(&hash, digest.data(), sizeof(hash));
    return hash;
  }
};

/** An entry with its JSON text, which is kept to make writes cheap. */
struct StoredEntry {
  Entry entry;       ///< The entry.
  std::string text;  ///< EntryToJson() of it.
};

using EntryTable = std::unordered_map<Digest, StoredEntry, DigestHash>;

/** A sealed segment as listed in the shard object. */
struct SegmentInfo {
  std::string name;  ///< Object name.
  WallTime newest;   ///< Latest change among its entries.

  auto operator<=>(const SegmentInfo&) const = default;
};

/** All of a shard object but its entries. */
struct ShardHeader {
  ShardId shard;                      ///< Which shard.
  uint32_t shard_count = 0;           ///< Shards that keys were divided into.
  uint64_t epoch = 0;                 ///< Rises with each new owner.
  MemberId owner;                     ///< Owner of the epoch.
  RequestId write;                    ///< Id of the last write.
  std::vector<SegmentInfo> segments;  ///< Oldest first.

  auto operator<=>(const ShardHeader&) const = default;
};

/** The object ledgers/shard-NN. */
struct ShardObject {
  ShardHeader header;  ///< Everything but the entries.
  EntryTable entries;  ///< Override those of segments.
};

}  // namespace boragewharf::ledger
