/**
 * @file lease_simulation_test.cc
 * Duty leases: random runs of several members with a simulated store.
 *
 * BORAGEWHARF_TEST_SEED=N replays one seed.
 */
#include <gtest/gtest.h>

#include <cstdio>
#include <cstdlib>

#include "lease_simulation.h"

namespace boragewharf::lease {
namespace {

// Guards against two members with permits at the same time, overlapping orders
// on servers that ignore fencing numbers, fencing numbers that do not increase,
// alternating holders, and, after the faults have ended, a duty without a
// holder or a holder that is overtaken though it renews its lease.
void RunSeeds(const LeaseTiming& timing, bool store_returns = false) {
  constexpr uint64_t kSeeds = 150;
  uint64_t first = 1;
  uint64_t last = kSeeds;
  if (const char* replay = std::getenv("BORAGEWHARF_TEST_SEED")) {
    first = last = std::strtoull(replay, nullptr, 10);
  }
  int takeovers = 0;
  int lost_responses = 0;
  int conflicts = 0;
  int returns = 0;
  int late_matches = 0;
  for (uint64_t seed = first; seed <= last; ++seed) {
    LeaseSimulation simulation(seed, timing, store_returns);
    simulation.Run();
    ASSERT_FALSE(testing::Test::HasFailure())
        << "replay with BORAGEWHARF_TEST_SEED=" << seed;
    takeovers += simulation.Takeovers();
    lost_responses += simulation.lost_responses;
    conflicts += simulation.conflicts;
    returns += simulation.store_returns;
    late_matches += simulation.late_matches;
  }
  std::printf(
      "takeovers %d, lost responses %d, conflicts %d, returns %d, writes of "
      "earlier eras %d\n",
      takeovers, lost_responses, conflicts, returns, late_matches);
  // Ensure that the injected faults exercised the protocol.
  if (first != last) {
    EXPECT_GT(takeovers, static_cast<int>(3 * kSeeds));
    EXPECT_GT(lost_responses, static_cast<int>(3 * kSeeds));
    if (store_returns) {
      EXPECT_GT(returns, static_cast<int>(3 * kSeeds));
      EXPECT_GT(late_matches, 0);
    }
  }
}

TEST(LeaseSimulationTest, AtMostOneMemberMayAct) {
  RunSeeds(LeaseTiming{});
}

// The configuration of the nodes: a successor gets permits well before a lease
// time has passed, so that two stops and a restart fit into one lease time
// (incident ONE on kbtc-wharf).
TEST(LeaseSimulationTest, AtMostOneMemberMayActWithAShortOrderLifetime) {
  LeaseTiming timing;
  timing.order_lifetime = kLeaseTime / 5;
  RunSeeds(timing);
}

// Guards against a lost lease that is given out a second time with its fencing
// number, and against a former holder that acts on a lease of the copy, after
// the store has come back without its latest writes (incident ONE on
// ascb-wharf).
TEST(LeaseSimulationTest, AtMostOneMemberMayActAfterTheStoreReturns) {
  RunSeeds(LeaseTiming{}, true);
}

TEST(LeaseSimulationTest, ShortOrderLifetimeAfterTheStoreReturns) {
  LeaseTiming timing;
  timing.order_lifetime = kLeaseTime / 5;
  RunSeeds(timing, true);
}

}  // namespace
}  // namespace boragewharf::lease
