/**
 * @file scaling_policy_base.cc
 * Sizing and placement of ordered servers.
 */
#include "fleet/scaling_policy_base.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace boragewharf::fleet {
namespace {

/** Prompt tokens that a server reads per second; the deployments' engines
 * read 112,000 and 157,000. */
constexpr double kPrefillPerServer = 120000;

/** Share of that at which the time to the first token is still short. */
constexpr double kPrefillUse = 0.5;

/** Share of the slots in use at which steps are still fast. */
constexpr double kSlotUse = 0.5;

/** Share of the needed servers that has to be left when a zone's reclaimable
 * ones are taken back. With fewer the batches fill up for the seconds that
 * others take to boot; the use above leaves room for that. */
constexpr double kNeedAfterLoss = 0.9;

/** Reclaimable servers beyond what the loss of a zone requires; they cost a
 * fraction of the on-demand servers that a loss would call for. */
constexpr double kReclaimableSurplus = 1.3;

/** Servers kept without any demand, so that the first burst is served. */
constexpr uint32_t kLeastServers = 4;

class ZoneLossPolicy : public ScalingPolicy {
 public:
  ZonePlans Plan(
      const serving::ScalingProfile& profile,
      uint32_t needed,
      const std::map<std::string, ZoneServers>& zones) const override {
    const uint32_t missing = MissingServers(needed, zones);
    ZonePlans plans = PlaceOnDemand(profile, missing, zones);
    const uint32_t share = ShareOfZone(needed, zones);
    for (auto& [zone, plan] : plans) {
      const ZoneServers& servers = zones.at(zone);
      const uint32_t room = profile.max - std::min(profile.max, plan.on_demand);
      const uint32_t wanted = std::min(share, room);
      // What runs is kept even where no more is to be had.
      plan.reclaimable = servers.reclaimable_to_be_had
                             ? wanted
                             : std::min(wanted, servers.reclaimable);
    }
    return plans;
  }

 private:
  /**
   * On-demand servers needed besides the reclaimable ones: all of the demand
   * is carried now, and most of it once the largest zone's are taken back.
   */
  static uint32_t MissingServers(
      uint32_t needed,
      const std::map<std::string, ZoneServers>& zones) {
    uint32_t total = 0;
    uint32_t largest = 0;
    for (const auto& [zone, servers] : zones) {
      total += servers.reclaimable;
      largest = std::max(largest, servers.reclaimable);
    }
    const auto after_loss =
        static_cast<uint32_t>(std::ceil(kNeedAfterLoss * needed));
    const uint32_t left = total - largest;
    return std::max(needed > total ? needed - total : 0,
                    after_loss > left ? after_loss - left : 0);
  }

  /** Reclaimable servers of each zone, so that the others carry its loss. */
  static uint32_t ShareOfZone(uint32_t needed,
                              const std::map<std::string, ZoneServers>& zones) {
    const size_t others = std::max<size_t>(2, zones.size()) - 1;
    return static_cast<uint32_t>(
        std::ceil(kReclaimableSurplus * needed / static_cast<double>(others)));
  }

  /**
   * Places on-demand servers: those that run stay where they are, further
   * ones go to the cheapest zones in turn.
   */
  static ZonePlans PlaceOnDemand(
      const serving::ScalingProfile& profile,
      uint32_t missing,
      const std::map<std::string, ZoneServers>& zones) {
    ZonePlans plans;
    std::vector<std::pair<double, std::string>> by_price;
    for (const auto& [zone, servers] : zones) {
      ZonePlan& plan = plans[zone];
      const uint32_t least =
          profile.min - std::min(profile.min, servers.reclaimable);
      plan.on_demand = std::max(least, std::min(missing, servers.on_demand));
      missing -= std::min(missing, plan.on_demand);
      const auto price = profile.zone_price.find(zone);
      by_price.emplace_back(
          price == profile.zone_price.end() ? 1.0 : price->second, zone);
    }
    std::sort(by_price.begin(), by_price.end());
    bool placed = true;
    while (missing > 0 && placed) {
      placed = false;
      for (const auto& [price, zone] : by_price) {
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
  const double by_prefill =
      demand.prefill_per_second / (kPrefillPerServer * kPrefillUse);
  const double by_slots = demand.running / (slots * kSlotUse);
  const double needed = std::ceil(std::max(by_prefill, by_slots));
  return std::max(kLeastServers, static_cast<uint32_t>(needed));
}

std::unique_ptr<ScalingPolicy> MakeZoneLossPolicy() {
  return std::make_unique<ZoneLossPolicy>();
}

}  // namespace boragewharf::fleet
