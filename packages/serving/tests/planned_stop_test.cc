/**
 * @file planned_stop_test.cc
 * Which requests a node that is to end still takes.
 */
#include <gtest/gtest.h>

#include "serving/planned_stop_base.h"

namespace boragewharf::serving {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against a request that is passed on and cut off by the node's end.
TEST(EndsBeforeStopTest, LongerRequestIsNotTaken) {
  EXPECT_FALSE(EndsBeforeStop({milliseconds(500), seconds(4), seconds(2)}));
  EXPECT_FALSE(EndsBeforeStop({milliseconds(500), seconds(4), std::nullopt}));
}

// Guards against refusing what can be finished, when no other node takes it.
TEST(EndsBeforeStopTest, ShorterRequestIsTaken) {
  EXPECT_TRUE(
      EndsBeforeStop({milliseconds(500), seconds(4), milliseconds(500)}));
  EXPECT_TRUE(EndsBeforeStop({seconds(5), seconds(5), std::nullopt}));
  EXPECT_TRUE(EndsBeforeStop({seconds(5), seconds(4), seconds(9)}))
      << "its deadline ends it before";
}

// Guards against a request that is taken once the node has ended its others.
TEST(EndsBeforeStopTest, NothingIsTakenAtTheEnd) {
  EXPECT_FALSE(EndsBeforeStop({Duration(0), Duration(0), Duration(0)}));
  EXPECT_FALSE(EndsBeforeStop({-seconds(1), -seconds(2), Duration(0)}));
}

// Guards against an estimate that ignores how much the lengths differ.
TEST(LengthEstimateTest, BoundCoversTheSpreadOfTheLengths) {
  DurationEstimate estimate;
  EXPECT_FALSE(estimate.Bound());
  for (int i = 0; i < 200; ++i) {
    estimate.Add(milliseconds(i % 2 == 0 ? 100 : 300));
  }
  EXPECT_GE(*estimate.Bound(), milliseconds(300));
  EXPECT_LE(*estimate.Bound(), milliseconds(1000));
}

// Guards against an estimate that keeps an outdated length.
TEST(LengthEstimateTest, BoundFollowsTheNewestLengths) {
  DurationEstimate estimate;
  estimate.Add(seconds(4));
  for (int i = 0; i < 100; ++i) {
    estimate.Add(milliseconds(100));
  }
  EXPECT_LE(*estimate.Bound(), milliseconds(200));
}

}  // namespace
}  // namespace boragewharf::serving
