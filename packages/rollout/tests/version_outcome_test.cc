/**
 * @file version_outcome_test.cc
 * Outcomes of roll-outs of good and bad versions, over 200 seeds for each kind.
 */
#include <gtest/gtest.h>

#include <algorithm>

#include "rollout_sim.h"

namespace boragewharf::rollout {
namespace {

struct Kind {
  const char* name;
  Behaviour behaviour;
  bool good = false;
};

std::ostream& operator<<(std::ostream& out, const Kind& kind) {
  return out << kind.name;
}

class VersionOutcome : public testing::TestWithParam<Kind> {};

/** Guards against a bad version that is kept, a good one that is given up, and
 * more requests at an unproved version than the bound allows. */
TEST_P(VersionOutcome, IsRightOverSeeds) {
  constexpr uint64_t kSeeds = 200;
  constexpr int kMaxWrong = 1;  // Under 1 in 100.
  const Kind& kind = GetParam();
  int wrong = 0;
  double most_exposed = 0;
  double longest_s = 0;
  uint32_t most_bad = 0;
  std::string log;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const Outcome outcome = RolloutSim(kind.behaviour, 1000 * seed).Run();
    const StatusState right =
        kind.good ? StatusState::kDone : StatusState::kRolledBack;
    if (outcome.state != right) {
      wrong += 1;
      log += "seed " + std::to_string(1000 * seed) + "\n" + outcome.log;
    }
    const double bound = 0.1 * outcome.requests + 50;
    most_exposed = std::max(most_exposed, outcome.exposed / bound);
    most_bad = std::max(most_bad, outcome.bad_responses);
    longest_s = std::max(longest_s, outcome.last_send_after_s);
  }
  printf(
      "%-22s wrong %d of %d, exposure at most %.2f of its bound, "
      "bad responses at most %u, last send at most %.2f s after the 50th\n",
      kind.name, wrong, static_cast<int>(kSeeds), most_exposed, most_bad,
      longest_s);
  EXPECT_LE(wrong, kMaxWrong) << log;
  EXPECT_LE(most_exposed, 1);
  if (!kind.good) {
    EXPECT_LE(longest_s, 5);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Kinds,
    VersionOutcome,
    testing::Values(
        Kind{"good", {}, true},
        Kind{"slow_server", {.slow_server = 4}, true},
        Kind{"zone_fails", {.zone_fails = true}, true},
        Kind{"fails_5", {.failing = 0.05}},
        Kind{"fails_30", {.failing = 0.3}},
        Kind{"slower_3", {.slower = 3}},
        Kind{"fails_30_later", {.failing = 0.3, .begins_s = 5}},
        Kind{"fails_5_later", {.failing = 0.05, .begins_s = 4}},
        Kind{"slower_3_later", {.slower = 3, .begins_s = 5}},
        Kind{"fails_30_under_load", {.failing = 0.3, .under_load = 0.25}},
        Kind{"slower_3_under_load", {.slower = 3, .under_load = 0.25}},
        Kind{"fails_30_one_route", {.failing = 0.3, .one_route = true}},
        Kind{"slower_3_one_route", {.slower = 3, .one_route = true}}),
    [](const testing::TestParamInfo<Kind>& kind) { return kind.param.name; });

}  // namespace
}  // namespace boragewharf::rollout
