/**
 * @file server_speeds_test.cc
 * Estimates of server speeds, and the reports between nodes.
 */
#include "servermodel/server_speeds_base.h"

#include <gtest/gtest.h>

#include <cmath>
#include <random>

#include "base/body_func.h"
#include "serving/peer_type.h"

namespace boragewharf::servermodel {
namespace {

using std::chrono::milliseconds;

/** Six servers of a service, and nodes that exchange reports. */
class ServerSpeedsTest : public testing::Test {
 protected:
  ServerSpeedsTest() {
    for (int i = 0; i < 6; ++i) {
      serving::BackendServer server;
      server.id = "s" + std::to_string(i);
      server.service = "llm";
      server.slots = 16;
      server.started = 5;
      this->set.servers.push_back(server);
    }
    this->SetServers();
  }

  void SetServers() {
    for (ServerSpeeds& node : this->nodes) {
      node.SetServers(this->set, this->now);
    }
  }

  /** Each node gets gaps of @p gap_ms(server) from each server. */
  template <class GapOf>
  void Stream(int rounds, const GapOf& gap_of) {
    for (int round = 0; round < rounds; ++round) {
      this->now += milliseconds(100);
      for (ServerSpeeds& node : this->nodes) {
        for (size_t i = 0; i < this->set.servers.size(); ++i) {
          serving::AttemptView view{this->set.servers[i], this->route};
          view.engine = true;
          view.running_now = this->generator() % 16;
          const double factor =
              std::lognormal_distribution<double>(0, 0.2)(this->generator);
          const Duration gap(static_cast<int64_t>(
              1000 * factor * gap_of(i) * (1 + view.running_now / 16.0)));
          const std::vector<Duration> gaps(6, gap);
          node.OnEventGaps(view, gaps, this->now);
        }
      }
      this->Exchange();
    }
  }

  void Exchange() {
    for (size_t to = 0; to < 2; ++to) {
      serving::PeerSummary summary;
      std::vector<serving::PeerExtension> sent;
      this->nodes[1 - to].AppendExtensions(sent, this->now);
      for (const auto& extension : sent) {
        summary.extensions.push_back({static_cast<uint32_t>(2 - to), 1,
                                      this->now, extension.kind,
                                      extension.payload});
      }
      summary.nodes = 2;
      summary.message_period = milliseconds(200);
      this->nodes[to].MergePeers(summary, this->now);
    }
  }

  double Speed(size_t server, size_t node = 0) {
    return this->nodes[node].EstimateOf(this->set.servers[server]).speed;
  }

