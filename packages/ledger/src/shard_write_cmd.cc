/**
 * @file shard_write_cmd.cc
 * Group commit: forms, sends and confirms the writes of a shard object.
 */
#include <algorithm>
#include <utility>

#include "decide_func.h"
#include "ledger/shard_func.h"
#include "shard_cmd.h"

namespace boragewharf::ledger {

namespace {

constexpr size_t kHeaderBytes = 512;
constexpr size_t kSegmentInfoBytes = 80;

/** A write that is being composed. */
struct Draft {
  Batch batch;           ///< Calls and changes.
  size_t bytes = 0;      ///< Estimated size of the object.
  bool dirty = false;    ///< Something has to be committed.
  bool no_room = false;  ///< A call waits for a seal.
};

/** A decided call with its change. */
struct Decided {
  DecidedCall call;             ///< The call.
  std::optional<Entry> change;  ///< To be staged.
  bool needs_write = false;     ///< Even without a change.
};

void RememberRelease(ShardContext context, const OutcomeReport& report) {
  RecentReleases& releases = context.shard.releases;
  if (!releases.keys.emplace(report.claim, report.key).second) {
    return;
  }
  releases.order.push_back(report.claim);
  if (releases.order.size() > context.state.options.recent_releases) {
    releases.keys.erase(releases.order.front());
    releases.order.pop_front();
  }
}

Decided DecideCall(ShardContext context,
                   const Overlay& changes,
                   PendingCall pending) {
  Decided decided;
  if (const auto* request = std::get_if<ClaimRequest>(&pending.what)) {
    const Entry* entry =
        FindEntry(context.state, context.shard, &changes, request->key);
    ClaimDecision decision =
        DecideClaim(context.state, context.shard.releases, entry, *request);
    decided.needs_write = decision.NeedsWrite();
    decided.call.claim = decision.verdict;
    decided.call.answer = std::move(decision.answer);
    decided.change = std::move(decision.change);
  } else {
    const auto& report = std::get<OutcomeReport>(pending.what);
    const Entry* entry =
        FindEntry(context.state, context.shard, &changes, report.key);
    OutcomeDecision decision = DecideOutcome(context.state, entry, report);
    if (decision.verdict == OutcomeVerdict::kNotHeld &&
        report.outcome == Outcome::kReleased) {
      RememberRelease(context, report);
    }
    // The entries may be those of a former owner; only a write shows that the
    // claim is indeed unknown.
    decided.needs_write = decision.verdict == OutcomeVerdict::kNotHeld;
    decided.call.outcome = decision.verdict;
    decided.change = std::move(decision.change);
  }
  decided.call.pending = std::move(pending);
  return decided;
}

size_t BytesOf(const ShardState& shard,
               const Overlay& changes,
               const Digest& key) {
  const auto staged = changes.find(key);
  if (staged != changes.end()) {
    return staged->second ? staged->second->text.size() + 1 : 0;
  }
  const auto active = shard.active.find(key);
  return active == shard.active.end() ? 0 : active->second.text.size() + 1;
}

StoredEntry MakeStored(Entry entry) {
  std::string text = EntryToJson(entry);
  return {std::move(entry), std::move(text)};
}

bool CanMakeRoom(ShardContext context, const Draft& draft) {
  const ShardState& shard = context.shard;
  const bool room =
      shard.header.segments.size() < context.state.options.segment_limit ||
      !MergeableSegment(context).empty();
  return room && (!shard.active.empty() || draft.dirty);
}

/**
 * Fits a change that exceeds the size of an object and for which no further
 * segment can be written: a claim is refused, an outcome loses its body. An
 * outcome may exceed the size, as it resolves a claim that exists.
 * @return Whether the change is still to be staged.
 */
bool FitChange(ShardContext context, Decided& decided, size_t grown) {
  if (std::holds_alternative<ClaimRequest>(decided.call.pending.what)) {
    decided.call.claim = ClaimVerdict::kFull;
    decided.needs_write = false;
    return false;
  }
  const size_t hard_limit = context.state.options.object_bytes * 7 / 4;
  decided.change->answer.body_kept = false;
  decided.change->answer.body.clear();
  if (grown > hard_limit + context.state.options.body_bytes) {
    decided.call.outcome = OutcomeVerdict::kUnavailable;
    return false;
  }
  return true;
}

/** @return False if the call has to wait for a seal. */
bool StageChange(ShardContext context, Draft& draft, Decided& decided) {
  const Digest key = decided.change->key;
  StoredEntry stored = MakeStored(std::move(*decided.change));
  const size_t old_bytes = BytesOf(context.shard, draft.batch.changes, key);
  const size_t new_bytes = stored.text.size() + 1;
  const size_t grown = draft.bytes - old_bytes + new_bytes;
  if (grown > context.state.options.object_bytes && new_bytes > old_bytes) {
    if (CanMakeRoom(context, draft)) {
      return false;
    }
    decided.change = std::move(stored.entry);
    if (!FitChange(context, decided, grown)) {
      return true;
    }
    stored = MakeStored(std::move(*decided.change));
  }
  draft.bytes = draft.bytes - old_bytes + stored.text.size() + 1;
  draft.batch.changes.insert_or_assign(key, std::move(stored));
  draft.dirty = true;
  return true;
}

bool IsInSegment(const ShardState& shard, const Digest& key) {
  return std::any_of(shard.sealed.begin(), shard.sealed.end(),
                     [&key](const auto& segment) {
                       return segment.second.entries->contains(key);
                     });
}

bool IsPrunable(ShardContext context, const Entry& entry) {
  if (IsExpired(entry, context.state)) {
    return true;
  }
  const LedgerState& state = context.state;
  return entry.state == EntryState::kReleased &&
         entry.changed + state.options.released_kept <= state.wall &&
         !IsInSegment(context.shard, entry.key);
}

/** Stages the removal of entries that are of no use any more. */
void StagePrune(ShardContext context, Draft& draft) {
  ShardState& shard = context.shard;
  if (context.state.wall < shard.next_prune) {
    return;
  }
  shard.next_prune = context.state.wall + context.state.options.prune_period;
  for (const auto& [key, stored] : shard.active) {
    if (!IsPrunable(context, stored.entry)) {
      continue;
    }
    draft.bytes -= stored.text.size() + 1;
    draft.batch.changes.emplace(key, std::nullopt);
  }
}

Draft FormDraft(ShardContext context) {
  ShardState& shard = context.shard;
  Draft draft;
  draft.bytes = kHeaderBytes + shard.active_bytes +
                kSegmentInfoBytes * shard.header.segments.size();
  StagePrune(context, draft);
  while (!shard.waiting.empty() && !draft.no_room) {
    Decided decided =
        DecideCall(context, draft.batch.changes, shard.waiting.front());
    if (decided.change && !StageChange(context, draft, decided)) {
      draft.no_room = true;
      continue;
    }
    draft.dirty = draft.dirty || decided.needs_write;
    draft.batch.calls.push_back(std::move(decided.call));
    shard.waiting.pop_front();
  }
  return draft;
}

std::vector<std::string_view> TextsAfter(const ShardState& shard,
                                         const Overlay& changes) {
  std::vector<std::string_view> texts;
  texts.reserve(shard.active.size() + changes.size());
  for (const auto& [key, stored] : shard.active) {
    if (!changes.contains(key)) {
      texts.push_back(stored.text);
    }
  }
  for (const auto& [key, stored] : changes) {
    if (stored) {
      texts.push_back(stored->text);
    }
  }
  return texts;
}

void SendWrite(ShardContext context, Batch batch) {
  ShardState& shard = context.shard;
  LedgerState& state = context.state;
  const OperationId operation = NextOperation(state);
  batch.header = shard.header;
  if (batch.header.owner != state.self) {
    batch.header.owner = state.self;
    ++batch.header.epoch;
  }
  batch.header.write = {state.self.value, operation.value};
  WriteShard write{operation,     shard.id,           ShardName(shard.id),
                   shard.version, batch.header.write, {}};
  write.body = ShardToJson(batch.header, TextsAfter(shard, batch.changes));
  PaceWrite(context);
  ++state.totals.writes;
  state.totals.write_bytes += write.body.size();
  shard.phase = ShardPhase::kWriting;
  shard.operation = operation;
  shard.batch = std::move(batch);
  context.effects.push_back(std::move(write));
}

void ApplyChanges(ShardState& shard, Overlay& changes) {
  for (auto& [key, stored] : changes) {
    const auto old = shard.active.find(key);
    if (old != shard.active.end()) {
      shard.active_bytes -= old->second.text.size() + 1;
      shard.active.erase(old);
    }
    if (stored) {
      shard.active_bytes += stored->text.size() + 1;
      shard.active.emplace(key, std::move(*stored));
    }
  }
}

/**
 * Removes segments that were written but are not listed. After a confirmed
 * write no earlier write of the shard object can take effect any more, so
 * none of them can become listed.
 */
void RemoveUnlisted(ShardContext context) {
  ShardState& shard = context.shard;
  for (const SegmentInfo& info : shard.header.segments) {
    shard.unlisted.erase(info.name);
  }
  for (const std::string& name : shard.unlisted) {
    context.effects.push_back(RemoveSegment{shard.id, name});
  }
  shard.unlisted.clear();
}

void OnObjectWritten(ShardContext context, const ShardWritten& event) {
  ShardState& shard = context.shard;
  shard.version = event.version;
  shard.header = shard.batch->header;
  ApplyChanges(shard, shard.batch->changes);
  AnswerBatch(context);
  RemoveUnlisted(context);
  shard.phase = ShardPhase::kReady;
  Advance(context);
}

void OnObjectWriteFailed(ShardContext context, ResultCode cause) {
  ShardState& shard = context.shard;
  if (cause == ResultCode::kStoreBusy ||
      cause == ResultCode::kStoreUnavailable) {
    RequeueBatch(context);
    shard.phase = ShardPhase::kReady;
    BackOff(context);
    return;
  }
  // After a conflict the batch is kept as well: a transport that repeats a
  // write by itself reports a conflict with its own first attempt.
  uint64_t& total = cause == ResultCode::kStoreConflict
                        ? context.state.totals.conflicts
                        : context.state.totals.unknown_writes;
  ++total;
  ReadAgain(context);
}

/** Time between writes of a shard in the long run. */
Duration WriteInterval(const LedgerOptions& options) {
  const double per_shard = options.writes_per_second / options.shard_count;
  return Duration(static_cast<Duration::rep>(1e6 / per_shard));
}

}  // namespace

void PaceWrite(ShardContext context) {
  TimePoint& time = context.shard.write_time;
  time = std::max(time, context.now) + WriteInterval(context.state.options);
}

TimePoint NextWrite(const LedgerState& state, const ShardState& shard) {
  const Duration credit =
      WriteInterval(state.options) * (state.options.write_burst - 1);
  return std::max(shard.next_attempt, shard.write_time - credit);
}

void Advance(ShardContext context) {
  ShardState& shard = context.shard;
  if (shard.phase != ShardPhase::kReady || shard.waiting.empty() ||
      context.now < NextWrite(context.state, shard)) {
    return;
  }
  ExpireCalls(context);
  Draft draft = FormDraft(context);
  const bool own_epoch = shard.header.owner == context.state.self;
  if (draft.dirty || (draft.no_room && !own_epoch)) {
    SendWrite(context, std::move(draft.batch));
    return;
  }
  shard.batch = std::move(draft.batch);
  AnswerBatch(context);
  if (draft.no_room) {
    BeginSeal(context);
  }
}

void OnShardWritten(ShardContext context, const ShardWritten& event) {
  ShardState& shard = context.shard;
  if (shard.operation != event.operation) {
    return;
  }
  shard.operation = {};
  shard.failures = 0;
  if (shard.phase == ShardPhase::kWriting) {
    OnObjectWritten(context, event);
  } else if (shard.phase == ShardPhase::kSealing) {
    OnSegmentWritten(context);
  }
}

void OnShardWriteFailed(ShardContext context, const ShardWriteFailed& event) {
  ShardState& shard = context.shard;
  if (shard.operation != event.operation) {
    return;
  }
  shard.operation = {};
  if (shard.phase == ShardPhase::kWriting) {
    OnObjectWriteFailed(context, event.cause);
  } else if (shard.phase == ShardPhase::kSealing) {
    OnSegmentWriteFailed(context, event.cause);
  }
}

}  // namespace boragewharf::ledger
