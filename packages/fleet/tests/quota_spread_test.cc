/**
 * @file quota_spread_test.cc
 * Quotas of dozens of nodes that hear of each other's use by datagram.
 */
#include <gtest/gtest.h>

#include <deque>
#include <memory>
#include <random>

#include "fleet/peer_table_base.h"
#include "serving/quota_base.h"

namespace boragewharf::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kCustomer[] = "school";

/** A customer's requests at many nodes, some of which are cut off. */
struct SpreadModel {
  size_t nodes = 79;
  double rate = 1125000;     ///< Of the quota, tokens per second.
  double times_rate = 3.3;   ///< Demand relative to it.
  milliseconds period{474};  ///< Of datagrams; to the other region, twice it.
  size_t cut_nodes = 28;     ///< Nodes that hear nobody during the cut.
  seconds cut_from{1};
  seconds cut_until{13};
  seconds length{25};
};

/** What was admitted. */
struct SpreadResult {
  double in_window = 0;  ///< Most in any 8 s.
  double share = 0;      ///< Of the demand, over the whole run.
};

/** A node's part in the quota. */
struct SpreadNode {
  explicit SpreadNode(const std::string& own_ip) : peers(own_ip), ip(own_ip) {}

  PeerTable peers;
  std::string ip;
  serving::QuotaTable quotas{28000, 1.0};
  TimePoint next_message;
  uint64_t sequence = 0;
  bool far = false;
};

SpreadResult PlaySpread(const SpreadModel& model) {
  serving::ServingConfig config;
  serving::Customer customer;
  customer.name = kCustomer;
  customer.quota_in_tokens = true;
  customer.rate_per_second = model.rate;
  customer.burst = model.rate;
  config.customers.push_back(customer);
  serving::IndexConfig(config);
  const serving::NameHash hash = serving::HashName(kCustomer);
  const TimePoint start{seconds(100)};
  std::vector<std::unique_ptr<SpreadNode>> nodes;
  for (size_t i = 0; i < model.nodes; ++i) {
    nodes.push_back(
        std::make_unique<SpreadNode>("10.0.0." + std::to_string(i + 1)));
    nodes.back()->far = i % 2 == 1;
    nodes.back()->quotas.Configure(config, start);
    nodes.back()->next_message = start + model.period * i / model.nodes;
  }
  std::mt19937_64 generator(5);
  std::uniform_real_distribution<double> size(500, 24000);
  std::uniform_int_distribution<size_t> pick(0, model.nodes - 1);
  const std::chrono::duration<double> gap(12250 /
                                          (model.times_rate * model.rate));
  std::deque<std::pair<TimePoint, double>> admitted;
  SpreadResult result;
  double in_window = 0;
  double total = 0;
  double asked = 0;
  TimePoint now = start;
  while (now < start + model.length) {
    now += std::chrono::duration_cast<Duration>(gap);
    const bool cut =
        now >= start + model.cut_from && now < start + model.cut_until;
    for (size_t from = 0; from < nodes.size(); ++from) {
      SpreadNode& node = *nodes[from];
      if (now < node.next_message) {
        continue;
      }
      node.next_message += model.period;
      serving::PeerMessage message;
      message.format = serving::kPeerFormat;
      message.status.ip = node.ip;
      message.status.incarnation = 1;
      message.status.sequence = ++node.sequence;
      for (const auto& [name, units] : node.quotas.Admitted()) {
        message.report.admitted[hash] = static_cast<uint64_t>(units);
      }
      for (size_t to = 0; to < nodes.size(); ++to) {
        const bool heard =
            (!cut || (from >= model.cut_nodes && to >= model.cut_nodes)) &&
            (nodes[to]->far == node.far || node.sequence % 2 == 0);
        if (heard && to != from) {
          nodes[to]->peers.Receive(message, now);
        }
      }
      const serving::PeerSummary summary =
          node.peers.TakeSummary(model.period, now);
      node.quotas.SetNodes(summary.nodes);
      node.quotas.SetSilentShare(summary.silent_share);
      const auto used = summary.admitted.find(hash);
      if (used != summary.admitted.end()) {
        node.quotas.DeductRemote(kCustomer, used->second);
      }
    }
    const double cost = size(generator);
    asked += cost;
    if (nodes[pick(generator)]->quotas.Admit(customer, cost, now)) {
      admitted.emplace_back(now, cost);
      in_window += cost;
      total += cost;
    }
    while (!admitted.empty() && admitted.front().first < now - seconds(8)) {
      in_window -= admitted.front().second;
      admitted.pop_front();
    }
    result.in_window = std::max(result.in_window, in_window);
  }
  result.share = total / asked;
  return result;
}

