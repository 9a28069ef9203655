/**
 * @file quota_test.cc
 * Quotas that several nodes share.
 */
#include <gtest/gtest.h>

#include <deque>
#include <random>

#include "serving/quota_base.h"

namespace boragewharf::serving {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

ServingConfig ConfigWith(double rate, double burst) {
  ServingConfig config;
  Customer customer;
  customer.name = "school";
  customer.quota_in_tokens = true;
  customer.plain_tokens = 200;
  customer.rate_per_second = rate;
  customer.burst = burst;
  config.customers.push_back(customer);
  IndexConfig(config);
  return config;
}

TEST(QuotaCostTest, CountsTokensAndFallsBackToPlainTokens) {
  const ServingConfig config = ConfigWith(1000, 1000);
  RequestFacts facts;
  EXPECT_EQ(QuotaCost(config.customers[0], facts), 200);
  facts.has_token_counts = true;
  facts.prompt_tokens = 1460;
  facts.max_output_tokens = 80;
  EXPECT_EQ(QuotaCost(config.customers[0], facts), 1540);
  Customer by_requests = config.customers[0];
  by_requests.quota_in_tokens = false;
  EXPECT_EQ(QuotaCost(by_requests, facts), 1);
}

TEST(QuotaTableTest, RefillsAtTheRateUpToTheBurst) {
  const ServingConfig config = ConfigWith(1000, 2000);
  QuotaTable table(0, 1.0);
  TimePoint now{seconds(100)};
  table.Configure(config, now);
  EXPECT_TRUE(table.Admit(config.customers[0], 2000, now));
  EXPECT_FALSE(table.Admit(config.customers[0], 100, now));
  EXPECT_EQ(table.TimeUntil(config.customers[0], 100), milliseconds(100));
  now += milliseconds(100);
  EXPECT_TRUE(table.Admit(config.customers[0], 100, now));
  now += seconds(60);
  EXPECT_TRUE(table.Admit(config.customers[0], 2000, now));
  EXPECT_FALSE(table.Admit(config.customers[0], 1, now));
}

TEST(QuotaTableTest, RefundOfARefusedRequestIsNotReportedAsUse) {
  const ServingConfig config = ConfigWith(1000, 2000);
  QuotaTable table(0, 1.0);
  const TimePoint now{seconds(100)};
  table.Configure(config, now);
  ASSERT_TRUE(table.Admit(config.customers[0], 1500, now));
  table.Refund("school", 1500);
  EXPECT_EQ(table.Admitted().at("school"), 0);
  EXPECT_TRUE(table.Admit(config.customers[0], 2000, now));
}

TEST(QuotaTableTest, LowerLimitCutsTheLevelAtOnce) {
  QuotaTable table(0, 1.0);
  const TimePoint now{seconds(100)};
  table.Configure(ConfigWith(100000, 100000), now);
  const ServingConfig lower = ConfigWith(100, 100);
  table.Configure(lower, now);
  EXPECT_FALSE(table.Admit(lower.customers[0], 101, now));
}

// Pattern: hot tenant while nodes cannot hear each other. Each side may only
// spend its own share.
TEST(QuotaTableTest, SilentNodesKeepTheirShareOfTheRate) {
  const ServingConfig config = ConfigWith(6000, 6000);
  QuotaTable table(0, 0);
  TimePoint now{seconds(100)};
  table.Configure(config, now);
  table.SetSilentShare(5.0 / 6);
  now += seconds(1);
  EXPECT_FALSE(table.Admit(config.customers[0], 1100, now));
  EXPECT_TRUE(table.Admit(config.customers[0], 990, now));
}

// Pattern: hot tenant. One customer sends six times its quota through six
// nodes, whose reports are 200 ms old. In any 8 s the total stays within the
// allowed excess of 10% and 140,000 tokens.
TEST(QuotaTableTest, NodesTogetherKeepAHotCustomerWithinItsQuota) {
  constexpr double kRate = 390000;
  constexpr size_t kNodes = 6;
  const ServingConfig config = ConfigWith(kRate, kRate);
  std::vector<QuotaTable> nodes(kNodes, QuotaTable(28000, 1.0));
  TimePoint now{seconds(100)};
  for (QuotaTable& node : nodes) {
    node.Configure(config, now);
  }
  std::vector<double> reported(kNodes, 0);
  std::mt19937_64 generator(11);
  std::uniform_real_distribution<double> size(500, 24000);
  std::uniform_int_distribution<size_t> pick(0, kNodes - 1);
  std::deque<std::pair<TimePoint, double>> admitted;
  double in_window = 0;
  double most = 0;
  const double gap_s = 12000 / (6 * kRate);
  for (int step = 0; step < 6000; ++step) {
    const auto gap = std::chrono::duration<double>(gap_s);
    const TimePoint before = now;
    now += std::chrono::duration_cast<Duration>(gap);
    const bool report = before.time_since_epoch() / milliseconds(200) !=
                        now.time_since_epoch() / milliseconds(200);
    for (size_t from = 0; report && from < kNodes; ++from) {
      const auto total = nodes[from].Admitted().find("school");
      const double sum =
          total == nodes[from].Admitted().end() ? 0 : total->second;
      for (size_t to = 0; to < kNodes; ++to) {
        if (to != from) {
          nodes[to].DeductRemote("school", sum - reported[from]);
        }
      }
      reported[from] = sum;
    }
    const double cost = size(generator);
    if (nodes[pick(generator)].Admit(config.customers[0], cost, now)) {
      admitted.emplace_back(now, cost);
      in_window += cost;
    }
    while (!admitted.empty() && admitted.front().first < now - seconds(8)) {
      in_window -= admitted.front().second;
      admitted.pop_front();
    }
    most = std::max(most, in_window);
  }
  EXPECT_LE(most, (kRate * 8 + kRate) * 1.1 + 140000);
  EXPECT_GE(most, kRate * 8 * 0.9) << "the quota is used";
}

}  // namespace
}  // namespace boragewharf::serving
