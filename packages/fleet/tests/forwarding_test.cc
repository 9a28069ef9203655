/**
 * @file forwarding_test.cc
 * Messages of large deployments, and the bounds on fetches.
 */
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <string>

#include "fleet/fetch_budget_base.h"
#include "fleet_fixture.h"

namespace boragewharf::fleet {
namespace {

constexpr uint16_t kForwardingKind =
    static_cast<uint16_t>(serving::ExtensionKind::kForwarding);

/** Control state of a node of a deployment with many servers. */
class ForwardingTest : public FleetTest {
 protected:
  void ListServers(size_t count) {
    ServersRead read{11, {}, false};
    for (size_t i = 0; i < count; ++i) {
      read.servers.push_back(Server("s" + std::to_string(i)));
    }
    this->Apply(StoreReachable{true});
    this->Apply(ConfigRead{10, Config(3), "{}"});
    this->Apply(read);
  }

  /** Receives a message of a node that forwards messages. */
  void Hear(const std::string& ip,
            const std::string& region,
            uint64_t sequence = 1,
            uint8_t flags = 0) {
    serving::PeerMessage message = this->Message(ip, sequence);
    message.status.region = region;
    message.status.zone = "a";
    message.report.extensions = {
        {kForwardingKind, std::string(1, static_cast<char>(flags)), {}}};
    this->Apply(PeerMessageReceived{message});
  }

  /** The messages of the last event, by receiver. */
  std::map<std::string, const SendToPeers*> Sent() const {
    std::map<std::string, const SendToPeers*> sent;
    for (const Effect& effect : this->effects) {
      if (const auto* send = std::get_if<SendToPeers>(&effect)) {
        for (const std::string& ip : send->ips) {
          sent[ip] = send;
        }
      }
    }
    return sent;
  }

