/**
 * @file ledger_cmd.cc
 * The ledger reducer: dispatches events to the commands of shards.
 */
#include <algorithm>

#include "decide_func.h"
#include "ledger/ledger_func.h"
#include "ledger/shard_func.h"
#include "shard_cmd.h"

namespace boragewharf::ledger {

namespace {

constexpr uint32_t kMaxBackoffDoublings = 10;

struct Reducer {
  LedgerState& state;
  TimePoint now;
  std::vector<LedgerEffect>& effects;

  ShardState* FindShard(ShardId id) const {
    const auto it = this->state.shards.find(id);
    return it == this->state.shards.end() ? nullptr : &it->second;
  }

  ShardState* FindShardOf(const Digest& key) const {
    return this->FindShard(ShardOf(key, this->state.options.shard_count));
  }

  ShardContext Context(ShardState& shard) const {
    return {this->state, shard, this->now, this->effects};
  }

  void Refuse(PendingCall& pending, bool owned) const {
    RefuseCall(
        this->state, this->effects, pending,
        owned ? ClaimVerdict::kUnavailable : ClaimVerdict::kNotOwner,
        owned ? OutcomeVerdict::kUnavailable : OutcomeVerdict::kNotOwner);
  }

  /** Whether waiting would be in vain or without bound. */
  bool CannotWait(const ShardState& shard, const PendingCall& pending) const {
    return pending.answer_by <= this->now ||
           shard.phase == ShardPhase::kBlocked ||
           shard.next_attempt >= pending.answer_by ||
           shard.waiting.size() >= this->state.options.waiting_calls;
  }

  void Enqueue(ShardState* shard, PendingCall pending) const {
    if (!shard || this->CannotWait(*shard, pending)) {
      this->Refuse(pending, shard != nullptr);
      return;
    }
    shard->waiting.push_back(std::move(pending));
    Advance(this->Context(*shard));
  }

  /** Answers from the confirmed entries unless a commit is needed. */
  bool AnswerAtOnce(const ShardState& shard,
                    const ClaimRequested& event) const {
    const bool loaded = shard.phase == ShardPhase::kReady ||
                        shard.phase == ShardPhase::kWriting ||
                        shard.phase == ShardPhase::kSealing;
    if (!loaded) {
      return false;
    }
    const Entry* entry =
        FindEntry(this->state, shard, nullptr, event.request.key);
    ClaimDecision decision =
        DecideClaim(this->state, shard.releases, entry, event.request);
    if (decision.NeedsWrite()) {
      return false;
    }
    AnswerClaimCall(
        this->state, this->effects, event.call,
        {event.request.claim, decision.verdict, std::move(decision.answer)});
    return true;
  }

  void operator()(const ClaimRequested& event) const {
    this->state.wall = event.wall;
    ShardState* shard = this->FindShardOf(event.request.key);
    if (shard && this->AnswerAtOnce(*shard, event)) {
      return;
    }
    const TimePoint bound = this->now + this->state.options.answer_within;
    this->Enqueue(shard, {event.call, std::min(event.deadline, bound), true,
                          event.request});
  }

  void operator()(const OutcomeReported& event) const {
    this->state.wall = event.wall;
    const TimePoint bound = this->now + this->state.options.answer_within;
    this->Enqueue(this->FindShardOf(event.report.key),
                  {event.call, bound, true, event.report});
  }

  void operator()(const ShardRead& event) const {
    if (ShardState* shard = this->FindShard(event.shard)) {
      OnShardRead(this->Context(*shard), event);
    }
  }

  void operator()(const ShardReadFailed& event) const {
    if (ShardState* shard = this->FindShard(event.shard)) {
      OnShardReadFailed(this->Context(*shard), event);
    }
  }

  void operator()(const ShardWritten& event) const {
    if (ShardState* shard = this->FindShard(event.shard)) {
      OnShardWritten(this->Context(*shard), event);
    }
  }

  void operator()(const ShardWriteFailed& event) const {
    if (ShardState* shard = this->FindShard(event.shard)) {
      OnShardWriteFailed(this->Context(*shard), event);
    }
  }

  void operator()(const SegmentRemoved& event) const {
    ShardState* shard = this->FindShard(event.shard);
    if (!shard || shard->removing.erase(event.name) == 0 || !event.gone) {
      return;
    }
    shard->sealed.erase(event.name);
    std::erase_if(shard->header.segments, [&event](const SegmentInfo& info) {
      return info.name == event.name;
    });
  }

  void Disown(ShardState& shard) const {
    for (PendingCall& pending : shard.waiting) {
      this->Refuse(pending, false);
    }
    if (!shard.batch) {
      return;
    }
    for (DecidedCall& call : shard.batch->calls) {
      this->Refuse(call.pending, false);
    }
  }

  void operator()(const OwnershipChanged& event) const {
    this->state.live = {event.live.begin(), event.live.end()};
    const std::set<ShardId> owned(event.owned.begin(), event.owned.end());
    for (auto& [id, shard] : this->state.shards) {
      if (!owned.contains(id)) {
        this->Disown(shard);
      }
    }
    std::erase_if(this->state.shards, [&owned](const auto& item) {
      return !owned.contains(item.first);
    });
    for (ShardId id : owned) {
      const auto [it, added] = this->state.shards.try_emplace(id);
      if (added) {
        it->second.id = id;
        ReadAgain(this->Context(it->second));
      }
    }
  }

