/**
 * @file server_rate_limits_test.cc
 * Limits that servers name for the requests of all nodes together.
 */
#include "serving/server_rate_limits_base.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <random>

#include "base/body_func.h"

namespace boragewharf::serving {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr ServerLifetime kServer{7, 1000};
const TimePoint kStart{seconds(100)};

TEST(ServerRateLimitsTest, ServerWithoutALimitIsNotRestricted) {
  ServerRateLimits limits;
  for (int i = 0; i < 1000; ++i) {
    EXPECT_TRUE(limits.Allows(kServer, kStart));
    limits.CountRequest(kServer, kStart);
  }
  limits.RecordAnswer(kServer, std::nullopt, kStart, kStart);
  EXPECT_FALSE(limits.LimitOf(kServer, kStart));
}

// Guards against more than one request at once after a pause, and against a
// wait that does not end.
TEST(ServerRateLimitsTest, SingleNodeKeepsTheRate) {
  ServerRateLimits limits;
  limits.RecordAnswer(kServer, 2.0, kStart, kStart);
  EXPECT_EQ(limits.LimitOf(kServer, kStart), 2.0);
  uint32_t sent = 0;
  TimePoint now = kStart;
  for (; now < kStart + seconds(20); now += milliseconds(10)) {
    if (limits.Allows(kServer, now)) {
      limits.CountRequest(kServer, now);
      ++sent;
    }
  }
  EXPECT_LE(sent, 2U * 20);
  EXPECT_GE(sent, 2U * 20 * 3 / 4);
  EXPECT_LE(*limits.TimeUntilAllowed(kServer, now), seconds(1));
}

// Guards against an end of the limit by an answer from before it was named.
TEST(ServerRateLimitsTest, LimitEndsWithALaterAnswerWithoutIt) {
  ServerRateLimits limits;
  limits.RecordAnswer(kServer, 0.0, kStart, kStart + seconds(1));
  EXPECT_FALSE(limits.Allows(kServer, kStart + seconds(10)));
  limits.RecordAnswer(kServer, std::nullopt, kStart, kStart + seconds(2));
  EXPECT_TRUE(limits.LimitOf(kServer, kStart + seconds(2)))
      << "sent before the limit was named";
  limits.RecordAnswer(kServer, std::nullopt, kStart + seconds(2),
                      kStart + seconds(3));
  EXPECT_FALSE(limits.LimitOf(kServer, kStart + seconds(3)));
  EXPECT_TRUE(limits.Allows(kServer, kStart + seconds(3)));
}

// Guards against holding the next lifetime of a server to the limit of the one
// before.
TEST(ServerRateLimitsTest, LimitEndsWithTheLifetime) {
  ServerRateLimits limits;
  limits.RecordAnswer(kServer, 0.0, kStart, kStart);
  EXPECT_TRUE(limits.Allows({kServer.id, kServer.started + 1}, kStart));
  limits.Retain({});
  EXPECT_TRUE(limits.Allows(kServer, kStart));
}

// Guards against reports with odd values, which come from the network.
TEST(ServerRateLimitsTest, InvalidReportsAreCountedAndDropped) {
  ServerRateLimits limits;
  PeerSummary summary;
  const auto kind = static_cast<uint16_t>(ExtensionKind::kServerLimits);
  const RateLimitReport odd{
      {{1, 1, std::nan(""), 0}, {2, 1, 1e30, 0}, {3, 1, 1.0, 0xffffffff}}};
  summary.extensions = {{1, 1, kStart, kind, "no report"},
                        {1, 1, kStart, kind, EncodeBody(odd)}};
  limits.MergePeers(summary, kStart);
  EXPECT_EQ(limits.InvalidReports(), 4U);
  EXPECT_TRUE(limits.Allows({1, 1}, kStart));
  EXPECT_TRUE(limits.Allows({3, 1}, kStart));
}

/** Nodes that exchange messages, and a server that counts what it gets. */
class Deployment {
 public:
  /** @param loss Share of the messages that are lost. */
  Deployment(uint32_t node_count, double loss, uint64_t seed)
      : nodes(node_count), lost(loss), generator(seed) {}

