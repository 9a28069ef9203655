/**
 * @file fleet_test.cc
 * The control state: configuration, servers, other nodes and duties.
 */
#include <gtest/gtest.h>

#include <algorithm>
#include <set>

#include "fleet_fixture.h"

namespace boragewharf::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against two nodes that start in the same millisecond and take each
// other's lease for their own (found as ONE on ascb-wharf quiet-1).
TEST(MakeIncarnationTest, NodesStartedTogetherDifferAndLaterStartsAreHigher) {
  EXPECT_NE(MakeIncarnation(kWall, 1), MakeIncarnation(kWall, 2));
  EXPECT_GT(MakeIncarnation(kWall + 1, 0), MakeIncarnation(kWall, ~0U));
}

TEST_F(FleetTest, ConfigurationNeverReverts) {
  this->Configure();
  this->Apply(ConfigRead{9, Config(2), "{}"});
  EXPECT_EQ(this->Find<PublishConfig>(), nullptr);
  EXPECT_EQ(this->state.config->version, 3U);
  this->Apply(ConfigRead{12, Config(8), "{}"});
  ASSERT_NE(this->Find<PublishConfig>(), nullptr);
  EXPECT_EQ(this->state.config->version, 8U);
}

TEST_F(FleetTest, ReadyOnceConfigurationAndServersAreKnown) {
  EXPECT_FALSE(IsReady(this->state));
  EXPECT_TRUE(NodesForClient(this->state, "r1", this->now).empty());
  this->Configure();
  EXPECT_TRUE(IsReady(this->state));
  this->Apply(StopRequested{});
  EXPECT_FALSE(IsReady(this->state));
}

TEST_F(FleetTest, ServerThatIsGoneLeavesAtOnceWhileTheStoreIsStable) {
  this->Configure();
  this->TickFor(seconds(5));
  this->Apply(ServerChanged{20, "s1", std::nullopt});
  EXPECT_EQ(this->state.servers.size(), 1U);
  ASSERT_NE(this->Find<PublishServers>(), nullptr);
}

// Entries lapse while the store is away; live servers are back within two
// seconds of its return.
TEST_F(FleetTest, LapsedEntriesAreKeptUntilTheServersHadTimeToReturn) {
  this->Configure();
  this->TickFor(seconds(5));
  this->Apply(StoreReachable{false});
  this->TickFor(seconds(3));
  this->Apply(StoreReachable{true});
  this->Apply(ServersRead{30, {}, false});
  EXPECT_EQ(this->state.servers.size(), 2U);
  this->Apply(ServerChanged{31, "s1", Server("s1")});
  this->TickFor(milliseconds(2300));
  EXPECT_EQ(this->state.servers.size(), 1U);
  EXPECT_TRUE(this->state.servers.contains("s1"));
  EXPECT_GT(this->state.servers_revision, 31U)
      << "other nodes learn of the removal";
}

// Guards against own removals that take the numbers of changes which the store
// tells next (found as DRAIN and CONFIG on kbtc-wharf-grown trouble-1, seed
// 396184029879).
// Pattern: rolling restart while servers leave. A node that has just started
// must not hold a removed server for a lapsed one: others fetch its list and
// send to the server again (found as DRAIN on kbtc-wharf-grown trouble-3).
TEST_F(FleetTest, FirstContactWithTheStoreEndsNoOutage) {
  this->Configure();
  this->TickFor(milliseconds(500));
  this->Apply(ServerChanged{20, "s1", std::nullopt});
  EXPECT_FALSE(this->state.servers.contains("s1"));
}

TEST_F(FleetTest, NodeThatStartsDuringAnOutageKeepsLapsedEntries) {
  this->Apply(StoreReachable{false});
  this->Apply(ConfigRead{10, Config(3), "{}"});
  this->Apply(ServersRead{11, {Server("s1"), Server("s2")}, true});
  this->Apply(StoreReachable{true});
  this->Apply(ServersRead{12, {Server("s1")}, false});
  EXPECT_TRUE(this->state.servers.contains("s2"));
  this->TickFor(seconds(3));
  EXPECT_FALSE(this->state.servers.contains("s2"));
}

