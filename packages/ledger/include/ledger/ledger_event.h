/**
 * @file ledger_event.h
 * Events and effects of the ledger reducer.
 */
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "base/result_type.h"
#include "ledger/claim_type.h"
#include "ledger/shard_type.h"

namespace boragewharf::ledger {

/** Names a call that waits for an answer; chosen by the caller of Reduce(). */
using CallId = StrongId<struct CallIdTag, uint64_t>;

/** Names a store operation, so that late results are recognized. */
using OperationId = StrongId<struct OperationIdTag, uint64_t>;

/**
 * A claim is asked for. A claimant that gets any other verdict than kGranted,
 * or none, does not send the request; after kUnavailable, kNotOwner or no
 * answer it reports kReleased until that is recorded, because the claim may
 * have been committed. It may ask again with the same claim id instead.
 */
struct ClaimRequested {
  CallId call;           ///< Named in the answer.
  ClaimRequest request;  ///< The claim.
  TimePoint deadline;    ///< No grant is answered from here on.
  WallTime wall;         ///< Present wall time.
};

/** The claimant reports how its claim ended; may be repeated. */
struct OutcomeReported {
  CallId call;           ///< Named in the answer.
  OutcomeReport report;  ///< The report.
  WallTime wall;         ///< Present wall time.
};

/** Result of ReadShard. */
struct ShardRead {
  OperationId operation;  ///< From the effect.
  ShardId shard;          ///< From the effect.
  std::string name;       ///< From the effect.
  std::string version;    ///< Object version.
  std::string body;       ///< Object body.
};

/** ReadShard failed; kStoreNotFound if there is no such object. */
struct ShardReadFailed {
  OperationId operation;  ///< From the effect.
  ShardId shard;          ///< From the effect.
  std::string name;       ///< From the effect.
  ResultCode cause;       ///< A code of the store.
};

/** Result of WriteShard or WriteSegment. */
struct ShardWritten {
  OperationId operation;  ///< From the effect.
  ShardId shard;          ///< From the effect.
  std::string version;    ///< New object version.
};

/**
 * WriteShard or WriteSegment failed: kStoreConflict, kStoreBusy and
 * kStoreUnavailable if it was not applied, anything else if that is unknown.
 */
struct ShardWriteFailed {
  OperationId operation;  ///< From the effect.
  ShardId shard;          ///< From the effect.
  ResultCode cause;       ///< A code of the store.
};

/** RemoveSegment ended. */
struct SegmentRemoved {
  ShardId shard;     ///< From the effect.
  std::string name;  ///< From the effect.
  bool gone;         ///< Whether the object no longer exists.
};

/** The live members or the shards of this member changed. */
struct OwnershipChanged {
  std::vector<ShardId> owned;  ///< All shards that this member owns now.
  std::vector<MemberId> live;  ///< All live members, this one included.
};

/** Periodic; at least every 100 ms for timely refusals, see NextWake(). */
struct Tick {
  WallTime wall;  ///< Present wall time.
};

using LedgerEvent = std::variant<ClaimRequested,
                                 OutcomeReported,
                                 ShardRead,
                                 ShardReadFailed,
                                 ShardWritten,
                                 ShardWriteFailed,
                                 SegmentRemoved,
                                 OwnershipChanged,
                                 Tick>;

/** Read the object; answer with ShardRead or ShardReadFailed. */
struct ReadShard {
  OperationId operation;  ///< Copied into the result.
  ShardId shard;          ///< Copied into the result.
  std::string name;       ///< Object name, of a shard or a segment.
};

/** Write the shard object if its version is the expected one. */
struct WriteShard {
  OperationId operation;         ///< Copied into the result.
  ShardId shard;                 ///< Copied into the result.
  std::string name;              ///< Object name.
  std::string expected_version;  ///< Empty: create it.
  RequestId write;               ///< Write id inside the body.
  std::string body;              ///< Object body.
};

/** Create a segment; a conflict means that it exists already. */
struct WriteSegment {
  OperationId operation;  ///< Copied into the result.
  ShardId shard;          ///< Copied into the result.
  std::string name;       ///< Object name.
  std::string body;       ///< Object body.
};

/** Remove a segment of any version; answer with SegmentRemoved. */
struct RemoveSegment {
  ShardId shard;     ///< Copied into the result.
  std::string name;  ///< Object name.
};

/** Answers a ClaimRequested. */
struct AnswerClaim {
  CallId call;         ///< From the event.
  ClaimResult result;  ///< The verdict.
};

enum class OutcomeVerdict : uint8_t {
  kRecorded,     ///< Committed, now or earlier.
  kNotHeld,      ///< The claim does not hold the key; nothing to record.
  kUnavailable,  ///< Not committed in time; report it again.
  kNotOwner,     ///< The asked member does not own the shard.
};

/** Answers an OutcomeReported. */
struct AnswerOutcome {
  CallId call;             ///< From the event.
  RequestId claim;         ///< From the report.
  OutcomeVerdict verdict;  ///< What became of the report.
};

using LedgerEffect = std::variant<ReadShard,
                                  WriteShard,
                                  WriteSegment,
                                  RemoveSegment,
                                  AnswerClaim,
                                  AnswerOutcome>;

}  // namespace boragewharf::ledger
