/**
 * @file duty_cmd.cc
 * Usage reports and orders of servers, under the duty lease.
 */
#include "duty_cmd.h"

#include <algorithm>

#include "base/rendezvous_func.h"
#include "fleet/fleet_cmd.h"
#include "lease/lease_cmd.h"
#include "lease/lease_func.h"

namespace boragewharf::fleet {
namespace {

using std::chrono::milliseconds;

/** Nodes that stand by for the duties; each reads the lease. */
constexpr size_t kCandidates = 3;

/** A node that lost the duties does not return within this, so that their
 * holders do not alternate. */
constexpr std::chrono::seconds kAbstain(6);

/** Reports of other nodes arrive within this after a window's end. */
constexpr milliseconds kUsageSettle(1500);

/** Windows before the current one that are still reported. */
constexpr int64_t kOpenWindows = 3;

/** Windows kept in the store after their report. */
constexpr int64_t kStoredWindows = 8;

/** Time between tries of a call to the platform. */
constexpr milliseconds kRetryPeriod(700);

/** Time between decisions on the number of servers. */
constexpr milliseconds kScalingPeriod(200);

/** The largest need of this time decides; loads swing within seconds. */
constexpr std::chrono::seconds kNeedMemory(10);

/** No reclaimable servers are asked for after a refusal for this long. */
constexpr milliseconds kRefusalMemory(2500);

/** Ordered servers that have not appeared after boot and this are ordered
 * again. */
constexpr std::chrono::seconds kMissingAfter(3);

/** Fewer servers are ordered once fewer have been wanted for this long. */
constexpr milliseconds kLowerAfter(1200);

/** Demand has to be seen for this long before servers are given up. */
constexpr std::chrono::seconds kDemandSeen(6);

/** Share of the servers found at the start that is kept until then. */
constexpr double kInitialShare = 0.66;

/** The servers found at the start are counted once their number has not grown
 * for this long; they register with their first heartbeats. */
constexpr milliseconds kServersSettle(1500);

int64_t WallMs(const FleetState& state, TimePoint now) {
  return state.wall_offset_ms.value_or(0) +
         std::chrono::duration_cast<milliseconds>(now.time_since_epoch())
             .count();
}

std::optional<FencingNumber> DutyNumber(const FleetState& state,
                                        TimePoint now) {
  return lease::MayAct(state.lease, kDutyLease, lease::ServerFencing::kIgnored,
                       now);
}

/** Candidates are the live nodes with the lowest addresses, and the holder. */
bool IsCandidate(const FleetState& state, TimePoint now) {
  if (state.leaving || !state.config) {
    return false;
  }
  if (DutyNumber(state, now)) {
    return true;
  }
  if (state.lost_duty && now - *state.lost_duty < kAbstain) {
    return false;
  }
  size_t before = 0;
  for (const PeerEntry* entry : state.peers.Ready(MessagePeriod(state), now)) {
    before += entry->status.ip < state.settings.ip ? 1 : 0;
  }
  return before < kCandidates;
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
                  "result " + std::to_string(static_cast<int>(changed->code)),
                  changed->fencing.value});
    if (changed->held) {
      // Counts of processes that ended before this one heard of them.
      effects.emplace_back(ReadProgress{});
    } else {
      state.lost_duty = now;
    }
    // Nothing is known of what another holder has done meanwhile.
    state.windows.clear();
    state.scaling.clear();
  }
}

/** Counts of a window; customers that were never configured are left out. */
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

std::string SumText(const NamedCounts& counts) {
  uint64_t sum = 0;
  for (const auto& [customer, count] : counts) {
    sum += count;
  }
  return std::to_string(sum);
}

void AdvanceWindow(FleetState& state,
                   int64_t window,
                   FencingNumber fencing,
                   TimePoint now,
                   std::vector<Effect>& effects) {
  WindowProgress& progress = state.windows[window];
  if (now < progress.next_try) {
    return;
  }
  if (progress.step == WindowProgress::Step::kOpen) {
    progress.step = WindowProgress::Step::kFixing;
    effects.emplace_back(FixUsage{window, CountsByName(state, window)});
    return;
  }
  if (progress.step != WindowProgress::Step::kFixed) {
    return;
  }
  progress.step = WindowProgress::Step::kSending;
  effects.emplace_back(SendUsage{window, progress.counts, fencing});
}

