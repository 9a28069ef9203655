/**
 * @file duty_era_test.cc
 * Usage reports when the store comes back from an earlier copy.
 */
#include <gtest/gtest.h>

#include "duty_fixture.h"

namespace boragewharf::fleet {
namespace {

class DutyEraTest : public DutyTest {
 protected:
  int64_t CurrentWindow() const {
    const int64_t wall =
        kStartWallMs + (this->now - TimePoint{}) / std::chrono::milliseconds(1);
    return wall / 5000;
  }
};

// Guards against a window that is reported twice with different counts, because
// the store has lost those that were recorded for the first report.
TEST_F(DutyEraTest, WindowsThatMayBeReportedAreStated) {
  this->GainDuties();
  const int64_t gained_in = this->CurrentWindow();
  auto fix = this->RunUntil<FixUsage>(seconds(20));
  ASSERT_TRUE(fix);
  EXPECT_EQ(fix->may_be_reported_through, gained_in);
  EXPECT_TRUE(fix->known.empty());
  const NamedCounts counts{{"school", 3}};
  const int64_t first = fix->window;
  this->Apply(UsageFixed{first, counts});
  this->Apply(UsageSent{first, false});
  std::map<int64_t, NamedCounts> known{{first, counts}};
  while (known.size() < 4) {
    fix = this->RunUntil<FixUsage>(seconds(20));
    ASSERT_TRUE(fix);
    EXPECT_EQ(fix->may_be_reported_through, gained_in);
    EXPECT_EQ(fix->known, known);
    this->Apply(UsageFixed{fix->window, counts});
    known[fix->window] = counts;
  }
  // A window that could not be recorded has no counts.
  fix = this->RunUntil<FixUsage>(seconds(20));
  ASSERT_TRUE(fix);
  this->Apply(UsageFixed{fix->window, std::nullopt, true});
  const int64_t closed = fix->window;
  fix = this->RunUntil<FixUsage>(seconds(20));
  ASSERT_TRUE(fix);
  EXPECT_FALSE(fix->known.contains(closed));
}

}  // namespace
}  // namespace boragewharf::fleet
