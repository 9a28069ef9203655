/**
 * @file rollout_table_base.cc
 * Requests, decisions and evidence of all roll-outs.
 */
#include "rollout/rollout_table_base.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "rollout/rollout_func.h"

namespace boragewharf::rollout {
namespace {

using std::chrono::milliseconds;

/** Message periods after which a decision must not raise the share any more;
 * messages to other regions are sent every second period. */
constexpr double kRaisePeriods = 2.5;

/** Least time after which a decision must not raise the share: two periods of
 * the smallest deployments and one late datagram. */
constexpr milliseconds kMinRaiseLimit(600);

}  // namespace

void RolloutTable::LogOnce(Entry& entry,
                           const std::string& event,
                           const std::string& detail,
                           std::vector<Action>& actions) {
  const std::string condition = event + " " + detail;
  if (std::exchange(entry.logged, condition) != condition) {
    actions.emplace_back(LogRollout{event, detail, entry.last_revision});
  }
}

void RolloutTable::SetPhase(Entry& entry,
                            Phase phase,
                            const std::string& reason,
                            TimePoint now,
                            std::vector<Action>& actions) {
  RolloutDecision& decision = *entry.decision;
  if (decision.phase == phase) {
    return;
  }
  decision.phase = phase;
  decision.sequence += 1;
  decision.confirmed = now;
  entry.phase_since = now;
  actions.emplace_back(LogRollout{"rollout_phase",
                                  decision.service + " to " + decision.target +
                                      ": " + NameOf(phase) +
                                      (reason.empty() ? "" : ", ") + reason,
                                  entry.last_revision});
}

void RolloutTable::Stop(Entry& entry,
                        const std::string& reason,
                        TimePoint now,
                        std::vector<Action>& actions) {
  if (IsFinal(entry.decision->phase)) {
    return;
  }
  Ban(*entry.decision, entry.decision->target);
  SetPhase(entry, Phase::kStopped, reason, now, actions);
}

bool RolloutTable::MergeDecisions(const DecisionList& told,
                                  Duration message_period,
                                  TimePoint now) {
  const auto limit = std::max<Duration>(
      kMinRaiseLimit,
      std::chrono::duration_cast<Duration>(kRaisePeriods * message_period));
  bool changed = false;
  for (const RolloutDecision& decision : told) {
    if (!this->entries.contains(decision.service) &&
        this->entries.size() >= kMaxRollouts) {
      continue;
    }
    Entry& entry = this->entries[decision.service];
    if (!entry.decision) {
      entry.decision = decision;
      // A share above the lowest needs a decision that is fresh.
      const bool raised =
          decision.phase == Phase::kLoad || decision.phase == Phase::kShift;
      if (raised && now - decision.confirmed > limit) {
        entry.decision->phase = Phase::kObserve;
        entry.decision->sequence = 0;
      }
      entry.phase_since = now;
      changed = true;
      continue;
    }
    const std::string target = entry.decision->target;
    const Phase phase = entry.decision->phase;
    if (MergeDecision(*entry.decision, decision, limit, now)) {
      changed = true;
    }
    if (entry.decision->target != target) {
      entry.evidence = {};
      entry.test = VersionTest();
      entry.wanted.reset();
    }
    if (entry.decision->phase != phase) {
      entry.phase_since = now;
    }
  }
  return changed;
}

void RolloutTable::MergeEvidence(uint64_t process,
                                 const EvidenceList& evidence,
                                 TimePoint now,
                                 std::vector<Action>& actions) {
  for (const RolloutEvidence& told : evidence) {
    const auto found = this->entries.find(told.service);
    if (found == this->entries.end() || !found->second.decision ||
        found->second.decision->target != told.target) {
      continue;
    }
    Entry& entry = found->second;
    entry.evidence.Merge(process, told, now);
    if (told.stopped && !IsFinal(entry.decision->phase) &&
        Ban(*entry.decision, told.target)) {
      LogOnce(entry, "rollout_stopped",
              told.service + " to " + told.target + " by a node's evidence",
              actions);
    }
  }
}

bool RolloutTable::Advance(const HolderFacts& facts,
                           TimePoint now,
                           std::vector<Action>& actions) {
  const size_t actions_before = actions.size();
  this->EndWaits(now, actions);
  for (auto& [service, entry] : this->entries) {
    if (!entry.decision) {
      continue;
    }
    Context context{facts, 0, 0, now};
    const auto versions = facts.versions.find(service);
    if (versions != facts.versions.end()) {
      for (const auto& [version, count] : versions->second) {
        (version == entry.decision->target ? context.target_servers
                                           : context.other_servers) += count;
      }
    }
    entry.seen_other_version |= context.other_servers > 0;
    const EvidenceCounts added = entry.evidence.TakeNew();
    if (!added.failures.empty() || !added.times.empty()) {
      entry.test.Add(added, context.target_servers);
    }
    if (!facts.fencing) {
      entry.wanted.reset();
      continue;
    }
    if (!entry.request || !entry.request->Readable()) {
      entry.decision->confirmed = now;
      continue;
    }
    if (entry.request->target != entry.decision->target) {
      entry.decision->confirmed = now;
      BeginIfOverruled(entry, facts, now, actions);
      continue;
    }
    entry.overruled_since.reset();
    if (versions == facts.versions.end()) {
      LogOnce(entry, "rollout_ignored", "unknown service " + service, actions);
      continue;
    }
    AdvanceEntry(entry, context, actions);
  }
  this->DropUnused(facts);
  return std::any_of(
      actions.begin() + static_cast<std::ptrdiff_t>(actions_before),
      actions.end(), [](const Action& action) {
        const auto* log = std::get_if<LogRollout>(&action);
        return log != nullptr && log->event == "rollout_phase";
      });
}

void RolloutTable::AdvanceEntry(Entry& entry,
                                const Context& context,
                                std::vector<Action>& actions) {
  RolloutDecision& decision = *entry.decision;
  if (decision.fencing > *context.facts.fencing) {
    return;  // Another node holds a later lease.
  }
  if (decision.fencing < *context.facts.fencing) {
    decision.fencing = *context.facts.fencing;
    decision.sequence += 1;
    entry.phase_since = context.now;
    LogOnce(entry, "rollout_held",
            decision.service + " to " + decision.target + " in phase " +
                NameOf(decision.phase) + " under lease " +
                std::to_string(decision.fencing),
            actions);
  }
  decision.confirmed = context.now;
  if (IsFinal(decision.phase)) {
    // An object that repeats the target gets the same status.
    entry.wanted = decision.phase == Phase::kDone ? StatusState::kDone
                                                  : StatusState::kRolledBack;
    WriteIfDue(entry, context, actions);
    return;
  }
  const bool banned = std::ranges::find(decision.banned, decision.target) !=
                      decision.banned.end();
  if (entry.test.IsBad()) {
    Stop(entry, entry.test.Reason(), context.now, actions);
  } else if (banned) {
    Stop(entry, "stopped or rolled back before", context.now, actions);
  } else {
    AdvancePhase(entry, context, actions);
  }
  if (decision.phase == Phase::kStopped) {
    entry.wanted = StatusState::kRolledBack;
  }
  const auto& status = entry.request->status;
  const bool running_written = status && status->target == decision.target;
  if (!running_written && !entry.wanted) {
    entry.wanted = StatusState::kRunning;
  }
  WriteIfDue(entry, context, actions);
}

void RolloutTable::AdvancePhase(Entry& entry,
                                const Context& context,
                                std::vector<Action>& actions) {
  /** Parts of within_s at which the share is raised at the earliest. A fault
   * that begins in the first half is seen at the lowest share. */
  constexpr double kLoadFrom = 0.55;
  constexpr double kShiftFrom = 0.8;
  /** Part of within_s at which a decision is due. */
  constexpr double kDecideAt = 0.85;
  /** Attempts below which nothing is known of a version. */
  constexpr uint64_t kMinAttempts = 30;
  /** Time after which reports of all nodes have arrived. */
  constexpr std::chrono::seconds kSettleTime(1);
  /** Time after which missing old servers may have failed. */
  constexpr std::chrono::seconds kNothingToDoUntil(4);

  RolloutDecision& decision = *entry.decision;
  const Duration within = milliseconds(decision.within_ms);
  const Duration elapsed = context.now - decision.requested;
  const auto due = [&](double part) { return elapsed >= part * within; };
  const auto& status = entry.request->status;
  const bool written = status && status->target == decision.target &&
                       context.facts.store_reachable;
  if (context.target_servers == 0) {
    LogOnce(entry, "rollout_waits", "no server of version " + decision.target,
            actions);
  }
  switch (decision.phase) {
    case Phase::kObserve:
      if (!entry.seen_other_version && context.target_servers > 0 &&
          elapsed >= kSettleTime && elapsed < kNothingToDoUntil) {
        // Nothing runs another version: there is nothing to compare with.
        entry.wanted = StatusState::kDone;
        return;
      }
      if (entry.seen_other_version && entry.wanted == StatusState::kDone) {
        entry.wanted.reset();
      }
      if (due(kLoadFrom) && written && context.target_servers > 0) {
        SetPhase(entry, Phase::kLoad, "", context.now, actions);
      }
      break;
    case Phase::kLoad:
      if (due(kShiftFrom) && entry.test.IsAccepted() && written) {
        SetPhase(entry, Phase::kShift, "accepted", context.now, actions);
        return;
      }
      break;
    case Phase::kShift:
      EndShift(entry, context, actions);
      return;
    default:
      return;
  }
  if (!due(kDecideAt)) {
    return;
  }
  const uint64_t attempts = entry.test.TargetAttempts();
  if (entry.test.IsSuspect() || attempts < kMinAttempts) {
    if (due(1) || context.target_servers > 0) {
      Stop(entry,
           "not proved in time, " + std::to_string(attempts) + " attempts",
           context.now, actions);
    }
  } else if (written && decision.phase == Phase::kLoad) {
    SetPhase(entry, Phase::kShift, "no difference seen", context.now, actions);
  }
}

void RolloutTable::EndShift(Entry& entry,
                            const Context& context,
                            std::vector<Action>& actions) {
  /** Least time in which all requests reach the target before the old servers
   * may stop: a version that fails under load shows it. */
  constexpr double kMinShiftPart = 0.1;
  constexpr milliseconds kMinShift(800);
  /** Time that the write and the watch of the platform take. */
  constexpr milliseconds kWriteMargin(500);
  /** Nodes that were silent for longer may be gone. */
  constexpr std::chrono::seconds kHeardWithin(3);

  const RolloutDecision& decision = *entry.decision;
  const Duration within = milliseconds(decision.within_ms);
  const Duration shifted = context.now - entry.phase_since;
  const auto least = std::max<Duration>(
      kMinShift, std::chrono::duration_cast<Duration>(kMinShiftPart * within));
  if (shifted < least) {
    return;
  }
  const bool empty = entry.evidence.OldRunning(context.now - kHeardWithin) == 0;
  const bool due = context.now - decision.requested >= within - kWriteMargin;
  if (!empty && !due) {
    return;
  }
  if (entry.test.IsSuspect() && !entry.call_pending) {
    Stop(entry, "suspect under the whole load", context.now, actions);
    return;
  }
  entry.wanted = StatusState::kDone;
}

void RolloutTable::WriteIfDue(Entry& entry,
                              const Context& context,
                              std::vector<Action>& actions) {
  if (!entry.wanted || entry.call_pending || entry.lost_since ||
      context.now < entry.next_write) {
    return;
  }
  const auto& status = entry.request->status;
  const RolloutStatus wanted{*entry.wanted, entry.decision->target};
  if (status == wanted) {
    entry.wanted.reset();
    return;
  }
  entry.call_pending = true;
  actions.emplace_back(WriteStatus{entry.request->service,
                                   entry.request->revision, wanted, entry.era});
}

void RolloutTable::DropUnused(const HolderFacts& facts) {
  std::erase_if(this->entries, [&](const auto& item) {
    const auto& [service, entry] = item;
    if (entry.request || entry.call_pending) {
      return false;
    }
    const auto versions = facts.versions.find(service);
    if (!entry.decision || versions == facts.versions.end()) {
      return true;
    }
    const auto listed = [&](const std::string& version) {
      return versions->second.contains(version);
    };
    return !listed(entry.decision->target) &&
           std::ranges::none_of(entry.decision->banned, listed);
  });
}

DecisionList RolloutTable::Decisions() const {
  DecisionList decisions;
  for (const auto& [service, entry] : this->entries) {
    if (entry.decision) {
      decisions.push_back(*entry.decision);
    }
  }
  return decisions;
}

}  // namespace boragewharf::rollout
