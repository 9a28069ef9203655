/**
 * @file rollout_table_requests.cc
 * Requests of roll-outs and their status in the store.
 */
#include <algorithm>
#include <chrono>
#include <utility>

#include "rollout/rollout_func.h"
#include "rollout/rollout_table_base.h"

namespace boragewharf::rollout {

using std::chrono::milliseconds;

void RolloutTable::ApplyStatus(Entry& entry, std::vector<Action>& actions) {
  const auto& status = entry.request->status;
  RolloutDecision& decision = *entry.decision;
  if (!status) {
    return;
  }
  if (status->state == StatusState::kRolledBack) {
    Ban(decision, status->target);
  }
  if (status->target != decision.target ||
      status->state == StatusState::kRunning) {
    return;
  }
  const Phase phase =
      status->state == StatusState::kDone ? Phase::kDone : Phase::kRolledBack;
  entry.wanted.reset();
  SetPhase(entry, phase, "as the status says", decision.confirmed, actions);
  if (phase == Phase::kDone) {
    std::erase(decision.banned, decision.target);
  }
}

void RolloutTable::Begin(Entry& entry,
                         TimePoint now,
                         std::vector<Action>& actions) {
  const RolloutRequest& request = *entry.request;
  RolloutDecision next;
  if (entry.decision) {
    next.banned = entry.decision->banned;
    if (entry.decision->phase < Phase::kDone &&
        entry.decision->target != request.target) {
      Ban(next, entry.decision->target);
    }
  }
  if (entry.decision && entry.decision->target == request.target) {
    // The same target again: has to be later than its own withdrawal.
    next.fencing = entry.decision->fencing;
    next.sequence = entry.decision->sequence + 1;
  }
  next.service = request.service;
  next.target = request.target;
  // Decisions are ordered by it, and revisions of a later era may be lower.
  next.revision = request.revision;
  if (next.revision <= entry.revision_base) {
    next.revision += entry.revision_base;
  }
  next.within_ms = static_cast<uint32_t>(
      std::chrono::duration_cast<milliseconds>(request.within).count());
  next.requested = now;
  next.confirmed = now;
  entry.decision = std::move(next);
  entry.phase_since = now;
  entry.evidence = {};
  entry.test = VersionTest();
  entry.wanted.reset();
  entry.seen_other_version = false;
  entry.overruled_since.reset();
  entry.logged.clear();
  actions.emplace_back(LogRollout{"rollout_requested",
                                  request.service + " to " + request.target,
                                  request.revision});
}

void RolloutTable::ApplyRequest(const RolloutRequest& request,
                                TimePoint now,
                                std::vector<Action>& actions) {
  if (!this->entries.contains(request.service) &&
      this->entries.size() >= kMaxRollouts) {
    if (!std::exchange(this->overflow_logged, true)) {
      actions.emplace_back(LogRollout{
          "rollout_ignored", "too many roll-outs at once", request.revision});
    }
    return;
  }
  Entry& entry = this->entries[request.service];
  if (request.revision <= entry.last_revision) {
    return;
  }
  const bool repeated = !entry.request;
  entry.lost_since.reset();
  entry.stored.reset();
  entry.era = this->era;
  entry.last_revision = request.revision;
  entry.request = request;
  if (!request.Readable() || !IsUsableName(request.service) ||
      !IsUsableName(request.target)) {
    LogOnce(entry, "rollout_unreadable", "missing or invalid field", actions);
    entry.request->target.clear();
    if (entry.decision && !IsFinal(entry.decision->phase)) {
      SetPhase(entry, Phase::kStopped, "request unreadable", now, actions);
    }
    return;
  }
  const bool same = entry.decision && entry.decision->target == request.target;
  const bool withdrawn =
      same && repeated && entry.decision->phase == Phase::kStopped;
  if (!same || withdrawn) {
    Begin(entry, now, actions);
  }
  ApplyStatus(entry, actions);
}

void RolloutTable::ApplyRemoval(const std::string& service,
                                uint64_t revision,
                                std::vector<Action>& actions) {
  const auto found = this->entries.find(service);
  if (found == this->entries.end() || revision < found->second.last_revision ||
      !found->second.request) {
    return;
  }
  Entry& entry = found->second;
  entry.last_revision = std::max(revision, entry.last_revision);
  entry.lost_since.reset();
  entry.stored.reset();
  entry.request.reset();
  entry.wanted.reset();
  if (entry.decision && !IsFinal(entry.decision->phase)) {
    SetPhase(entry, Phase::kStopped, "withdrawn", entry.decision->confirmed,
             actions);
  }
}

void RolloutTable::BeginEra(const std::vector<RolloutRequest>& requests,
                            TimePoint now) {
  for (auto& [service, entry] : this->entries) {
    const uint64_t known_revision = std::exchange(entry.last_revision, 0);
    entry.revision_base = entry.decision ? entry.decision->revision : 0;
    entry.lost_since.reset();
    entry.stored.reset();
    const auto listed =
        std::ranges::find(requests, service, &RolloutRequest::service);
    if (!entry.request || !entry.request->Readable()) {
      continue;
    }
    if (listed == requests.end()) {
      entry.lost_since = now;
    } else if (listed->target != entry.request->target &&
               listed->revision <= known_revision) {
      entry.lost_since = now;
      entry.stored = *listed;
      entry.last_revision = listed->revision;
    }
  }
}

void RolloutTable::EndWaits(TimePoint now, std::vector<Action>& actions) {
  /** The operator writes within seconds again what the store has lost. */
  constexpr std::chrono::seconds kRequestReturnTime(5);
  for (auto& [service, entry] : this->entries) {
    if (!entry.lost_since || now - *entry.lost_since < kRequestReturnTime) {
      continue;
    }
    entry.lost_since.reset();
    if (const auto stored = std::exchange(entry.stored, std::nullopt)) {
      entry.last_revision = 0;
      this->ApplyRequest(*stored, now, actions);
    } else {
      this->ApplyRemoval(service, entry.last_revision, actions);
    }
  }
}

void RolloutTable::BeginIfOverruled(Entry& entry,
                                    const HolderFacts& facts,
                                    TimePoint now,
                                    std::vector<Action>& actions) {
  /** A newer request that other nodes have seen arrives within this time. */
  constexpr std::chrono::seconds kWatchDelay(3);
  if (entry.lost_since || !facts.store_reachable) {
    entry.overruled_since.reset();
    return;
  }
  if (!entry.overruled_since) {
    entry.overruled_since = now;
  }
  if (now - *entry.overruled_since < kWatchDelay) {
    return;
  }
  const RolloutDecision overruling = *entry.decision;
  entry.revision_base = std::max(entry.revision_base, overruling.revision);
  Begin(entry, now, actions);
  // No request has replaced that target.
  entry.decision->banned = overruling.banned;
  ApplyStatus(entry, actions);
}

void RolloutTable::ApplyList(const std::vector<RolloutRequest>& requests,
                             TimePoint now,
                             std::vector<Action>& actions,
                             uint64_t list_era) {
  if (list_era < this->era) {
    return;
  }
  if (list_era > this->era) {
    this->era = list_era;
    this->BeginEra(requests, now);
  }
  std::set<std::string> listed;
  for (const RolloutRequest& request : requests) {
    listed.insert(request.service);
    this->ApplyRequest(request, now, actions);
  }
  for (auto& [service, entry] : this->entries) {
    if (listed.contains(service)) {
      continue;
    }
    entry.stored.reset();
    if (!entry.lost_since) {
      this->ApplyRemoval(service, entry.last_revision, actions);
    }
  }
}

void RolloutTable::ApplyWritten(const WriteStatus& write,
                                ResultCode code,
                                const std::optional<RolloutRequest>& current,
                                TimePoint now,
                                std::vector<Action>& actions) {
  /** Time until a write is repeated: above a store call, and several tries
   * within the shortest within_s. */
  constexpr milliseconds kRetryPeriod(300);
  const auto found = this->entries.find(write.service);
  if (found == this->entries.end()) {
    return;
  }
  Entry& entry = found->second;
  entry.call_pending = false;
  entry.next_write = now + kRetryPeriod;
  actions.emplace_back(LogRollout{"rollout_status_written",
                                  write.service + " to " + write.status.target +
                                      " result " +
                                      std::to_string(static_cast<int>(code)),
                                  write.revision});
  if (write.era != this->era) {
    return;  // The object of the response may be one from before the return.
  }
  if (code == ResultCode::kStoreNotFound) {
    this->ApplyRemoval(write.service, entry.last_revision, actions);
    return;
  }
  if (current && current->service == write.service) {
    this->ApplyRequest(*current, now, actions);
    return;
  }
  if (code == ResultCode::kOk && entry.request &&
      entry.request->revision == write.revision) {
    // The revision after the write is not known; the watch delivers it before
    // the next write is due, or that write gets a conflict with the object.
    entry.request->status = write.status;
    ApplyStatus(entry, actions);
  }
}

}  // namespace boragewharf::rollout
