/**
 * @file stream_save_test.cc
 * Saves of begun streams, and their restoration after a restart.
 */
#include <gtest/gtest.h>

#include <optional>

#include "fleet/fleet_cmd.h"
#include "fleet_fixture.h"

namespace boragewharf::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

class StreamSaveTest : public FleetTest {
 protected:
  /** Returns the first effect of the saves of the last event, or nullptr. */
  template <class Wanted>
  const Wanted* FindOfStreams() const {
    for (const Effect& effect : this->effects) {
      const auto* streams = std::get_if<StreamEffect>(&effect);
      const auto* found =
          streams == nullptr ? nullptr : std::get_if<Wanted>(&streams->effect);
      if (found != nullptr) {
        return found;
      }
    }
    return nullptr;
  }

  int64_t WallNowMs() const {
    return kStartWallMs + (this->now - TimePoint{}) / milliseconds(1);
  }

  /** The save of a node, made @p age ago by the clocks of all nodes. */
  StoredStreams Stored(Duration age, const std::string& version) const {
    StoredStreams stored;
    stored.saved_wall_ms =
        this->WallNowMs() -
        std::chrono::duration_cast<milliseconds>(age).count();
    stored.report.complete = true;
    stored.report.history = {{7, {{version, 500}}}};
    stored.report.groups = {{7, version, {{1, 5}, {2, 65530}}}};
    return stored;
  }

  void ApplyRead(std::vector<StoredStreams> saved) {
    this->Apply(
        StreamEvent{StreamsRead{true, std::move(saved), 0, this->WallNowMs()}});
  }
};

// Guards against a restarted node that never learns what was saved because the
// store did not answer at its start.
TEST_F(StreamSaveTest, FailedReadIsRepeated) {
  this->TickFor(seconds(1));
  EXPECT_EQ(this->FindOfStreams<ReadStreams>(), nullptr) << "first start";
  this->Apply(StreamEvent{StreamRestoreWanted{}});
  this->TickFor(kTickPeriod);
  ASSERT_NE(this->FindOfStreams<ReadStreams>(), nullptr);
  const Duration first_timeout = this->FindOfStreams<ReadStreams>()->timeout;
  this->TickFor(kTickPeriod);
  EXPECT_EQ(this->FindOfStreams<ReadStreams>(), nullptr) << "being read";
  this->Apply(StreamEvent{StreamsRead{}});
  EXPECT_EQ(this->FindOfStreams<RestoreStreams>(), nullptr);
  const ReadStreams* again = nullptr;
  for (const TimePoint end = this->now + milliseconds(500);
       again == nullptr && this->now < end;) {
    this->TickFor(kTickPeriod);
    again = this->FindOfStreams<ReadStreams>();
  }
  ASSERT_NE(again, nullptr);
  EXPECT_GT(again->timeout, first_timeout) << "the same may fail forever";
  this->ApplyRead({});
  ASSERT_NE(this->FindOfStreams<RestoreStreams>(), nullptr);
  EXPECT_TRUE(this->FindOfStreams<RestoreStreams>()->saved.empty());
  this->TickFor(seconds(1));
  EXPECT_EQ(this->FindOfStreams<ReadStreams>(), nullptr);
}

// Guards against taking saves that were asked for before a freeze for all that
// others have saved until its end, and against a read that is never made
// because another one was under way.
TEST_F(StreamSaveTest, SavesAreReadAgainIfWantedDuringARead) {
  this->TickFor(kTickPeriod);
  this->Apply(StreamEvent{StreamRestoreWanted{}});
  this->TickFor(kTickPeriod);
  ASSERT_NE(this->FindOfStreams<ReadStreams>(), nullptr);
  const TimePoint asked = this->now;
  this->now += seconds(4);
  this->Apply(StreamEvent{StreamRestoreWanted{}});
  this->TickFor(kTickPeriod);
  EXPECT_EQ(this->FindOfStreams<ReadStreams>(), nullptr) << "being read";
  this->ApplyRead({});
  ASSERT_NE(this->FindOfStreams<RestoreStreams>(), nullptr);
  EXPECT_EQ(this->FindOfStreams<RestoreStreams>()->asked, asked);
  const ReadStreams* again = nullptr;
  for (int ticks = 0; again == nullptr && ticks < 200; ++ticks) {
    this->TickFor(kTickPeriod);
    again = this->FindOfStreams<ReadStreams>();
  }
  ASSERT_NE(again, nullptr);
  const TimePoint asked_again = this->now;
  this->ApplyRead({});
  ASSERT_NE(this->FindOfStreams<RestoreStreams>(), nullptr);
  EXPECT_EQ(this->FindOfStreams<RestoreStreams>()->asked, asked_again);
  this->TickFor(seconds(2));
  EXPECT_EQ(this->FindOfStreams<ReadStreams>(), nullptr);
}

