/**
 * @file scaling_test.cc
 * Number of planned servers when the servers of whole zones are reclaimed.
 */
#include <gtest/gtest.h>

#include "fleet/scaling_policy_base.h"

namespace boragewharf::fleet {
namespace {

class ScalingTest : public testing::Test {
 protected:
  ScalingTest() {
    this->profile.min = 1;
    this->profile.max = 8;
    this->profile.zone_price = {{"a", 1.0}, {"b", 0.8}, {"c", 1.25}};
    for (const auto& [zone, price] : this->profile.zone_price) {
      this->zones[zone] = ZoneServers{};
    }
  }

  ZonePlans Plan(uint32_t needed) const {
    return this->policy->Plan(this->profile, needed, this->zones);
  }

  static uint32_t OnDemand(const ZonePlans& plans) {
    uint32_t total = 0;
    for (const auto& [zone, plan] : plans) {
      total += plan.on_demand;
    }
    return total;
  }

  serving::ScalingProfile profile;
  std::map<std::string, ZoneServers> zones;
  std::unique_ptr<ScalingPolicy> policy = MakeZoneLossPolicy();
};

TEST_F(ScalingTest, NeedFollowsPromptsAndSlots) {
  serving::Service service;
  service.engine = serving::EngineProfile{};
  service.engine->slots = 10;
  EXPECT_EQ(ServersNeeded(service, {}),
            ServersNeeded(service, {1, 1, std::nullopt}));
  EXPECT_GT(ServersNeeded(service, {1000000, 0, 60000}),
            ServersNeeded(service, {300000, 0, 60000}));
  EXPECT_GE(ServersNeeded(service, {0, 100, std::nullopt}), 10U);
}

// Guards against a speed that holds for one deployment: engines that read half
// as fast need twice the servers for the same prompts.
TEST_F(ScalingTest, NeedFollowsTheSpeedOfTheEngines) {
  serving::Service service;
  service.engine = serving::EngineProfile{};
  service.engine->slots = 128;
  constexpr double kDemand = 1200000;
  const uint32_t slow = ServersNeeded(service, {kDemand, 0, 30000});
  const uint32_t middle = ServersNeeded(service, {kDemand, 0, 60000});
  const uint32_t fast = ServersNeeded(service, {kDemand, 0, 300000});
  EXPECT_NEAR(slow, 2.0 * middle, 1);
  EXPECT_NEAR(middle, 5.0 * fast, 5);
  EXPECT_GT(fast, kDemand / 300000);
}

// Scenario: there are enough reclaimable servers in all zones. Guards against
// paying for on-demand servers that are not needed.
TEST_F(ScalingTest, ReclaimableServersInAllZonesNeedNoOthers) {
  for (auto& [zone, servers] : this->zones) {
    servers.reclaimable = 4;
    servers.on_demand = 4;
  }
  const ZonePlans plans = this->Plan(6);
  EXPECT_EQ(OnDemand(plans), 0U);
  for (const auto& [zone, plan] : plans) {
    EXPECT_GE(plan.reclaimable, 3U);
  }
}

// Scenario: ordered servers are still booting. Guards against releasing old
// servers before the new ones serve.
TEST_F(ScalingTest, OnDemandServersStayUntilReclaimableOnesServe) {
  for (auto& [zone, servers] : this->zones) {
    servers.on_demand = 4;
  }
  // One more than needed, because each zone keeps its minimum of one.
  EXPECT_EQ(OnDemand(this->Plan(8)), 9U);
}

// Scenario: the reclaimable servers of two zones are reclaimed one after the
// other, and no more are available. The missing servers must be ordered on
// demand, and the zones' limits must leave room for them.
TEST_F(ScalingTest, ReclaimOfTwoZonesIsFilledOnDemand) {
  this->zones["a"] = ZoneServers{0, 0, false};
  this->zones["b"] = ZoneServers{0, 4, false};
  this->zones["c"] = ZoneServers{0, 4, false};
  // 90% of eight servers must remain after the next loss.
  EXPECT_EQ(OnDemand(this->Plan(8)), 4U) << "ready for the next loss";
  this->zones["b"] = ZoneServers{1, 0, false};
  const ZonePlans plans = this->Plan(8);
  EXPECT_EQ(OnDemand(plans), 8U) << "the last zone may be lost as well";
  EXPECT_GE(plans.at("b").on_demand, 1U) << "what runs stays in place";
  EXPECT_EQ(plans.at("c").reclaimable, 4U) << "what runs is kept";
}

// Scenario: reclaimable servers become available again. Guards against planned
// reclaimable servers that take the place of running on-demand ones, so that
// both kinds are ordered and released in turn.
TEST_F(ScalingTest, PlannedReclaimableServersDoNotDisplaceOnDemandOnes) {
  this->zones["a"] = ZoneServers{4, 0, true};
  this->zones["b"] = ZoneServers{4, 0, true};
  this->zones["c"] = ZoneServers{4, 0, true};
  const ZonePlans plans = this->Plan(12);
  EXPECT_EQ(OnDemand(plans), 12U);
  for (const auto& [zone, plan] : plans) {
    EXPECT_LE(plan.on_demand + plan.reclaimable, this->profile.max);
  }
}

TEST_F(ScalingTest, BoundsHoldForAnyNeed) {
  this->zones["a"] = ZoneServers{3, 8, true};
  this->zones["b"] = ZoneServers{0, 2, false};
  for (uint32_t needed = 0; needed < 100; ++needed) {
    for (const auto& [zone, plan] : this->Plan(needed)) {
      EXPECT_LE(plan.on_demand + plan.reclaimable, this->profile.max);
      EXPECT_GE(plan.on_demand + this->zones.at(zone).reclaimable,
                this->profile.min);
    }
  }
}

}  // namespace
}  // namespace boragewharf::fleet
