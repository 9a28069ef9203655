/**
 * @file stream_records_contact_test.cc
 * Records of the software versions that began streams, after a freeze or a loss
 * of contact.
 */
#include "stream_records_fixture.h"

namespace boragewharf::serving {
namespace {

// Guards against the only version of a history from before a freeze, if another
// one began streams meanwhile and nobody is left to tell of it.
TEST_F(StreamRecordsTest, WokenNodeReadsTheSavesAgain) {
  this->store_followed = true;
  this->List({"v1"});
  this->Run(seconds(2));
  this->Begin(0, "own", "v1");
  this->nodes[0].frozen = true;
  const TimePoint asked_before = this->now;
  this->List({"v1", "v2"});
  this->Begin(1, "elsewhere", "v2");
  this->Run(seconds(3));
  this->nodes[1].records.reset();
  this->nodes[2].records.reset();
  this->List({"v1"});
  EXPECT_FALSE(this->nodes[0].records->TakeRestoreWanted());
  this->Wake(0, false);
  EXPECT_EQ(this->Find(0, "elsewhere").origin, StreamOrigin::kPending);
  this->Run(kPeriod);
  EXPECT_EQ(this->Find(0, "elsewhere").origin, StreamOrigin::kPending);
  EXPECT_TRUE(this->nodes[0].records->TakeRestoreWanted());
  EXPECT_FALSE(this->nodes[0].records->TakeRestoreWanted());
  this->ExpectKnown("own", "v1");
  // Neither its own save nor an answer from before the freeze tells it.
  this->Restore(0, {0}, this->now);
  EXPECT_EQ(this->Find(0, "untold").origin, StreamOrigin::kPending);
  this->Restore(0, {1, 2}, asked_before);
  EXPECT_NE(this->Find(0, "untold").origin, StreamOrigin::kKnown);
  this->Restore(0, {1, 2}, this->now);
  this->ExpectKnown("elsewhere", "v2");
  EXPECT_EQ(this->Find(0, "untold").origin, StreamOrigin::kUnknown);
}

// Guards against refusing the streams of the only version after a freeze: the
// saves of the others tell that there was no other one.
TEST_F(StreamRecordsTest, WokenNodeKnowsTheOnlyVersionFromTheSaves) {
  this->store_followed = true;
  this->List({"v1"});
  this->Run(seconds(2));
  this->nodes[0].frozen = true;
  const TimePoint asked_before = this->now;
  this->Run(seconds(2));
  this->nodes[1].records.reset();
  this->nodes[2].records.reset();
  this->Wake(0, false);
  this->Run(kPeriod);
  this->Restore(0, {0, 1, 2}, asked_before);
  EXPECT_EQ(this->Find(0, "other").origin, StreamOrigin::kPending);
  this->Restore(0, {0, 1, 2}, this->now);
  this->ExpectKnown("other", "v1");
  // Without any save, what it has seen itself is enough after the keep time.
  this->nodes[0].frozen = true;
  this->Run(seconds(2));
  this->Wake(0, false);
  this->Run(seconds(4));
  EXPECT_EQ(this->Find(0, "other").origin, StreamOrigin::kUnknown);
  this->Run(seconds(117));
  this->ExpectKnown("other", "v1");
}

// Guards against a version that came and went during a freeze and is never
// heard of, as its datagrams were dropped.
TEST_F(StreamRecordsTest, WokenNodeIsToldByTheOthers) {
  this->List({"v1"});
  this->Run(seconds(6));
  this->nodes[0].frozen = true;
  this->List({"v1", "v2"});
  this->Begin(1, "elsewhere", "v2");
  this->Run(seconds(3));
  this->List({"v1"});
  this->Run(seconds(1));
  this->Wake(0, false);
  this->Run(kPeriod);
  EXPECT_EQ(this->Find(0, "elsewhere").origin, StreamOrigin::kPending);
  this->Run(seconds(1));
  this->ExpectKnown("elsewhere", "v2");
  EXPECT_EQ(this->Find(0, "untold").origin, StreamOrigin::kUnknown);
}

// Guards against a complete history that was sent before a version appeared,
// and was read from the socket after a freeze.
TEST_F(StreamRecordsTest, HistoryThatWasQueuedDuringAFreezeIsNotComplete) {
  this->store_followed = true;
  this->List({"v1"});
  this->Run(seconds(6));
  this->nodes[0].frozen = true;
  this->StartNode(2, false);  // The others tell it their history.
  this->Run(seconds(1));
  const auto queued = this->nodes[0].received;
  ASSERT_FALSE(queued.empty());
  this->List({"v1", "v2"});
  this->Begin(1, "elsewhere", "v2");
  this->Run(seconds(2));
  this->List({"v1"});
  this->nodes[1].records.reset();
  this->nodes[2].records.reset();
  this->nodes[0].received = queued;
  this->Wake(0, true);
  this->Run(kPeriod);
  EXPECT_EQ(this->Find(0, "elsewhere").origin, StreamOrigin::kPending);
}

// Guards against a version that came and went while a node was cut off, and
// against refusing streams for long after a short loss of datagrams.
TEST_F(StreamRecordsTest, NodeThatWasCutOffIsToldWhatItMissed) {
  this->List({"v1"});
  this->Run(seconds(6));
  this->nodes[0].cut_off = true;
  this->Run(kPeriod);
  EXPECT_EQ(this->Find(0, "other").origin, StreamOrigin::kPending);
  this->Run(seconds(1));
  EXPECT_EQ(this->Find(0, "other").origin, StreamOrigin::kUnknown);
  this->nodes[0].cut_off = false;
  this->Run(kPeriod);
  EXPECT_EQ(this->Find(0, "other").origin, StreamOrigin::kPending);
  this->Run(seconds(1));
  this->ExpectKnown("other", "v1");

  this->Run(seconds(5));
  this->nodes[0].cut_off = true;
  this->List({"v1", "v2"});
  this->Begin(1, "elsewhere", "v2");
  this->Run(seconds(3));
  this->List({"v1"});
  this->Run(seconds(2));
  this->nodes[0].cut_off = false;
  this->Run(kPeriod);
  EXPECT_EQ(this->Find(0, "elsewhere").origin, StreamOrigin::kPending);
  this->Run(seconds(1));
  this->ExpectKnown("elsewhere", "v2");
}

// Guards against saves without a complete history, of which no node would learn
// that it knows all versions, after all nodes were frozen at the same time.
TEST_F(StreamRecordsTest, SavesStayCompleteWhenAllNodesWereFrozen) {
  this->List({"v1"});
  this->Run(seconds(2));
  this->now += seconds(3);
  this->Run(kPeriod);
  const uint64_t before = this->saves;
  this->List({"v1"}, 1);  // Wants a save.
  this->Run(kPeriod);
  EXPECT_EQ(this->saves, before + this->nodes.size());
  this->RestoreAll();
  this->ExpectKnown("other", "v1");
}

// Guards against taking the time until the first contact for a loss of it, and
// the freeze of a single node for something that others can have used.
TEST_F(StreamRecordsTest, NothingIsMissedBeforeContactOrWithoutOthers) {
  this->List({"v1"});
  this->nodes[0].cut_off = true;
  this->Run(seconds(1));
  this->nodes[0].cut_off = false;
  this->Run(kPeriod);
  this->ExpectKnown("other", "v1");
  EXPECT_FALSE(this->nodes[0].records->TakeRestoreWanted());

  this->nodes.resize(1);
  this->Run(kPeriod);
  this->now += seconds(3);
  this->Run(kPeriod);
  this->ExpectKnown("other", "v1");
}

}  // namespace
}  // namespace boragewharf::serving