// Guards against a node that spends its time on reading saves, as reading them
// delays it so much that it wants them again.
TEST_F(StreamSaveTest, ReadsTakeABoundedShareOfTheTime) {
  this->TickFor(kTickPeriod);
  int reads = 0;
  std::optional<TimePoint> asked;
  for (const TimePoint end = this->now + seconds(60); this->now < end;) {
    this->Apply(StreamEvent{StreamRestoreWanted{}});
    this->TickFor(kTickPeriod);
    if (this->FindOfStreams<ReadStreams>() != nullptr) {
      asked = this->now;
      reads += 1;
    }
    if (asked && this->now - *asked >= seconds(2)) {
      this->ApplyRead({});
      asked.reset();
    }
  }
  EXPECT_GE(reads, 5);
  EXPECT_LE(reads, 7);
}

// Guards against ages that leave out the time since the save, and against the
// versions of nodes that are gone for long.
TEST_F(StreamSaveTest, AgesIncludeTheTimeSinceTheSave) {
  this->TickFor(kTickPeriod);
  this->ApplyRead(
      {this->Stored(seconds(2), "v1"), this->Stored(minutes(6), "v0")});
  const auto* restore = this->FindOfStreams<RestoreStreams>();
  ASSERT_NE(restore, nullptr);
  ASSERT_EQ(restore->saved.size(), 1U);
  const serving::StreamReport& report = restore->saved[0].report;
  EXPECT_TRUE(report.complete);
  EXPECT_EQ(report.history[0].versions[0].age_ms, 2500U);
  EXPECT_EQ(report.groups[0].streams[0].age, 25U);
  EXPECT_EQ(report.groups[0].streams[1].age, 65535U);
}

// Guards against a clock that was set back or ahead at the restart: the streams
// are still known, but not that no other version served meanwhile.
TEST_F(StreamSaveTest, StreamsAreRestoredWhateverTheClockSays) {
  this->TickFor(kTickPeriod);
  this->ApplyRead({this->Stored(-minutes(60), "v1")});
  const auto* restore = this->FindOfStreams<RestoreStreams>();
  ASSERT_EQ(restore->saved.size(), 1U);
  EXPECT_TRUE(restore->saved[0].report.complete);
  EXPECT_EQ(restore->saved[0].report.groups[0].streams[0].age, 5U);
  this->ApplyRead({this->Stored(minutes(60), "v1")});
  restore = this->FindOfStreams<RestoreStreams>();
  ASSERT_EQ(restore->saved.size(), 1U);
  EXPECT_FALSE(restore->saved[0].report.complete);
}

// Guards against a save without a time, and against a result that is lost.
TEST_F(StreamSaveTest, SaveHasTheTimeOfDay) {
  this->Apply(StreamEvent{StreamSaveWanted{{3, {}}}});
  ASSERT_NE(this->FindOfStreams<EndStreamSave>(), nullptr);
  EXPECT_FALSE(this->FindOfStreams<EndStreamSave>()->saved);
  this->TickFor(kTickPeriod);
  this->Apply(StreamEvent{StreamSaveWanted{{4, {}}}});
  const auto* save = this->FindOfStreams<SaveStreams>();
  ASSERT_NE(save, nullptr);
  EXPECT_EQ(save->wall_ms, this->WallNowMs());
  this->Apply(StreamEvent{StreamsSaved{4, true}});
  ASSERT_NE(this->FindOfStreams<EndStreamSave>(), nullptr);
  EXPECT_EQ(this->FindOfStreams<EndStreamSave>()->number, 4U);
  EXPECT_TRUE(this->FindOfStreams<EndStreamSave>()->saved);
}

}  // namespace
}  // namespace boragewharf::fleet
