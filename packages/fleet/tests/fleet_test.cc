/**
 * @file fleet_test.cc
 * The control state: configuration, servers, other nodes and duties.
 */
#include <gtest/gtest.h>

#include <algorithm>
#include <set>

#include "fleet/fleet_cmd.h"
#include "lease/lease_func.h"

namespace boragewharf::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int64_t kWall = 1784182260000;

/** One node, driven by hand. */
class FleetTest : public testing::Test {
 protected:
  FleetTest() : state(MakeSettings("10.0.0.1")) {}

  static FleetSettings MakeSettings(const std::string& ip) {
    FleetSettings settings;
    settings.node_name = "node-" + ip;
    settings.ip = ip;
    settings.zone = "a";
    settings.region = "r1";
    settings.incarnation = MakeIncarnation(kWall, 7);
    settings.usage_window = seconds(5);
    settings.usage_late = seconds(10);
    settings.lease_timing.lease_time = milliseconds(3600);
    settings.lease_timing.order_bound = seconds(1);
    settings.lease_timing.renew_period = seconds(1);
    return settings;
  }

  void Apply(const Event& event) {
    this->effects.clear();
    Reduce(this->state, event, this->now, this->effects);
  }

  void TickFor(Duration time) {
    const TimePoint end = this->now + time;
    while (this->now < end) {
      this->now += kTickPeriod;
      this->Apply(Tick{kWall + (this->now - TimePoint{}) / milliseconds(1)});
    }
  }

  template <class Wanted>
  const Wanted* Find() const {
    for (const Effect& effect : this->effects) {
      if (const auto* found = std::get_if<Wanted>(&effect)) {
        return found;
      }
    }
    return nullptr;
  }

  static std::shared_ptr<serving::ServingConfig> Config(uint64_t version) {
    auto config = std::make_shared<serving::ServingConfig>();
    config->version = version;
    serving::Customer customer;
    customer.name = "school";
    config->customers.push_back(customer);
    serving::IndexConfig(*config);
    return config;
  }

  static serving::BackendServer Server(const std::string& id) {
    serving::BackendServer server;
    server.id = id;
    server.service = "llm";
    server.zone = "a";
    return server;
  }

  serving::PeerMessage Message(const std::string& ip, uint64_t sequence) {
    serving::PeerMessage message;
    message.format = serving::kPeerFormat;
    message.status.name = "node-" + ip;
    message.status.ip = ip;
    message.status.region = "r1";
    message.status.incarnation = 1;
    message.status.sequence = sequence;
    message.status.ready = true;
    message.status.wall_ms =
        kWall + (this->now - TimePoint{}) / milliseconds(1);
    return message;
  }

  /** Brings the node to serve. */
  void Configure() {
    this->Apply(StoreReachable{true});
    this->Apply(ConfigRead{10, Config(3), "{}"});
    this->Apply(ServersRead{11, {Server("s1"), Server("s2")}, false});
  }

  FleetState state;
  TimePoint now{seconds(1000)};
  std::vector<Effect> effects;
};

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
  EXPECT_TRUE(EntryAddresses(this->state, "r1", this->now).empty());
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
      Reduce(node, PeerHeard{message}, this->now, found);
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
  this->Apply(PeerHeard{message});
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
    this->Apply(PeerHeard{message});
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
  this->Apply(PeerHeard{message});
  this->TickFor(milliseconds(600));
  EXPECT_FALSE(this->state.peers.Informed(this->now)) << "many are unheard";
  for (int i = 3; i < 20; ++i) {
    this->Apply(PeerHeard{this->Message("10.0.0." + std::to_string(i), 1)});
  }
  this->TickFor(milliseconds(500));
  EXPECT_TRUE(this->state.peers.Informed(this->now));
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
      this->Apply(PeerHeard{message});
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
  this->Apply(PeerHeard{near});
  this->Apply(PeerHeard{far});
  EXPECT_EQ(EntryAddresses(this->state, "r1", this->now),
            (std::vector<std::string>{"10.0.0.1", "10.0.0.2"}));
  const auto in_r2 = EntryAddresses(this->state, "r2", this->now);
  EXPECT_EQ(in_r2.front(), "10.0.0.3");
  EXPECT_EQ(in_r2.size(), 3U) << "one node is not enough";
  near.status.sequence = 2;
  near.status.leaving = true;
  this->Apply(PeerHeard{near});
  EXPECT_EQ(EntryAddresses(this->state, "r1", this->now).size(), 2U);
}

