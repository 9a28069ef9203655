/**
 * @file server_speeds_load_test.cc
 * Uneven, slowed, failing and lost servers under the load of many nodes that
 * learn from each other with delay.
 */
#include <gtest/gtest.h>

#include "engine_world.h"

namespace boragewharf::servermodel {
namespace {

/** Share in time over three seeds. */
double InTime(WorldModel model, Knowledge knowledge) {
  model.knowledge = knowledge;
  double sum = 0;
  for (uint64_t seed = 1; seed <= 3; ++seed) {
    sum += EngineWorld(model, seed).Run().in_time / 3;
  }
  return sum;
}

/** Records the results without, with learned and with true speeds. */
struct Comparison {
  explicit Comparison(const WorldModel& model)
      : none(InTime(model, Knowledge::kNone)),
        learned(InTime(model, Knowledge::kLearned)),
        known(InTime(model, Knowledge::kTrue)) {
    std::printf("in time: equal %.3f, learned %.3f, true %.3f\n", this->none,
                this->learned, this->known);
  }
  double none;
  double learned;
  double known;
};

// Servers of 0.7 : 0.7 : 1.7 under a wave of demand in each zone. Guards
// against the slow ones getting as much as the fast ones.
TEST(ServerSpeedsLoadTest, UnevenServersAreUsedByTheirSpeed) {
  WorldModel model;
  model.speed = [](size_t i, double) { return i / 3 % 3 == 2 ? 1.7 : 0.7; };
  const Comparison result(model);
  EXPECT_GE(result.learned, 0.9 * result.known);
  EXPECT_GT(result.learned, result.none);
}

// Guards against worse choices, because of noise, where all are equal.
TEST(ServerSpeedsLoadTest, EqualServersAreServedAsBefore) {
  const Comparison result{WorldModel{}};
  EXPECT_GE(result.learned, result.none - 0.01);
  for (const double speed : EngineWorld(WorldModel{}, 9).Run().speeds) {
    EXPECT_NEAR(speed, 1, 0.25);
  }
}

// A seventh of the servers are 2.5 times slower for 600 ms at a time. Guards
// against estimates that come too late and do harm.
TEST(ServerSpeedsLoadTest, ShortSlownessDoesNoHarm) {
  WorldModel model;
  model.speed = [](size_t i, double now) {
    const auto period = static_cast<size_t>(now / 600);
    return (i * 31 + period * 17) % 7 == 0 ? 0.4 : 1.0;
  };
  const Comparison result(model);
  EXPECT_GE(result.learned, result.none - 0.01);
}

// A third of the servers become permanently slow. Guards against estimates
// that hold on to the past.
TEST(ServerSpeedsLoadTest, PermanentlySlowServersGetLess) {
  WorldModel model;
  model.requests_per_s = 200;
  model.speed = [](size_t i, double now) {
    return i % 3 == 1 && now > 4000 ? 0.4 : 1.0;
  };
  const Comparison result(model);
  EXPECT_GE(result.learned, 0.9 * result.known);
}

// A third of the servers fail six of ten requests while their health is good.
TEST(ServerSpeedsLoadTest, FailingServersGetLess) {
  WorldModel model;
  model.requests_per_s = 150;
  model.failing = [](size_t i) { return i % 3 == 1 ? 0.6 : 0.0; };
  model.knowledge = Knowledge::kLearned;
  const double learned = EngineWorld(model, 1).Run().failed;
  model.knowledge = Knowledge::kNone;
  const double none = EngineWorld(model, 1).Run().failed;
  std::printf("failed: equal %.3f, learned %.3f\n", none, learned);
  EXPECT_LT(learned, none / 3);
}

// A zone is lost, so that the others carry its load.
TEST(ServerSpeedsLoadTest, LostZoneIsCarriedByTheOthers) {
  WorldModel model;
  model.requests_per_s = 180;
  model.zone_lost_at = 6000;
  model.speed = [](size_t i, double) { return i / 3 % 3 == 2 ? 1.7 : 0.7; };
  const Comparison result(model);
  EXPECT_GE(result.learned, 0.9 * result.known);
}

// Long prompts that other nodes sent within the last half second delay short
// ones, even when servers are half used. Guards against a separation that costs
// long prompts more than short ones gain.
TEST(ServerSpeedsLoadTest, LongPromptsGetServersOfTheirOwn) {
  WorldModel model;
  model.requests_per_s = 210;
  model.duration = 24000;
  model.warm_up = 14000;
  model.wave = 0;
  const double together = InTime(model, Knowledge::kLearned);
  model.separate = true;
  const double separated = InTime(model, Knowledge::kLearned);
  std::printf("in time: together %.3f, separated %.3f\n", together, separated);
  EXPECT_LT(1 - separated, 0.7 * (1 - together));
}

// Two nodes send random reports. Their weight is bounded.
TEST(ServerSpeedsLoadTest, FalseReportsHaveLittleEffect) {
  WorldModel model;
  model.false_reporters = 2;
  const Comparison result(model);
  EXPECT_GE(result.learned, result.none - 0.05);
}

}  // namespace
}  // namespace boragewharf::servermodel
