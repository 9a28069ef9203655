/**
 * @file duty_cmd.cc
 * The duty lease, usage reports, and progress saved for a restart.
 */
#include "duty_cmd.h"

#include <algorithm>

#include "base/rendezvous_func.h"
#include "fleet/fleet_cmd.h"
#include "lease/lease_cmd.h"
#include "lease/lease_func.h"
#include "progress_read_cmd.h"
#include "scaling_cmd.h"
#include "serving/crash_evidence_func.h"
#include "serving/crash_suspects_base.h"

namespace boragewharf::fleet {
namespace {

using std::chrono::milliseconds;

/** Number of candidates for the duty lease. Each of them reads the lease
 * regularly. */
constexpr size_t kDutyCandidates = 3;

/** Time for which a node that lost the duty lease is no candidate, because the
 * cause of the loss may persist. The lease itself prevents holders from
 * alternating. */
constexpr std::chrono::seconds kDutyBackoff(6);

/** Time after a window's end within which the counts of the other nodes arrive.
 */
constexpr milliseconds kUsageReportDelay(1500);

/** Number of windows before the current one that are still reported. */
constexpr int64_t kReportedWindows = 3;

/** Number of windows before the current one whose counts and progress are kept
 * in memory. If a wrong time of day causes them to be dropped too early, the
 * final counts are still in the store. */
constexpr int64_t kRememberedWindows = 8;

int64_t WallMs(const FleetState& state, TimePoint now) {
  return state.wall_offset_ms.value_or(0) +
         std::chrono::duration_cast<milliseconds>(now.time_since_epoch())
             .count();
}

std::optional<lease::Permit> DutyPermit(const FleetState& state,
                                        TimePoint now) {
  return lease::IssuePermit(state.lease, kDutyLease,
                            lease::ServerFencing::kIgnored, now);
}

/** Whether this node is a candidate for the duty lease. Candidates are the
 * ready nodes with the lowest addresses, and the holder. */
bool IsCandidate(const FleetState& state, TimePoint now) {
  if (state.leaving || !state.config) {
    return false;
  }
  if (DutyPermit(state, now)) {
    return true;
  }
  if (state.duties_lost_at && now - *state.duties_lost_at < kDutyBackoff) {
    return false;
  }
  size_t lower_addresses = 0;
  for (const PeerEntry* entry : state.peers.Ready(MessagePeriod(state), now)) {
    lower_addresses += entry->status.ip < state.settings.ip ? 1 : 0;
  }
  return lower_addresses < kDutyCandidates;
}

/** Text on a change of the duties: the result, and for a gain the era of the
 * store and the record that the lease replaced. */
std::string ChangeAsText(const lease::DutyChanged& changed) {
  std::string text = "result " + std::to_string(static_cast<int>(changed.code));
  if (!changed.held) {
    return text;
  }
  text += " era " + std::to_string(changed.era);
  if (!changed.replaced) {
    return text + " follows no record";
  }
  const lease::LeaseRecord& record = *changed.replaced;
  return text + " follows " + std::to_string(record.fencing.value) + " of " +
         record.instance + " era " + std::to_string(record.era) +
         (record.released ? " released" : "");
}

void RunLease(FleetState& state,
              const lease::LeaseEvent& event,
              TimePoint now,
              std::vector<Effect>& effects) {
  std::vector<lease::LeaseEffect> calls;
  lease::Reduce(state.lease, event, now, calls);
  for (lease::LeaseEffect& call : calls) {
    const auto* changed = std::get_if<lease::DutyChanged>(&call);
    if (changed == nullptr) {
      effects.emplace_back(LeaseCall{std::move(call)});
      continue;
    }
    effects.emplace_back(
        LogChange{changed->held ? "duties_gained" : "duties_lost",
                  ChangeAsText(*changed), changed->fencing.value});
    if (changed->held) {
      // The saved progress has counts of processes that ended before this node
      // received them.
      WantProgress(state, now, effects);
      state.duties_gained_at = now;
    } else {
      effects.emplace_back(EndDutyCalls{});
      state.duties_lost_at = now;
    }
    // Another holder may have changed these in the meantime.
    state.windows.clear();
    state.scaling.clear();
  }
}

/** Request counts of a window by customer name. Customers that were never
 * configured are left out. */
NamedCounts CountsByName(const FleetState& state, int64_t window) {
  NamedCounts counts;
  for (const auto& [customer, count] : state.usage.Total(window)) {
    const auto name = state.customer_names.find(customer);
    if (name != state.customer_names.end()) {
      counts[name->second] = count;
    }
  }
  return counts;
}

std::string TotalAsText(const NamedCounts& counts) {
  uint64_t sum = 0;
  for (const auto& [customer, count] : counts) {
    sum += count;
  }
  return std::to_string(sum);
}

/** The effect that records a window's counts, with what a store that has come
 * back from a copy may have lost. */
FixUsage MakeFixUsage(const FleetState& state, int64_t window) {
  FixUsage usage{window, CountsByName(state, window)};
  const auto window_ms =
      std::chrono::duration_cast<milliseconds>(state.settings.usage_window)
          .count();
  // Earlier holders have reported windows that had ended when they lost the
  // duties. The window in progress covers the difference of the clocks.
  usage.may_be_reported_through =
      WallMs(state, state.duties_gained_at) / window_ms;
  for (const auto& [known_window, progress] : state.windows) {
    if (progress.fixed) {
      usage.known.emplace(known_window, progress.counts);
    }
  }
  return usage;
}

void AdvanceWindow(FleetState& state,
                   int64_t window,
                   const lease::Permit& permit,
                   TimePoint now,
                   std::vector<Effect>& effects) {
  WindowProgress& progress = state.windows[window];
  if (now < progress.next_try) {
    return;
  }
  if (progress.step == WindowProgress::Step::kOpen) {
    progress.step = WindowProgress::Step::kFixing;
    effects.emplace_back(MakeFixUsage(state, window));
    return;
  }
  if (progress.step != WindowProgress::Step::kFixed) {
    return;
  }
  progress.step = WindowProgress::Step::kSending;
  effects.emplace_back(SendUsage{window, progress.counts, permit});
}

void ReportUsage(FleetState& state,
                 const lease::Permit& permit,
                 TimePoint now,
                 std::vector<Effect>& effects) {
  const auto window_ms =
      std::chrono::duration_cast<milliseconds>(state.settings.usage_window)
          .count();
  if (window_ms <= 0 || !state.wall_offset_ms) {
    return;
  }
  const int64_t wall = WallMs(state, now);
  const int64_t current = wall / window_ms;
  state.usage.Forget(current - kRememberedWindows);
  for (int64_t window = current - kReportedWindows; window < current;
       ++window) {
    if (wall >= (window + 1) * window_ms + kUsageReportDelay.count()) {
      AdvanceWindow(state, window, permit, now, effects);
    }
  }
  state.windows.erase(state.windows.begin(),
                      state.windows.lower_bound(current - kRememberedWindows));
}

/** Saves the state that would be lost if all nodes were killed. */
void SaveProgressIfDue(FleetState& state,
                       TimePoint now,
                       std::vector<Effect>& effects) {
  const auto window_ms =
      std::chrono::duration_cast<milliseconds>(state.settings.usage_window)
          .count();
  SaveProgress progress;
  progress.levels = state.report.quota_levels;
  progress.wall_ms = WallMs(state, now);
  if (window_ms > 0) {
    progress.usage =
        state.usage.Export(progress.wall_ms / window_ms - kReportedWindows);
  }
  serving::CrashEvidence evidence;
  evidence.blocked = state.report.crash_evidence.blocked;
  serving::SetAges(evidence, now);
  progress.blocked_parts = std::move(evidence.blocked);
  if (state.report.suspects) {
    progress.suspects = serving::SelectForSave(*state.report.suspects);
    serving::SetAges(progress.suspects, now);
  }
  if (now < state.next_save || state.progress_read.wanted ||
      (progress.levels.empty() && progress.usage.empty() &&
       progress.blocked_parts.empty() && progress.suspects.Empty())) {
    return;
  }
  state.next_save = now + kSavePeriod;
  effects.emplace_back(std::move(progress));
}

}  // namespace

bool HoldsDuties(const FleetState& state, TimePoint now) {
  return DutyPermit(state, now).has_value();
}

std::set<std::string> DutyHoldersAndCandidates(const FleetState& state,
                                               TimePoint now) {
  std::set<std::string> nodes;
  std::vector<std::string> ready;
  for (const PeerEntry* entry : state.peers.Ready(MessagePeriod(state), now)) {
    ready.push_back(entry->status.ip);
    if (entry->status.holds_duties) {
      nodes.insert(entry->status.ip);
    }
  }
  std::sort(ready.begin(), ready.end());
  ready.resize(std::min(ready.size(), kDutyCandidates));
  nodes.insert(ready.begin(), ready.end());
  return nodes;
}

void ReduceLease(FleetState& state,
                 const lease::LeaseEvent& event,
                 TimePoint now,
                 std::vector<Effect>& effects) {
  RunLease(state, event, now, effects);
}

void ApplyUsageFixed(FleetState& state,
                     const UsageFixed& fixed,
                     TimePoint now,
                     std::vector<Effect>& effects) {
  const auto found = state.windows.find(fixed.window);
  if (found == state.windows.end() ||
      found->second.step != WindowProgress::Step::kFixing) {
    return;
  }
  WindowProgress& progress = found->second;
  if (fixed.closed) {
    effects.emplace_back(LogChange{
        "usage_closed",
        "window " + std::to_string(fixed.window) + " cannot be reported",
        static_cast<uint64_t>(fixed.window)});
    progress.step = WindowProgress::Step::kDone;
    return;
  }
  effects.emplace_back(
      LogChange{"usage_fixed",
                "window " + std::to_string(fixed.window) +
                    (fixed.counts ? " requests " + TotalAsText(*fixed.counts)
                                  : " not stored"),
                static_cast<uint64_t>(fixed.window)});
  if (!fixed.counts) {
    progress.step = WindowProgress::Step::kOpen;
    progress.next_try = now + kRetryPeriod;
    return;
  }
  progress.step = WindowProgress::Step::kFixed;
  progress.fixed = true;
  progress.counts = *fixed.counts;
}

void ApplyUsageSent(FleetState& state,
                    const UsageSent& sent,
                    TimePoint now,
                    std::vector<Effect>& effects) {
  const auto found = state.windows.find(sent.window);
  if (found == state.windows.end() ||
      found->second.step != WindowProgress::Step::kSending) {
    return;
  }
  WindowProgress& progress = found->second;
  effects.emplace_back(
      LogChange{"usage_sent",
                "window " + std::to_string(sent.window) + " requests " +
                    TotalAsText(progress.counts) +
                    (sent.accepted ? " accepted" : " not accepted"),
                static_cast<uint64_t>(sent.window)});
  progress.step = sent.accepted ? WindowProgress::Step::kDone
                                : WindowProgress::Step::kFixed;
  progress.next_try = now + kRetryPeriod;
}

void AdvanceDuties(FleetState& state,
                   TimePoint now,
                   std::vector<Effect>& effects) {
  RunLease(state, lease::DutyWanted{kDutyLease, IsCandidate(state, now)}, now,
           effects);
  const auto permit = DutyPermit(state, now);
  if (!permit) {
    return;
  }
  ReportUsage(state, *permit, now, effects);
  SaveProgressIfDue(state, now, effects);
  OrderNeededServers(state, *permit, now, effects);
}

}  // namespace boragewharf::fleet