  /** The messages of the next periodic round to all regions. */
  std::map<std::string, const SendToPeers*> NextRound() {
    this->state.next_message = this->now;
    this->state.next_message_to_all = true;
    this->TickFor(kTickPeriod);
    return this->Sent();
  }
};

// Guards against a change of the messages of deployments that fit the mesh.
TEST_F(ForwardingTest, DeploymentOf95NodesAnd100ServersExchangesDirectly) {
  this->ListServers(100);
  for (int i = 2; i <= 95; ++i) {
    this->Apply(
        PeerMessageReceived{this->Message("10.0.0." + std::to_string(i), 1)});
  }
  const auto sent = this->NextRound();
  EXPECT_EQ(sent.size(), 94U);
  for (const auto& [ip, send] : sent) {
    EXPECT_FALSE(send->compressed);
    EXPECT_TRUE(send->message.report.extensions.empty());
  }
}

// Guards against one copy of each message for each pair of nodes of two
// regions, and against nodes of an earlier version that get no message.
TEST_F(ForwardingTest, OneCopyIsSentToARegionAndEarlierVersionsGetTheirOwn) {
  this->ListServers(3000);
  for (int i = 2; i <= 40; ++i) {
    this->Hear("10.0.0." + std::to_string(i), i % 2 == 0 ? "r1" : "r2");
  }
  serving::PeerMessage old = this->Message("10.0.1.1", 1);
  old.status.region = "r2";
  this->Apply(PeerMessageReceived{old});
  // The nodes with the lowest addresses may take over the duties and get their
  // messages directly.
  const auto sent = this->NextRound();
  size_t forwarded = 0;
  size_t direct = 0;
  for (const auto& [ip, send] : sent) {
    const auto flags = ForwardingFlags(send->message);
    ASSERT_TRUE(flags) << ip;
    if (this->state.peers.All().at(ip).status.region == "r1") {
      continue;
    }
    const bool is_forward = (*flags & serving::kForward) != 0;
    forwarded += is_forward ? 1 : 0;
    direct += is_forward ? 0 : 1;
    EXPECT_EQ(*flags & serving::kPartial, 0);
  }
  EXPECT_LE(forwarded, 1U) << "a duty node may be chosen as well";
  EXPECT_LT(direct, 8U);
  ASSERT_TRUE(sent.contains("10.0.1.1"));
  EXPECT_FALSE(sent.at("10.0.1.1")->compressed);
}

// Guards against messages that circulate, and against a node that the sender
// relies on but that forwards nothing.
TEST_F(ForwardingTest, MessageIsForwardedOnceWithinTheRegion) {
  this->ListServers(3000);
  this->Hear("10.0.0.2", "r1");
  this->Hear("10.0.0.3", "r1");
  this->Hear("10.0.0.4", "r2");
  this->Hear("10.0.0.5", "r2");
  this->Hear("10.0.0.4", "r2", 2, serving::kForward);
  const auto sent = this->Sent();
  ASSERT_EQ(sent.size(), 2U);
  ASSERT_TRUE(sent.contains("10.0.0.2"));
  EXPECT_EQ(sent.at("10.0.0.2")->message.status.ip, "10.0.0.4");
  EXPECT_EQ(sent.at("10.0.0.2")->message.status.sequence, 2U);
  EXPECT_EQ(ForwardingFlags(sent.at("10.0.0.2")->message), 0);
  this->Hear("10.0.0.4", "r2", 2, serving::kForward);
  EXPECT_TRUE(this->Sent().empty()) << "a duplicate";
}

// Guards against units that are counted twice or lost, and loads that vanish,
// when a partial message follows a complete one.
TEST_F(ForwardingTest, PartialMessageKeepsTheLastReport) {
  PeerTable table("10.0.0.1", this->now);
  serving::PeerMessage message = this->Message("10.0.0.2", 1);
  message.report.loads[5] = {3, 900};
  message.report.admitted[7] = 100;
  table.Receive(message, this->now);
  const auto period = std::chrono::milliseconds(200);
  EXPECT_EQ(table.TakeSummary(period, this->now).admitted[7], 100);
  serving::PeerMessage partial = this->Message("10.0.0.2", 2);
  partial.report.admitted[7] = 130;
  partial.report.extensions = {
      {kForwardingKind, std::string(1, char{serving::kPartial}), {}}};
  table.Receive(partial, this->now);
  table.Receive(partial, this->now);
  const auto summary = table.TakeSummary(period, this->now);
  EXPECT_EQ(summary.admitted.at(7), 30);
  EXPECT_EQ(summary.loads.at(5).running, 3U);
  EXPECT_TRUE(summary.extensions.empty()) << "forwarding concerns only fleet";
}

// Guards against thousands of copies of the server list while servers register:
// at 3,000 servers, each takes about a megabyte.
TEST_F(ForwardingTest, LargeListIsPublishedOncePerTick) {
  this->ListServers(3000);
  this->TickFor(kTickPeriod);
  size_t published = 0;
  for (uint64_t i = 0; i < 100; ++i) {
    this->Apply(ServerChanged{12 + i, "new", Server("new")});
    published += this->Find<PublishServers>() != nullptr ? 1 : 0;
  }
  EXPECT_LE(published, 1U);
  this->TickFor(kTickPeriod);
  const auto* publish = this->Find<PublishServers>();
  ASSERT_NE(publish, nullptr);
  EXPECT_EQ(publish->servers->revision, 111U);
  EXPECT_EQ(publish->servers->servers.size(), 3001U);
}

// Guards against a message to all nodes for each server that registers.
TEST_F(ForwardingTest, OnlyDeparturesAndConfigurationsAreUrgent) {
  this->ListServers(15000);
  this->Hear("10.0.0.2", "r1");
  this->TickFor(std::chrono::seconds(1));
  this->Hear("10.0.0.2", "r1", 2);
  this->state.next_message = this->now + std::chrono::seconds(10);
  this->Apply(ServerChanged{12, "new", Server("new")});
  this->TickFor(kTickPeriod);
  EXPECT_TRUE(this->Sent().empty());
  this->Apply(ServerChanged{13, "s5", std::nullopt});
  this->TickFor(kTickPeriod);
  const auto sent = this->Sent();
  ASSERT_EQ(sent.size(), 1U);
  EXPECT_EQ(sent.at("10.0.0.2")->message.departures,
            (std::vector<serving::NameHash>{serving::HashName("s5")}));
}

// Guards against a fetch that waits for 2 s after a refusal.
TEST_F(ForwardingTest, RefusedFetchIsFollowedByOneFromAnotherNode) {
  this->ListServers(15000);
  for (const char* ip : {"10.0.0.2", "10.0.0.3"}) {
    serving::PeerMessage message = this->Message(ip, 1);
    message.status.servers_revision = 100;
    this->Apply(PeerMessageReceived{message});
  }
  std::map<std::string, int> asked;
  for (int i = 0; i < 8; ++i) {
    this->TickFor(kTickPeriod);
    if (const auto* fetch = this->Find<FetchState>()) {
      const std::string ip = fetch->ip;
      asked[ip] += 1;
      this->Apply(FetchEnded{ip, false, true});
    }
  }
  EXPECT_EQ(asked.size(), 2U);
}

TEST(FetchBudgetTest, BurstIsAnsweredAndThenTheRate) {
  FetchBudget budget(1000, 5000);
  TimePoint now{std::chrono::seconds(1000)};
  size_t answered = 0;
  for (int i = 0; i < 100; ++i) {
    if (budget.MayAnswer(now)) {
      budget.Record(1000);
      answered += 1;
    }
  }
  EXPECT_EQ(answered, 5U);
  for (int i = 0; i < 100; ++i) {
    now += std::chrono::milliseconds(100);
    if (budget.MayAnswer(now)) {
      budget.Record(1000);
      answered += 1;
    }
  }
  EXPECT_NEAR(static_cast<double>(answered), 15, 1);
}

}  // namespace
}  // namespace boragewharf::fleet
