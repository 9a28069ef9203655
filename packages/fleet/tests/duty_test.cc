/**
 * @file duty_test.cc
 * Usage reports, server orders and saved progress of the duty holder.
 */
#include <gtest/gtest.h>

#include "duty_fixture.h"

namespace boragewharf::fleet {
namespace {

// The final counts are recorded in the store before they are sent, so that the
// next duty holder repeats the same counts.
TEST_F(DutyTest, UsageIsRecordedBeforeItIsSentAndSentAsRecorded) {
  this->GainDuties();
  serving::TrafficReport report;
  const int64_t wall =
      kStartWallMs + (this->now - TimePoint{}) / milliseconds(1);
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
  // Another holder has already recorded different counts.
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
  // After a lost response, the same counts are sent again.
  this->Apply(UsageSent{window, false});
  send = this->RunUntil<SendUsage>(seconds(3));
  ASSERT_TRUE(send);
  EXPECT_EQ(send->window, window);
  EXPECT_EQ(send->counts.at("school"), 9U);
}

TEST_F(DutyTest, NothingIsSentOnceTheLeaseHasLapsed) {
  this->GainDuties();
  this->now += seconds(30);  // The process was suspended.
  this->Apply(Tick{kStartWallMs + (this->now - TimePoint{}) / milliseconds(1)});
  EXPECT_EQ(this->Find<FixUsage>(), nullptr);
  EXPECT_EQ(this->Find<SendUsage>(), nullptr);
  EXPECT_FALSE(this->HoldsDutiesNow());
}

// Scenario: a deployment starts. Servers register over several seconds, and a
// node acquires the duty lease before all of them have. Guards against reducing
// the fleet to the few servers seen first, just before the traffic begins.
TEST_F(DutyTest, InitialServersAreCountedOnceAllHaveRegistered) {
  this->state.settings.orders_servers = true;
  const auto config = ScaledConfig();
  this->GainDuties();
  this->Apply(ConfigRead{50, config, "{}"});
  constexpr int kServers = 60;
  std::map<std::string, uint32_t> ordered;
  for (int i = 0; i < kServers; ++i) {
    serving::BackendServer server = Server("start-" + std::to_string(i));
    server.zone = std::string(1, static_cast<char>('a' + i % 3));
    this->Apply(
        ServerChanged{100U + static_cast<unsigned>(i), server.id, server});
    const auto early = this->RunUntil<OrderServers>(milliseconds(100));
    if (early) {
      EXPECT_TRUE(early->reclaimable) << "after " << i << " servers";
      EXPECT_GT(early->count, ordered[early->zone]) << "no order is reduced";
      ordered[early->zone] = early->count;
      this->Apply(ServersOrdered{early->service, early->zone, true,
                                 early->count, true, false});
    }
  }
  std::optional<OrderServers> order;
  do {
    order = this->RunUntil<OrderServers>(seconds(3));
    ASSERT_TRUE(order);
    this->Apply(ServersOrdered{order->service, order->zone, order->reclaimable,
                               order->count, true, false});
  } while (!order->reclaimable);
  // At least two thirds of the initial servers, distributed over two of three
  // zones.
  EXPECT_GE(order->count, kServers * 2 / 3 / 2);
}

// Scenario: a large deployment starts. Registration of its servers takes longer
// than ordered servers take to boot. Guards against counting ordered servers as
// initial ones and therefore ordering more and more (found in run quiet-1 on
// ascb-wharf-grown).
TEST_F(DutyTest, OrderedServersAreNotCountedAsInitialServers) {
  this->state.settings.orders_servers = true;
  const auto config = ScaledConfig();
  this->GainDuties();
  this->Apply(ConfigRead{50, config, "{}"});
  constexpr uint32_t kServers = 30;
  std::map<std::string, uint32_t> ordered;
  uint64_t revision = 100;
  for (uint32_t i = 0; i < 2 * kServers; ++i) {
    serving::BackendServer server = Server("server-" + std::to_string(i));
    server.zone = std::string(1, static_cast<char>('a' + i % 3));
    server.reclaimable = i >= kServers;  // These were ordered.
    this->Apply(ServerChanged{++revision, server.id, server});
    if (const auto order = this->RunUntil<OrderServers>(milliseconds(200))) {
      ordered[order->zone] = std::max(ordered[order->zone], order->count);
      this->Apply(ServersOrdered{order->service, order->zone,
                                 order->reclaimable, order->count, true,
                                 false});
    }
  }
  // Two thirds of the initial servers (the fixture adds two), distributed over
  // two of three zones, times the surplus factor of 1.3, rounded up.
  for (const auto& [zone, count] : ordered) {
    EXPECT_LE(count, 14U) << zone;
  }
}

TEST_F(DutyTest, HolderSavesQuotaLevelsAndRestartedNodesRestoreRecentOnes) {
  this->GainDuties();
  serving::TrafficReport report;
  report.quota_levels = {{"school", 12.5}};
  this->Apply(TrafficReported{report});
  const auto save = this->RunUntil<SaveProgress>(seconds(3));
  ASSERT_TRUE(save);
  EXPECT_EQ(save->levels.at("school"), 12.5);
  this->state.started = this->now;
  this->Apply(
      ProgressRead{save->levels, {}, save->wall_ms, save->wall_ms + 1700});
  const auto* restore = this->Find<RestoreQuotas>();
  ASSERT_NE(restore, nullptr);
  EXPECT_EQ(restore->age, Duration(milliseconds(700)));
  this->Apply(
      ProgressRead{save->levels, {}, save->wall_ms, save->wall_ms + 60000});
  EXPECT_EQ(this->Find<RestoreQuotas>(), nullptr)
      << "the saved levels are too old";
  this->now += seconds(5);
  this->Apply(
      ProgressRead{save->levels, {}, save->wall_ms, save->wall_ms + 5000});
  EXPECT_EQ(this->Find<RestoreQuotas>(), nullptr)
      << "the node's own levels are newer";
}

// Guards against sending requests with a part that crashes servers again after
// all nodes were killed (incident of 2026-12-05, BUDGET).
TEST_F(DutyTest, BlockedPartsOutlastARestartOfAllNodes) {
  this->GainDuties();
  serving::TrafficReport report;
  report.crash_evidence.blocked = {{{9, 77}, 1, 0, this->now}};
  this->Apply(TrafficReported{report});
  const auto save = this->RunUntil<SaveProgress>(seconds(3));
  ASSERT_TRUE(save);
  ASSERT_EQ(save->blocked_parts.size(), 1U);
  this->Apply(ProgressRead{save->levels,
                           {},
                           save->wall_ms,
                           save->wall_ms + 2000,
                           save->blocked_parts});
  const auto* restore = this->Find<RestoreBlockedParts>();
  ASSERT_NE(restore, nullptr);
  EXPECT_EQ(restore->blocked[0].key, (serving::PartKey{9, 77}));
  EXPECT_GE(restore->blocked[0].age_ms, 2000U);
}

// The same for requests: a request that crashes servers is refused after all
// nodes were killed.
TEST_F(DutyTest, CrashesOfRequestsOutlastARestartOfAllNodes) {
  this->GainDuties();
  serving::TrafficReport report;
  report.suspects = {{{77, 5, 0, this->now}, {77, 6, 0, this->now}}, {}};
  this->Apply(TrafficReported{report});
  const auto save = this->RunUntil<SaveProgress>(seconds(3));
  ASSERT_TRUE(save);
  ASSERT_EQ(save->suspects.crashes.size(), 2U);
  ProgressRead read;
  read.saved_wall_ms = save->wall_ms;
  read.clock_wall_ms = save->wall_ms + 2000;
  read.suspects = save->suspects;
  this->Apply(read);
  const auto* restore = this->Find<RestoreSuspects>();
  ASSERT_NE(restore, nullptr);
  EXPECT_EQ(restore->suspects.crashes[0].request, 77U);
  EXPECT_EQ(restore->suspects.crashes[0].id, 5U);
  EXPECT_GE(restore->suspects.crashes[0].age_ms, 2000U);
}

// Scenario: all processes are killed in the middle of a usage window. Guards
// against a report that lacks the requests from before (found as "usage of
// window ... is off" in run trouble-3 on kbtc-wharf).
TEST_F(DutyTest, UsageOfEndedProcessesIsReportedAfterAllNodesRestart) {
  this->GainDuties();
  const serving::NameHash school = serving::HashName("school");
  const int64_t window =
      (kStartWallMs + (this->now - TimePoint{}) / milliseconds(1)) / 5000;
  serving::TrafficReport report;
  report.usage[window][school] = 30;
  this->Apply(TrafficReported{report});
  const auto save = this->RunUntil<SaveProgress>(seconds(3));
  ASSERT_TRUE(save);

  FleetSettings settings = MakeSettings("10.0.0.1");
  settings.incarnation = MakeIncarnation(save->wall_ms + 600, 3);
  this->state = FleetState(settings);
  this->GainDuties();
  this->Apply(ProgressRead{{}, save->usage, save->wall_ms, save->wall_ms});
  report.usage[window][school] = 5;
  this->Apply(TrafficReported{report});
  EXPECT_EQ(this->state.usage.Total(window).at(school), 35U);
  // Progress that is read twice is counted once.
  this->Apply(ProgressRead{{}, save->usage, save->wall_ms, save->wall_ms});
  EXPECT_EQ(this->state.usage.Total(window).at(school), 35U);
}

// Scenario: the duty lease changes hands under load. A later holder finds all
// servers listed and must not wait for servers to register.
TEST_F(DutyTest, LaterHolderOrdersAtOnce) {
  this->state.settings.orders_servers = true;
  const auto config = ScaledConfig();
  this->Configure();
  this->Apply(ConfigRead{50, config, "{}"});
  this->TickFor(milliseconds(200));
  lease::LeaseRecord ended;
  ended.holder = MemberId{9};
  ended.fencing = FencingNumber{4};
  ended.instance = "10.0.0.1";
  this->Apply(LeaseEvent{lease::LeaseRead{kDutyLease, {"7"}, ended}});
  ASSERT_NE(this->Find<LeaseCall>(), nullptr);
  this->Apply(LeaseEvent{lease::LeaseWritten{kDutyLease, {"8"}}});
  EXPECT_NE(this->Find<ReadProgress>(), nullptr);
  const auto order = this->RunUntil<OrderServers>(milliseconds(1400));
  ASSERT_TRUE(order) << "the order bound is one second";
}

// Guards against orders still in flight when the next holder may act (violation
// of check ONE on kbtc-wharf): calls must be aborted before the lease release
// is written.
TEST_F(DutyTest, CallsAreAbortedBeforeTheLeaseIsReleased) {
  this->GainDuties();
  this->Apply(StopRequested{});
  std::vector<std::string> order;
  for (int i = 0; i < 20 && order.size() < 2; ++i) {
    this->now += kTickPeriod;
    this->Apply(
        Tick{kStartWallMs + (this->now - TimePoint{}) / milliseconds(1)});
    for (const Effect& effect : this->effects) {
      const auto* call = std::get_if<LeaseCall>(&effect);
      const auto* write = call == nullptr
                              ? nullptr
                              : std::get_if<lease::WriteLease>(&call->call);
      if (std::holds_alternative<EndDutyCalls>(effect)) {
        order.emplace_back("calls aborted");
      } else if (write != nullptr && write->record.released) {
        order.emplace_back("released");
      }
    }
  }
  EXPECT_EQ(order, (std::vector<std::string>{"calls aborted", "released"}));
}

// Guards against orders still in flight after the lease has lapsed while the
// process was suspended.
TEST_F(DutyTest, CallsAreAbortedWhenTheLeaseLapses) {
  this->GainDuties();
  this->now += seconds(30);  // The process was suspended.
  this->Apply(Tick{kStartWallMs + (this->now - TimePoint{}) / milliseconds(1)});
  EXPECT_NE(this->Find<EndDutyCalls>(), nullptr);
}

// Scenario: orders wait for a slow cloud API while demand rises. Guards against
// sending an order that is out of date.
TEST_F(DutyTest, OpenOrderIsReplacedWhenMoreServersAreNeeded) {
  this->state.settings.orders_servers = true;
  const auto config = ScaledConfig();
  this->GainDuties();
  this->Apply(ConfigRead{50, config, "{}"});
  const auto first = this->RunUntil<OrderServers>(seconds(12));
  ASSERT_TRUE(first);
  serving::TrafficReport report;
  report.demand[serving::HashName("llm")].running = 400;
  this->Apply(TrafficReported{report});
  std::optional<OrderServers> next;
  do {
    next = this->RunUntil<OrderServers>(seconds(2));
    ASSERT_TRUE(next) << "the open order holds back a newer one";
  } while (next->zone != first->zone ||
           next->reclaimable != first->reclaimable);
  EXPECT_GT(next->count, first->count);
  // The older order had been sent and is accepted; the newer one is unanswered.
  const auto placed = [&] {
    return this->state.scaling.at("llm").orders.at(
        {first->zone, first->reclaimable});
  };
  this->Apply(ServersOrdered{first->service, first->zone, first->reclaimable,
                             first->count, true, false});
  EXPECT_EQ(placed().requested, next->count);
  this->Apply(ServersOrdered{next->service, next->zone, next->reclaimable,
                             next->count, true, false});
  EXPECT_EQ(placed().ordered, next->count);
  EXPECT_FALSE(placed().requested);
}

}  // namespace
}  // namespace boragewharf::fleet
