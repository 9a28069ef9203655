/**
 * @file shard_func.h
 * Names, owners and JSON texts of ledger shards.
 */
#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "ledger/shard_type.h"

namespace boragewharf::ledger {

/** Kind of the store objects of the ledger. */
inline constexpr std::string_view kLedgerKind = "ledgers";

/**
 * The shard of a key.
 * @pre @p shard_count is not 0.
 * @note Thread-safe.
 */
ShardId ShardOf(const Digest& key, uint32_t shard_count);

/**
 * The owner of a shard: the member of highest rendezvous rank.
 * @return Empty optional if @p live is empty.
 * @note Thread-safe.
 */
std::optional<MemberId> OwnerOf(ShardId shard, std::span<const MemberId> live);

/** All shards that @p self owns among @p live. @note Thread-safe. */
std::vector<ShardId> OwnedShards(MemberId self,
                                 std::span<const MemberId> live,
                                 uint32_t shard_count);

/** Object name of a shard, "shard-NN". @note Thread-safe. */
std::string ShardName(ShardId shard);

/** Object name of a segment, "shard-NN-EPOCH-K". @note Thread-safe. */
std::string SegmentName(ShardId shard, uint64_t epoch, uint64_t number);

/** JSON text of one entry. @note Thread-safe. */
std::string EntryToJson(const Entry& entry);

/**
 * JSON text of a shard object.
 * @param entries EntryToJson() of each entry.
 * @note Thread-safe.
 */
std::string ShardToJson(const ShardHeader& header,
                        std::span<const std::string_view> entries);

/** JSON text of a segment; see ShardToJson(). @note Thread-safe. */
std::string SegmentToJson(ShardId shard,
                          std::span<const std::string_view> entries);

/**
 * Inverse of ShardToJson().
 * @return Empty optional with kNewerFormat for a newer format, otherwise
 *     kStoreMalformed.
 * @note Thread-safe.
 */
std::optional<ShardObject> ParseShard(std::string_view body);

/** Inverse of SegmentToJson(); see ParseShard(). @note Thread-safe. */
std::optional<EntryTable> ParseSegment(ShardId shard, std::string_view body);

}  // namespace boragewharf::ledger
