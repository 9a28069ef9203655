/**
 * @file shard_cmd.h
 * State changes of one owned shard. They are used by Reduce() only.
 */
#pragma once

#include <string>
#include <vector>

#include "ledger/ledger_state.h"

namespace boragewharf::ledger {

/** What a command works on. */
struct ShardContext {
  LedgerState& state;                  ///< Whole ledger.
  ShardState& shard;                   ///< The shard.
  TimePoint now;                       ///< Present time.
  std::vector<LedgerEffect>& effects;  ///< Receives effects.
};

/** Answers a claim and counts it. */
void AnswerClaimCall(LedgerState& state,
                     std::vector<LedgerEffect>& effects,
                     CallId call,
                     ClaimResult result);

/** Answers an outcome report and counts it. */
void AnswerOutcomeCall(LedgerState& state,
                       std::vector<LedgerEffect>& effects,
                       const AnswerOutcome& answer);

/** Answers a call that is not decided, if it still wants an answer. */
void RefuseCall(LedgerState& state,
                std::vector<LedgerEffect>& effects,
                PendingCall& pending,
                ClaimVerdict claim,
                OutcomeVerdict outcome);

/** Refuses all calls whose time has passed. */
void ExpireCalls(ShardContext context);

/** Puts the undecided calls of the batch back in front of the queue. */
void RequeueBatch(ShardContext context);

/** Entry of a key, staged changes first; null if absent or expired. */
const Entry* FindEntry(const LedgerState& state,
                       const ShardState& shard,
                       const Overlay* changes,
                       const Digest& key);

/** Sets the time of the next attempt after a failure, with jitter. */
void BackOff(ShardContext context);

/** Number for the next operation. */
OperationId NextOperation(LedgerState& state);

/** Reads the shard object, now or when the backoff ends. */
void ReadAgain(ShardContext context);

/** The shard object or a segment was read. */
void OnShardRead(ShardContext context, const ShardRead& event);

/** A read failed. */
void OnShardReadFailed(ShardContext context, const ShardReadFailed& event);

/** The shard object or a segment was written. */
void OnShardWritten(ShardContext context, const ShardWritten& event);

/** A write failed. */
void OnShardWriteFailed(ShardContext context, const ShardWriteFailed& event);

/** Answers the calls of a batch whose write is confirmed. */
void AnswerBatch(ShardContext context);

/** Earliest time of the next write: pace and backoff. */
TimePoint NextWrite(const LedgerState& state, const ShardState& shard);

/** Starts the next write if one is due and none is in flight. */
void Advance(ShardContext context);

/** Counts a write of the shard towards the rate of the store. */
void PaceWrite(ShardContext context);

/** Name of the last segment if the active entries fit into it, or empty. */
std::string MergeableSegment(ShardContext context);

/** The segment of the seal in progress was written. */
void OnSegmentWritten(ShardContext context);

/** The segment of the seal in progress was not written, or maybe. */
void OnSegmentWriteFailed(ShardContext context, ResultCode cause);

/** Starts to write all active entries into a segment. */
void BeginSeal(ShardContext context);

/** Sends the segment of the seal in progress. */
void SendSeal(ShardContext context);

/** Removes segments that are past the retention from the store. */
void RemoveOldSegments(ShardContext context);

/** Does what is due at this time: refusals, retries, removals. */
void OnShardTick(ShardContext context);

}  // namespace boragewharf::ledger
