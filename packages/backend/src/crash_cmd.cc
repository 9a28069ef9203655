/**
 * @file crash_cmd.cc
 * Requests that crash the servers that run them.
 *
 * A failure counts as a crash if the server fails while it runs requests and
 * then accepts no connection, if it is not leaving, and if it is not part of a
 * wave. The decision waits a few seconds, so that news of leaving servers and
 * of further failures can arrive; until then the requests run alone.
 */
#include <algorithm>
#include <set>

#include "backend_cmd.h"

namespace boragewharf::backend {

namespace {

/** Longest list of crashed instances kept and spread per fingerprint. */
constexpr size_t kInstancesPerSuspect = 4;

uint64_t InstanceHash(std::string_view instance) {
  return Hash64(instance);
}

bool RanOn(const Failure& failure, const Fingerprint& fingerprint) {
  return std::find(failure.running.begin(), failure.running.end(),
                   fingerprint) != failure.running.end();
}

/** Whether the record belongs to the failure of @p instance in progress. */
bool IsOpen(const Failure& failure, std::string_view instance) {
  return failure.instance == instance && !failure.decided;
}

Failure* FindOpen(BackendState& state, std::string_view instance) {
  const auto it = std::find_if(
      state.failures.begin(), state.failures.end(),
      [instance](const Failure& item) { return IsOpen(item, instance); });
  return it == state.failures.end() ? nullptr : &*it;
}

bool IsConvicted(const BackendState& state, const Suspect& suspect) {
  const size_t count = suspect.instances.size();
  return (count >= 2 && suspect.decisive) ||
         count >= state.options.ambiguous_crashes;
}

bool IsKnownSuspect(const BackendState& state, const Fingerprint& fingerprint) {
  return state.suspects.contains(fingerprint);
}

/** Whether @p other failed near @p failure, as part of one event in a zone. */
bool IsNear(const BackendState& state,
            const Failure& failure,
            const Failure& other) {
  const Duration apart =
      std::max(failure.at, other.at) - std::min(failure.at, other.at);
  return other.zone == failure.zone && !other.connected &&
         apart <= state.options.wave_window;
}

/**
 * Whether the failure is part of a wave in which the request has no part:
 * several other servers of the zone fail at about the same time without
 * having run it. A request that crashes one server after another is on all of
 * them, so its own crashes do not look like a wave.
 */
bool IsWave(const BackendState& state,
            const Failure& failure,
            const Fingerprint& fingerprint) {
  std::set<std::string_view> with;
  std::set<std::string_view> without;
  for (const Failure& other : state.failures) {
    if (IsNear(state, failure, other)) {
      (RanOn(other, fingerprint) ? with : without).insert(other.instance);
    }
  }
  for (std::string_view instance : with) {
    without.erase(instance);
  }
  return without.size() >= state.options.wave_servers &&
         without.size() >= with.size();
}

void BlameRunning(TableContext context, const Failure& failure) {
  BackendState& state = context.state;
  const auto suspects = std::count_if(
      failure.running.begin(), failure.running.end(),
      [&](const Fingerprint& item) { return IsKnownSuspect(state, item); });
  std::vector<CrashNews> blamed;
  for (const Fingerprint& fingerprint : failure.running) {
    if (IsWave(state, failure, fingerprint)) {
      ++state.totals.wave_acquittals;
      continue;
    }
    const bool decisive = suspects == 1 && IsKnownSuspect(state, fingerprint);
    // Those that ran beside the only known suspect are not to blame.
    if (suspects == 1 && !decisive) {
      continue;
    }
    blamed.push_back(
        CrashNews{fingerprint, {InstanceHash(failure.instance)}, decisive});
  }
  for (const CrashNews& news : blamed) {
    MergeCrashes(context, news);
  }
}

void Decide(TableContext context, Failure& failure) {
  BackendState& state = context.state;
  failure.decided = true;
  if (failure.running.empty()) {
    return;
  }
  if (!failure.connect_refused) {
    ++state.totals.not_crashes;
    return;
  }
  if (IsLeaving(state, failure.instance) ||
      !state.servers.contains(failure.instance)) {
    ++state.totals.leaving_failures;
    return;
  }
  ++state.totals.crashes;
  BlameRunning(context, failure);
}

/** @return Whether anything new was learnt. */
bool AddInstances(Suspect& suspect, const std::vector<uint64_t>& instances) {
  bool added = false;
  for (uint64_t instance : instances) {
    auto& known = suspect.instances;
    if (known.size() >= kInstancesPerSuspect ||
        std::find(known.begin(), known.end(), instance) != known.end()) {
      continue;
    }
    known.push_back(instance);
    added = true;
  }
  return added;
}

/** Drops the suspect with the fewest and then the oldest crashes. */
void BoundSuspects(BackendState& state) {
  if (state.suspects.size() <= state.options.suspects) {
    return;
  }
  const auto least = std::min_element(
      state.suspects.begin(), state.suspects.end(),
      [](const auto& a, const auto& b) {
        const size_t count_a = a.second.instances.size();
        const size_t count_b = b.second.instances.size();
        return count_a != count_b ? count_a < count_b
                                  : a.second.last < b.second.last;
      });
  state.suspects.erase(least);
}

void AddRunning(const BackendState& state,
                Failure& failure,
                const std::vector<Fingerprint>& running) {
  for (const Fingerprint& fingerprint : running) {
    if (failure.running.size() < state.options.running &&
        !RanOn(failure, fingerprint)) {
      failure.running.push_back(fingerprint);
    }
  }
}

/**
 * Has other servers of the zone tried, as a daemon that sends them no work
 * would not notice that they fail in the same wave.
 */
void ProbeZone(TableContext context, const Failure& failure) {
  size_t probes = 0;
  for (const auto& [name, entry] : context.state.servers) {
    const bool useful = entry.server.zone == failure.zone &&
                        entry.server.status == BackendStatus::kReady &&
                        !entry.failing && name != failure.instance;
    if (!useful) {
      continue;
    }
    context.effects.push_back(ProbeServer{name});
    if (++probes >= context.state.options.zone_probes) {
      return;
    }
  }
}

}  // namespace

void NoteFailure(TableContext context,
                 const ServerState& entry,
                 const ServerObserved& event) {
  BackendState& state = context.state;
  const bool in_answer = event.observation == Observation::kFailedInAnswer;
  Failure* open = FindOpen(state, event.instance);
  if (!open) {
    if (!in_answer && entry.failing) {
      return;
    }
    state.failures.push_back(
        {event.instance, entry.server.zone, context.now, {}});
    if (state.failures.size() > state.options.failures) {
      state.failures.pop_front();
    }
    open = &state.failures.back();
  }
  AddRunning(state, *open, event.running);
  if (!in_answer) {
    return;
  }
  context.effects.push_back(ProbeServer{event.instance});
  context.effects.push_back(SuspectsChanged{});
}

void NoteConnectAttempt(TableContext context,
                        std::string_view instance,
                        bool accepted) {
  Failure* open = FindOpen(context.state, instance);
  if (!open || open->connect_refused || open->connected) {
    return;
  }
  open->connect_refused = !accepted;
  open->connected = accepted;
  if (!accepted && !open->running.empty()) {
    ProbeZone(context, *open);
  }
}

void DecideFailures(TableContext context) {
  BackendState& state = context.state;
  const BackendOptions& options = state.options;
  bool decided = false;
  for (Failure& failure : state.failures) {
    if (!failure.decided &&
        failure.at + options.crash_decision <= context.now) {
      Decide(context, failure);
      decided = true;
    }
  }
  while (!state.failures.empty() && state.failures.front().decided &&
         state.failures.front().at + options.wave_window +
                 options.crash_decision <=
             context.now) {
    state.failures.pop_front();
  }
  if (decided) {
    context.effects.push_back(SuspectsChanged{});
  }
}

void ClearSuspect(TableContext context, const Fingerprint& fingerprint) {
  const auto it = context.state.suspects.find(fingerprint);
  if (it == context.state.suspects.end() ||
      IsConvicted(context.state, it->second)) {
    return;
  }
  context.state.suspects.erase(it);
  context.effects.push_back(SuspectsChanged{});
}

void MergeCrashes(TableContext context, const CrashNews& news) {
  BackendState& state = context.state;
  if (news.instances.empty()) {
    return;
  }
  Suspect& suspect = state.suspects[news.fingerprint];
  const bool before = IsConvicted(state, suspect);
  bool changed = AddInstances(suspect, news.instances);
  if (news.decisive && !suspect.decisive) {
    suspect.decisive = true;
    changed = true;
  }
  if (!changed) {
    return;
  }
  suspect.last = context.now;
  const bool convicted = IsConvicted(state, suspect) && !before;
  state.totals.convictions += convicted ? 1 : 0;
  context.effects.push_back(
      CrashNews{news.fingerprint, suspect.instances, suspect.decisive});
  context.effects.push_back(SuspectsChanged{});
  BoundSuspects(state);
}

void ExpireSuspects(TableContext context) {
  BackendState& state = context.state;
  const size_t expired = std::erase_if(state.suspects, [&](const auto& item) {
    return item.second.last + state.options.suspect_time <= context.now;
  });
  if (expired > 0) {
    context.effects.push_back(SuspectsChanged{});
  }
}

SuspectStatus StatusOf(const BackendState& state,
                       const Fingerprint& fingerprint) {
  const auto it = state.suspects.find(fingerprint);
  if (it != state.suspects.end()) {
    return IsConvicted(state, it->second) ? SuspectStatus::kRefused
                                          : SuspectStatus::kAlone;
  }
  const bool pending =
      std::any_of(state.failures.begin(), state.failures.end(),
                  [&fingerprint](const Failure& failure) {
                    return !failure.decided && RanOn(failure, fingerprint);
                  });
  return pending ? SuspectStatus::kAlone : SuspectStatus::kClear;
}

SuspectTable MakeSuspectTable(const BackendState& state) {
  SuspectTable table;
  for (const Failure& failure : state.failures) {
    if (failure.decided) {
      continue;
    }
    for (const Fingerprint& fingerprint : failure.running) {
      table.emplace(fingerprint, SuspectStatus::kAlone);
    }
  }
  for (const auto& [fingerprint, suspect] : state.suspects) {
    table.insert_or_assign(fingerprint, StatusOf(state, fingerprint));
  }
  return table;
}

}  // namespace boragewharf::backend