  /**
   * Lets each node try to send @p per_node requests a second.
   * @param limit What the server names; empty: nothing.
   */
  void Run(Duration time, double per_node, std::optional<double> limit) {
    const TimePoint end = this->now + time;
    while (this->now < end) {
      this->now += kStep;
      for (size_t i = 0; i < this->nodes.size(); ++i) {
        Node& node = this->nodes[i];
        if (!node.idle && this->Draw() < per_node * Seconds(kStep)) {
          this->Try(node, limit);
        }
        for (const ServerLifetime& due : node.limits.TakeDueChecks(this->now)) {
          this->Send(node, due, limit);
        }
      }
      if (this->now >= this->next_message) {
        this->next_message = this->now + kPeriod;
        this->Exchange();
      }
    }
  }

  /** Sets whether a node gets requests of clients. */
  void SetIdle(size_t index, bool idle) { this->nodes[index].idle = idle; }

  /** Whether a node has a share of the limit. */
  bool HasShare(size_t index) const {
    return this->nodes[index]
        .limits.TimeUntilAllowed(kServer, this->now)
        .has_value();
  }

  /** Starts a node anew. */
  void Restart(size_t index) { this->nodes[index] = {}; }

  /** A node stops taking part, as if it were cut off. */
  void SetSilent(size_t index, bool silent) {
    this->nodes[index].silent = silent;
  }

  /** Most requests in any 4 s since @p from, by nodes that knew the limit from
   * an answer 0.5 s before. */
  size_t MostInFourSeconds(TimePoint from) const {
    size_t most = 0;
    for (size_t first = 0; first < this->arrivals.size(); ++first) {
      size_t last = first;
      while (last < this->arrivals.size() &&
             this->arrivals[last] < this->arrivals[first] + seconds(4)) {
        ++last;
      }
      if (this->arrivals[first] >= from) {
        most = std::max(most, last - first);
      }
    }
    return most;
  }

  /** All requests since @p from. */
  size_t Since(TimePoint from) const {
    return static_cast<size_t>(std::ranges::count_if(
        this->all, [&](TimePoint at) { return at >= from; }));
  }

  TimePoint Now() const { return this->now; }

 private:
  static constexpr milliseconds kStep{10};
  static constexpr milliseconds kPeriod{500};

  struct Node {
    ServerRateLimits limits;
    std::optional<TimePoint> told;  ///< First answer with a limit.
    bool silent = false;
    bool idle = false;
  };

  static double Seconds(Duration time) {
    return std::chrono::duration<double>(time).count();
  }

  double Draw() {
    return std::uniform_real_distribution<double>()(this->generator);
  }

  void Try(Node& node, std::optional<double> limit) {
    if (node.limits.Allows(kServer, this->now)) {
      this->Send(node, kServer, limit);
    }
  }

  void Send(Node& node,
            const ServerLifetime& server,
            std::optional<double> limit) {
    node.limits.CountRequest(server, this->now);
    this->all.push_back(this->now);
    if (node.told && this->now - *node.told >= milliseconds(500)) {
      this->arrivals.push_back(this->now);
    }
    if (limit && !node.told) {
      node.told = this->now;
    }
    node.limits.RecordAnswer(server, limit, this->now, this->now);
  }

  void Exchange() {
    std::vector<std::vector<PeerExtension>> sent(this->nodes.size());
    for (size_t i = 0; i < this->nodes.size(); ++i) {
      this->nodes[i].limits.AppendExtensions(sent[i], this->now);
    }
    for (size_t i = 0; i < this->nodes.size(); ++i) {
      PeerSummary summary;
      summary.own_ip = static_cast<uint32_t>(i + 1);
      for (size_t j = 0; j < this->nodes.size(); ++j) {
        const bool heard =
            j != i && !this->nodes[i].silent && !this->nodes[j].silent;
        if (!heard) {
          continue;
        }
        summary.heard_ips.push_back(static_cast<uint32_t>(j + 1));
        if (this->Draw() < this->lost) {
          continue;
        }
        for (const PeerExtension& extension : sent[j]) {
          summary.extensions.push_back({static_cast<uint32_t>(j + 1), 1,
                                        this->now + milliseconds(100),
                                        extension.kind, extension.payload});
        }
      }
      this->nodes[i].limits.MergePeers(summary, this->now + milliseconds(100));
    }
  }

