/**
 * @file duty_test.cc
 * Usage reports, server orders and saved progress of the duty holder.
 */
#include <gtest/gtest.h>

#include <deque>

#include "fleet/usage_register_func.h"
#include "fleet_fixture.h"
#include "lease/lease_func.h"

namespace boragewharf::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Fixture with a node that acquires the duty lease. */
class DutyTest : public FleetTest {
 protected:
  void GainDuties() {
    this->Configure();
    for (int i = 0; i < 200 && !this->HoldsDutiesNow(); ++i) {
      this->now += kTickPeriod;
      this->Apply(
          Tick{kStartWallMs + (this->now - TimePoint{}) / milliseconds(1)});
      this->AnswerLease();
    }
    ASSERT_TRUE(this->HoldsDutiesNow());
  }

  /** A configuration with a service whose number of servers is scaled. */
  static std::shared_ptr<serving::ServingConfig> ScaledConfig() {
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
    return config;
  }

  bool HoldsDutiesNow() const {
    return lease::IssuePermit(this->state.lease, kDutyLease,
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

  /** Runs ticks until an effect of the given type appears, and answers lease
   * calls. */
  template <class Wanted>
  std::optional<Wanted> RunUntil(Duration limit) {
    const TimePoint end = this->now + limit;
    while (this->now < end) {
      this->now += kTickPeriod;
      this->Apply(
          Tick{kStartWallMs + (this->now - TimePoint{}) / milliseconds(1)});
      // Lease calls from the same tick are answered as well.
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

/** Successive duty holders that record and report usage. */
class UsageReportTest : public DutyTest {
 protected:
  static constexpr int64_t kWindowMs = 5000;

  int64_t TrueWallMs() const {
    return kStartWallMs + (this->now - TimePoint{}) / milliseconds(1);
  }

  /** A new process acquires the duty lease. Its counts differ from those of
   * earlier processes. */
  void ChangeHolder() {
    ++this->holders;
    FleetSettings settings = MakeSettings("10.0.0.1");
    settings.incarnation = MakeIncarnation(this->TrueWallMs(), 3);
    this->state = FleetState(settings);
    this->GainDuties();
  }

  /** Number of requests that the current holder counts in each window. */
  uint32_t RequestsPerWindow() const { return 100 + this->holders; }

  /** Runs the holder while the clocks of most nodes are ahead by @p ahead. */
  void RunWithClocksAhead(Duration time, milliseconds ahead) {
    const TimePoint end = this->now + time;
    while (this->now < end) {
      this->now += kTickPeriod;
      for (const char* ip : {"10.0.0.7", "10.0.0.8", "10.0.0.9"}) {
        serving::PeerMessage message = this->Message(ip, ++this->sequence);
        message.status.wall_ms += ahead.count();
        message.status.wall_age_ms = this->TrueWallMs() - kStartWallMs;
        message.status.wall_confirmed = true;
        this->Apply(PeerMessageReceived{message});
        this->Execute();
      }
      serving::TrafficReport report;
      const int64_t current = this->TrueWallMs() / kWindowMs;
      for (int64_t window = current - 3; window <= current; ++window) {
        report.usage[window][serving::HashName("school")] =
            this->RequestsPerWindow();
      }
      this->Apply(TrafficReported{report});
      this->Execute();
      this->Apply(Tick{this->TrueWallMs()});
      this->Execute();
    }
  }

  /** Executes effects on the lease and on usage, including the effects that
   * follow from them. */
  void Execute() {
    std::deque<Effect> open(this->effects.begin(), this->effects.end());
    while (!open.empty()) {
      const Effect effect = std::move(open.front());
      open.pop_front();
      this->effects.clear();
      if (const auto* call = std::get_if<LeaseCall>(&effect)) {
        if (std::holds_alternative<lease::ReadLease>(call->call)) {
          this->Apply(LeaseEvent{
              lease::LeaseReadFailed{kDutyLease, ResultCode::kStoreNotFound}});
        } else if (std::holds_alternative<lease::WriteLease>(call->call)) {
          ++this->version;
          this->Apply(LeaseEvent{lease::LeaseWritten{
              kDutyLease, {std::to_string(this->version)}}});
        }
      } else if (const auto* fix = std::get_if<FixUsage>(&effect)) {
        this->Apply(this->Fix(*fix));
      } else if (const auto* send = std::get_if<SendUsage>(&effect)) {
        const auto first =
            this->sent.try_emplace(send->window, send->counts).first;
        EXPECT_EQ(first->second, send->counts)
            << "window " << send->window << " of holder " << this->holders;
        this->Apply(UsageSent{send->window, true});
      }
      open.insert(open.end(), this->effects.begin(), this->effects.end());
    }
  }

  /** Reads the register, decides and writes in one step. The result is that of
   * the platform. */
  UsageFixed Fix(const FixUsage& fix) {
    const UsageDecision decision = DecideUsage(this->stored, fix);
    switch (decision.step) {
      case UsageDecision::Step::kClosed:
        return {fix.window, std::nullopt, true};
      case UsageDecision::Step::kWrite:
        this->stored = decision.next;
        break;
      case UsageDecision::Step::kRepeat:
        break;
    }
    return {fix.window, decision.counts};
  }

  UsageRegister stored;
  uint32_t holders = 0;
  uint64_t sequence = 0;
  std::map<int64_t, NamedCounts> sent;  ///< First report of each window.
};

// Scenario: the clocks of most nodes step ahead by 50 s and back while the duty
// lease changes hands. Guards against recording and reporting a window again
// with different counts because the wrong time of day caused its recorded
// counts to be dropped (hypothesis H4 for the violation of check ONE on
// kbtc-wharf).
TEST_F(UsageReportTest, WindowKeepsItsCountsWhenTheTimeOfDayStepsAheadAndBack) {
  this->GainDuties();
  this->RunWithClocksAhead(seconds(30), milliseconds(0));
  EXPECT_GE(this->sent.size(), 4U);
  this->RunWithClocksAhead(seconds(12), seconds(50));
  EXPECT_GT(this->sent.rbegin()->first, this->TrueWallMs() / kWindowMs + 4)
      << "the holder does not follow the clocks ahead";
  this->ChangeHolder();
  this->RunWithClocksAhead(seconds(12), milliseconds(0));
  this->RunWithClocksAhead(seconds(30), seconds(50));
  this->RunWithClocksAhead(seconds(12), milliseconds(0));
  this->ChangeHolder();
  this->RunWithClocksAhead(seconds(120), milliseconds(0));
  // Windows after those that were recorded ahead of time are reported normally.
  const int64_t last = this->TrueWallMs() / kWindowMs - 2;
  ASSERT_EQ(this->sent.count(last), 1U);
  EXPECT_EQ(this->sent.at(last).at("school"), this->RequestsPerWindow());
}

// Guards against retrying a closed window forever, at a cost of two store calls
// each time, and against reporting counts that were not recorded.
TEST_F(UsageReportTest, ClosedWindowIsNeitherSentNorRetried) {
  this->stored.closed_through = this->TrueWallMs() / kWindowMs + 100;
  this->GainDuties();
  std::map<int64_t, uint32_t> tried;
  const TimePoint end = this->now + seconds(30);
  while (this->now < end) {
    const auto fix = this->RunUntil<FixUsage>(seconds(1));
    EXPECT_EQ(this->Find<SendUsage>(), nullptr);
    if (!fix) {
      continue;
    }
    ++tried[fix->window];
    const UsageFixed fixed = this->Fix(*fix);
    ASSERT_TRUE(fixed.closed);
    this->Apply(fixed);
    const auto* line = this->Find<LogChange>();
    ASSERT_NE(line, nullptr);
    EXPECT_EQ(line->event, "usage_closed");
  }
  EXPECT_GE(tried.size(), 4U);
  for (const auto& [window, times] : tried) {
    EXPECT_EQ(times, 1U) << "window " << window;
  }
}

}  // namespace
}  // namespace boragewharf::fleet
