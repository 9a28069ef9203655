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
constexpr double kPrefillUse = 0.4;

/** Share of the slots in use at which steps are still fast. */
constexpr double kSlotUse = 0.5;

/** Servers kept without any demand, so that the first burst is served. */
constexpr uint32_t kLeastServers = 4;

class ZoneLossPolicy : public ScalingPolicy {
 public:
  ZonePlans Plan(
      const serving::ScalingProfile& profile,
      uint32_t needed,
      const std::map<std::string, ZoneServers>& zones) const override {
    ZonePlans plans;
    uint32_t open_zones = 0;
    for (const auto& [zone, servers] : zones) {
      open_zones += servers.reclaimable_to_be_had ? 1 : 0;
    }
    // With one zone lost, the others have to carry the demand.
    const uint32_t share =
        open_zones < 2 ? needed : (needed + open_zones - 2) / (open_zones - 1);
    uint32_t total = 0;
    uint32_t largest = 0;
    for (const auto& [zone, servers] : zones) {
      ZonePlan& plan = plans[zone];
      const uint32_t bounded = std::min(share, profile.max);
      // What runs is kept even where no more is to be had.
      plan.reclaimable = servers.reclaimable_to_be_had
                             ? bounded
                             : std::min(bounded, servers.reclaimable);
      // Servers that are still booting do not carry the loss yet.
      const uint32_t present = std::min(plan.reclaimable, servers.reclaimable);
      total += present;
      largest = std::max(largest, present);
    }
    const uint32_t safe = total - largest;
    this->FillOnDemand(profile, safe < needed ? needed - safe : 0, plans);
    return plans;
  }

 private:
  /** Cheapest zones first, within the bounds of each zone. */
  static void FillOnDemand(const serving::ScalingProfile& profile,
                           uint32_t missing,
                           ZonePlans& plans) {
    std::vector<std::pair<double, std::string>> by_price;
    for (const auto& [zone, plan] : plans) {
      const auto price = profile.zone_price.find(zone);
      by_price.emplace_back(
          price == profile.zone_price.end() ? 1.0 : price->second, zone);
    }
    std::sort(by_price.begin(), by_price.end());
    for (const auto& [price, zone] : by_price) {
      ZonePlan& plan = plans[zone];
      if (plan.reclaimable < profile.min) {
        plan.on_demand = profile.min - plan.reclaimable;
        missing -= std::min(missing, plan.on_demand);
      }
    }
    // Spread, so that the nodes of each region have servers near.
    bool placed = true;
    while (missing > 0 && placed) {
      placed = false;
      for (const auto& [price, zone] : by_price) {
        ZonePlan& plan = plans[zone];
        if (missing == 0 || plan.on_demand + plan.reclaimable >= profile.max) {
          continue;
        }
        plan.on_demand += 1;
        missing -= 1;
        placed = true;
      }
    }
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