void ReportUsage(FleetState& state,
                 FencingNumber fencing,
                 TimePoint now,
                 std::vector<Effect>& effects) {
  const auto length =
      std::chrono::duration_cast<milliseconds>(state.settings.usage_window)
          .count();
  if (length <= 0 || !state.wall_offset_ms) {
    return;
  }
  const int64_t wall = WallMs(state, now);
  const int64_t current = wall / length;
  state.usage.Forget(current - kStoredWindows);
  for (int64_t window = current - kOpenWindows; window < current; ++window) {
    if (wall >= (window + 1) * length + kUsageSettle.count()) {
      AdvanceWindow(state, window, fencing, now, effects);
    }
  }
  while (!state.windows.empty() &&
         state.windows.begin()->first < current - kStoredWindows) {
    effects.emplace_back(DropUsage{state.windows.begin()->first});
    state.windows.erase(state.windows.begin());
  }
}

/** Saves what the nodes would forget if all of them were killed. */
void SaveOwnProgress(FleetState& state,
                     TimePoint now,
                     std::vector<Effect>& effects) {
  const auto length =
      std::chrono::duration_cast<milliseconds>(state.settings.usage_window)
          .count();
  SaveProgress progress;
  progress.levels = state.report.quota_levels;
  progress.wall_ms = WallMs(state, now);
  if (length > 0) {
    progress.usage =
        state.usage.Export(progress.wall_ms / length - kOpenWindows);
  }
  if (now < state.next_save ||
      (progress.levels.empty() && progress.usage.empty())) {
    return;
  }
  state.next_save = now + kSavePeriod;
  effects.emplace_back(std::move(progress));
}

/** Demand for a service, summed over all nodes that are heard. */
ScalingDemand TotalDemand(const FleetState& state,
                          const std::string& service,
                          TimePoint now) {
  const serving::NameHash hash = serving::HashName(service);
  ScalingDemand total;
  const auto add = [&](const serving::TrafficReport& report) {
    const auto found = report.demand.find(hash);
    if (found == report.demand.end()) {
      return;
    }
    total.running += found->second.running;
    total.prefill_per_second += found->second.prefill_per_second;
  };
  add(state.report);
  for (const auto& [ip, entry] : state.peers.All()) {
    if (!IsSilent(entry.heard, MessagePeriod(state), now)) {
      add(entry.report);
    }
  }
  return total;
}

std::map<std::string, ZoneServers> CountServers(const FleetState& state,
                                                const serving::Service& service,
                                                const ScalingState& scaling,
                                                TimePoint now) {
  std::map<std::string, ZoneServers> zones;
  for (const auto& [zone, price] : service.scaling->zone_price) {
    ZoneServers& servers = zones[zone];
    const auto order = scaling.orders.find({zone, true});
    servers.reclaimable_to_be_had =
        order == scaling.orders.end() || now >= order->second.unavailable_until;
  }
  for (const auto& [id, server] : state.servers) {
    const auto zone = zones.find(server.zone);
    if (server.service != service.name || server.draining ||
        zone == zones.end()) {
      continue;
    }
    if (server.reclaimable) {
      zone->second.reclaimable += 1;
    } else {
      zone->second.on_demand += 1;
    }
  }
  return zones;
}

/**
 * Counts the servers that were there before any order.
 * @param starting The deployment starts, and its servers still register.
 * @return Whether their number is known.
 */
