/**
 * @file shard_load_cmd.cc
 * Reading a shard: takeover, read-back of a lost answer, re-read after a
 * conflict.
 */
#include <algorithm>

#include "base/result_func.h"
#include "ledger/shard_func.h"
#include "shard_cmd.h"

namespace boragewharf::ledger {

namespace {

void Block(ShardContext context) {
  ShardState& shard = context.shard;
  shard.phase = ShardPhase::kBlocked;
  shard.operation = {};
  shard.segment_reads.clear();
  shard.segments_to_read.clear();
  shard.next_attempt = context.now + context.state.options.blocked_delay;
  RequeueBatch(context);
  for (PendingCall& pending : shard.waiting) {
    RefuseCall(context.state, context.effects, pending,
               ClaimVerdict::kUnavailable, OutcomeVerdict::kUnavailable);
  }
  shard.waiting.clear();
}

void BlockForReason(ShardContext context) {
  const bool newer = LastReason().code == ResultCode::kNewerFormat;
  uint64_t& total = newer ? context.state.totals.newer_format
                          : context.state.totals.malformed;
  ++total;
  Block(context);
}

void SendShardRead(ShardContext context) {
  ShardState& shard = context.shard;
  shard.operation = NextOperation(context.state);
  ++context.state.totals.reads;
  context.effects.push_back(
      ReadShard{shard.operation, shard.id, ShardName(shard.id)});
}

void SendSegmentReads(ShardContext context) {
  ShardState& shard = context.shard;
  while (!shard.segments_to_read.empty() &&
         shard.segment_reads.size() < context.state.options.segment_reads) {
    const OperationId operation = NextOperation(context.state);
    const std::string name = std::move(shard.segments_to_read.front());
    shard.segments_to_read.pop_front();
    ++context.state.totals.reads;
    context.effects.push_back(ReadShard{operation, shard.id, name});
    shard.segment_reads.emplace(operation, name);
  }
}

/**
 * Releases claims whose release was acknowledged while they did not hold
 * their key: a delayed write may have committed them afterwards.
 */
void QueueLateReleases(ShardContext context) {
  for (const auto& [claim, key] : context.shard.releases.keys) {
    const Entry* entry = FindEntry(context.state, context.shard, nullptr, key);
    if (!entry || entry->claim != claim ||
        entry->state != EntryState::kClaimed) {
      continue;
    }
    PendingCall pending;
    pending.answer_by = TimePoint::max();
    pending.wants_answer = false;
    pending.what = OutcomeReport{claim, key, Outcome::kReleased, {}};
    context.shard.waiting.push_back(std::move(pending));
  }
}

void FinishLoad(ShardContext context) {
  ShardState& shard = context.shard;
  if (!shard.segments_to_read.empty() || !shard.segment_reads.empty()) {
    return;
  }
  shard.phase = ShardPhase::kReady;
  QueueLateReleases(context);
  Advance(context);
}

/** Forgets cached segments that the object does not list. */
void DropUnlisted(ShardState& shard) {
  const auto listed = [&shard](const auto& cached) {
    return std::any_of(
        shard.header.segments.begin(), shard.header.segments.end(),
        [&](const SegmentInfo& info) { return info.name == cached.first; });
  };
  std::erase_if(shard.sealed,
                [&](const auto& cached) { return !listed(cached); });
}

void Adopt(ShardContext context, ShardObject object, std::string version) {
  ShardState& shard = context.shard;
  shard.header = std::move(object.header);
  shard.active = std::move(object.entries);
  shard.version = std::move(version);
  shard.active_bytes = 0;
  for (const auto& [key, stored] : shard.active) {
    shard.active_bytes += stored.text.size() + 1;
  }
  shard.seal.reset();
  shard.removing.clear();
  DropUnlisted(shard);
  shard.segments_to_read.clear();
  shard.segment_reads.clear();
  for (const SegmentInfo& info : shard.header.segments) {
    if (!shard.sealed.contains(info.name)) {
      shard.segments_to_read.push_back(info.name);
    }
  }
  shard.phase = ShardPhase::kReadingSegments;
  SendSegmentReads(context);
  FinishLoad(context);
}

void OnObject(ShardContext context, const ShardRead& event) {
  ShardState& shard = context.shard;
  std::optional<ShardObject> object = ParseShard(event.body);
  if (!object) {
    BlockForReason(context);
    return;
  }
  const ShardHeader& header = object->header;
  if (header.shard != shard.id ||
      header.shard_count != context.state.options.shard_count) {
    ++context.state.totals.shard_count_mismatch;
    Block(context);
    return;
  }
  shard.failures = 0;
  if (shard.batch && shard.batch->header.write == header.write) {
    ++context.state.totals.read_backs_own;
    AnswerBatch(context);
  }
  RequeueBatch(context);
  Adopt(context, std::move(*object), event.version);
}

void OnNoObject(ShardContext context) {
  ShardState& shard = context.shard;
  if (!shard.version.empty()) {
    ++context.state.totals.malformed;
    Block(context);
    return;
  }
  shard.failures = 0;
  RequeueBatch(context);
  ShardObject object;
  object.header.shard = shard.id;
  object.header.shard_count = context.state.options.shard_count;
  Adopt(context, std::move(object), {});
}

void OnSegment(ShardContext context,
               const std::string& name,
               const ShardRead& event) {
  std::optional<EntryTable> entries = ParseSegment(event.shard, event.body);
  if (!entries) {
    BlockForReason(context);
    return;
  }
  context.shard.failures = 0;
  context.shard.sealed[name] = {
      std::make_shared<const EntryTable>(std::move(*entries)),
      event.body.size()};
  SendSegmentReads(context);
  FinishLoad(context);
}

bool IsOldSegment(ShardContext context, const std::string& name) {
  for (const SegmentInfo& info : context.shard.header.segments) {
    if (info.name == name) {
      return info.newest + context.state.options.retention <=
             context.state.wall;
    }
  }
  return false;
}

/**
 * Another owner may have merged the segment since the shard object was read;
 * then a second read lists another one.
 */
void OnMissingSegment(ShardContext context) {
  ShardState& shard = context.shard;
  if (shard.missing_version != shard.version) {
    shard.missing_version = shard.version;
    shard.segment_reads.clear();
    ReadAgain(context);
    return;
  }
  ++context.state.totals.missing_segments;
  Block(context);
}

void OnSegmentFailed(ShardContext context,
                     const std::string& name,
                     ResultCode cause) {
  ShardState& shard = context.shard;
  if (cause != ResultCode::kStoreNotFound) {
    shard.segments_to_read.push_back(name);
    BackOff(context);
    return;
  }
  if (!IsOldSegment(context, name)) {
    OnMissingSegment(context);
    return;
  }
  shard.sealed[name] = {std::make_shared<const EntryTable>(), 0};
  SendSegmentReads(context);
  FinishLoad(context);
}

std::optional<std::string> TakeSegmentRead(ShardState& shard,
                                           OperationId operation) {
  const auto it = shard.segment_reads.find(operation);
  if (it == shard.segment_reads.end()) {
    return std::nullopt;
  }
  std::string name = std::move(it->second);
  shard.segment_reads.erase(it);
  return name;
}

bool IsCurrentRead(const ShardState& shard, OperationId operation) {
  return shard.phase == ShardPhase::kReadingShard &&
         shard.operation == operation;
}

}  // namespace

void ReadAgain(ShardContext context) {
  ShardState& shard = context.shard;
  shard.phase = ShardPhase::kReadingShard;
  shard.operation = {};
  if (context.now >= shard.next_attempt) {
    SendShardRead(context);
  }
}

void OnShardRead(ShardContext context, const ShardRead& event) {
  ShardState& shard = context.shard;
  if (IsCurrentRead(shard, event.operation)) {
    shard.operation = {};
    OnObject(context, event);
    return;
  }
  const auto name = TakeSegmentRead(shard, event.operation);
  if (name) {
    OnSegment(context, *name, event);
  }
}

void OnShardReadFailed(ShardContext context, const ShardReadFailed& event) {
  ShardState& shard = context.shard;
  if (IsCurrentRead(shard, event.operation)) {
    shard.operation = {};
    if (event.cause == ResultCode::kStoreNotFound) {
      OnNoObject(context);
      return;
    }
    BackOff(context);
    return;
  }
  const auto name = TakeSegmentRead(shard, event.operation);
  if (name) {
    OnSegmentFailed(context, *name, event.cause);
  }
}

void OnShardTick(ShardContext context) {
  ExpireCalls(context);
  ShardState& shard = context.shard;
  if (context.now < shard.next_attempt) {
    return;
  }
  const bool idle = shard.operation == OperationId{};
  switch (shard.phase) {
    case ShardPhase::kBlocked:
      ReadAgain(context);
      break;
    case ShardPhase::kReadingShard:
      if (idle) {
        ReadAgain(context);
      }
      break;
    case ShardPhase::kReadingSegments:
      SendSegmentReads(context);
      break;
    case ShardPhase::kSealing:
      if (idle) {
        SendSeal(context);
      }
      break;
    case ShardPhase::kReady:
      RemoveOldSegments(context);
      Advance(context);
      break;
    case ShardPhase::kWriting:
      break;
  }
}

}  // namespace boragewharf::ledger