TEST_F(FleetTest, ChangesAfterAnOutageAreNotTakenForOldOnes) {
  this->Configure();
  this->TickFor(seconds(5));
  this->Apply(StoreReachable{false});
  this->Apply(StoreReachable{true});
  this->Apply(ServersRead{30 * kRevisionStep, {Server("s3")}, false});
  this->TickFor(milliseconds(2300));
  EXPECT_EQ(this->state.servers.size(), 1U);
  auto draining = Server("s3");
  draining.draining = true;
  this->Apply(ServerChanged{31 * kRevisionStep, "s3", draining});
  EXPECT_TRUE(this->state.servers.at("s3").draining);
}

// Pattern: a large configuration on slow links. Nodes that are behind spread
// over those that have it.
TEST_F(FleetTest, NodesAskDifferentSources) {
  std::set<std::string> asked;
  for (int self = 100; self < 120; ++self) {
    FleetState node(MakeSettings("10.0.0." + std::to_string(self)));
    for (const char* ip : {"10.0.0.2", "10.0.0.3", "10.0.0.4"}) {
      auto message = this->Message(ip, 1);
      message.status.config_revision = 50;
      std::vector<Effect> found;
      Reduce(node, PeerMessageReceived{message}, this->now, found);
      Reduce(node, FetchEnded{"", true}, this->now, found);
      node.next_fetch = this->now;
    }
    std::vector<Effect> found;
    Reduce(node, Tick{kWall}, this->now, found);
    for (const Effect& effect : found) {
      if (const auto* fetch = std::get_if<FetchState>(&effect)) {
        asked.insert(fetch->ip);
      }
    }
  }
  EXPECT_EQ(asked.size(), 3U);
}

TEST_F(FleetTest, NodeThatIsBehindFetchesWhatIsNewer) {
  this->Configure();
  auto message = this->Message("10.0.0.2", 1);
  message.status.config_revision = 50;
  this->Apply(PeerMessageReceived{message});
  EXPECT_EQ(this->Find<FetchState>(), nullptr) << "its own watch comes first";
  this->TickFor(milliseconds(400));
  EXPECT_TRUE(this->state.fetching);
  this->Apply(FetchEnded{"10.0.0.2", true});
  EXPECT_FALSE(this->state.fetching);
}

// A node that has just ended is heard no more, but counts as alive for a
// while; the state is fetched from another (found as DRAIN on
// ascb-wharf-grown trouble-3).
TEST_F(FleetTest, FailedFetchIsFollowedByOneFromAnotherNode) {
  this->Configure();
  for (const char* ip : {"10.0.0.2", "10.0.0.3"}) {
    auto message = this->Message(ip, 1);
    message.status.servers_revision = 50;
    this->Apply(PeerMessageReceived{message});
  }
  std::set<std::string> asked;
  for (int i = 0; i < 12; ++i) {
    this->TickFor(kTickPeriod);
    if (const auto* fetch = this->Find<FetchState>()) {
      asked.insert(fetch->ip);
      this->Apply(FetchEnded{fetch->ip, false});
    }
  }
  EXPECT_EQ(asked.size(), 2U);
}

// Pattern: all nodes are killed at once while a customer sends more than its
// quota. Until the nodes have found each other none of them knows what the
// others admit (found as QUOTA on ascb-wharf-grown trouble-3).
TEST_F(FleetTest, RestartedNodeIsInformedOnceTheOthersReport) {
  this->Configure();
  this->TickFor(milliseconds(200));
  const auto informed = [&] {
    const auto* publish = this->Find<PublishPeers>();
    return publish != nullptr && publish->summary.informed;
  };
  EXPECT_FALSE(informed());
  auto message = this->Message("10.0.0.2", 1);
  for (int i = 3; i < 20; ++i) {
    message.known_ips.push_back(serving::PackIp("10.0.0." + std::to_string(i)));
  }
  this->Apply(PeerMessageReceived{message});
  this->TickFor(milliseconds(600));
  EXPECT_FALSE(this->state.peers.HasFullView(this->now)) << "many are unheard";
  for (int i = 3; i < 20; ++i) {
    this->Apply(
        PeerMessageReceived{this->Message("10.0.0." + std::to_string(i), 1)});
  }
  this->TickFor(milliseconds(500));
  EXPECT_TRUE(this->state.peers.HasFullView(this->now));
}