bool CountInitialServers(ScalingState& scaling,
                         const std::map<std::string, ZoneServers>& zones,
                         bool starting,
                         TimePoint now) {
  if (scaling.initial_counted) {
    return true;
  }
  // Servers that were ordered meanwhile are no initial ones.
  const bool ordered = std::any_of(
      scaling.orders.begin(), scaling.orders.end(),
      [](const auto& entry) { return entry.second.ordered.has_value(); });
  uint32_t total = 0;
  for (const auto& [zone, servers] : zones) {
    total += servers.on_demand + (ordered ? 0 : servers.reclaimable);
  }
  if (total > scaling.initial_servers || !scaling.grown_at) {
    scaling.initial_servers = total;
    scaling.grown_at = now;
  }
  scaling.initial_counted =
      !starting || now - *scaling.grown_at >= kServersSettle;
  return scaling.initial_counted;
}

/** The largest recent need, and the initial servers until demand is seen. */
uint32_t NeedNow(ScalingState& scaling,
                 const serving::Service& service,
                 const ScalingDemand& demand,
                 TimePoint now) {
  if (demand.running > 0 && !scaling.first_demand) {
    scaling.first_demand = now;
  }
  scaling.needed[now] = ServersNeeded(service, demand);
  std::erase_if(scaling.needed, [&](const auto& entry) {
    return now - entry.first > kNeedMemory;
  });
  uint32_t needed = 0;
  for (const auto& [time, need] : scaling.needed) {
    needed = std::max(needed, need);
  }
  const bool seen =
      scaling.first_demand && now - *scaling.first_demand > kDemandSeen;
  if (!seen) {
    needed = std::max(
        needed, static_cast<uint32_t>(scaling.initial_servers * kInitialShare));
  }
  return needed;
}

void Order(ScalingState& scaling,
           const serving::Service& service,
           const std::string& zone,
           bool reclaimable,
           uint32_t wanted,
           uint32_t present,
           FencingNumber fencing,
           TimePoint now,
           std::vector<Effect>& effects) {
  OrderState& order = scaling.orders[{zone, reclaimable}];
  if (order.in_flight || now < order.next_try) {
    return;
  }
  // Servers that were taken back have to be ordered again.
  const bool missing =
      present < wanted &&
      now - order.ordered_at > service.scaling->boot + kMissingAfter;
  if (order.ordered == wanted && !missing) {
    return;
  }
  // Servers that are given up and needed again soon cost their boot time.
  const bool lower = order.ordered && wanted < *order.ordered;
  if (!lower) {
    order.lower_since.reset();
  } else if (!order.lower_since) {
    order.lower_since = now;
  }
  if (lower && now - *order.lower_since < kLowerAfter) {
    return;
  }
  if (!order.ordered && wanted == present) {
    order.ordered = wanted;
    order.ordered_at = now;
    return;
  }
  order.in_flight = true;
  effects.emplace_back(
      OrderServers{service.name, zone, reclaimable, wanted, fencing});
}

void ScaleService(FleetState& state,
                  const serving::Service& service,
                  FencingNumber fencing,
                  TimePoint now,
                  std::vector<Effect>& effects) {
  ScalingState& scaling = state.scaling[service.name];
  const ScalingDemand demand = TotalDemand(state, service.name, now);
  const auto zones = CountServers(state, service, scaling, now);
  const bool starting = fencing == lease::kFirstFencing;
  const bool counted = CountInitialServers(scaling, zones, starting, now);
  const uint32_t needed = NeedNow(scaling, service, demand, now);
  const ZonePlans plans =
      state.scaling_policy->Plan(*service.scaling, needed, zones);
  for (const auto& [zone, plan] : plans) {
    const ZoneServers& servers = zones.at(zone);
    const std::optional<uint32_t> ordered =
        scaling.orders[{zone, true}].ordered;
    if (!counted) {
      // Reclaimable servers take time to boot; nothing is given up yet.
      if (plan.reclaimable >
          std::max(servers.reclaimable, ordered.value_or(0))) {
        Order(scaling, service, zone, true, plan.reclaimable,
              servers.reclaimable, fencing, now, effects);
      }
      continue;
    }
    Order(scaling, service, zone, true, plan.reclaimable, servers.reclaimable,
          fencing, now, effects);
    Order(scaling, service, zone, false, plan.on_demand, servers.on_demand,
          fencing, now, effects);
  }
}

}  // namespace

