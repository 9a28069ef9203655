/**
 * @file scaling_cmd.cc
 * Server orders of the duty holder.
 */
#include "scaling_cmd.h"

#include <algorithm>
#include <cmath>
#include <set>

#include "fleet/fleet_cmd.h"
#include "spread_cmd.h"

namespace boragewharf::fleet {
namespace {

using std::chrono::milliseconds;

/** Interval between decisions on the number of servers. */
constexpr milliseconds kScalingPeriod(200);

/** The largest need within this time determines the number of servers, because
 * loads vary within seconds. */
constexpr std::chrono::seconds kNeedWindow(10);

/** Time after a refusal during which no reclaimable servers are ordered in that
 * zone. */
constexpr milliseconds kRefusalBackoff(2500);

/** Ordered servers that are not listed after their boot time plus this are
 * ordered again. */
constexpr std::chrono::seconds kServerStartMargin(3);

/** The number of servers is only reduced once fewer have been wanted for this
 * long. */
constexpr milliseconds kScaleDownDelay(1200);

/** Demand must have been present for this long before initial servers are given
 * up. */
constexpr std::chrono::seconds kDemandWarmUp(6);

/** Fraction of the initial servers that is kept until then. */
constexpr double kInitialServersShare = 0.66;

/** The number of initial servers is final once it has not grown for this long.
 * Servers register with their first heartbeats. */
constexpr milliseconds kServerCountSettleTime(1500);

/** Demand for a service, summed over all nodes that are not silent. */
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
    if (!IsSilent(entry.last_message_at, MessagePeriod(state), now)) {
      add(entry.report);
    }
  }
  const auto speeds = PrefillSpeeds(state, now);
  const auto speed = speeds.find(hash);
  if (speed != speeds.end()) {
    constexpr double kMsPerSecond = 1000;
    total.prefill_per_server = kMsPerSecond * speed->second;
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
    servers.reclaimable_available =
        order == scaling.orders.end() || now >= order->second.unavailable_until;
  }
  std::set<std::pair<serving::NameHash, uint64_t>> leaving;
  for (const serving::LeavingServer& server : state.report.leaving) {
    leaving.emplace(server.server, server.started);
  }
  for (const auto& [id, server] : state.servers) {
    const auto zone = zones.find(server.zone);
    if (server.service != service.name || server.draining ||
        zone == zones.end() ||
        leaving.contains({serving::HashName(id), server.started})) {
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
 * Determines the number of servers that were listed before any order.
 * @param starting The deployment is starting, and its servers are still
 * registering.
 * @return Whether the number is final.
 */
bool CountInitialServers(ScalingState& scaling,
                         const std::map<std::string, ZoneServers>& zones,
                         bool starting,
                         TimePoint now) {
  if (scaling.initial_servers_known) {
    return true;
  }
  // After an order, reclaimable servers may be ordered ones, so they are not
  // counted as initial.
  const bool ordered = std::any_of(
      scaling.orders.begin(), scaling.orders.end(),
      [](const auto& entry) { return entry.second.ordered.has_value(); });
  uint32_t total = 0;
  for (const auto& [zone, servers] : zones) {
    total += servers.on_demand + (ordered ? 0 : servers.reclaimable);
  }
  if (total > scaling.initial_servers || !scaling.last_growth) {
    scaling.initial_servers = total;
    scaling.last_growth = now;
  }
  scaling.initial_servers_known =
      !starting || now - *scaling.last_growth >= kServerCountSettleTime;
  return scaling.initial_servers_known;
}

/** The largest recent need. Until demand has been present for kDemandWarmUp and
 * the speed of the servers is known, it is at least kInitialServersShare of the
 * initial servers. */
uint32_t CurrentNeed(ScalingState& scaling,
                     const serving::Service& service,
                     const ScalingDemand& demand,
                     TimePoint now) {
  if (demand.running > 0 && !scaling.first_demand) {
    scaling.first_demand = now;
  }
  scaling.recent_needs[now] = ServersNeeded(service, demand);
  std::erase_if(scaling.recent_needs, [&](const auto& entry) {
    return now - entry.first > kNeedWindow;
  });
  uint32_t needed = 0;
  for (const auto& [time, need] : scaling.recent_needs) {
    needed = std::max(needed, need);
  }
  const bool seen = scaling.first_demand &&
                    now - *scaling.first_demand > kDemandWarmUp &&
                    demand.prefill_per_server;
  if (!seen) {
    needed = std::max(needed, static_cast<uint32_t>(scaling.initial_servers *
                                                    kInitialServersShare));
  }
  return needed;
}

void PlaceOrder(ScalingState& scaling,
                const serving::Service& service,
                const std::string& zone,
                bool reclaimable,
                uint32_t wanted,
                uint32_t present,
                const lease::Permit& permit,
                TimePoint now,
                std::vector<Effect>& effects) {
  OrderState& order = scaling.orders[{zone, reclaimable}];
  if (now < order.next_try) {
    return;
  }
  // An unanswered order counts as placed; a newer one replaces it.
  const std::optional<uint32_t> placed =
      order.requested ? order.requested : order.ordered;
  // Servers that were reclaimed have to be ordered again.
  const bool missing =
      !order.requested && present < wanted &&
      now - order.ordered_at > service.scaling->boot + kServerStartMargin;
  if (placed == wanted && !missing) {
    return;
  }
  // A server that is released too early and ordered again costs its boot time.
  const bool lower = placed && wanted < *placed;
  if (!lower) {
    order.fewer_wanted_since.reset();
  } else if (!order.fewer_wanted_since) {
    order.fewer_wanted_since = now;
  }
  if (lower && now - *order.fewer_wanted_since < kScaleDownDelay) {
    return;
  }
  if (!placed && wanted == present) {
    order.ordered = wanted;
    order.ordered_at = now;
    return;
  }
  order.requested = wanted;
  effects.emplace_back(
      OrderServers{service.name, zone, reclaimable, wanted, permit});
}

void ScaleService(FleetState& state,
                  const serving::Service& service,
                  const lease::Permit& permit,
                  TimePoint now,
                  std::vector<Effect>& effects) {
  ScalingState& scaling = state.scaling[service.name];
  const ScalingDemand demand = TotalDemand(state, service.name, now);
  const auto zones = CountServers(state, service, scaling, now);
  const bool starting = permit.IsFirst();
  const bool counted = CountInitialServers(scaling, zones, starting, now);
  const uint32_t needed = CurrentNeed(scaling, service, demand, now);
  if (needed != scaling.last_needed) {
    scaling.last_needed = needed;
    effects.emplace_back(LogChange{
        "servers_needed",
        service.name + " " + std::to_string(needed) + " prefill " +
            std::to_string(std::lround(demand.prefill_per_second)) +
            "/s speed " +
            std::to_string(std::lround(demand.prefill_per_server.value_or(0))) +
            "/s running " + std::to_string(std::lround(demand.running)),
        state.servers_revision, state.servers_era});
  }
  const ZonePlans plans =
      state.scaling_policy->Plan(*service.scaling, needed, zones);
  for (const auto& [zone, plan] : plans) {
    const ZoneServers& servers = zones.at(zone);
    const std::optional<uint32_t> ordered =
        scaling.orders[{zone, true}].ordered;
    if (!counted) {
      // Order reclaimable servers early, because they take time to boot, but
      // reduce no order yet.
      if (plan.reclaimable >
          std::max(servers.reclaimable, ordered.value_or(0))) {
        PlaceOrder(scaling, service, zone, true, plan.reclaimable,
                   servers.reclaimable, permit, now, effects);
      }
      continue;
    }
    PlaceOrder(scaling, service, zone, true, plan.reclaimable,
               servers.reclaimable, permit, now, effects);
    PlaceOrder(scaling, service, zone, false, plan.on_demand, servers.on_demand,
               permit, now, effects);
  }
}

}  // namespace

void ApplyOrderAnswer(FleetState& state,
                      const ServersOrdered& answer,
                      TimePoint now,
                      std::vector<Effect>& effects) {
  effects.emplace_back(
      LogChange{"servers_ordered",
                answer.service + " " + answer.zone +
                    (answer.reclaimable ? " reclaimable " : " on-demand ") +
                    std::to_string(answer.count) +
                    (answer.accepted ? " accepted" : " refused"),
                state.servers_revision, state.servers_era});
  const auto service = state.scaling.find(answer.service);
  if (service == state.scaling.end()) {
    return;  // The order was placed before this node last lost the lease.
  }
  OrderState& order = service->second.orders[{answer.zone, answer.reclaimable}];
  if (order.requested == answer.count) {
    order.requested.reset();
    order.next_try = now + kRetryPeriod;
  }
  if (answer.accepted) {
    order.ordered = answer.count;
    order.ordered_at = now;
  }
  if (answer.unavailable) {
    order.unavailable_until = now + kRefusalBackoff;
    order.ordered.reset();
  }
}

void OrderNeededServers(FleetState& state,
                        const lease::Permit& permit,
                        TimePoint now,
                        std::vector<Effect>& effects) {
  if (!state.settings.orders_servers || now < state.next_scaling ||
      !state.config || !state.servers_known) {
    return;
  }
  state.next_scaling = now + kScalingPeriod;
  for (const serving::Service& service : state.config->services) {
    if (service.scaling && service.engine) {
      ScaleService(state, service, permit, now, effects);
    }
  }
}

}  // namespace boragewharf::fleet
