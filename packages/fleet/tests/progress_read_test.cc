/**
 * @file progress_read_test.cc
 * Reading of the saved progress while the store does not answer.
 */
#include <gtest/gtest.h>

#include "fleet_fixture.h"

namespace boragewharf::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** A node that is not the first one of its deployment. */
class ProgressReadTest : public FleetTest {
 protected:
  ProgressReadTest() { this->Start("10.0.0.1"); }

  void Start(const std::string& ip) {
    FleetSettings settings = MakeSettings(ip);
    settings.first_start = false;
    this->state = FleetState(settings);
  }

  /** Runs ticks until the progress is read. @return The time that passed. */
  Duration WaitForRead(Duration limit = seconds(10)) {
    const TimePoint from = this->now;
    do {
      this->TickFor(kTickPeriod);
    } while (this->Find<ReadProgress>() == nullptr && this->now - from < limit);
    return this->now - from;
  }

  void FailRead() {
    this->Apply(ProgressReadFailed{ResultCode::kStoreUnavailable, true});
  }

  /** Lets the node take over a released lease, and has it something to save. */
  void GainDuties() {
    this->Configure();
    serving::TrafficReport report;
    report.quota_levels = {{"school", 12.5}};
    this->Apply(TrafficReported{report});
    this->TickFor(kTickPeriod);
    lease::LeaseRecord released;
    released.holder = MemberId{9};
    released.fencing = FencingNumber{4};
    released.released = true;
    this->Apply(LeaseEvent{lease::LeaseRead{kDutyLease, {"7"}, released}});
    this->Apply(LeaseEvent{lease::LeaseWritten{kDutyLease, {"8"}}});
  }

  /** Runs ticks for longer than a save period, and answers no calls.
   * @return Whether progress was saved. */
  bool Saves() {
    for (int i = 0; i < 12; ++i) {
      this->TickFor(kTickPeriod);
      if (this->Find<SaveProgress>() != nullptr) {
        return true;
      }
    }
    return false;
  }
};

// Guards against a node that starts while the store is away and never reads the
// blocks and counts of before its start.
TEST_F(ProgressReadTest, ReadIsRepeatedUntilItSucceeds) {
  this->TickFor(kTickPeriod);
  ASSERT_NE(this->Find<ReadProgress>(), nullptr);
  for (int i = 0; i < 10; ++i) {
    this->FailRead();
    const Duration delay = this->WaitForRead();
    EXPECT_GE(delay, milliseconds(250));
    EXPECT_LE(delay, milliseconds(2100));
  }
  this->Apply(ProgressRead{});
  EXPECT_GE(this->WaitForRead(), seconds(10)) << "it has been read";
}

// Guards against reads of progress that does not exist.
TEST_F(ProgressReadTest, MissingProgressIsNotReadAgain) {
  this->TickFor(kTickPeriod);
  this->Apply(ProgressReadFailed{ResultCode::kStoreNotFound, false});
  EXPECT_GE(this->WaitForRead(), seconds(10));
}

// Guards against nodes that all read at the same moments.
TEST_F(ProgressReadTest, NodesWaitForDifferentTimes) {
  std::set<Duration> delays;
  for (int node = 1; node <= 40; ++node) {
    this->Start("10.0.0." + std::to_string(node));
    this->TickFor(kTickPeriod);
    for (int i = 0; i < 3; ++i) {
      this->FailRead();
      this->WaitForRead();
    }
    this->FailRead();
    delays.insert(this->WaitForRead());
  }
  EXPECT_GE(delays.size(), 8U) << "of 11 ticks between 1 s and 2 s";
}

// Guards against a save that replaces progress that nobody has read.
TEST_F(ProgressReadTest, HolderSavesOnlyAfterItHasRead) {
  this->TickFor(kTickPeriod);
  this->Apply(ProgressRead{});
  this->GainDuties();
  ASSERT_NE(this->Find<ReadProgress>(), nullptr);
  this->FailRead();
  EXPECT_FALSE(this->Saves());
  this->Apply(ProgressRead{});
  EXPECT_TRUE(this->Saves());
}

// Guards against a save after a read that may not have the last save of the
// earlier holder: it was begun before this node had the duties.
TEST_F(ProgressReadTest, HolderReadsAgainWhatItBeganToReadBefore) {
  this->TickFor(kTickPeriod);
  ASSERT_NE(this->Find<ReadProgress>(), nullptr);
  this->GainDuties();
  EXPECT_EQ(this->Find<ReadProgress>(), nullptr) << "one read at a time";
  this->Apply(ProgressRead{});
  EXPECT_EQ(this->WaitForRead(), kTickPeriod);
  EXPECT_FALSE(this->Saves());
}

}  // namespace
}  // namespace boragewharf::fleet
