/**
 * @file scaling_cmd.cc
 * Orders of servers by the holder of the duties.
 */
#include "scaling_cmd.h"

#include <algorithm>

#include "fleet/fleet_cmd.h"

namespace boragewharf::fleet {
namespace {

using std::chrono::milliseconds;

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
           const lease::Permit& permit,
           TimePoint now,
           std::vector<Effect>& effects) {
  OrderState& order = scaling.orders[{zone, reclaimable}];
  if (now < order.next_try) {
    return;
  }
  // An open order counts as placed; a newer one replaces it.
  const std::optional<uint32_t> placed =
      order.requested ? order.requested : order.ordered;
  // Servers that were taken back have to be ordered again.
  const bool missing =
      !order.requested && present < wanted &&
      now - order.ordered_at > service.scaling->boot + kMissingAfter;
  if (placed == wanted && !missing) {
    return;
  }
  // Servers that are given up and needed again soon cost their boot time.
  const bool lower = placed && wanted < *placed;
  if (!lower) {
    order.lower_since.reset();
  } else if (!order.lower_since) {
    order.lower_since = now;
  }
  if (lower && now - *order.lower_since < kLowerAfter) {
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
  const bool starting = permit.Fencing() == lease::kFirstFencing;
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
              servers.reclaimable, permit, now, effects);
      }
      continue;
    }
    Order(scaling, service, zone, true, plan.reclaimable, servers.reclaimable,
          permit, now, effects);
    Order(scaling, service, zone, false, plan.on_demand, servers.on_demand,
          permit, now, effects);
  }
}

}  // namespace

void TakeOrderAnswer(FleetState& state,
                     const ServersOrdered& answer,
                     TimePoint now,
                     std::vector<Effect>& effects) {
  effects.emplace_back(
      LogChange{"servers_ordered",
                answer.service + " " + answer.zone +
                    (answer.reclaimable ? " reclaimable " : " on-demand ") +
                    std::to_string(answer.count) +
                    (answer.accepted ? " accepted" : " refused"),
                state.servers_revision});
  const auto service = state.scaling.find(answer.service);
  if (service == state.scaling.end()) {
    return;  // Decided by an earlier tenure.
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
    order.unavailable_until = now + kRefusalMemory;
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
