/**
 * @file stream_records_test.cc
 * Records of the software versions that began streams, of one or more nodes.
 */
#include "stream_records_fixture.h"

#include "base/body_func.h"

namespace boragewharf::serving {
namespace {

// Guards against cost while all servers have one version, and against refusing
// the streams of that time.
TEST_F(StreamRecordsTest, OneVersionIsKnownWithoutTellingStreams) {
  this->List({"v1", "v1"});
  this->Run(seconds(3));
  const uint64_t told = this->messages;
  const uint64_t saved = this->saves;
  for (int i = 0; i < 100; ++i) {
    this->Begin(0, std::to_string(i), "v1");
    this->Run(kPeriod);
  }
  this->ExpectKnown("7", "v1");
  this->ExpectKnown("", "v1");
  EXPECT_EQ(this->messages, told);
  EXPECT_EQ(this->saves, saved);
}

// Guards against streams of two versions at another node, for those that began
// before the second version as well as later ones.
TEST_F(StreamRecordsTest, SecondVersionMakesNodesTellTheirStreams) {
  this->List({"v1"});
  this->Run(seconds(1));
  this->Begin(0, "before", "v1");
  this->Run(seconds(5));
  this->List({"v1", "v2"});
  EXPECT_EQ(this->Find(1, "before").origin, StreamOrigin::kUnknown);
  this->Begin(0, "after", "v2");
  this->Run(seconds(2));
  this->ExpectKnown("before", "v1");
  this->ExpectKnown("after", "v2");
  EXPECT_EQ(this->Find(1, "never begun").origin, StreamOrigin::kUnknown);
}

// Guards against a told time that is shorter than the telling takes, so that
// take-ups are refused as unknown, and against waiting where nothing is told.
TEST_F(StreamRecordsTest, StreamsAreToldWithinTheStatedTime) {
  this->List({"v1", "v2"});
  this->Run(seconds(4));
  const Duration told_within = this->Find(1, "late").told_within;
  EXPECT_GT(told_within, Duration::zero());
  EXPECT_EQ(this->Find(1, "").told_within, Duration::zero());
  this->Begin(0, "late", "v2");
  this->Run(told_within - kPeriod);
  this->ExpectKnown("late", "v2");
  this->List({"v2"});
  EXPECT_EQ(this->Find(1, "late").told_within, Duration::zero());
}

// Guards against making the client of a stream that no node knows wait at each
// node that it asks (ascb-wharf-grown, day rejoined: 1.5 s each of three
// times).
TEST_F(StreamRecordsTest, StreamOfUnknownVersionIsWaitedForOnce) {
  this->List({"v1", "v2"});
  this->Run(seconds(4));
  ASSERT_GT(this->Find(1, "lost").told_within, Duration::zero());
  this->nodes[0].records->RecordUnknown(kService, "lost", this->now);
  this->Run(seconds(1));
  for (size_t node = 0; node < 3; ++node) {
    EXPECT_EQ(this->Find(node, "lost").origin, StreamOrigin::kUnknown);
    EXPECT_EQ(this->Find(node, "lost").told_within, Duration::zero());
  }
}

// Guards against making the clients of streams that were lost with all nodes
// wait: nobody is left who could tell them.
TEST_F(StreamRecordsTest, LostStreamsAreNotWaitedForAfterARestart) {
  this->List({"v1", "v2"});
  this->Run(seconds(4));
  this->Begin(0, "saved", "v1");
  this->Run(seconds(2));
  this->RestartAll();
  this->RestoreAll();
  this->Run(seconds(1));
  this->ExpectKnown("saved", "v1");
  EXPECT_EQ(this->Find(1, "lost").origin, StreamOrigin::kUnknown);
  EXPECT_EQ(this->Find(1, "lost").told_within, Duration::zero());
  this->Run(seconds(5));
  EXPECT_GT(this->Find(1, "other").told_within, Duration::zero());
}

// Guards against a stream that is refused because a node has recorded it as
// unknown before it was told, or while another node knew it.
TEST_F(StreamRecordsTest, VersionReplacesTheRecordOfAnUnknownStream) {
  this->List({"v1", "v2"});
  this->Run(seconds(4));
  this->Begin(0, "late", "v1");
  this->nodes[1].records->RecordUnknown(kService, "late", this->now);
  this->Run(seconds(2));
  this->ExpectKnown("late", "v1");
  this->nodes[2].records->RecordUnknown(kService, "late", this->now);
  this->Run(seconds(2));
  this->ExpectKnown("late", "v1");
}

// Guards against clients that make the nodes remember streams that never began.
TEST_F(StreamRecordsTest, FewUnknownStreamsAreRecorded) {
  this->List({"v1", "v2"});
  this->Run(seconds(4));
  const size_t before = this->nodes[0].records->Size();
  for (int i = 0; i < 1000; ++i) {
    this->nodes[0].records->RecordUnknown(kService, std::to_string(i),
                                          this->now);
  }
  EXPECT_LE(this->nodes[0].records->Size(), before + 64);
}

// Guards against going on with a stream of a version that has left at the one
// that remains.
TEST_F(StreamRecordsTest, VersionThatLeftIsRemembered) {
  this->List({"v1"});
  this->Run(seconds(1));
  this->Begin(0, "old", "v1");
  this->List({"v2"});
  this->Run(seconds(2));
  this->ExpectKnown("old", "v1");
  EXPECT_EQ(this->Find(1, "other").origin, StreamOrigin::kUnknown);
  this->Run(seconds(121));
  this->ExpectKnown("other", "v2");
}

// Guards against an unknown version after two messages in a row to each node
// were lost.
TEST_F(StreamRecordsTest, StreamsAreToldMoreThanOnce) {
  this->List({"v1", "v2"});
  this->Run(seconds(2));
  for (int i = 0; i < 300; ++i) {
    this->Begin(static_cast<size_t>(i % 3), std::to_string(i), "v2");
  }
  this->all_lost = true;
  this->Run(4 * kPeriod);
  EXPECT_EQ(this->Find(1, "0").origin, StreamOrigin::kUnknown);
  this->all_lost = false;
  this->Run(2 * kPeriod);
  for (int i = 0; i < 300; ++i) {
    this->ExpectKnown(std::to_string(i), "v2");
  }
}

// Guards against streams of two versions after all nodes were killed at once,
// also when the version that began them has left meanwhile.
TEST_F(StreamRecordsTest, StreamsSurviveTheRestartOfAllNodes) {
  this->List({"v1", "v2"});
  this->Begin(0, "first", "v1");
  this->Begin(1, "second", "v2");
  this->Run(seconds(1));
  this->List({"v2"});
  this->RestartAll();
  EXPECT_EQ(this->Find(0, "first").origin, StreamOrigin::kPending);
  this->Run(kPeriod);
  this->RestoreAll();
  this->ExpectKnown("first", "v1");
  this->ExpectKnown("second", "v2");
  EXPECT_EQ(this->Find(2, "not saved").origin, StreamOrigin::kUnknown);

  // A second restart must not lose what the first one had restored.
  this->Run(seconds(1));
  this->RestartAll();
  this->Run(kPeriod);
  this->RestoreAll();
  this->ExpectKnown("first", "v1");
}

// Guards against refusing streams for good because reading the saves takes
// longer than the start of the nodes.
TEST_F(StreamRecordsTest, StreamsArePendingUntilTheSavesAreRead) {
  this->List({"v1", "v2"});
  this->Begin(0, "first", "v1");
  this->Run(seconds(1));
  this->RestartAll();
  this->Run(seconds(6));
  EXPECT_EQ(this->Find(1, "first").origin, StreamOrigin::kPending);
  this->RestoreAll();
  this->ExpectKnown("first", "v1");
}

// Guards against taking the only version of a save for that of all streams if
// the store has lost a later save, which had another version.
TEST_F(StreamRecordsTest, SaveOfAnEarlierEraWaitsForTheServersOfTheLaterOne) {
  this->List({"v1"}, 1);
  this->Run(seconds(1));
  this->RestartAll();
  this->RestoreAll(true);
  this->Run(seconds(1));
  EXPECT_EQ(this->Find(0, "untold").origin, StreamOrigin::kPending);
  this->List({"v1", "v1.1"}, 2);
  this->Run(seconds(4));
  EXPECT_EQ(this->Find(0, "untold").origin, StreamOrigin::kUnknown);
}

// Guards against a node that takes the only listed version for that of a stream
// although no save tells which versions served before.
TEST_F(StreamRecordsTest, RestartWithoutSavesKnowsNoVersion) {
  this->List({"v1"});
  this->Begin(0, "first", "v1");
  this->List({"v2"});
  this->RestartAll();
  this->Run(kPeriod);
  EXPECT_EQ(this->Find(0, "first").origin, StreamOrigin::kPending);
  this->RestoreAll();  // Nothing was saved.
  this->Run(seconds(4));
  EXPECT_EQ(this->Find(0, "first").origin, StreamOrigin::kUnknown);
  this->Run(seconds(121));
  EXPECT_EQ(this->Find(0, "first").origin, StreamOrigin::kKnown);
}

// Guards against refusing streams at a node that was restarted alone while the
// store can't be read.
TEST_F(StreamRecordsTest, RestartedNodeIsToldByTheOthers) {
  this->List({"v1"});
  this->Begin(0, "early", "v1");
  this->Run(seconds(2));
  this->StartNode(2, false);
  this->Run(seconds(2));
  this->ExpectKnown("early", "v1");
  this->List({"v1", "v2"});
  this->Run(seconds(2));
  this->StartNode(2, false);
  this->Run(seconds(6));
  this->ExpectKnown("early", "v1");
}

// Guards against a node that is cut off and takes the only version that it
// knows for that of a stream which began elsewhere.
TEST_F(StreamRecordsTest, NodeWithoutMostOthersReliesOnRecordsOnly) {
  this->List({"v1"});
  this->Run(seconds(4));
  this->Begin(0, "own", "v1");
  this->nodes[1].records.reset();
  this->nodes[2].records.reset();
  this->Run(seconds(1));
  EXPECT_EQ(this->Find(0, "own").origin, StreamOrigin::kKnown);
  EXPECT_EQ(this->Find(0, "other").origin, StreamOrigin::kUnknown);
  // Nor does one that was suspended.
  this->StartNode(1, true);
  this->StartNode(2, true);
  this->Run(seconds(4));
  this->now += seconds(3);
  EXPECT_EQ(this->Find(0, "other").origin, StreamOrigin::kPending);
  this->Run(kPeriod);
  EXPECT_EQ(this->Find(0, "other").origin, StreamOrigin::kPending);
  this->RestoreAll();
  this->ExpectKnown("other", "v1");
}

// Guards against refusing all streams that are taken up while most nodes are
// down: the store tells those that are left which versions serve.
TEST_F(StreamRecordsTest, LastNodeThatFollowsTheStoreKnowsTheOnlyVersion) {
  this->List({"v1"});
  this->Run(seconds(1));
  for (const size_t index : {1U, 2U}) {
    this->nodes[index].records.reset();
  }
  this->store_followed = true;
  this->Run(seconds(1));
  const StreamVersion found = this->Find(0, "not told");
  EXPECT_EQ(found.origin, StreamOrigin::kKnown);
  EXPECT_EQ(found.version, "v1");
}

// Guards against nodes that are busy after a restart with thousands of saved
// streams that no client takes up any more: take-ups were refused meanwhile.
TEST_F(StreamRecordsTest, EndedStreamsAreNotSavedForLong) {
  this->List({"v1", "v2"});
  this->Begin(0, "broken", "v1");
  this->Begin(0, "taken up", "v1");
  this->End(0, "taken up");
  for (int i = 0; i < 100; ++i) {
    this->Begin(0, std::to_string(i), "v2");
    this->Run(kPeriod);
    this->End(0, std::to_string(i));
  }
  this->Begin(0, "taken up", "v1");
  this->Run(seconds(1));
  const StreamReport& saved = *this->nodes[0].saved;
  size_t streams = 0;
  for (const BegunStreams& group : saved.groups) {
    streams += group.streams.size();
  }
  EXPECT_LE(streams, 2 + seconds(6) / kPeriod);
  EXPECT_EQ(this->Find(0, "broken").version, "v1");
  EXPECT_EQ(this->Find(0, "taken up").version, "v1");
  // A client may still lack the last bytes.
  EXPECT_EQ(this->Find(0, "99").version, "v2");
  EXPECT_EQ(this->Find(0, "1").origin, StreamOrigin::kUnknown);
}

// Guards against going on, at the only version that is known, with a stream
// that a server with an outdated entry began; and against refusing all other
// streams because of it.
TEST_F(StreamRecordsTest, StreamOfAnUnknownVersionStaysUnknown) {
  this->List({"v1"});
  this->Run(seconds(1));
  this->Begin(0, "sure", "v1");
  this->Begin(0, "unsure", kUnknownVersion);
  this->Run(seconds(2));
  for (size_t node = 0; node < this->nodes.size(); ++node) {
    EXPECT_EQ(this->Find(node, "unsure").origin, StreamOrigin::kUnknown);
  }
  this->ExpectKnown("sure", "v1");
  this->RestartAll();
  this->RestoreAll();
  this->Run(seconds(1));
  for (size_t node = 0; node < this->nodes.size(); ++node) {
    EXPECT_EQ(this->Find(node, "unsure").origin, StreamOrigin::kUnknown);
  }
  this->ExpectKnown("sure", "v1");
}

// Guards against taking two servers without a version for servers of the same
// one once the service has several. As the only one, it is one.
TEST_F(StreamRecordsTest, StreamWithoutVersionIsUnknownBesideOthers) {
  this->List({""});
  this->Run(seconds(1));
  this->Begin(0, "bare", "");
  this->ExpectKnown("bare", "");
  this->List({"", "v1"});
  this->Begin(0, "stated", "v1");
  this->Run(seconds(2));
  for (size_t node = 0; node < this->nodes.size(); ++node) {
    EXPECT_EQ(this->Find(node, "bare").origin, StreamOrigin::kUnknown);
  }
  this->ExpectKnown("stated", "v1");
}

// Guards against saves that a store forgets when it comes back from a copy, and
// against a failed save that is not repeated.
TEST_F(StreamRecordsTest, SavesAreRepeated) {
  this->List({"v1", "v2"}, 1);
  this->Run(seconds(2));
  uint64_t before = this->saves;
  this->Run(seconds(2));
  EXPECT_EQ(this->saves, before) << "nothing has changed";
  this->List({"v1", "v2"}, 2);
  this->Run(seconds(1));
  EXPECT_GE(this->saves, before + this->nodes.size());
  this->store_away = true;
  this->Begin(0, "late", "v2");
  this->Run(seconds(2));
  before = this->saves;
  this->store_away = false;
  this->Run(seconds(1));
  EXPECT_EQ(this->saves, before + 1);
  EXPECT_EQ(this->nodes[0].saved->groups.size(), 1U);
}

// Guards against more memory, or larger saves, than planned.
TEST_F(StreamRecordsTest, NumberOfStreamsIsBounded) {
  this->List({"v1", "v2"});
  for (int i = 0; i < 70000; ++i) {
    this->Begin(0, std::to_string(i), "v1");
  }
  this->Run(seconds(1));
  EXPECT_LE(this->nodes[0].records->Size(), 65536U);
  EXPECT_EQ(this->Find(0, "69999").origin, StreamOrigin::kKnown);
  EXPECT_EQ(this->Find(0, "1").origin, StreamOrigin::kUnknown);
  EXPECT_LE(this->nodes[0].saved->groups.at(0).streams.size(), 20000U);
}

// Guards against payloads from the network that are no reports.
TEST_F(StreamRecordsTest, InvalidReportsAreCountedAndDropped) {
  const auto kind = static_cast<uint16_t>(ExtensionKind::kStreamVersions);
  StreamReport report;
  report.history.push_back({HashName(kService), {{std::string(1000, 'v'), 0}}});
  report.groups.push_back({HashName(kService), std::string(1000, 'v'), {}});
  this->nodes[0].received = {{1, 1, this->now, kind, "odd"},
                             {1, 1, this->now, kind, EncodeBody(report)}};
  this->Run(kPeriod);
  EXPECT_EQ(this->nodes[0].records->InvalidReports(), 3U);
  EXPECT_EQ(this->nodes[0].records->Size(), 0U);
}

}  // namespace
}  // namespace boragewharf::serving
