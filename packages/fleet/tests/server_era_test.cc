/**
 * @file server_era_test.cc
 * Server lists of a store that comes back from an earlier copy.
 */
#include <gtest/gtest.h>

#include "fleet_fixture.h"

namespace boragewharf::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class ServerEraTest : public FleetTest {
 protected:
  static serving::BackendServer Lifetime(const std::string& id,
                                         uint64_t started,
                                         bool draining = false) {
    serving::BackendServer server = Server(id);
    server.started = started;
    server.draining = draining;
    return server;
  }

  void ReadList(uint64_t era,
                uint64_t revision,
                const std::vector<serving::BackendServer>& servers,
                bool from_peer = false) {
    this->Apply(ServersRead{revision, servers, from_peer, era});
  }

  void Change(uint64_t era,
              uint64_t revision,
              const serving::BackendServer& server) {
    this->Apply(ServerChanged{revision, server.id, server, era});
  }

  void Remove(uint64_t era, uint64_t revision, const std::string& id) {
    this->Apply(ServerChanged{revision, id, std::nullopt, era});
  }

  /** State of a server in the list that the data plane gets. */
  std::string Published(const std::string& id) const {
    const auto found = this->state.servers.find(id);
    return found == this->state.servers.end() ? "missing"
           : found->second.draining           ? "draining"
                                              : "ready";
  }
};

// Guards against a node that ignores a store which came back from a copy until
// its revisions exceed those from before.
TEST_F(ServerEraTest, ListOfLaterEraReplacesHigherRevision) {
  this->Apply(StoreReachable{true});
  this->ReadList(1, 500, {Lifetime("s1", 1), Lifetime("s2", 2)});
  this->ReadList(2, 100, {Lifetime("s1", 1), Lifetime("s3", 3)});
  const auto* published = this->Find<PublishServers>();
  ASSERT_NE(published, nullptr);
  EXPECT_EQ(published->servers->era, 2U);
  EXPECT_EQ(published->servers->revision, 100U);
  EXPECT_EQ(this->Published("s3"), "ready");
  this->ReadList(1, 600, {Lifetime("s1", 1)});
  this->ReadList(1, 700, {Lifetime("s1", 1)}, true);
  EXPECT_EQ(this->state.servers_revision, 100U) << "lists of an earlier era";
}

// Guards against changes that are applied to a list that they don't follow.
TEST_F(ServerEraTest, ChangesOfOtherErasAreIgnored) {
  this->Apply(StoreReachable{true});
  this->ReadList(2, 100, {Lifetime("s1", 1)});
  this->Remove(1, 200, "s1");
  this->Remove(3, 201, "s1");
  ServersPatched patch{90, 300, {{250, "s1", std::nullopt}}, 1};
  this->Apply(patch);
  EXPECT_EQ(this->Published("s1"), "ready");
  EXPECT_EQ(this->state.servers_revision, 100U);
  patch.era = 2;
  this->Apply(patch);
  EXPECT_EQ(this->Published("s1"), "missing");
}

// Guards against live servers that lose all requests until they have written
// their entries again.
TEST_F(ServerEraTest, ServersThatTheCopyLacksStayUntilTheyCanReturn) {
  for (const bool from_peer : {false, true}) {
    this->state = FleetState(MakeSettings("10.0.0.1"));
    this->Apply(StoreReachable{true});
    this->ReadList(1, 500, {Lifetime("s1", 1), Lifetime("s2", 2)});
    this->state.following = !from_peer;
    this->ReadList(2, 100, {}, from_peer);
    this->TickFor(milliseconds(500));
    this->ReadList(2, 110, {}, from_peer);
    this->TickFor(milliseconds(1000));
    EXPECT_EQ(this->Published("s1"), "ready") << from_peer;
    this->Change(2, 130, Lifetime("s1", 1));
    this->TickFor(milliseconds(600));
    EXPECT_EQ(this->Published("s1"), "ready") << from_peer;
    EXPECT_EQ(this->Published("s2"), "missing") << from_peer;
  }
}

// Guards against new requests for a server whose leaving the node has
// acknowledged, when the copy is older than that (DRAIN).
TEST_F(ServerEraTest, DrainingServerStaysDrainingInLaterEras) {
  this->Apply(StoreReachable{true});
  this->ReadList(1, 500, {Lifetime("s1", 1), Lifetime("s2", 2)});
  this->Change(1, 501, Lifetime("s1", 1, true));
  this->Change(1, 502, Lifetime("s2", 2, true));
  for (uint64_t era = 2; era < 5; ++era) {
    this->ReadList(era, 400 - era, {Lifetime("s1", 1), Lifetime("s2", 2)});
    EXPECT_EQ(this->Published("s1"), "draining") << era;
    this->ReadList(era, 450, {Lifetime("s1", 1), Lifetime("s2", 2)}, true);
    EXPECT_EQ(this->Published("s1"), "draining") << "read again, era " << era;
    this->TickFor(seconds(6));
  }
  this->ReadList(5, 300, {Lifetime("s1", 9), Lifetime("s2", 2)});
  EXPECT_EQ(this->Published("s1"), "ready") << "another lifetime";
  EXPECT_EQ(this->Published("s2"), "draining");
  this->Change(5, 301, Lifetime("s2", 2));
  EXPECT_EQ(this->Published("s2"), "ready") << "written in this era";
}

