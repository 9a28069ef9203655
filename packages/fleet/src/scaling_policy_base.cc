/**
 * @file scaling_policy_base.cc
 * Number of servers needed for a demand, and their placement in zones.
 */
#include "fleet/scaling_policy_base.h"

#include <algorithm>
#include <cmath>
#include <vector>

#include "serving/prefill_speed_base.h"

namespace boragewharf::fleet {
namespace {

/** Fraction of a server's measured prefill speed to plan for, so that the time
 * to the first token stays short. */
constexpr double kPrefillUtilization = 0.7;

/** Fraction of a server's slots to plan for, so that decoding steps stay fast.
 */
constexpr double kSlotUtilization = 0.5;

/** Fraction of the needed servers that must remain after one zone's reclaimable
 * servers have been reclaimed. With fewer servers, batches fill up while
 * replacements boot for some seconds; the utilization limits above leave room
 * for a shortage of this size. */
constexpr double kShareAfterZoneLoss = 0.9;

/** Factor by which more reclaimable servers are planned than the loss of a zone
 * requires. They cost a fraction of the on-demand servers that a loss would
 * otherwise call for. */
constexpr double kReclaimableSurplus = 1.3;

/** Smallest number of servers, kept without any demand so that a first burst
 * can be served. */
constexpr uint32_t kMinServers = 4;

class ZoneLossPolicy : public ScalingPolicy {
 public:
  ZonePlans Plan(
      const serving::ScalingProfile& profile,
      uint32_t needed,
      const std::map<std::string, ZoneServers>& zones) const override {
    const uint32_t missing = OnDemandNeeded(needed, zones);
    ZonePlans plans = PlaceOnDemand(profile, missing, zones);
    const uint32_t share = ReclaimablePerZone(needed, zones);
    for (auto& [zone, plan] : plans) {
      const ZoneServers& servers = zones.at(zone);
      const uint32_t max_reclaimable =
          profile.max - std::min(profile.max, plan.on_demand);
      const uint32_t wanted = std::min(share, max_reclaimable);
      // Running servers are kept even if no more are available.
      plan.reclaimable = servers.reclaimable_available
                             ? wanted
                             : std::min(wanted, servers.reclaimable);
    }
    return plans;
  }

 private:
  /**
   * Number of on-demand servers needed besides the reclaimable ones: enough for
   * the whole demand now, and for kShareAfterZoneLoss of it after the zone with
   * the most reclaimable servers has lost them.
   */
  static uint32_t OnDemandNeeded(
      uint32_t needed,
      const std::map<std::string, ZoneServers>& zones) {
    uint32_t total = 0;
    uint32_t largest = 0;
    for (const auto& [zone, servers] : zones) {
      total += servers.reclaimable;
      largest = std::max(largest, servers.reclaimable);
    }
    const auto after_loss =
        static_cast<uint32_t>(std::ceil(kShareAfterZoneLoss * needed));
    const uint32_t remaining = total - largest;
    return std::max(needed > total ? needed - total : 0,
                    after_loss > remaining ? after_loss - remaining : 0);
  }

  /** Number of reclaimable servers per zone with which the other zones can
   * carry the load when one zone is lost. */
  static uint32_t ReclaimablePerZone(
      uint32_t needed,
      const std::map<std::string, ZoneServers>& zones) {
    const size_t others = std::max<size_t>(2, zones.size()) - 1;
    return static_cast<uint32_t>(
        std::ceil(kReclaimableSurplus * needed / static_cast<double>(others)));
  }

  /**
   * Distributes on-demand servers over the zones: running ones stay where they
   * are, additional ones go to the zones in turn, the cheapest first.
   */
  static ZonePlans PlaceOnDemand(
      const serving::ScalingProfile& profile,
      uint32_t missing,
      const std::map<std::string, ZoneServers>& zones) {
    ZonePlans plans;
    std::vector<std::pair<double, std::string>> zones_by_price;
    for (const auto& [zone, servers] : zones) {
      ZonePlan& plan = plans[zone];
      const uint32_t least =
          profile.min - std::min(profile.min, servers.reclaimable);
      plan.on_demand = std::max(least, std::min(missing, servers.on_demand));
      missing -= std::min(missing, plan.on_demand);
      const auto price = profile.zone_price.find(zone);
      zones_by_price.emplace_back(
          price == profile.zone_price.end() ? 1.0 : price->second, zone);
    }
    std::sort(zones_by_price.begin(), zones_by_price.end());
    bool placed = true;
    while (missing > 0 && placed) {
      placed = false;
      for (const auto& [price, zone] : zones_by_price) {
        ZonePlan& plan = plans[zone];
        if (missing == 0 ||
            plan.on_demand + zones.at(zone).reclaimable >= profile.max) {
          continue;
        }
        plan.on_demand += 1;
        missing -= 1;
        placed = true;
      }
    }
    return plans;
  }
};

}  // namespace

uint32_t ServersNeeded(const serving::Service& service,
                       const ScalingDemand& demand) {
  const double slots = std::max<uint32_t>(1, service.engine->slots);
  constexpr double kMsPerSecond = 1000;
  const double per_server = demand.prefill_per_server.value_or(
      kMsPerSecond * serving::kAssumedTokensPerMs);
  const double by_prefill =
      demand.prefill_per_second / (per_server * kPrefillUtilization);
  const double by_slots = demand.running / (slots * kSlotUtilization);
  const double needed = std::ceil(std::max(by_prefill, by_slots));
  return std::max(kMinServers, static_cast<uint32_t>(needed));
}

std::unique_ptr<ScalingPolicy> MakeZoneLossPolicy() {
  return std::make_unique<ZoneLossPolicy>();
}

}  // namespace boragewharf::fleet
