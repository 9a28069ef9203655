/**
 * @file prefill_speed_test.cc
 * Prefill speed that nodes learn from the requests they serve.
 */
#include "serving/prefill_speed_base.h"

#include <gtest/gtest.h>

#include <limits>
#include <random>
#include <vector>

namespace boragewharf::serving {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Sends requests with prompts of very different lengths to servers that read
 * @p tokens_per_ms. */
class PrefillSpeedTest : public testing::Test {
 protected:
  /** Time to the first event: network, queue and prefill. */
  Duration FirstEvent(uint32_t tokens, double tokens_per_ms) {
    std::exponential_distribution<double> queue(1.0 / this->queue_ms);
    std::uniform_real_distribution<double> jitter(0, 4);
    const double ms = 5 + jitter(this->generator) + queue(this->generator) +
                      tokens / tokens_per_ms;
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::milli>(ms));
  }

  void Serve(double tokens_per_ms, int count) {
    std::lognormal_distribution<double> length(7.2, 1.0);
    for (int i = 0; i < count; ++i) {
      this->now += milliseconds(50);
      const auto tokens = static_cast<uint32_t>(50 + length(this->generator));
      this->estimate.Add(tokens, this->FirstEvent(tokens, tokens_per_ms),
                         this->now);
    }
  }

  double Speed() {
    const auto speed = this->estimate.Current(this->now);
    return speed ? speed->tokens_per_ms : 0;
  }

  std::mt19937_64 generator{7};
  double queue_ms = 30;
  TimePoint now{seconds(100)};
  PrefillSpeedEstimate estimate;
};

TEST_F(PrefillSpeedTest, SlowAndFastEnginesAreTold) {
  for (const double actual : {20.0, 56.0, 112.0, 157.0, 400.0}) {
    this->estimate = {};
    this->Serve(actual, 400);
    EXPECT_GT(this->Speed(), 0.6 * actual) << actual;
    EXPECT_LT(this->Speed(), 1.7 * actual) << actual;
  }
}

TEST_F(PrefillSpeedTest, NothingIsClaimedBeforeEnoughRequests) {
  this->Serve(100, 10);
  EXPECT_FALSE(this->estimate.Current(this->now));
}

// Requests of one length show no speed.
TEST_F(PrefillSpeedTest, EqualPromptsGiveNoEstimate) {
  for (int i = 0; i < 100; ++i) {
    this->estimate.Add(1000, this->FirstEvent(1000, 100), this->now);
  }
  EXPECT_FALSE(this->estimate.Current(this->now));
}

// A few servers that are slow, or pretend to be, must not slow the estimate.
TEST_F(PrefillSpeedTest, AQuarterOfSlowServersDoesNotCount) {
  for (int i = 0; i < 100; ++i) {
    this->Serve(100, 3);
    this->Serve(10, 1);
  }
  EXPECT_GT(this->Speed(), 55);
}

TEST_F(PrefillSpeedTest, FollowsAChangeOfTheEngines) {
  this->Serve(200, 600);
  EXPECT_GT(this->Speed(), 120);
  for (int i = 0; i < 20; ++i) {
    this->Serve(50, 60);
    this->Speed();
  }
  EXPECT_LT(this->Speed(), 80);
}

// Nodes that get no more requests keep what they know.
TEST_F(PrefillSpeedTest, SpeedIsKeptWithoutRequests) {
  this->Serve(100, 400);
  const double before = this->Speed();
  this->now += std::chrono::minutes(5);
  EXPECT_EQ(this->Speed(), before);
}

TEST(CombineSpeedsTest, MedianIsWeightedAndIgnoresNonsense) {
  EXPECT_FALSE(CombineSpeeds({}));
  const std::vector<PrefillSpeed> speeds = {
      {100, 400},
      {110, 300},
      {1e9F, 5},
      {-5, 500},
      {std::numeric_limits<float>::quiet_NaN(), 500}};
  const auto combined = CombineSpeeds(speeds);
  ASSERT_TRUE(combined);
  EXPECT_GE(*combined, 100);
  EXPECT_LE(*combined, 110);
}

}  // namespace
}  // namespace boragewharf::serving
