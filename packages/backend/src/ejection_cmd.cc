/**
 * @file ejection_cmd.cc
 * Ejection of failing servers for an increasing time.
 */
#include <algorithm>
#include <map>

#include "backend_cmd.h"

namespace boragewharf::backend {

namespace {

constexpr uint32_t kMaxDoublings = 16;

/** Servers of a service that are not leaving. */
struct Pool {
  size_t members = 0;  ///< All of them.
  size_t ejected = 0;  ///< The ejected ones.

  /** Whether at least half stays in use with @p ejected_then ejected. */
  bool Allows(size_t ejected_then) const {
    return 2 * ejected_then <= this->members;
  }
};

Pool CountPool(const BackendState& state, const std::string& service) {
  Pool pool;
  for (const auto& [name, entry] : state.servers) {
    if (entry.server.service != service ||
        entry.server.status == BackendStatus::kLeaving) {
      continue;
    }
    ++pool.members;
    pool.ejected += entry.server.status == BackendStatus::kEjected ? 1 : 0;
  }
  return pool;
}

Duration EjectionTime(BackendState& state, uint32_t ejections) {
  const uint32_t doublings = std::min(ejections - 1, kMaxDoublings);
  const Duration time = std::min(state.options.ejection_max,
                                 state.options.ejection_min * (1 << doublings));
  // The random quarter keeps daemons from returning at the same moment.
  std::uniform_int_distribution<Duration::rep> jitter(0, time.count() / 4);
  return time + Duration(jitter(state.random));
}

void Eject(TableContext context, ServerState& entry) {
  BackendState& state = context.state;
  if (entry.server.status != BackendStatus::kReady) {
    return;
  }
  const Pool pool = CountPool(state, entry.server.service);
  if (!pool.Allows(pool.ejected + 1)) {
    ++state.totals.ejections_refused;
    return;
  }
  if (entry.ejected_last + state.options.ejection_memory <= context.now) {
    entry.ejections = 0;
  }
  ++entry.ejections;
  ++state.totals.ejections;
  entry.ejected_last = context.now;
  entry.ejected_until = context.now + EjectionTime(state, entry.ejections);
  SetStatus(context, entry, BackendStatus::kEjected);
}

void Return(TableContext context, ServerState& entry) {
  entry.silences = 0;
  entry.refusals = 0;
  SetStatus(context, entry, BackendStatus::kReady);
}

/** Returns the servers whose ejection ends first until half are in use. */
void RestoreHalf(TableContext context, const std::string& service) {
  while (true) {
    const Pool pool = CountPool(context.state, service);
    if (pool.Allows(pool.ejected)) {
      return;
    }
    ServerState* first = nullptr;
    for (auto& [name, entry] : context.state.servers) {
      const bool candidate = entry.server.service == service &&
                             entry.server.status == BackendStatus::kEjected;
      if (candidate && (!first || entry.ejected_until < first->ejected_until)) {
        first = &entry;
      }
    }
    Return(context, *first);
  }
}

}  // namespace

void ObserveHealth(TableContext context,
                   ServerState& entry,
                   Observation observation) {
  const BackendOptions& options = context.state.options;
  switch (observation) {
    case Observation::kAnswered:
      entry.failing = false;
      entry.silences = 0;
      entry.refusals = 0;
      break;
    case Observation::kConnected:
      entry.failing = false;
      break;
    case Observation::kSilent:
      entry.failing = true;
      if (++entry.silences >= options.silences) {
        Eject(context, entry);
      }
      break;
    case Observation::kRefused:
      if (++entry.refusals >= options.refusals) {
        Eject(context, entry);
      }
      break;
    case Observation::kConnectRefused:
      entry.failing = true;
      Eject(context, entry);
      break;
    case Observation::kFailedInAnswer:
      // A single lost connection proves little; the probe that follows it
      // ejects a server that does not accept connections.
      entry.failing = true;
      break;
  }
}

void EndEjections(TableContext context) {
  std::map<std::string, bool> services;
  for (auto& [name, entry] : context.state.servers) {
    if (entry.server.status != BackendStatus::kEjected) {
      continue;
    }
    if (entry.ejected_until <= context.now) {
      Return(context, entry);
      continue;
    }
    services.emplace(entry.server.service, true);
  }
  for (const auto& [service, unused] : services) {
    RestoreHalf(context, service);
  }
}

}  // namespace boragewharf::backend