// Guards against a patch that leaves out changes in between.
TEST_F(FleetTest, PatchOnAnUnknownBaseIsIgnored) {
  this->Configure();
  this->TickFor(seconds(5));
  this->Apply(ServersPatched{15, 16, {ServerChanged{16, "s1", std::nullopt}}});
  EXPECT_EQ(this->state.servers_revision, 11U);
  this->Apply(ServersPatched{11, 16, {ServerChanged{16, "s1", std::nullopt}}});
  EXPECT_EQ(this->state.servers_revision, 16U);
  EXPECT_EQ(this->state.servers.size(), 1U);
}

// Pattern: reclaim of a zone while the list of servers spreads slowly. A server
// that leaves gets no new work from the first datagram on that names it (DRAIN
// once on ascb-wharf scale-2).
TEST_F(FleetTest, ServersThatANewerNodeNamesAsLeavingGetNoNewWork) {
  this->Configure();
  auto message = this->Message("10.0.0.2", 1);
  message.departures = {serving::HashName("s1")};
  message.status.servers_revision = this->state.servers_revision;
  this->Apply(PeerMessageReceived{message});
  EXPECT_FALSE(this->state.servers.at("s1").draining) << "no newer list";
  message.status.sequence = 2;
  message.status.servers_revision = this->state.servers_revision + 5;
  this->Apply(PeerMessageReceived{message});
  EXPECT_TRUE(this->state.servers.at("s1").draining);
  EXPECT_FALSE(this->state.servers.at("s2").draining);
  const auto* publish = this->Find<PublishServers>();
  ASSERT_NE(publish, nullptr);
  // The list that is fetched afterwards decides.
  auto back = Server("s1");
  back.draining = false;
  this->Apply(ServersPatched{
      this->state.servers_revision,
      this->state.servers_revision + 5,
      {ServerChanged{this->state.servers_revision + 5, "s1", back}}});
  EXPECT_FALSE(this->state.servers.at("s1").draining);
}

TEST_F(FleetTest, TellsOtherNodesOfDeparturesForSomeTime) {
  this->Configure();
  auto leaving = Server("s1");
  leaving.draining = true;
  this->Apply(ServerChanged{12, "s1", leaving});
  this->Apply(ServerChanged{13, "s2", std::nullopt});
  this->Apply(PeerMessageReceived{this->Message("10.0.0.2", 1)});
  const auto told = [&]() -> std::vector<serving::NameHash> {
    for (int i = 0; i < 10; ++i) {
      this->TickFor(kTickPeriod);
      if (const auto* send = this->Find<SendToPeers>()) {
        return send->message.departures;
      }
    }
    return {};
  };
  EXPECT_EQ(told().size(), 2U);
  this->Apply(ServerChanged{14, "s1", Server("s1")});
  EXPECT_EQ(told(), std::vector{serving::HashName("s2")}) << "s1 is back";
  this->TickFor(seconds(3));
  this->Apply(PeerMessageReceived{this->Message("10.0.0.2", 2)});
  EXPECT_TRUE(told().empty());
}

// The holder of the duties learns at once; others that follow the store need
// not as long as it is heard.
TEST_F(FleetTest, FollowersStandByWhileTheHolderOfTheDutiesIsHeard) {
  this->Configure();
  this->TickFor(milliseconds(300));
  EXPECT_TRUE(this->state.eager);
  auto message = this->Message("10.0.0.2", 1);
  message.status.follows_store = true;
  message.status.holds_duties = true;
  this->Apply(PeerMessageReceived{message});
  this->TickFor(kTickPeriod);
  EXPECT_FALSE(this->state.eager);
  EXPECT_TRUE(this->state.following);
  this->TickFor(seconds(2));
  EXPECT_TRUE(this->state.eager) << "the holder is silent";
}

