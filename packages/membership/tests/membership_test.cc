/**
 * @file membership_test.cc
 * Tests of the membership protocol on a simulated network.
 */
#include <gtest/gtest.h>

#include <iostream>

#include "simulation.h"

namespace boragewharf::membership {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

bool AllLive(Simulation& simulation, size_t count) {
  for (size_t i = 0; i < simulation.size(); ++i) {
    const Node& node = simulation.At(i);
    if (node.is_running && LiveMembers(node.state).size() != count) {
      return false;
    }
  }
  return true;
}

bool AllHoldLeases(Simulation& simulation) {
  for (size_t i = 0; i < simulation.size(); ++i) {
    if (simulation.At(i).is_running && !simulation.HoldsLease(i)) {
      return false;
    }
  }
  return true;
}

// Guards against members that never find each other at a simultaneous start.
TEST(MembershipSimulationTest, ColdStartConverges) {
  Simulation simulation(1, {});
  simulation.AddNodes(6);
  const Duration joined = simulation.RunUntil(seconds(10), [&] {
    return AllLive(simulation, 6) && AllHoldLeases(simulation);
  });
  std::cout << "6 members joined after " << joined.count() / 1000 << " ms\n";
  EXPECT_LT(joined, seconds(5));
  simulation.Run(seconds(10));
  for (size_t i = 0; i < 6; ++i) {
    EXPECT_TRUE(DigestsAgree(simulation.At(i).state));
  }
}

}  // namespace
}  // namespace boragewharf::membership
