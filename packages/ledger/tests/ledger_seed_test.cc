/**
 * @file ledger_seed_test.cc
 * Seeded random runs of the ledger. LEDGER_SEED replays a single seed,
 * LEDGER_RUNS sets the number of seeds.
 */
#include <gtest/gtest.h>

#include <cstdio>
#include <cstdlib>

#include "ledger_sim.h"

namespace boragewharf::ledger {
namespace {

// The thread sanitizer slows a run down about twentyfold; 40 runs exceed the
// time limit of a test program with it.
#ifdef __SANITIZE_THREAD__
constexpr int kDefaultRuns = 10;
#else
constexpr int kDefaultRuns = 40;
#endif

uint64_t EnvironmentOr(const char* name, uint64_t fallback) {
  const char* text = std::getenv(name);
  return text ? std::strtoull(text, nullptr, 10) : fallback;
}

/** Runs seeds until one fails, and prints what they provoked. */
void RunSeeds(const SimOptions& options) {
  const uint64_t single = EnvironmentOr("LEDGER_SEED", 0);
  const uint64_t first = single ? single : 1;
  const uint64_t count =
      single ? 1 : EnvironmentOr("LEDGER_RUNS", kDefaultRuns);
  uint64_t grants = 0;
  uint64_t seals = 0;
  uint64_t conflicts = 0;
  uint64_t own_read_backs = 0;
  uint64_t replays = 0;
  uint64_t stuck = 0;
  for (uint64_t seed = first; seed < first + count; ++seed) {
    LedgerSim sim(seed, options);
    sim.Run();
    grants += sim.grants;
    seals += sim.seals;
    conflicts += sim.conflicts;
    own_read_backs += sim.own_read_backs;
    replays += sim.replays;
    stuck += sim.stuck_keys;
    ASSERT_TRUE(sim.violations.empty())
        << "LEDGER_SEED=" << seed << ": " << sim.violations.front();
  }
  std::printf(
      "%lu runs: %lu grants, %lu replays, %lu segments, %lu conflicts, "
      "%lu lost answers found applied, %lu stuck keys\n",
      count, grants, replays, seals, conflicts, own_read_backs, stuck);
  if (!single) {
    EXPECT_GT(grants, 0U);
    EXPECT_GT(conflicts, 0U);
    EXPECT_GT(own_read_backs, 0U);
  }
}

// Guards against a second run of a key, a grant that the store does not hold,
// and a call without an answer, under lost answers, conflicts, outages,
// crashes, pauses and several members that believe to own a shard.
TEST(LedgerSimTest, KeepsOneGrantPerKey) {
  SimOptions options;
  options.ledger.shard_count = 2;
  RunSeeds(options);
}

// Guards against entries that get lost or revived while objects are sealed
// into segments, and against a full shard that grants.
TEST(LedgerSimTest, KeepsOneGrantPerKeyWithSmallObjects) {
  SimOptions options;
  options.keys = 150;
  options.claims = 600;
  options.ledger.shard_count = 2;
  options.ledger.object_bytes = 5000;
  options.ledger.segment_bytes = 12000;
  options.ledger.segment_limit = 12;
  options.ledger.body_bytes = 200;
  RunSeeds(options);
}

}  // namespace
}  // namespace boragewharf::ledger
