/**
 * @file progress_era_test.cc
 * Saved progress of a store that comes back from an earlier copy.
 */
#include <gtest/gtest.h>

#include "fleet_fixture.h"

namespace boragewharf::fleet {
namespace {

// Guards against a burst that customers get a second time: their use after the
// copy was taken is lost.
TEST_F(FleetTest, SavedLevelsOfAnEarlierEraCountAsUsedUp) {
  this->Configure();
  ProgressRead read;
  read.levels = {{"school", 400}, {"museum", -20}};
  read.saved_wall_ms = kStartWallMs;
  read.clock_wall_ms = kStartWallMs + 5000;
  read.from_earlier_era = true;
  this->Apply(read);
  const auto* restore = this->Find<RestoreQuotas>();
  ASSERT_NE(restore, nullptr);
  EXPECT_EQ(restore->levels.at("school"), 0);
  EXPECT_EQ(restore->levels.at("museum"), -20);
  EXPECT_EQ(restore->age, Duration(0)) << "nothing is refilled";
}

}  // namespace
}  // namespace boragewharf::fleet