TEST_F(FleetTest, RepeatedAndOvertakenDatagramsCountOnce) {
  this->Configure();
  auto message = this->Message("10.0.0.2", 5);
  message.report.admitted = {{1, 100}};
  this->Apply(PeerHeard{message});
  this->Apply(PeerHeard{message});
  auto older = this->Message("10.0.0.2", 4);
  older.report.admitted = {{1, 90}};
  this->Apply(PeerHeard{older});
  auto newer = this->Message("10.0.0.2", 6);
  newer.report.admitted = {{1, 130}};
  this->Apply(PeerHeard{newer});
  const auto summary = this->state.peers.TakeSummary(milliseconds(200), now);
  EXPECT_EQ(summary.admitted.at(1), 130U);
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
      this->Apply(PeerHeard{this->Message(ip, round)});
    }
    this->Apply(
        Tick{kWall - 5000 + (this->now - TimePoint{}) / milliseconds(1)});
  }
  EXPECT_NEAR(static_cast<double>(*this->state.wall_offset_ms),
              static_cast<double>(kWall), 400);
}

/** A node that has gained the duties. */
class DutyTest : public FleetTest {
 protected:
  void Gain() {
    this->Configure();
    for (int i = 0; i < 200 && !this->Holds(); ++i) {
      this->now += kTickPeriod;
      this->Apply(Tick{kWall + (this->now - TimePoint{}) / milliseconds(1)});
      this->AnswerLease();
    }
    ASSERT_TRUE(this->Holds());
  }

  bool Holds() const {
    return lease::MayAct(this->state.lease, kDutyLease,
                         lease::ServerFencing::kIgnored, this->now)
        .has_value();
  }

  void AnswerLease() {
    const std::vector<Effect> calls = this->effects;
    for (const Effect& effect : calls) {
      const auto* call = std::get_if<LeaseCall>(&effect);
      if (call == nullptr) {
        continue;
      }
      if (std::holds_alternative<lease::ReadLease>(call->call)) {
        this->Apply(LeaseEvent{
            lease::LeaseReadFailed{kDutyLease, ResultCode::kStoreNotFound}});
        this->AnswerLease();
      } else if (std::holds_alternative<lease::WriteLease>(call->call)) {
        ++this->version;
        this->Apply(LeaseEvent{
            lease::LeaseWritten{kDutyLease, {std::to_string(this->version)}}});
      }
    }
  }

  /** Runs until an effect of a kind appears, answering the lease. */
  template <class Wanted>
  std::optional<Wanted> RunUntil(Duration limit) {
    const TimePoint end = this->now + limit;
    while (this->now < end) {
      this->now += kTickPeriod;
      this->Apply(Tick{kWall + (this->now - TimePoint{}) / milliseconds(1)});
      // A call of the lease in the same step is answered as well.
      std::vector<Effect> seen = this->effects;
      this->AnswerLease();
      this->effects = std::move(seen);
      if (const Wanted* found = this->Find<Wanted>()) {
        return *found;
      }
    }
    return std::nullopt;
  }

  uint64_t version = 0;
};

