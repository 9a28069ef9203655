/**
 * @file store_return_test.cc
 * Random runs of several nodes before a store that comes back from earlier
 * copies. BORAGEWHARF_TEST_SEED=N replays one seed, BORAGEWHARF_TEST_SEEDS=N
 * sets the number of seeds.
 */
#include <cstdlib>

#include "store_return_simulation.h"

namespace boragewharf::node {
namespace {

// Guards against a node that stays at a state from before a return of the
// store, a configuration that comes back older, and new requests for a server
// whose leaving a process has acknowledged.
TEST(StoreReturnTest, AllNodesFollowTheStoreAndNothingGoesBack) {
  uint64_t first = 1;
  uint64_t last = 4;
  if (const char* replay = std::getenv("BORAGEWHARF_TEST_SEED")) {
    first = last = std::strtoull(replay, nullptr, 10);
  } else if (const char* count = std::getenv("BORAGEWHARF_TEST_SEEDS")) {
    last = std::strtoull(count, nullptr, 10);
  }
  uint64_t returns = 0;
  for (uint64_t seed = first; seed <= last && !HasFailure(); ++seed) {
    SCOPED_TRACE("replay with BORAGEWHARF_TEST_SEED=" + std::to_string(seed));
    StoreReturnSimulation simulation(seed);
    for (int round = 0; round < 3; ++round) {
      simulation.RunRandom(seconds(40));
      simulation.Settle(seconds(15));
      simulation.ExpectCurrent();
    }
    returns += simulation.Returns();
  }
  EXPECT_GT(returns, 0U) << "the runs have tested nothing";
}

}  // namespace
}  // namespace boragewharf::node
