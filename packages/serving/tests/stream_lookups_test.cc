/**
 * @file stream_lookups_test.cc
 * Streams that are taken up at nodes which have no record of them.
 */
#include "serving/stream_lookups_base.h"
#include "stream_records_fixture.h"

namespace boragewharf::serving {
namespace {

/** Nodes whose data planes reach each other, and a store. */
class StreamLookupsTest : public StreamRecordsTest {
 protected:
  /** Data plane of a node. Datagrams arrive at once. */
  struct Plane : StreamLink {
    Plane(StreamLookupsTest& owner, size_t own_index, StreamRecords& records)
        : test(owner), index(own_index), lookups(records, 0) {
      this->lookups.SetLink(*this);
    }

    void Send(uint32_t ip, const StreamMessage& message) override {
      this->test.Deliver(this->index, ip - 1, message);
    }

    void ConfirmServerList(bool begin_to_watch) override {
      this->test.Confirm(this->index, begin_to_watch);
    }

    StreamLookupsTest& test;
    size_t index;
    StreamLookups lookups;
  };

  StreamLookupsTest() { this->Grow(3); }

  /** Starts nodes until there are @p count. */
  void Grow(size_t count) {
    for (size_t i = 0; i < count; ++i) {
      if (i >= this->nodes.size()) {
        this->nodes.emplace_back();
        this->StartNode(i, true);
      }
      if (i >= this->planes.size()) {
        this->planes.push_back(
            std::make_unique<Plane>(*this, i, *this->nodes[i].records));
      }
    }
  }

  void Kill(size_t node) {
    this->planes[node].reset();
    this->nodes[node].records.reset();
  }

  void Restart(size_t node) {
    this->planes[node].reset();
    this->StartNode(node, false);
    this->planes[node] =
        std::make_unique<Plane>(*this, node, *this->nodes[node].records);
  }

  void OnSummary(const TestNode& node, const PeerSummary& summary) override {
    const auto index = static_cast<size_t>(&node - this->nodes.data());
    PeerSummary complete = summary;
    complete.watches_store = this->Watches(index);
    for (const uint32_t ip : summary.heard_ips) {
      if (this->Watches(ip - 1)) {
        complete.store_watchers.push_back(ip);
      }
    }
    this->planes[index]->lookups.SetPeers(complete);
  }

  /** The first three nodes watch the store, as far as they know. */
  static bool Watches(size_t node) { return node < 3; }

  void Deliver(size_t sender, size_t receiver, const StreamMessage& message) {
    this->datagrams += 1;
    if (this->lost > 0) {
      this->lost -= 1;
      return;
    }
    const TestNode& node = this->nodes.at(receiver);
    if (!this->planes.at(receiver) || node.frozen || node.cut_off ||
        this->nodes[sender].cut_off) {
      return;
    }
    this->planes[receiver]->lookups.OnMessage(Ip(sender), message, this->now);
  }

  void Confirm(size_t node, bool begin_to_watch) {
    this->confirmations += 1;
    if ((!Watches(node) && !begin_to_watch) || this->store_away ||
        this->nodes[node].cut_off) {
      return;
    }
    this->nodes[node].records->SetServers(this->in_store, this->now);
    this->planes[node]->lookups.OnListConfirmed(this->now, this->now);
  }

  /** Registers servers, of which nodes learn later; see List(). */
  void Register(const std::vector<std::string>& versions) {
    this->in_store = Listed(versions);
  }

  void RegisterAndList(const std::vector<std::string>& versions) {
    this->Register(versions);
    this->List(versions);
  }

  /** Lets a single node learn of the registered servers. */
  void LearnServers(size_t node) {
    this->nodes[node].records->SetServers(this->in_store, this->now);
  }

  /** Begins a stream and sends its client the first event. */
  void BeginStream(size_t node,
                   const std::string& id,
                   const std::string& version) {
    this->planes[node]->lookups.RecordBegin(kService, id, version, this->now);
  }

  /** Lets a client take a stream up at a node.
   * @param wait Time for which the request waits. */
  StreamVersion TakeUp(size_t node,
                       const std::string& id,
                       Duration wait = milliseconds(400)) {
    StreamLookups& lookups = this->planes[node]->lookups;
    const TimePoint arrived = this->now;
    StreamVersion found = lookups.Find(kService, id, arrived, this->now);
    while (found.origin == StreamOrigin::kPending &&
           this->now - arrived < wait) {
      this->now += milliseconds(20);
      lookups.CheckTime(this->now);
      found = lookups.Find(kService, id, arrived, this->now);
    }
    this->waited = this->now - arrived;
    return found;
  }

