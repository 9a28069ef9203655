/**
 * @file fleet_cmd.cc
 * Reducer for a node's control state: configuration, store outages and saved
 * progress.
 */
#include "fleet/fleet_cmd.h"

#include <algorithm>
#include <limits>

#include "duty_cmd.h"
#include "fetch_cmd.h"
#include "fleet/state_order_func.h"
#include "forward_cmd.h"
#include "list_confirmation_cmd.h"
#include "progress_read_cmd.h"
#include "rollout_cmd.h"
#include "scaling_cmd.h"
#include "server_list_cmd.h"
#include "spread_cmd.h"
#include "stream_save_cmd.h"
#include "time_of_day_cmd.h"

namespace boragewharf::fleet {
namespace {

using std::chrono::milliseconds;

/** A process that has run for longer than this has reports of all nodes, so
 * its quota levels are better than the saved ones. */
constexpr milliseconds kMaxUptimeForRestore(1500);

/** Saved quota levels that are older than this are useless, because they say
 * nothing about the current quota windows. */
constexpr milliseconds kMaxSavedLevelAge(10000);

template <class... Handlers>
struct Overloaded : Handlers... {
  using Handlers::operator()...;
};
template <class... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

void ApplyConfig(FleetState& state,
                 const ConfigRead& read,
                 std::vector<Effect>& effects) {
  if (!read.config) {
    return;
  }
  const ConfigOrder order{read.config->version, read.era, read.revision};
  if (order <= OrderOfConfig(state)) {
    if (read.era > state.config_era) {
      effects.emplace_back(LogChange{
          "config_ignored",
          "version " + std::to_string(read.config->version) + " is older",
          read.revision, read.era});
    }
    return;
  }
  // The operator writes the same version again into a store that has lost it.
  const bool same = state.config &&
                    state.config->version == read.config->version &&
                    state.config_text == read.text;
  state.config_revision = read.revision;
  state.config_era = read.era;
  if (same) {
    return;
  }
  state.config = read.config;
  state.config_text = read.text;
  for (const serving::Customer& customer : read.config->customers) {
    state.customer_names[serving::HashName(customer.name)] = customer.name;
  }
  effects.emplace_back(PublishConfig{read.config});
  effects.emplace_back(LogChange{
      "config_in_force", "version " + std::to_string(read.config->version),
      read.revision, read.era});
}

void ApplyStoreState(FleetState& state,
                     bool reachable,
                     TimePoint now,
                     std::vector<Effect>& effects) {
  if (state.store_reachable == reachable && state.store_state_known) {
    return;
  }
  // The first contact of a new process is not the end of an outage: no
  // entries have lapsed.
  if (reachable && state.store_state_known) {
    state.store_regained = now;
  }
  state.store_state_known = true;
  state.store_reachable = reachable;
  effects.emplace_back(LogChange{reachable ? "store_regained" : "store_lost",
                                 "", state.servers_revision,
                                 state.servers_era});
  if (reachable) {
    ReduceLease(state, lease::StoreRegained{}, now, effects);
  }
}

void ApplyStoreEra(FleetState& state,
                   uint64_t era,
                   TimePoint now,
                   std::vector<Effect>& effects) {
  if (era > state.store_era) {
    state.store_era = era;
    ReduceLease(state, lease::StoreRegained{era}, now, effects);
  }
}

/** Sum of an age at the save and the time since then. */
uint32_t AgeNow(uint32_t age_ms, milliseconds since_save) {
  const uint64_t total = age_ms + static_cast<uint64_t>(since_save.count());
  return static_cast<uint32_t>(
      std::min<uint64_t>(total, std::numeric_limits<uint32_t>::max()));
}

void RestoreCrashes(const ProgressRead& read,
                    milliseconds age,
                    std::vector<Effect>& effects) {
  if (read.suspects.Empty()) {
    return;
  }
  RestoreSuspects restore{read.suspects};
  for (serving::RequestCrash& crash : restore.suspects.crashes) {
    crash.age_ms = AgeNow(crash.age_ms, age);
  }
  effects.emplace_back(std::move(restore));
}

void RestoreBlocks(const ProgressRead& read,
                   milliseconds age,
                   std::vector<Effect>& effects) {
  if (read.blocked_parts.empty()) {
    return;
  }
  RestoreBlockedParts restore{read.blocked_parts};
  for (serving::BlockedPart& blocked : restore.blocked) {
    blocked.age_ms = AgeNow(blocked.age_ms, age);
  }
  effects.emplace_back(std::move(restore));
}

void ApplySavedProgress(FleetState& state,
                        const ProgressRead& read,
                        TimePoint now,
                        std::vector<Effect>& effects) {
  ApplySavedWallTime(state, read, now, effects);
  for (const ProcessUsage& process : read.usage) {
    state.usage.Merge(process.ip, process.incarnation, process.counts);
  }
  milliseconds age(
      std::max<int64_t>(0, read.clock_wall_ms - read.saved_wall_ms));
  RestoreBlocks(read, age, effects);
  RestoreCrashes(read, age, effects);
  if (now - state.started > kMaxUptimeForRestore) {
    return;  // This node's own levels are newer.
  }
  if (age > kMaxSavedLevelAge) {
    return;
  }
  // The use between the save and the restart is unknown. Customers at their
  // limit use as much as is refilled, so no refill is assumed for up to one
  // save period.
  age = std::max(milliseconds(0), age - kSavePeriod);
  std::map<std::string, double> levels = read.levels;
  if (read.from_earlier_era) {
    // The use between the copy and the return of the store is lost: the
    // customers may have used all that the levels allowed.
    age = milliseconds(0);
    for (auto& [customer, level] : levels) {
      level = std::min(level, 0.0);
    }
  }
  effects.emplace_back(RestoreQuotas{std::move(levels), age});
  effects.emplace_back(LogChange{
      "quotas_restored",
      "age " + std::to_string(age.count()) + " ms" +
          (read.from_earlier_era ? ", of an earlier era: used up" : ""),
      state.config_revision, state.config_era});
}

}  // namespace

FleetState::FleetState(FleetSettings own_settings)
    : settings(std::move(own_settings)),
      peers(settings.ip),
      scaling_policy(MakeZoneLossPolicy()) {
  this->peers.AddSeeds(this->settings.seed_ips);
  this->lease.self = MemberId{this->settings.incarnation};
  this->lease.instance = this->settings.ip;
  this->lease.timing = this->settings.lease_timing;
  this->lease.first_start = this->settings.first_start;
  this->progress_read.wanted = !this->settings.first_start;
  this->lease.generator.seed(this->settings.incarnation);
}

bool IsReady(const FleetState& state) {
  return state.config != nullptr && state.servers_known && !state.leaving;
}

void Reduce(FleetState& state,
            const Event& event,
            TimePoint now,
            std::vector<Effect>& effects) {
  if (state.started == TimePoint{}) {
    state.started = now;
    state.peers.SetStarted(now);
  }
  std::visit(
      Overloaded{
          [&](const ConfigRead& read) {
            const ConfigOrder known = OrderOfConfig(state);
            ApplyConfig(state, read, effects);
            ScheduleMessageNow(state, OrderOfConfig(state) > known, now);
          },
          [&](const ServersRead& read) {
            ApplyServerList(state, read, now, effects);
          },
          [&](const ServerChanged& change) {
            const bool is_departure = !change.server || change.server->draining;
            ApplyServerChange(state, change, now, effects);
            ScheduleMessageNow(state, is_departure, now);
          },
          [&](const ServersPatched& patch) {
            ApplyServersPatch(state, patch, now, effects);
          },
          [&](const StoreReachable& store) {
            ApplyStoreState(state, store.reachable, now, effects);
          },
          [&](const StoreEraRisen& risen) {
            ApplyStoreEra(state, risen.era, now, effects);
          },
          [&](const PeerMessageReceived& received) {
            const auto kind = state.peers.Receive(received.message, now);
            if (kind == PeerTable::ReceiveResult::kNewProcess) {
              ScheduleMessageToNewProcess(state, now);
            }
            if (kind != PeerTable::ReceiveResult::kDiscarded) {
              ForwardMessage(state, received.message, now, effects);
              ApplyDepartures(state, received.message, now, effects);
              // Not all candidates for the duties watch the store.
              const serving::NodeStatus& status = received.message.status;
              ApplyStoreEra(state,
                            std::max(status.config_era, status.servers_era),
                            now, effects);
              state.usage.Merge(received.message.status.ip,
                                received.message.status.incarnation,
                                received.message.report.usage);
              MergeRolloutExtensions(state, received.message.status.ip,
                                     received.message.status.incarnation,
                                     received.message.report.extensions, now,
                                     effects);
              FetchNewerState(state, now, effects);
            }
          },
          [&](const TrafficReported& traffic) {
            state.report = traffic.report;
            state.usage.Merge(state.settings.ip, state.settings.incarnation,
                              traffic.report.usage);
            MergeRolloutExtensions(state, state.settings.ip,
                                   state.settings.incarnation,
                                   traffic.report.extensions, now, effects);
          },
          [&](const FetchEnded& fetch) { EndFetch(state, fetch, now); },
          [&](const LeaseEvent& result) {
            ReduceLease(state, result.event, now, effects);
          },
          [&](const UsageFixed& fixed) {
            ApplyUsageFixed(state, fixed, now, effects);
          },
          [&](const UsageSent& sent) {
            ApplyUsageSent(state, sent, now, effects);
          },
          [&](const ServersOrdered& answer) {
            ApplyOrderAnswer(state, answer, now, effects);
          },
          [&](const ProgressRead& read) {
            EndProgressRead(state, now);
            ApplySavedProgress(state, read, now, effects);
          },
          [&](const ProgressReadFailed& failed) {
            ApplyProgressReadFailed(state, failed, now, effects);
          },
          [&](const RolloutsRead& read) {
            ApplyRolloutsRead(state, read, now, effects);
            ScheduleMessageNow(state, false, now);
          },
          [&](const RolloutChanged& change) {
            ApplyRolloutChanged(state, change, now, effects);
            ScheduleMessageNow(state, false, now);
          },
          [&](const RolloutStatusWritten& written) {
            ApplyRolloutStatusWritten(state, written, now, effects);
            ScheduleMessageNow(state, false, now);
          },
          [&](const StreamEvent& streams) {
            ReduceStreamEvent(state, streams, now, effects);
          },
          [&](const StopRequested& stop) {
            if (!state.leaving) {
              state.leaving_since = stop.received.value_or(now);
            }
            state.leaving = true;
            state.next_message = now;
            SendMessage(state, now, effects);
          },
          [&](const Tick& tick) {
            FollowClock(state, tick.clock_wall_ms, now, effects);
            AdvanceServerList(state, now, effects);
            UpdateStoreFollowing(state, now, effects);
            FetchNewerState(state, now, effects);
            AdvanceRollouts(state, now, effects);
            SendMessage(state, now, effects);
            SendUrgentMessage(state, now, effects);
            AdvanceProgressRead(state, now, effects);
            AdvanceDuties(state, now, effects);
            AdvanceStreamRestore(state, now, effects);
            AdvanceListConfirmation(state, now, effects);
          },
      },
      event);
}

}  // namespace boragewharf::fleet