// Three others that follow the store suffice; when they fall silent the node
// follows it again.
TEST_F(FleetTest, FollowsTheStoreUnlessEnoughOthersDo) {
  this->Configure();
  std::vector<std::string> lower;
  for (int i = 2; lower.size() < 3; ++i) {
    const std::string ip = "10.0.1." + std::to_string(i);
    if (serving::HashName(ip) < serving::HashName("10.0.0.1")) {
      lower.push_back(ip);
    }
  }
  uint64_t sequence = 0;
  for (int round = 0; round < 30; ++round) {
    ++sequence;
    for (const std::string& ip : lower) {
      auto message = this->Message(ip, sequence);
      message.status.follows_store = true;
      this->Apply(PeerMessageReceived{message});
    }
    this->TickFor(milliseconds(200));
  }
  EXPECT_FALSE(this->state.following);
  this->TickFor(seconds(3));
  EXPECT_TRUE(this->state.following);
}

// Pattern: rolling stops. A node that leaves is not named to clients.
TEST_F(FleetTest, DirectoryNamesReadyNodesOfTheRegionFirst) {
  this->Configure();
  auto near = this->Message("10.0.0.2", 1);
  auto far = this->Message("10.0.0.3", 1);
  far.status.region = "r2";
  this->Apply(PeerMessageReceived{near});
  this->Apply(PeerMessageReceived{far});
  EXPECT_EQ(NodesForClient(this->state, "r1", this->now),
            (std::vector<std::string>{"10.0.0.1", "10.0.0.2"}));
  const auto in_r2 = NodesForClient(this->state, "r2", this->now);
  EXPECT_EQ(in_r2.front(), "10.0.0.3");
  EXPECT_EQ(in_r2.size(), 3U) << "one node is not enough";
  near.status.sequence = 2;
  near.status.leaving = true;
  this->Apply(PeerMessageReceived{near});
  EXPECT_EQ(NodesForClient(this->state, "r1", this->now).size(), 2U);
}

// Pattern: all nodes are stopped within seconds. Guards against a directory
// that names nobody while leaving nodes still serve (found as 669 of 1,421
// look-ups that failed on kbtc-wharf).
TEST_F(FleetTest, NodesToldToStopLastAreNamedWhenNoneIsReady) {
  this->Configure();
  const auto hear = [&](const std::string& ip, int64_t leaving_ms) {
    auto message = this->Message(ip, 1);
    message.status.ready = false;
    message.status.leaving = leaving_ms > 0;
    message.status.leaving_ms = leaving_ms;
    message.status.config_revision = 10;
    this->Apply(PeerMessageReceived{message});
  };
  hear("10.0.0.2", 4000);
  hear("10.0.0.3", 1000);
  hear("10.0.0.4", 600);
  hear("10.0.0.5", 0);  // Starts; it has servers to learn of.
  this->Apply(StopRequested{});
  this->now += milliseconds(300);
  EXPECT_TRUE(NodesForClient(this->state, "r1", this->now).empty());
  EXPECT_EQ(LastNodesToStop(this->state, this->now),
            (std::vector<std::string>{"10.0.0.1", "10.0.0.3", "10.0.0.4"}));
  this->now += seconds(3);
  EXPECT_EQ(LastNodesToStop(this->state, this->now),
            (std::vector<std::string>{"10.0.0.1"}))
      << "the others are not heard any more";
}

// Guards against a node without a configuration that is named to clients.
TEST_F(FleetTest, LeavingNodeThatCannotServeIsNotNamed) {
  this->Apply(StopRequested{});
  auto message = this->Message("10.0.0.2", 1);
  message.status.ready = false;
  message.status.leaving = true;
  this->Apply(PeerMessageReceived{message});
  EXPECT_TRUE(LastNodesToStop(this->state, this->now).empty());
}

