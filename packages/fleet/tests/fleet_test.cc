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

// Guards against two nodes that start in the same millisecond and mistake each
// other's lease for their own (found by check ONE in run quiet-1 on
// ascb-wharf).
TEST(MakeIncarnationTest, NodesStartedTogetherDifferAndLaterStartsAreHigher) {
  EXPECT_NE(MakeIncarnation(kStartWallMs, 1), MakeIncarnation(kStartWallMs, 2));
  EXPECT_GT(MakeIncarnation(kStartWallMs + 1, 0),
            MakeIncarnation(kStartWallMs, ~0U));
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

TEST_F(FleetTest, RemovedServerIsDroppedAtOnceWhileTheStoreIsStable) {
  this->Configure();
  this->TickFor(seconds(5));
  this->Apply(ServerChanged{20, "s1", std::nullopt});
  EXPECT_EQ(this->state.servers.size(), 1U);
  ASSERT_NE(this->Find<PublishServers>(), nullptr);
}

// Store entries lapse during a store outage. Live servers register again within
// two seconds after it.
TEST_F(FleetTest, ServersWithLapsedEntriesAreKeptUntilTheyHadTimeToReturn) {
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

// Scenario: rolling restart while servers are removed. A node that has just
// started must not mistake a removed server for one whose entry lapsed: others
// would fetch its list and use the server again (found by check DRAIN in run
// trouble-3 on kbtc-wharf-grown).
TEST_F(FleetTest, FirstContactWithTheStoreIsNotTheEndOfAnOutage) {
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

// Guards against removals decided by a node that use up the revisions of the
// next changes in the store (found by checks DRAIN and CONFIG in run trouble-1
// on kbtc-wharf-grown, seed 396184029879).
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

// Scenario: a large configuration on slow links. Nodes that are behind spread
// their fetches over the nodes that have it.
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
    Reduce(node, Tick{kStartWallMs}, this->now, found);
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

// A node that has just ended does not count as silent yet, so a fetch from it
// fails. The next fetch must go to another node (found by check DRAIN in run
// trouble-3 on ascb-wharf-grown).
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

// Scenario: all nodes are killed at once while a customer exceeds its quota.
// Until the nodes have discovered each other, none of them knows what the
// others admit (found by check QUOTA in run trouble-3 on ascb-wharf-grown).
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
  EXPECT_FALSE(this->state.peers.HasFullView(this->now))
      << "most announced nodes have sent nothing";
  for (int i = 3; i < 20; ++i) {
    this->Apply(
        PeerMessageReceived{this->Message("10.0.0." + std::to_string(i), 1)});
  }
  this->TickFor(milliseconds(500));
  EXPECT_TRUE(this->state.peers.HasFullView(this->now));
}

// Guards against applying a patch whose base is newer than the own list, which
// would skip the changes in between.
TEST_F(FleetTest, PatchOnAnUnknownBaseIsIgnored) {
  this->Configure();
  this->TickFor(seconds(5));
  this->Apply(ServersPatched{15, 16, {ServerChanged{16, "s1", std::nullopt}}});
  EXPECT_EQ(this->state.servers_revision, 11U);
  this->Apply(ServersPatched{11, 16, {ServerChanged{16, "s1", std::nullopt}}});
  EXPECT_EQ(this->state.servers_revision, 16U);
  EXPECT_EQ(this->state.servers.size(), 1U);
}

// Scenario: a zone's servers are reclaimed while the server list spreads
// slowly. A departing server must get no new requests after the first datagram
// that announces it (found once by check DRAIN in run scale-2 on ascb-wharf).
TEST_F(FleetTest, ServersAnnouncedAsDepartedByANewerNodeGetNoNewRequests) {
  this->Configure();
  auto message = this->Message("10.0.0.2", 1);
  message.departures = {serving::HashName("s1")};
  message.status.servers_revision = this->state.servers_revision;
  this->Apply(PeerMessageReceived{message});
  EXPECT_FALSE(this->state.servers.at("s1").draining)
      << "the sender's list is not newer";
  message.status.sequence = 2;
  message.status.servers_revision = this->state.servers_revision + 5;
  this->Apply(PeerMessageReceived{message});
  EXPECT_TRUE(this->state.servers.at("s1").draining);
  EXPECT_FALSE(this->state.servers.at("s2").draining);
  const auto* publish = this->Find<PublishServers>();
  ASSERT_NE(publish, nullptr);
  // The server list that is fetched later takes precedence.
  auto back = Server("s1");
  back.draining = false;
  this->Apply(ServersPatched{
      this->state.servers_revision,
      this->state.servers_revision + 5,
      {ServerChanged{this->state.servers_revision + 5, "s1", back}}});
  EXPECT_FALSE(this->state.servers.at("s1").draining);
}

TEST_F(FleetTest, AnnouncesDeparturesToOtherNodesForSomeTime) {
  this->Configure();
  auto leaving = Server("s1");
  leaving.draining = true;
  this->Apply(ServerChanged{12, "s1", leaving});
  this->Apply(ServerChanged{13, "s2", std::nullopt});
  this->Apply(PeerMessageReceived{this->Message("10.0.0.2", 1)});
  const auto announced = [&]() -> std::vector<serving::NameHash> {
    for (int i = 0; i < 10; ++i) {
      this->TickFor(kTickPeriod);
      if (const auto* send = this->Find<SendToPeers>()) {
        return send->message.departures;
      }
    }
    return {};
  };
  EXPECT_EQ(announced().size(), 2U);
  this->Apply(ServerChanged{14, "s1", Server("s1")});
  EXPECT_EQ(announced(), std::vector{serving::HashName("s2")}) << "s1 is back";
  this->TickFor(seconds(3));
  this->Apply(PeerMessageReceived{this->Message("10.0.0.2", 2)});
  EXPECT_TRUE(announced().empty());
}

// The duty holder learns of server changes at once. Other nodes that watch the
// store need not do so unless the holder is silent.
TEST_F(FleetTest, OnlyTheDutyHolderLearnsOfServersAtOnceUnlessItIsSilent) {
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

// Three other watchers of the store are enough. When they fall silent, the node
// watches the store again.
TEST_F(FleetTest, FollowsTheStoreUnlessEnoughOthersDo) {
  this->Configure();
  std::vector<std::string> lower_ranked;
  for (int i = 2; lower_ranked.size() < 3; ++i) {
    const std::string ip = "10.0.1." + std::to_string(i);
    if (serving::HashName(ip) < serving::HashName("10.0.0.1")) {
      lower_ranked.push_back(ip);
    }
  }
  uint64_t sequence = 0;
  for (int round = 0; round < 30; ++round) {
    ++sequence;
    for (const std::string& ip : lower_ranked) {
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

// Scenario: nodes are stopped one after the other. The directory must not
// return a stopping node to clients.
TEST_F(FleetTest, DirectoryReturnsReadyNodesOfTheRegionFirst) {
  this->Configure();
  auto same_region = this->Message("10.0.0.2", 1);
  auto other_region = this->Message("10.0.0.3", 1);
  other_region.status.region = "r2";
  this->Apply(PeerMessageReceived{same_region});
  this->Apply(PeerMessageReceived{other_region});
  EXPECT_EQ(NodesForClient(this->state, "r1", this->now),
            (std::vector<std::string>{"10.0.0.1", "10.0.0.2"}));
  const auto in_r2 = NodesForClient(this->state, "r2", this->now);
  EXPECT_EQ(in_r2.front(), "10.0.0.3");
  EXPECT_EQ(in_r2.size(), 3U) << "one node is not enough";
  same_region.status.sequence = 2;
  same_region.status.leaving = true;
  this->Apply(PeerMessageReceived{same_region});
  EXPECT_EQ(NodesForClient(this->state, "r1", this->now).size(), 2U);
}

// Scenario: all nodes are stopped within seconds. Guards against a directory
// that returns no address while stopping nodes still serve (669 of 1,421
// lookups failed on kbtc-wharf).
TEST_F(FleetTest, NodesToldToStopLastAreReturnedWhenNoneIsReady) {
  this->Configure();
  const auto receive_from = [&](const std::string& ip, int64_t leaving_ms) {
    auto message = this->Message(ip, 1);
    message.status.ready = false;
    message.status.leaving = leaving_ms > 0;
    message.status.leaving_ms = leaving_ms;
    message.status.config_revision = 10;
    this->Apply(PeerMessageReceived{message});
  };
  receive_from("10.0.0.2", 4000);
  receive_from("10.0.0.3", 1000);
  receive_from("10.0.0.4", 600);
  receive_from("10.0.0.5", 0);  // Is starting and has no server list yet.
  this->Apply(StopRequested{});
  this->now += milliseconds(300);
  EXPECT_TRUE(NodesForClient(this->state, "r1", this->now).empty());
  EXPECT_EQ(LastNodesToStop(this->state, this->now),
            (std::vector<std::string>{"10.0.0.1", "10.0.0.3", "10.0.0.4"}));
  this->now += seconds(3);
  EXPECT_EQ(LastNodesToStop(this->state, this->now),
            (std::vector<std::string>{"10.0.0.1"}))
      << "the other nodes are silent";
}

// Guards against sending clients to a node that ends before the others: one
// whose control loop got late to its stop signal counted as told to stop last.
TEST_F(FleetTest, TimeOfTheStopSignalTellsWhichNodesStopLast) {
  this->Configure();
  auto message = this->Message("10.0.0.2", 1);
  message.status.ready = false;
  message.status.leaving = true;
  message.status.leaving_ms = 1000;
  message.status.config_revision = 10;
  this->Apply(PeerMessageReceived{message});
  this->Apply(StopRequested{this->now - seconds(3)});
  EXPECT_EQ(LastNodesToStop(this->state, this->now),
            (std::vector<std::string>{"10.0.0.2"}));
}

// Guards against returning a node without a configuration to clients.
TEST_F(FleetTest, StoppingNodeThatCannotServeIsNotReturned) {
  this->Apply(StopRequested{});
  auto message = this->Message("10.0.0.2", 1);
  message.status.ready = false;
  message.status.leaving = true;
  this->Apply(PeerMessageReceived{message});
  EXPECT_TRUE(LastNodesToStop(this->state, this->now).empty());
}

// Guards against refusing requests in a planned stop for the sake of nodes that
// take none either.
TEST_F(FleetTest, NodesThatLeaveOrAreSilentDoNotCountAsReady) {
  this->Configure();
  auto leaving = this->Message("10.0.0.3", 1);
  leaving.status.leaving = true;
  auto starting = this->Message("10.0.0.4", 1);
  starting.status.ready = false;
  for (const auto& message :
       {this->Message("10.0.0.2", 1), leaving, starting}) {
    this->Apply(PeerMessageReceived{message});
  }
  const Duration period = milliseconds(200);
  EXPECT_EQ(this->state.peers.TakeSummary(period, this->now).ready_nodes, 1U);
  this->now += seconds(2);
  EXPECT_EQ(this->state.peers.TakeSummary(period, this->now).ready_nodes, 0U);
}

TEST_F(FleetTest, DuplicateAndReorderedDatagramsCountOnce) {
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

// Scenario: a node's clock steps back before the node restarts. Guards against
// ignoring the new process for seconds because its messages seem to be older
// than those of the ended one.
TEST_F(FleetTest, MessagesOfANodeThatRestartsWithItsClockSetBackAreAccepted) {
  this->Configure();
  auto before = this->Message("10.0.0.2", 500);
  this->Apply(PeerMessageReceived{before});
  auto after = this->Message("10.0.0.2", 1);
  after.status.incarnation = MakeIncarnation(kStartWallMs - 45000, 2);
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

// A step of the node's own clock must not move requests into other usage
// windows.
TEST_F(FleetTest, TimeOfDayIgnoresAStepOfTheOwnClock) {
  this->Configure();
  this->TickFor(seconds(1));
  const int64_t before = *this->state.wall_offset_ms;
  this->now += kTickPeriod;
  this->Apply(Tick{kStartWallMs + 999999999});
  EXPECT_EQ(*this->state.wall_offset_ms, before);
}

TEST_F(FleetTest, TimeOfDayFollowsTheMajorityOfTheNodes) {
  this->Configure();
  this->Apply(
      Tick{kStartWallMs - 5000 + (this->now - TimePoint{}) / milliseconds(1)});
  for (int round = 1; round < 20; ++round) {
    this->now += milliseconds(200);
    for (const char* ip : {"10.0.0.2", "10.0.0.3"}) {
      this->Apply(PeerMessageReceived{this->Message(ip, round)});
    }
    this->Apply(Tick{kStartWallMs - 5000 +
                     (this->now - TimePoint{}) / milliseconds(1)});
  }
  EXPECT_NEAR(static_cast<double>(*this->state.wall_offset_ms),
              static_cast<double>(kStartWallMs), 400);
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