// Pattern: hot tenant while a third of the nodes is cut off. Guards against
// nodes that use the quota of those which fell silent a moment ago (found as
// QUOTA on kbtc-wharf-grown scale-2).
TEST(QuotaSpreadTest, NodesThatFallSilentStillCountForAHotCustomer) {
  const SpreadModel model;
  const SpreadResult result = PlaySpread(model);
  // Allowed in 8 s: an excess of 10% and 140,000 tokens.
  EXPECT_LE(result.in_window, model.rate * 9 * 1.1 + 140000);
  EXPECT_GE(result.share * model.times_rate, 0.85) << "the quota is used";
}

// Pattern: hot tenant with six times its quota, no cut. Guards against all
// nodes using the same refill between two reports, and being in debt for
// seconds.
TEST(QuotaSpreadTest, NodesDoNotRushForTheSameRefill) {
  for (const double times_rate : {1.5, 3.0, 6.0}) {
    SpreadModel model;
    model.times_rate = times_rate;
    model.cut_nodes = 0;
    const SpreadResult result = PlaySpread(model);
    EXPECT_LE(result.in_window, model.rate * 9 * 1.1 + 140000) << times_rate;
    EXPECT_GE(result.share * model.times_rate, 0.9) << times_rate;
  }
}

// Pattern: a customer below its quota, before, during and after the cut.
TEST(QuotaSpreadTest, CustomerBelowItsQuotaIsServedThroughACut) {
  SpreadModel model;
  model.times_rate = 0.55;
  EXPECT_GE(PlaySpread(model).share, 0.99);
}

// Pattern: rolling restart. A node that restarts while the others go on must
// not deduct all that they have ever admitted; the saved levels contain it
// (found as refusals below the quota on kbtc-wharf trouble-2).
TEST(QuotaSpreadTest, RestartedNodeDoesNotPayForEarlierUse) {
  constexpr uint64_t kBefore = 5000000;
  const serving::NameHash hash = serving::HashName(kCustomer);
  TimePoint now{seconds(100)};
  PeerTable peers("10.0.0.1", now);
  serving::PeerMessage message;
  message.format = serving::kPeerFormat;
  message.status.ip = "10.0.0.2";
  message.status.incarnation = 9;
  message.status.uptime_ms = 60000;
  message.status.sequence = 1;
  message.report.admitted[hash] = kBefore;
  peers.Receive(message, now);
  EXPECT_EQ(peers.TakeSummary(milliseconds(200), now).admitted[hash], 0);
  message.status.sequence = 2;
  message.report.admitted[hash] = kBefore + 700;
  now += milliseconds(200);
  peers.Receive(message, now);
  EXPECT_EQ(peers.TakeSummary(milliseconds(200), now).admitted[hash], 700);
}

// Pattern: all nodes restart. What those that started a moment earlier have
// admitted since is in no saved level.
TEST(QuotaSpreadTest, NodesThatRestartTogetherCountEachOther) {
  const serving::NameHash hash = serving::HashName(kCustomer);
  const TimePoint start{seconds(100)};
  const TimePoint now = start + milliseconds(21000);
  PeerTable peers("10.0.0.1", start);
  for (const int64_t offset : {-1000, 1000, 20000}) {
    serving::PeerMessage message;
    message.format = serving::kPeerFormat;
    message.status.ip = "10.0.0." + std::to_string(10 + offset / 1000);
    message.status.incarnation = 1;
    message.status.uptime_ms = 21000 - offset;
    message.status.sequence = 1;
    message.report.admitted[hash] = 900;
    peers.Receive(message, now);
    EXPECT_EQ(peers.TakeSummary(milliseconds(200), now).admitted[hash], 900)
        << offset;
  }
}

}  // namespace
}  // namespace boragewharf::fleet
