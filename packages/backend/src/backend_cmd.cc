/**
 * @file backend_cmd.cc
 * The reducer of the table of backend servers.
 */
#include <algorithm>
#include <set>
#include <utility>

#include "backend_cmd.h"

namespace boragewharf::backend {

namespace {

/** Takes over what the instance list states, keeping what was observed. */
void UpdateFromList(BackendServer& server, const BackendServer& listed) {
  server.service = listed.service;
  server.address = listed.address;
  server.zone = listed.zone;
  server.region = listed.region;
  server.machine_class = listed.machine_class;
  server.price_per_hour = listed.price_per_hour;
  server.reclaimable = listed.reclaimable;
  server.checks_fencing = listed.checks_fencing;
}

void AddServer(TableContext context, const BackendServer& listed) {
  ServerState entry;
  entry.server.instance = listed.instance;
  UpdateFromList(entry.server, listed);
  const auto leaving = context.state.leaving.find(listed.instance);
  if (leaving != context.state.leaving.end()) {
    entry.server.status = BackendStatus::kLeaving;
    entry.server.reclaim_deadline = leaving->second.deadline;
  }
  context.effects.push_back(
      StatusChanged{listed.instance, entry.server.status, entry.server.status});
  context.state.servers.emplace(listed.instance, std::move(entry));
}

void RemoveUnlisted(TableContext context,
                    const std::set<std::string_view>& listed) {
  std::erase_if(context.state.servers, [&](const auto& item) {
    if (listed.contains(item.first)) {
      return false;
    }
    context.effects.push_back(StatusChanged{
        item.first, item.second.server.status, BackendStatus::kLeaving});
    return true;
  });
}

/** Forgets leaving instances that have been unlisted for long. */
void ForgetLeaving(TableContext context) {
  BackendState& state = context.state;
  std::erase_if(state.leaving, [&](const auto& item) {
    return !state.servers.contains(item.first) &&
           item.second.at + state.options.leaving_memory <= context.now;
  });
}

struct Reducer {
  TableContext context;

  void operator()(const InstancesListed& event) const {
    BackendState& state = this->context.state;
    std::set<std::string_view> listed;
    for (const ListedServer& row : event.servers) {
      listed.insert(row.server.instance);
      const auto it = state.servers.find(row.server.instance);
      if (it == state.servers.end()) {
        AddServer(this->context, row.server);
      } else {
        UpdateFromList(it->second.server, row.server);
      }
      if (row.leaving) {
        MarkLeaving(this->context, row.server.instance, {});
      }
    }
    RemoveUnlisted(this->context, listed);
    ForgetLeaving(this->context);
    EndEjections(this->context);
  }

  void operator()(const ReclaimNoticed& event) const {
    MarkLeaving(this->context, event.instance, event.deadline);
    EndEjections(this->context);
  }

  void operator()(const LeavingNews& event) const {
    MarkLeaving(this->context, event.instance, event.deadline);
    EndEjections(this->context);
  }

  void operator()(const ServerObserved& event) const {
    if (event.observation == Observation::kAnswered) {
      for (const Fingerprint& fingerprint : event.running) {
        ClearSuspect(this->context, fingerprint);
      }
    }
    const auto it = this->context.state.servers.find(event.instance);
    if (it == this->context.state.servers.end()) {
      return;
    }
    if (event.observation == Observation::kFailedInAnswer ||
        event.observation == Observation::kConnectRefused) {
      NoteFailure(this->context, it->second, event);
    }
    if (event.observation == Observation::kConnected ||
        event.observation == Observation::kConnectRefused) {
      NoteConnectAttempt(this->context, event.instance,
                         event.observation == Observation::kConnected);
    }
    ObserveHealth(this->context, it->second, event.observation);
  }

  void operator()(const LoadReported& event) const {
    const auto it = this->context.state.servers.find(event.instance);
    if (it != this->context.state.servers.end()) {
      it->second.server.reported_running = event.running;
      it->second.server.reported_at = this->context.now;
    }
  }

  void operator()(const CrashNews& event) const {
    MergeCrashes(this->context, event);
  }

  void operator()(const Tick& /*event*/) const {
    EndEjections(this->context);
    DecideFailures(this->context);
    ExpireSuspects(this->context);
  }
};

}  // namespace

void SetStatus(TableContext context, ServerState& entry, BackendStatus status) {
  const BackendStatus before = std::exchange(entry.server.status, status);
  if (before != status) {
    context.effects.push_back(
        StatusChanged{entry.server.instance, before, status});
  }
}

bool IsLeaving(const BackendState& state, const std::string& instance) {
  return state.leaving.contains(instance);
}

void MarkLeaving(TableContext context,
                 const std::string& instance,
                 TimePoint deadline) {
  BackendState& state = context.state;
  const auto server = state.servers.find(instance);
  if (server != state.servers.end()) {
    SetStatus(context, server->second, BackendStatus::kLeaving);
    TimePoint& known = server->second.server.reclaim_deadline;
    known = deadline == TimePoint{} ? known : deadline;
  }
  const auto [it, added] =
      state.leaving.try_emplace(instance, LeavingRecord{context.now, deadline});
  const bool deadline_new =
      deadline != TimePoint{} && it->second.deadline == TimePoint{};
  if (!added && !deadline_new) {
    return;
  }
  it->second.deadline = deadline;
  context.effects.push_back(LeavingNews{instance, deadline});
  if (state.leaving.size() <= state.options.leaving) {
    return;
  }
  const auto oldest = std::min_element(
      state.leaving.begin(), state.leaving.end(),
      [](const auto& a, const auto& b) { return a.second.at < b.second.at; });
  state.leaving.erase(oldest);
}

BackendState MakeBackendState(const BackendOptions& options, uint64_t seed) {
  BackendState state;
  state.options = options;
  state.random.seed(seed);
  return state;
}

void Reduce(BackendState& state,
            const BackendEvent& event,
            TimePoint now,
            std::vector<BackendEffect>& effects) {
  std::visit(Reducer{{state, now, effects}}, event);
}

std::string_view StatusName(BackendStatus status) {
  switch (status) {
    case BackendStatus::kReady:
      return "ready";
    case BackendStatus::kEjected:
      return "ejected";
    case BackendStatus::kDown:
      return "down";
    case BackendStatus::kLeaving:
      return "leaving";
  }
  return "unknown";
}

std::vector<BackendServer> ListServers(const BackendState& state) {
  std::vector<BackendServer> servers;
  servers.reserve(state.servers.size());
  for (const auto& [name, entry] : state.servers) {
    servers.push_back(entry.server);
  }
  return servers;
}

}  // namespace boragewharf::backend