TEST_F(FleetTest, RepeatedAndOvertakenDatagramsCountOnce) {
  this->Configure();
  auto message = this->Message("10.0.0.2", 5);
  message.report.admitted = {{1, 100}};
  this->Apply(PeerMessageReceived{message});
  this->Apply(PeerMessageReceived{message});
  auto older = this->Message("10.0.0.2", 4);
  older.report.admitted = {{1, 90}};
  this->Apply(PeerMessageReceived{older});
  auto newer = this->Message("10.0.0.2", 6);
  newer.report.admitted = {{1, 130}};
  this->Apply(PeerMessageReceived{newer});
  const auto summary = this->state.peers.TakeSummary(milliseconds(200), now);
  EXPECT_EQ(summary.admitted.at(1), 130U);
}

// Guards against a node that is taken for its ended process, and not heard for
// seconds, because its clock stepped back before it restarted.
TEST_F(FleetTest, NodeThatRestartsWithItsClockBackIsHeard) {
  this->Configure();
  auto before = this->Message("10.0.0.2", 500);
  this->Apply(PeerMessageReceived{before});
  auto after = this->Message("10.0.0.2", 1);
  after.status.incarnation = MakeIncarnation(kWall - 45000, 2);
  after.status.ready = false;
  this->Apply(PeerMessageReceived{after});
  const auto& entry = this->state.peers.All().at("10.0.0.2");
  EXPECT_EQ(entry.status.incarnation, after.status.incarnation);
  before.status.sequence = 501;
  this->Apply(PeerMessageReceived{before});
  EXPECT_EQ(entry.status.incarnation, after.status.incarnation)
      << "a late datagram of the ended process";
  after.status.sequence = 2;
  after.status.ready = true;
  this->Apply(PeerMessageReceived{after});
  EXPECT_TRUE(entry.status.ready);
}

// A jump of the own clock must not move runs into other usage windows.
TEST_F(FleetTest, TimeOfDayIgnoresAJumpOfTheOwnClock) {
  this->Configure();
  this->TickFor(seconds(1));
  const int64_t before = *this->state.wall_offset_ms;
  this->now += kTickPeriod;
  this->Apply(Tick{kWall + 999999999});
  EXPECT_EQ(*this->state.wall_offset_ms, before);
}

TEST_F(FleetTest, TimeOfDayFollowsTheMajorityOfTheNodes) {
  this->Configure();
  this->Apply(Tick{kWall - 5000 + (this->now - TimePoint{}) / milliseconds(1)});
  for (int round = 1; round < 20; ++round) {
    this->now += milliseconds(200);
    for (const char* ip : {"10.0.0.2", "10.0.0.3"}) {
      this->Apply(PeerMessageReceived{this->Message(ip, round)});
    }
    this->Apply(
        Tick{kWall - 5000 + (this->now - TimePoint{}) / milliseconds(1)});
  }
  EXPECT_NEAR(static_cast<double>(*this->state.wall_offset_ms),
              static_cast<double>(kWall), 400);
}

TEST(UsageLedgerTest, SumsProcessesAndKeepsTheHighestCountOfEach) {
  UsageLedger ledger;
  ledger.Merge("n1", 1, {{100, {{5, 3}}}});
  ledger.Merge("n1", 1, {{100, {{5, 2}}}});
  ledger.Merge("n1", 2, {{100, {{5, 4}}}});
  ledger.Merge("n2", 1, {{100, {{5, 1}}}, {101, {{5, 9}}}});
  EXPECT_EQ(ledger.Total(100).at(5), 8U);
  ledger.Forget(101);
  EXPECT_TRUE(ledger.Total(100).empty());
  EXPECT_EQ(ledger.Total(101).at(5), 9U);
}

}  // namespace
}  // namespace boragewharf::fleet