// Guards against requests for a server that is gone: the copy has it still.
TEST_F(ServerEraTest, RemovedServerIsWithheldInLaterEras) {
  this->Apply(StoreReachable{true});
  this->ReadList(1, 500, {Lifetime("s1", 1), Lifetime("s2", 2)});
  this->Remove(1, 501, "s1");
  this->Remove(1, 502, "s2");
  for (uint64_t era = 2; era < 4; ++era) {
    this->ReadList(era, 400, {Lifetime("s1", 1), Lifetime("s2", 2)});
    this->TickFor(seconds(3));
    EXPECT_EQ(this->Published("s1"), "missing") << era;
  }
  this->Change(3, 401, Lifetime("s1", 1));
  EXPECT_EQ(this->Published("s1"), "ready") << "written in this era";
  this->Remove(3, 402, "s1");
  this->ReadList(4, 400, {Lifetime("s1", 1), Lifetime("s2", 2)});
  EXPECT_EQ(this->Published("s1"), "missing");
}

// Guards against a live server that is never used again because its entry does
// not change.
TEST_F(ServerEraTest, WithheldServerIsUsedOnceTheStoreWouldHaveRemovedIt) {
  this->Apply(StoreReachable{true});
  this->ReadList(1, 500, {Lifetime("s1", 1), Lifetime("s2", 2)});
  this->Remove(1, 501, "s1");
  this->Remove(1, 502, "s2");
  this->ReadList(2, 400, {Lifetime("s1", 1), Lifetime("s2", 2)});
  this->TickFor(seconds(3));
  this->Remove(2, 410, "s2");
  this->TickFor(seconds(3));
  EXPECT_EQ(this->Published("s1"), "ready");
  EXPECT_EQ(this->Published("s2"), "missing");
  EXPECT_EQ(this->state.servers_revision, 411U) << "other nodes notice it";
}

// Guards against a server that becomes ready again because another node knows
// of its leaving from an earlier era than that of the list which it passes on.
TEST_F(ServerEraTest, DrainingToldByAPeerOutlastsTheStoresList) {
  this->Apply(StoreReachable{true});
  this->ReadList(2, 400, {Lifetime("s1", 1, true)}, true);
  this->ReadList(2, 410, {Lifetime("s1", 1)});
  EXPECT_EQ(this->Published("s1"), "draining");
  this->Change(2, 411, Lifetime("s1", 1));
  EXPECT_EQ(this->Published("s1"), "ready");
}

// Guards against requests for a server that is gone from a node that was frozen
// while the store removed the entry.
TEST_F(ServerEraTest, FrozenNodeLearnsOfRemovalsFirst) {
  this->Apply(StoreReachable{true});
  this->ReadList(1, 500, {Lifetime("s1", 1)});
  this->Remove(1, 501, "s1");
  this->ReadList(2, 400, {Lifetime("s1", 1)});
  this->TickFor(milliseconds(100));
  this->now += seconds(10);
  this->TickFor(milliseconds(500));
  EXPECT_EQ(this->Published("s1"), "missing");
  this->Remove(2, 410, "s1");
  this->TickFor(seconds(6));
  EXPECT_EQ(this->Published("s1"), "missing");
}

// Guards against new requests for a server that had drained before it was
// removed, when it stays listed as ready.
TEST_F(ServerEraTest, ServerThatHadDrainedIsNotUsedAgain) {
  this->Apply(StoreReachable{true});
  this->ReadList(1, 500, {Lifetime("s1", 1, true)});
  this->Remove(1, 501, "s1");
  this->ReadList(2, 400, {Lifetime("s1", 1)});
  this->TickFor(seconds(6));
  EXPECT_EQ(this->Published("s1"), "draining");
}

// Guards against a fetched list that undoes a departure that a node with a
// newer list has announced.
TEST_F(ServerEraTest, AnnouncedDepartureOutlastsOlderLists) {
  this->Apply(StoreReachable{true});
  this->ReadList(1, 500, {Lifetime("s1", 1)});
  serving::PeerMessage message = this->Message("10.0.0.2", 1);
  message.status.has_eras = true;
  message.status.servers_era = 2;
  message.status.servers_revision = 400;
  message.departures = {serving::HashName("s1")};
  this->Apply(PeerMessageReceived{message});
  EXPECT_EQ(this->Published("s1"), "draining");
  this->ReadList(2, 390, {Lifetime("s1", 1)}, true);
  EXPECT_EQ(this->Published("s1"), "draining");
  message.status.sequence = 2;
  message.status.servers_era = 1;
  message.status.servers_revision = 9000;
  message.departures = {serving::HashName("s2")};
  this->ReadList(2, 395, {Lifetime("s1", 1), Lifetime("s2", 2)});
  this->Apply(PeerMessageReceived{message});
  EXPECT_EQ(this->Published("s2"), "ready") << "announced in an earlier era";
}

}  // namespace
}  // namespace boragewharf::fleet