  std::mt19937_64 generator{3};
  serving::ServerSet set;
  serving::Route route;
  TimePoint now{milliseconds(1000000)};
  ServerSpeeds nodes[2];
};

// Guards against estimates that depend on the load instead of the server.
TEST_F(ServerSpeedsTest, EqualServersStayNearOneUnderAnyLoad) {
  this->Stream(100, [](size_t) { return 30.0; });
  for (size_t i = 0; i < 6; ++i) {
    EXPECT_NEAR(this->Speed(i), 1, 0.12);
  }
}

// A change shows within two seconds, and its end as well.
TEST_F(ServerSpeedsTest, SlowServerIsFoundAndForgiven) {
  this->Stream(60, [](size_t) { return 30.0; });
  this->Stream(20, [](size_t i) { return i == 2 ? 75.0 : 30.0; });
  EXPECT_LT(this->Speed(2), 0.7);
  EXPECT_GT(this->Speed(1), 0.85);
  const auto changes = this->nodes[0].TakeChanges();
  ASSERT_EQ(changes.size(), 1U);
  EXPECT_EQ(changes[0].server, "s2");
  EXPECT_TRUE(changes[0].slow);
  this->Stream(30, [](size_t) { return 30.0; });
  EXPECT_GT(this->Speed(2), 0.8);
}

// Starvation: without samples, a server returns to the average.
TEST_F(ServerSpeedsTest, EstimateWithoutSamplesReturnsToAverage) {
  this->Stream(60, [](size_t i) { return i == 2 ? 75.0 : 30.0; });
  for (int i = 0; i < 800; ++i) {
    this->now += milliseconds(200);
    this->Exchange();
  }
  EXPECT_NEAR(this->Speed(2), 1, 0.05);
}

// Guards against judging a restarted server by its previous lifetime.
TEST_F(ServerSpeedsTest, RestartResetsTheEstimate) {
  this->Stream(60, [](size_t i) { return i == 2 ? 75.0 : 30.0; });
  this->set.servers[2].started = 6;
  this->SetServers();
  this->Exchange();
  EXPECT_EQ(this->Speed(2), 1);
}

// A node that starts learns the speeds from the others within a second.
TEST_F(ServerSpeedsTest, NewNodeLearnsFromReports) {
  this->Stream(60, [](size_t i) { return i < 2 ? 20.0 : 40.0; });
  this->nodes[1] = ServerSpeeds();
  this->nodes[1].SetServers(this->set, this->now);
  for (int i = 0; i < 5; ++i) {
    this->now += milliseconds(200);
    this->Exchange();
  }
  EXPECT_GT(this->Speed(0, 1), 1.3 * this->Speed(3, 1));
}

// A node may report anything. Its effect on estimates is bounded, and so are
// sizes.
TEST_F(ServerSpeedsTest, FalseAndInvalidReportsAreBounded) {
  this->Stream(60, [](size_t) { return 30.0; });
  SpeedReport lie;
  for (int i = 0; i < 10; ++i) {
    lie.entries.push_back(
        {LifetimeKey(this->set.servers[0]), -128, 255, 0, 255});
  }
  serving::PeerSummary summary;
  const uint16_t kind =
      static_cast<uint16_t>(serving::ExtensionKind::kServerSpeeds);
  for (const std::string& payload :
       {EncodeBody(lie), std::string("x"), std::string(4096, '\xff')}) {
    summary.extensions.push_back({9, 1, this->now, kind, payload});
  }
  this->nodes[0].MergePeers(summary, this->now);
  EXPECT_EQ(this->nodes[0].InvalidReports(), 2U);
  EXPECT_GT(this->Speed(0), 0.25);
  EXPECT_LT(this->nodes[0].EstimateOf(this->set.servers[0]).failure_share, 0.1);
}

// Guards against a separation where lengths vary little, or where nobody waits.
TEST(LengthSeparationTest, StartsOnlyWhereLongPromptsDelayShortOnes) {
  const auto separation = [](uint32_t long_tokens, double goal_ms) {
    LengthSeparation lengths;
    TimePoint now{milliseconds(1000)};
    for (int i = 0; i < 400; ++i) {
      now += milliseconds(50);
      lengths.AddPrompt(i % 5 == 0 ? long_tokens : 1500, goal_ms, now);
      lengths.AddEvents(40, now);
      lengths.Update({60, 0.3}, now);
    }
    return lengths;
  };
  const LengthSeparation needed = separation(20000, 400);
  EXPECT_TRUE(needed.Active());
  EXPECT_TRUE(needed.IsLong(20000));
  EXPECT_FALSE(needed.IsLong(1500));
  // 333 ms against four times 25 ms of reading, and 12 ms of events for each.
  EXPECT_NEAR(needed.LongShare(), 345.0 / (345 + 4 * 37), 0.05);
  EXPECT_FALSE(separation(2500, 400).Active()) << "lengths vary little";
  EXPECT_FALSE(separation(20000, 4000).Active()) << "the objective allows it";
  EXPECT_FALSE(separation(20000, 0).Active()) << "no objective";
}

// Reports stay within their bytes with thousands of servers.
TEST_F(ServerSpeedsTest, ReportOfManyServersIsBounded) {
  const auto report_bytes = [&](int servers) {
    while (this->set.servers.size() < static_cast<size_t>(servers)) {
      serving::BackendServer server = this->set.servers[0];
      server.id = "n" + std::to_string(this->set.servers.size());
      this->set.servers.push_back(server);
    }
    this->SetServers();
    this->Stream(10, [](size_t) { return 30.0; });
    std::vector<serving::PeerExtension> sent;
    this->nodes[0].AppendExtensions(sent, this->now);
    return sent.at(0).payload.size();
  };
  EXPECT_EQ(report_bytes(90), 90 * kEntryBytes + kReportHeadBytes);
  EXPECT_LE(report_bytes(3200), kMaxReportBytes);
}

}  // namespace
}  // namespace boragewharf::servermodel