  void operator()(const Tick& event) const {
    this->state.wall = event.wall;
    for (auto& [id, shard] : this->state.shards) {
      OnShardTick(this->Context(shard));
    }
  }
};

const Entry* Unexpired(const Entry& entry, const LedgerState& state) {
  return IsExpired(entry, state) ? nullptr : &entry;
}

}  // namespace

void AnswerClaimCall(LedgerState& state,
                     std::vector<LedgerEffect>& effects,
                     CallId call,
                     ClaimResult result) {
  ++state.totals.claims.at(static_cast<size_t>(result.verdict));
  effects.push_back(AnswerClaim{call, std::move(result)});
}

void AnswerOutcomeCall(LedgerState& state,
                       std::vector<LedgerEffect>& effects,
                       const AnswerOutcome& answer) {
  ++state.totals.outcomes.at(static_cast<size_t>(answer.verdict));
  effects.push_back(answer);
}

void RefuseCall(LedgerState& state,
                std::vector<LedgerEffect>& effects,
                PendingCall& pending,
                ClaimVerdict claim,
                OutcomeVerdict outcome) {
  if (!pending.wants_answer) {
    return;
  }
  pending.wants_answer = false;
  if (const auto* request = std::get_if<ClaimRequest>(&pending.what)) {
    AnswerClaimCall(state, effects, pending.call, {request->claim, claim, {}});
    return;
  }
  const auto& report = std::get<OutcomeReport>(pending.what);
  AnswerOutcomeCall(state, effects, {pending.call, report.claim, outcome});
}

void ExpireCalls(ShardContext context) {
  const auto expire = [&context](PendingCall& pending) {
    const bool expired = pending.answer_by <= context.now;
    if (expired) {
      RefuseCall(context.state, context.effects, pending,
                 ClaimVerdict::kUnavailable, OutcomeVerdict::kUnavailable);
    }
    return expired;
  };
  std::erase_if(context.shard.waiting, expire);
  if (!context.shard.batch) {
    return;
  }
  for (DecidedCall& call : context.shard.batch->calls) {
    expire(call.pending);
  }
}

void RequeueBatch(ShardContext context) {
  ShardState& shard = context.shard;
  if (!shard.batch) {
    return;
  }
  ExpireCalls(context);
  auto& calls = shard.batch->calls;
  for (auto it = calls.rbegin(); it != calls.rend(); ++it) {
    if (it->pending.answer_by > context.now) {
      shard.waiting.push_front(std::move(it->pending));
    }
  }
  shard.batch.reset();
}

const Entry* FindEntry(const LedgerState& state,
                       const ShardState& shard,
                       const Overlay* changes,
                       const Digest& key) {
  if (changes) {
    const auto staged = changes->find(key);
    if (staged != changes->end()) {
      return staged->second ? Unexpired(staged->second->entry, state) : nullptr;
    }
  }
  const auto active = shard.active.find(key);
  if (active != shard.active.end()) {
    return Unexpired(active->second.entry, state);
  }
  const auto& segments = shard.header.segments;
  for (auto info = segments.rbegin(); info != segments.rend(); ++info) {
    const auto table = shard.sealed.find(info->name);
    if (table == shard.sealed.end()) {
      continue;
    }
    const EntryTable& entries = *table->second.entries;
    const auto sealed = entries.find(key);
    if (sealed != entries.end()) {
      return Unexpired(sealed->second.entry, state);
    }
  }
  return nullptr;
}

void BackOff(ShardContext context) {
  ShardState& shard = context.shard;
  LedgerState& state = context.state;
  const uint32_t doublings = std::min(shard.failures++, kMaxBackoffDoublings);
  const Duration delay = std::min(state.options.backoff_max,
                                  state.options.backoff_min * (1 << doublings));
  // The upper half is random, so that owners do not return all at once.
  std::uniform_int_distribution<Duration::rep> jitter(delay.count() / 2,
                                                      delay.count());
  shard.next_attempt = context.now + Duration(jitter(state.random));
}

OperationId NextOperation(LedgerState& state) {
  return OperationId{state.next_operation++};
}

void AnswerBatch(ShardContext context) {
  const Batch batch = std::move(*context.shard.batch);
  context.shard.batch.reset();
  for (const DecidedCall& call : batch.calls) {
    if (!call.pending.wants_answer) {
      continue;
    }
    const auto* request = std::get_if<ClaimRequest>(&call.pending.what);
    if (!request) {
      const auto& report = std::get<OutcomeReport>(call.pending.what);
      AnswerOutcomeCall(context.state, context.effects,
                        {call.pending.call, report.claim, call.outcome});
      continue;
    }
    // A grant that is late may reach the claimant after its deadline.
    const bool late = call.claim == ClaimVerdict::kGranted &&
                      context.now >= call.pending.answer_by;
    AnswerClaimCall(
        context.state, context.effects, call.pending.call,
        {request->claim, late ? ClaimVerdict::kUnavailable : call.claim,
         call.answer});
  }
}

LedgerState MakeLedgerState(MemberId self,
                            const LedgerOptions& options,
                            uint64_t seed) {
  LedgerState state;
  state.self = self;
  state.options = options;
  state.random.seed(seed);
  return state;
}

std::optional<TimePoint> NextWake(const LedgerState& state) {
  std::optional<TimePoint> wake;
  for (const auto& [id, shard] : state.shards) {
    if (shard.phase == ShardPhase::kWriting ||
        shard.operation != OperationId{} ||
        (shard.phase == ShardPhase::kReady && shard.waiting.empty())) {
      continue;
    }
    const TimePoint due = shard.phase == ShardPhase::kReady
                              ? NextWrite(state, shard)
                              : shard.next_attempt;
    wake = wake ? std::min(*wake, due) : due;
  }
  return wake;
}

void Reduce(LedgerState& state,
            const LedgerEvent& event,
            TimePoint now,
            std::vector<LedgerEffect>& effects) {
  std::visit(Reducer{state, now, effects}, event);
}

}  // namespace boragewharf::ledger
