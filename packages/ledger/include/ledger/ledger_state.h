/**
 * @file ledger_state.h
 * State of the ledger reducer: one ShardState per owned shard.
 */
#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "ledger/ledger_event.h"

namespace boragewharf::ledger {

/** Bounds and periods of the ledger. */
struct LedgerOptions {
  uint32_t shard_count = 16;  ///< Equal on all members, and fixed.
  size_t object_bytes = size_t{64} * 1024;    ///< Sealed beyond this size.
  size_t segment_bytes = size_t{512} * 1024;  ///< Of a merged segment.
  size_t segment_limit = 64;              ///< New claims are refused beyond.
  size_t body_bytes = size_t{16} * 1024;  ///< Longer answers are not kept.
  size_t waiting_calls = 8192;            ///< Per shard; refused beyond.
  size_t segment_reads = 8;               ///< Segments read at once per shard.
  size_t recent_releases = 4096;          ///< Remembered in memory per shard.
  double writes_per_second = 200;         ///< Of all shards of all members.
  uint32_t write_burst = 4;  ///< Writes of a shard without a pause.
  Duration answer_within = std::chrono::seconds(2);       ///< Longest wait.
  Duration backoff_min = std::chrono::milliseconds(100);  ///< First delay.
  Duration backoff_max = std::chrono::seconds(5);         ///< Longest delay.
  Duration blocked_delay = std::chrono::seconds(30);      ///< Between re-reads.
  std::chrono::hours retention{24};                       ///< Of an entry.
  std::chrono::seconds released_kept{60};   ///< Refuses late duplicates.
  std::chrono::seconds prune_period{10};    ///< Between removals of entries.
  std::chrono::minutes removal_margin{10};  ///< Allows for clock differences.
};

/** Counts since the start; the daemon exports them. */
struct LedgerTotals {
  std::array<uint64_t, 8> claims{};    ///< Answers by ClaimVerdict.
  std::array<uint64_t, 4> outcomes{};  ///< Answers by OutcomeVerdict.
  uint64_t reads = 0;                  ///< Objects and segments read.
  uint64_t writes = 0;                 ///< Shard objects written.
  uint64_t write_bytes = 0;            ///< Bytes of these.
  uint64_t seals = 0;                  ///< Segments written.
  uint64_t conflicts = 0;              ///< Writes that lost to another.
  uint64_t unknown_writes = 0;         ///< Writes without an answer.
  uint64_t read_backs_own = 0;         ///< Found to be applied.
  uint64_t newer_format = 0;           ///< Objects left unchanged.
  uint64_t malformed = 0;              ///< Objects that cannot be read.
  uint64_t shard_count_mismatch = 0;   ///< Written with another shard count.
  uint64_t missing_segments = 0;       ///< Listed, but not in the store.
};

/** A claim or report that waits for a commit. */
struct PendingCall {
  CallId call;                                     ///< Named in the answer.
  TimePoint answer_by;                             ///< Refused from here on.
  bool wants_answer = true;                        ///< Not answered yet.
  std::variant<ClaimRequest, OutcomeReport> what;  ///< The call.
};

/** A call with the result that its commit will confirm. */
struct DecidedCall {
  PendingCall pending;                                    ///< The call.
  ClaimVerdict claim = ClaimVerdict::kUnavailable;        ///< For a claim.
  OutcomeVerdict outcome = OutcomeVerdict::kUnavailable;  ///< For a report.
  StoredAnswer answer;                                    ///< For kReplay.
};

/** Staged changes by key; an empty optional removes the entry. */
using Overlay =
    std::unordered_map<Digest, std::optional<StoredEntry>, DigestHash>;

/** A write of the shard object in flight, or being read back. */
struct Batch {
  ShardHeader header;              ///< As written.
  Overlay changes;                 ///< To the active entries.
  std::vector<DecidedCall> calls;  ///< Answered on confirmation.
};

/** A segment being written. */
struct Seal {
  SegmentInfo info;                     ///< Name and age.
  std::string body;                     ///< JSON text.
  bool may_exist = false;               ///< An earlier write is unknown.
  std::shared_ptr<EntryTable> entries;  ///< What it holds.
  std::string replaces;                 ///< Segment that is merged into it.
};

enum class ShardPhase : uint8_t {
  kReadingShard,     ///< The object is being read.
  kReadingSegments,  ///< Its segments are being read.
  kReady,            ///< No operation in flight.
  kWriting,          ///< The object is being written.
  kSealing,          ///< A segment is being written.
  kBlocked,          ///< The store's objects cannot be used.
};

/** A segment in memory. */
struct SealedSegment {
  std::shared_ptr<const EntryTable> entries;  ///< Without their texts.
  size_t bytes = 0;                           ///< Size of the object.
};

/** Claims that were reported released while not holding their key. */
struct RecentReleases {
  std::unordered_map<RequestId, Digest> keys;  ///< Key by claim.
  std::deque<RequestId> order;                 ///< Oldest first.
};

/** A shard that this member owns. */
struct ShardState {
  ShardId id;                                    ///< Which shard.
  ShardPhase phase = ShardPhase::kReadingShard;  ///< See ShardPhase.
  OperationId operation;                         ///< In flight; 0 if none.
  TimePoint next_attempt;                        ///< Backoff ends.
  TimePoint write_time;                          ///< Paces the writes.
  std::string missing_version;                   ///< Lacked a segment.
  uint32_t failures = 0;                         ///< In a row.
  std::string version;                           ///< Empty: no object.
  ShardHeader header;                            ///< As read or confirmed.
  EntryTable active;                             ///< Entries of the object.
  size_t active_bytes = 0;                       ///< Size of their texts.
  std::map<std::string, SealedSegment, std::less<>> sealed;  ///< By name.
  std::deque<std::string> segments_to_read;                  ///< Not yet read.
  std::map<OperationId, std::string> segment_reads;          ///< Being read.
  std::deque<PendingCall> waiting;  ///< For the next write.
  std::optional<Batch> batch;       ///< See Batch.
  std::optional<Seal> seal;         ///< See Seal.
  std::set<std::string> unlisted;   ///< Segments written, not yet listed.
  RecentReleases releases;          ///< See there.
  std::set<std::string, std::less<>> removing;  ///< Being removed.
  WallTime next_prune;                          ///< Of old entries.
};

/** State of the ledger of one member. */
struct LedgerState {
  MemberId self;                         ///< This member.
  LedgerOptions options;                 ///< Bounds and periods.
  std::mt19937_64 random;                ///< Source of all jitter.
  std::set<MemberId> live;               ///< Live members.
  std::map<ShardId, ShardState> shards;  ///< Owned shards.
  uint64_t next_operation = 1;           ///< Of operations and write ids.
  uint64_t next_segment = 0;             ///< Never reused by this process.
  WallTime wall;                         ///< Latest wall time seen.
  LedgerTotals totals;                   ///< Counts.
};

}  // namespace boragewharf::ledger