  void ExpectGoesOn(size_t node,
                    const std::string& id,
                    const std::string& version) {
    const StreamVersion found = this->TakeUp(node, id);
    EXPECT_EQ(found.origin, StreamOrigin::kKnown) << id << " at " << node;
    EXPECT_EQ(found.version, version) << id << " at " << node;
  }

  void ExpectRefused(size_t node, const std::string& id) {
    EXPECT_NE(this->TakeUp(node, id).origin, StreamOrigin::kKnown)
        << id << " at " << node;
  }

  ServerSet in_store;
  std::vector<std::unique_ptr<Plane>> planes;
  uint32_t lost = 0;  ///< Datagrams that get lost next.
  uint64_t datagrams = 0;
  uint64_t confirmations = 0;
  Duration waited{};  ///< By the last TakeUp().
};

// Guards against a node that has not heard of a new version and goes on with a
// stream of it at the old one (ORDER, review case 6).
TEST_F(StreamLookupsTest, StreamOfAVersionNotHeardOfYet) {
  this->RegisterAndList({"v1"});
  this->Run(seconds(5));
  this->Register({"v1", "v2"});
  this->LearnServers(0);
  this->BeginStream(0, "new", "v2");
  this->ExpectGoesOn(1, "new", "v2");
  EXPECT_EQ(this->waited, Duration::zero());
  // The node that began it, and those that were told, are gone.
  this->Grow(8);
  this->Run(seconds(1));
  this->Register({"v1", "v2", "v3"});
  this->LearnServers(0);
  this->BeginStream(0, "lost", "v3");
  for (size_t node = 0; node < 7; ++node) {
    this->Kill(node);
  }
  this->ExpectRefused(7, "lost");
}

// Guards against a node that takes the only version it knows for that of a
// stream although the store lists another one, if nobody has a record.
TEST_F(StreamLookupsTest, StoreTellsOfAnotherVersion) {
  this->RegisterAndList({"v1"});
  this->Run(seconds(5));
  this->Register({"v1", "v2"});
  this->ExpectRefused(1, "of a killed node");
  this->Run(seconds(1));
  this->Grow(4);
  this->Run(seconds(5));
  this->Register({"v1", "v2"});
  this->ExpectRefused(3, "of a killed node");
}

// Guards against a node that is cut off from the others and the store and goes
// on with streams of a version that appears meanwhile (ORDER, review case 9);
// also after the cut, when that version has left.
TEST_F(StreamLookupsTest, NodeThatIsCutOffConcludesNothing) {
  this->RegisterAndList({"v1"});
  this->Run(seconds(5));
  this->nodes[2].cut_off = true;
  this->RegisterAndList({"v1", "v2"});
  this->BeginStream(0, "new", "v2");
  for (int i = 0; i < 6; ++i) {
    this->ExpectRefused(2, "new");
    this->Run(seconds(1));
  }
  this->RegisterAndList({"v1"});
  this->nodes[2].cut_off = false;
  this->Run(kPeriod);
  this->ExpectGoesOn(2, "new", "v2");
  this->ExpectRefused(2, "unrecorded");
}

// Guards against the same at a node that stood still, and that has read no
// message since.
TEST_F(StreamLookupsTest, NodeThatStoodStillAsksFirst) {
  this->RegisterAndList({"v1"});
  this->Run(seconds(5));
  this->nodes[2].frozen = true;
  this->RegisterAndList({"v1", "v2"});
  this->BeginStream(0, "new", "v2");
  this->Run(seconds(3));
  this->RegisterAndList({"v1"});
  this->nodes[2].frozen = false;
  this->ExpectGoesOn(2, "new", "v2");
  this->ExpectRefused(2, "unrecorded");
}

// Guards against a node that is cut off from the others alone: the store tells
// that there is another version, but not which one began the stream.
TEST_F(StreamLookupsTest, NodeWithoutOthersLearnsOfVersionsFromTheStore) {
  this->RegisterAndList({"v1"});
  this->Run(seconds(5));
  for (const size_t node : {0U, 1U}) {
    this->nodes[node].frozen = true;
  }
  this->Register({"v1", "v2"});
  this->ExpectRefused(2, "new");
}

// Guards against nodes that confirm each other's knowledge in a minority that
// is cut off from the rest.
TEST_F(StreamLookupsTest, MinorityConcludesNothingWithoutTheStore) {
  this->Grow(6);
  this->RegisterAndList({"v1"});
  this->Run(seconds(5));
  this->store_away = true;
  for (const size_t node : {0U, 1U, 2U, 3U}) {
    this->nodes[node].cut_off = true;
  }
  this->ExpectRefused(4, "before silence shows");
  this->Run(seconds(3));
  this->ExpectRefused(4, "other");
  EXPECT_GE(this->waited, milliseconds(300));
}

// Guards against refusing streams, or asking the store more than once, where
// nothing is wrong and one version serves.
TEST_F(StreamLookupsTest, OnlyVersionGoesOnAtOnce) {
  this->Grow(6);
  this->RegisterAndList({"v1"});
  this->Run(seconds(5));
  this->BeginStream(0, "told to nobody", "v1");
  EXPECT_EQ(this->datagrams, 0U);
  this->ExpectGoesOn(1, "a", "v1");
  EXPECT_EQ(this->waited, Duration::zero());
  EXPECT_EQ(this->confirmations, 1U);
  this->ExpectGoesOn(5, "b", "v1");
  EXPECT_EQ(this->waited, Duration::zero());
  EXPECT_LE(this->confirmations, 4U) << "one for each node that watches";
}

// Guards against refusing the streams of a killed node while one version
// serves, before and after its silence shows.
TEST_F(StreamLookupsTest, OnlyVersionGoesOnAfterAKill) {
  this->Grow(6);
  this->RegisterAndList({"v1"});
  this->Run(seconds(5));
  this->Kill(1);
  this->ExpectGoesOn(2, "a", "v1");
  this->ExpectGoesOn(4, "b", "v1");
  EXPECT_LE(this->waited, milliseconds(20));
  this->Run(seconds(2));
  this->ExpectGoesOn(4, "c", "v1");
}

// Guards against refusing streams at the only node that is left, whether it has
// watched the store or not.
TEST_F(StreamLookupsTest, OnlyVersionGoesOnAtTheLastNode) {
  this->Grow(6);
  this->RegisterAndList({"v1"});
  this->Run(seconds(5));
  for (size_t node = 0; node < 5; ++node) {
    this->Kill(node);
  }
  this->ExpectGoesOn(5, "other", "v1");
  EXPECT_LE(this->waited, milliseconds(300));
}

// Guards against refusing streams while the store is away: most nodes know that
// one version has served.
TEST_F(StreamLookupsTest, MostNodesAreEnoughWithoutTheStore) {
  this->Grow(6);
  this->RegisterAndList({"v1"});
  this->Run(seconds(5));
  this->store_away = true;
  this->Kill(0);
  this->ExpectGoesOn(4, "other", "v1");
  EXPECT_LE(this->waited, milliseconds(300));
}

// Guards against short streams of a killed node that nobody else knows: their
// client has events that the node has told nobody of (LOST, review case 7).
TEST_F(StreamLookupsTest, StreamIsToldBeforeItsClientHasAnEvent) {
  this->RegisterAndList({"v1", "v2"});
  this->Run(seconds(5));
  this->BeginStream(0, "short", "v2");
  this->Kill(0);
  this->ExpectGoesOn(1, "short", "v2");
  this->ExpectGoesOn(2, "short", "v2");
  EXPECT_LE(this->waited, milliseconds(20));
}

// Guards against the same in a large deployment, of which a sixth is killed at
// once, and against telling all nodes of each stream there.
TEST_F(StreamLookupsTest, LargeDeploymentIsNotToldOfEachStream) {
  this->Grow(72);
  this->RegisterAndList({"v1", "v2"});
  this->Run(seconds(5));
  this->datagrams = 0;
  constexpr size_t kKilled = 12;
  constexpr size_t kStreams = 240;
  for (size_t i = 0; i < kStreams; ++i) {
    this->BeginStream(3 + i % kKilled, std::to_string(i), "v2");
  }
  EXPECT_EQ(this->datagrams, 3 * kStreams);
  for (size_t i = 0; i < kKilled; ++i) {
    this->Kill(3 + i);
  }
  size_t went_on = 0;
  for (size_t i = 0; i < kStreams; ++i) {
    const StreamVersion found =
        this->TakeUp(3 + kKilled + i % 50, std::to_string(i));
    went_on += found.origin == StreamOrigin::kKnown ? 1 : 0;
  }
  EXPECT_GE(went_on, kStreams * 97 / 100);
}

// Guards against a stream that a node which was out of touch has recorded as
// unknown, and told others so, although some know its version.
TEST_F(StreamLookupsTest, UnknownRecordDoesNotHideAnother) {
  this->Grow(12);
  this->RegisterAndList({"v1", "v2"});
  this->Run(seconds(5));
  for (size_t node = 1; node < 12; ++node) {
    this->planes[node]->lookups.RecordUnknown(kService, "a", this->now);
  }
  this->BeginStream(0, "a", "v2");
  for (size_t node = 1; node < 12; ++node) {
    this->ExpectGoesOn(node, "a", "v2");
  }
}

// Guards against the only version for a stream that a server began whose
// version was in doubt.
TEST_F(StreamLookupsTest, StreamOfAnUnknownVersionIsRefused) {
  this->Grow(6);
  this->RegisterAndList({"v1"});
  this->Run(seconds(5));
  this->BeginStream(0, "unsure", kUnknownVersion);
  for (size_t node = 0; node < 6; ++node) {
    this->ExpectRefused(node, "unsure");
  }
}

// Guards against a single lost datagram that costs a client its stream.
TEST_F(StreamLookupsTest, QuestionsAreRepeated) {
  this->RegisterAndList({"v1", "v2"});
  this->Run(seconds(5));
  this->BeginStream(0, "a", "v2");
  this->lost = 2;
  this->ExpectGoesOn(1, "a", "v2");
  EXPECT_LE(this->waited, milliseconds(80));
}

// Guards against answers to an earlier question: they may be older than the
// version in question.
TEST_F(StreamLookupsTest, AnswersCountFromTheQuestionOn) {
  this->RegisterAndList({"v1"});
  this->Run(seconds(5));
  this->ExpectGoesOn(1, "stream", "v1");
  this->nodes[1].cut_off = true;
  this->now += milliseconds(100);
  this->ExpectRefused(1, "stream");
  // Nor do those of nodes that were not asked, or to unknown questions.
  StreamMessage message;
  message.answers.push_back({1, true, true, {}, {}});
  message.answers.push_back({77, true, true, {}, {}});
  EXPECT_FALSE(this->planes[1]->lookups.OnMessage(Ip(2), message, this->now));
  EXPECT_FALSE(this->planes[1]->lookups.OnMessage(1000, message, this->now));
  this->ExpectRefused(1, "stream");
}

// Guards against nodes that have just started and agree that there was only the
// version that is left.
TEST_F(StreamLookupsTest, RestartedNodesDoNotCountAsWitnesses) {
  this->RegisterAndList({"v1", "v2"});
  this->Run(seconds(5));
  this->BeginStream(0, "old", "v1");
  this->RegisterAndList({"v2"});
  for (size_t node = 0; node < 3; ++node) {
    this->Restart(node);
  }
  this->Run(kPeriod);
  this->ExpectRefused(1, "old");
}

// Guards against memory and store calls without bounds for streams that never
// began.
TEST_F(StreamLookupsTest, NumberOfLookupsIsBounded) {
  this->RegisterAndList({"v1", "v2"});
  this->Run(seconds(5));
  this->nodes[0].cut_off = true;
  StreamLookups& lookups = this->planes[0]->lookups;
  const uint64_t before = this->datagrams;
  for (int i = 0; i < 10000; ++i) {
    lookups.Find(kService, "stream-" + std::to_string(i), this->now, this->now);
  }
  EXPECT_LE(this->datagrams - before, 2 * 4096U);
  this->now += seconds(3);
  lookups.CheckTime(this->now);
  this->nodes[0].cut_off = false;
  this->BeginStream(1, "late", "v2");
  this->ExpectGoesOn(0, "late", "v2");
}

}  // namespace
}  // namespace boragewharf::serving