  std::vector<Node> nodes;
  double lost;
  std::mt19937_64 generator;
  TimePoint now = kStart;
  TimePoint next_message = kStart;
  std::vector<TimePoint> arrivals;  ///< By nodes that the rule counts.
  std::vector<TimePoint> all;
};

/** What the users' rule allows in 4 s. */
size_t AllowedInFourSeconds(double limit) {
  return static_cast<size_t>(1.5 * limit * 4 + 5);
}

struct Case {
  uint32_t nodes;
  double limit;
};

class ServerRateLimitsOfManyTest : public testing::TestWithParam<Case> {};

// Guards against a limit that each node keeps for itself: six nodes sent 45
// requests in 4 s to a server that takes 3 a second (LIMIT on ascb-wharf).
TEST_P(ServerRateLimitsOfManyTest, AllNodesTogetherKeepTheLimit) {
  const auto [nodes, limit] = GetParam();
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    Deployment deployment(nodes, 0.1, seed);
    deployment.Run(seconds(4), 2.0, std::nullopt);
    deployment.Run(seconds(4), 2.0, limit);
    const TimePoint from = deployment.Now();
    deployment.Run(seconds(20), 2.0, limit);
    EXPECT_LE(deployment.MostInFourSeconds(from), AllowedInFourSeconds(limit))
        << "seed " << seed;
    EXPECT_GE(deployment.Since(from), static_cast<size_t>(limit * 20 / 3))
        << "the server is used, seed " << seed;
  }
}

// Guards against too many requests at once when all nodes have been idle.
TEST_P(ServerRateLimitsOfManyTest, BurstAfterAPauseKeepsTheLimit) {
  const auto [nodes, limit] = GetParam();
  Deployment deployment(nodes, 0.0, 1);
  deployment.Run(seconds(6), 2.0, limit);
  deployment.Run(seconds(30), 0.0, limit);
  const TimePoint from = deployment.Now();
  deployment.Run(seconds(8), 50.0, limit);
  EXPECT_LE(deployment.MostInFourSeconds(from), AllowedInFourSeconds(limit));
}

// Guards against a server that stays without requests when its need is over,
// also where nodes were cut off meanwhile.
TEST_P(ServerRateLimitsOfManyTest, AllNodesUseTheServerAgainAfterItsNeed) {
  const auto [nodes, limit] = GetParam();
  Deployment deployment(nodes, 0.1, 1);
  deployment.Run(seconds(8), 2.0, limit);
  deployment.SetSilent(0, true);
  deployment.Run(seconds(12), 2.0, std::nullopt);
  deployment.SetSilent(0, false);
  deployment.Run(seconds(5), 2.0, std::nullopt);
  const TimePoint from = deployment.Now();
  deployment.Run(seconds(100), 2.0, std::nullopt);
  EXPECT_GE(deployment.Since(from), nodes * 2U * 100 * 3 / 4);
}

// Guards against a restarted node that does not know the limit for long.
TEST_P(ServerRateLimitsOfManyTest, RestartedNodesLearnTheLimit) {
  const auto [nodes, limit] = GetParam();
  Deployment deployment(nodes, 0.1, 1);
  deployment.Run(seconds(8), 2.0, limit);
  for (size_t i = 0; i < nodes / 2; ++i) {
    deployment.Restart(i);
  }
  deployment.Run(seconds(4), 2.0, limit);
  const TimePoint from = deployment.Now();
  deployment.Run(seconds(10), 2.0, limit);
  EXPECT_LE(deployment.MostInFourSeconds(from), AllowedInFourSeconds(limit));
}

// Guards against a limit that outlasts the need because the nodes that share it
// get no requests, so that none sees its end.
TEST_P(ServerRateLimitsOfManyTest, LimitEndsWhileTheNodesThatShareItAreIdle) {
  const auto [nodes, limit] = GetParam();
  Deployment deployment(nodes, 0.1, 1);
  deployment.Run(seconds(8), 2.0, limit);
  uint32_t busy = 0;
  for (size_t i = 0; i < nodes; ++i) {
    deployment.SetIdle(i, deployment.HasShare(i));
    busy += deployment.HasShare(i) ? 0 : 1;
  }
  deployment.Run(seconds(10), 2.0, limit);
  deployment.Run(seconds(10), 2.0, std::nullopt);
  const TimePoint from = deployment.Now();
  deployment.Run(seconds(100), 2.0, std::nullopt);
  EXPECT_GE(deployment.Since(from), busy * 2U * 100 * 3 / 4);
}

INSTANTIATE_TEST_SUITE_P(Deployments,
                         ServerRateLimitsOfManyTest,
                         testing::Values(Case{1, 3},
                                         Case{6, 0.4},
                                         Case{6, 1.9},
                                         Case{6, 3.3},
                                         Case{6, 20},
                                         Case{95, 3},
                                         Case{95, 40}));

}  // namespace
}  // namespace boragewharf::serving