// The counts are fixed in the store before they are sent, so that a successor
// repeats exactly them.
TEST_F(DutyTest, UsageIsFixedBeforeItIsSentAndSentAsFixed) {
  this->Gain();
  serving::TrafficReport report;
  const int64_t wall = kWall + (this->now - TimePoint{}) / milliseconds(1);
  const int64_t window = wall / 5000;
  report.usage[window][serving::HashName("school")] = 7;
  this->Apply(TrafficReported{report});
  std::optional<FixUsage> fix;
  do {
    fix = this->RunUntil<FixUsage>(seconds(12));
    ASSERT_TRUE(fix);
    EXPECT_EQ(this->Find<SendUsage>(), nullptr);
    if (fix->window != window) {
      this->Apply(UsageFixed{fix->window, fix->counts});
    }
  } while (fix->window != window);
  EXPECT_EQ(fix->counts.at("school"), 7U);
  // Another holder has fixed other counts before.
  this->Apply(UsageFixed{window, NamedCounts{{"school", 9}}});
  std::optional<SendUsage> send;
  do {
    send = this->RunUntil<SendUsage>(seconds(5));
    ASSERT_TRUE(send);
    if (send->window != window) {
      this->Apply(UsageSent{send->window, true});
    }
  } while (send->window != window);
  EXPECT_EQ(send->counts.at("school"), 9U);
  // A lost answer repeats the same counts.
  this->Apply(UsageSent{window, false});
  send = this->RunUntil<SendUsage>(seconds(3));
  ASSERT_TRUE(send);
  EXPECT_EQ(send->window, window);
  EXPECT_EQ(send->counts.at("school"), 9U);
}

TEST_F(DutyTest, NothingIsSentOnceTheLeaseHasLapsed) {
  this->Gain();
  this->now += seconds(30);  // Frozen.
  this->Apply(Tick{kWall + (this->now - TimePoint{}) / milliseconds(1)});
  EXPECT_EQ(this->Find<FixUsage>(), nullptr);
  EXPECT_EQ(this->Find<SendUsage>(), nullptr);
  EXPECT_FALSE(this->Holds());
}

// Pattern: start of a deployment. Servers register over seconds, and the duties
// are held before all have. Guards against a fleet that is cut down to the few
// servers seen first, just before the traffic begins.
TEST_F(DutyTest, ServersOfTheStartAreCountedOnceAllHaveRegistered) {
  this->state.settings.orders_servers = true;
  auto config = Config(5);
  serving::Service service;
  service.name = "llm";
  service.engine.emplace();
  service.engine->slots = 12;
  service.scaling.emplace();
  service.scaling->min = 1;
  service.scaling->max = 60;
  service.scaling->zone_price = {{"a", 1.0}, {"b", 1.0}, {"c", 1.0}};
  config->services.push_back(service);
  this->Gain();
  this->Apply(ConfigRead{50, config, "{}"});
  constexpr int kServers = 60;
  for (int i = 0; i < kServers; ++i) {
    serving::BackendServer server = Server("start-" + std::to_string(i));
    server.zone = std::string(1, static_cast<char>('a' + i % 3));
    this->Apply(
        ServerChanged{100U + static_cast<unsigned>(i), server.id, server});
    EXPECT_FALSE(this->RunUntil<OrderServers>(milliseconds(100)))
        << "after " << i << " servers";
  }
  const auto order = this->RunUntil<OrderServers>(seconds(3));
  ASSERT_TRUE(order);
  EXPECT_TRUE(order->reclaimable);
  // Two thirds of the servers of the start, on two of three zones, and more.
  EXPECT_GE(order->count, kServers * 2 / 3 / 2);
}

TEST_F(DutyTest, HolderSavesQuotaLevelsAndRestartsTakeFreshOnes) {
  this->Gain();
  serving::TrafficReport report;
  report.quota_levels = {{"school", 12.5}};
  this->Apply(TrafficReported{report});
  const auto save = this->RunUntil<SaveQuotas>(seconds(3));
  ASSERT_TRUE(save);
  EXPECT_EQ(save->levels.at("school"), 12.5);
  this->Apply(QuotasRead{save->levels, save->wall_ms, save->wall_ms + 1700});
  const auto* restore = this->Find<RestoreQuotas>();
  ASSERT_NE(restore, nullptr);
  EXPECT_EQ(restore->age, Duration(milliseconds(700)));
  this->Apply(QuotasRead{save->levels, save->wall_ms, save->wall_ms + 60000});
  EXPECT_EQ(this->Find<RestoreQuotas>(), nullptr) << "too old to say anything";
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