bool HoldsDuties(const FleetState& state, TimePoint now) {
  return DutyNumber(state, now).has_value();
}

std::set<std::string> DutyNodes(const FleetState& state, TimePoint now) {
  std::set<std::string> nodes;
  std::vector<std::string> ready;
  for (const PeerEntry* entry : state.peers.Ready(MessagePeriod(state), now)) {
    ready.push_back(entry->status.ip);
    if (entry->status.holds_duties) {
      nodes.insert(entry->status.ip);
    }
  }
  std::sort(ready.begin(), ready.end());
  ready.resize(std::min(ready.size(), kCandidates));
  nodes.insert(ready.begin(), ready.end());
  return nodes;
}

void ReduceLease(FleetState& state,
                 const lease::LeaseEvent& event,
                 TimePoint now,
                 std::vector<Effect>& effects) {
  RunLease(state, event, now, effects);
}

void TakeUsageFixed(FleetState& state,
                    const UsageFixed& fixed,
                    TimePoint now,
                    std::vector<Effect>& effects) {
  const auto found = state.windows.find(fixed.window);
  if (found == state.windows.end() ||
      found->second.step != WindowProgress::Step::kFixing) {
    return;
  }
  WindowProgress& progress = found->second;
  effects.emplace_back(
      LogChange{"usage_fixed",
                "window " + std::to_string(fixed.window) +
                    (fixed.counts ? " requests " + SumText(*fixed.counts)
                                  : " not stored"),
                static_cast<uint64_t>(fixed.window)});
  if (!fixed.counts) {
    progress.step = WindowProgress::Step::kOpen;
    progress.next_try = now + kRetryPeriod;
    return;
  }
  progress.step = WindowProgress::Step::kFixed;
  progress.counts = *fixed.counts;
}

void TakeUsageSent(FleetState& state,
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
                    SumText(progress.counts) +
                    (sent.accepted ? " accepted" : " not accepted"),
                static_cast<uint64_t>(sent.window)});
  progress.step = sent.accepted ? WindowProgress::Step::kDone
                                : WindowProgress::Step::kFixed;
  progress.next_try = now + kRetryPeriod;
}

void TakeOrderAnswer(FleetState& state,
                     const ServersOrdered& answer,
                     TimePoint now,
                     std::vector<Effect>& effects) {
  const auto service = state.scaling.find(answer.service);
  if (service == state.scaling.end()) {
    return;
  }
  OrderState& order = service->second.orders[{answer.zone, answer.reclaimable}];
  order.in_flight = false;
  order.next_try = now + kRetryPeriod;
  if (answer.accepted) {
    order.ordered = answer.count;
    order.ordered_at = now;
  }
  if (answer.unavailable) {
    order.unavailable_until = now + kRefusalMemory;
    order.ordered.reset();
  }
  effects.emplace_back(
      LogChange{"servers_ordered",
                answer.service + " " + answer.zone +
                    (answer.reclaimable ? " reclaimable " : " on-demand ") +
                    std::to_string(answer.count) +
                    (answer.accepted ? " accepted" : " refused"),
                state.servers_revision});
}

void AdvanceDuties(FleetState& state,
                   TimePoint now,
                   std::vector<Effect>& effects) {
  RunLease(state, lease::DutyWanted{kDutyLease, IsCandidate(state, now)}, now,
           effects);
  const auto fencing = DutyNumber(state, now);
  if (!fencing) {
    return;
  }
  ReportUsage(state, *fencing, now, effects);
  SaveOwnProgress(state, now, effects);
  if (!state.settings.orders_servers || now < state.next_scaling ||
      !state.config || !state.servers_known) {
    return;
  }
  state.next_scaling = now + kScalingPeriod;
  for (const serving::Service& service : state.config->services) {
    if (service.scaling && service.engine) {
      ScaleService(state, service, *fencing, now, effects);
    }
  }
}

}  // namespace boragewharf::fleet
