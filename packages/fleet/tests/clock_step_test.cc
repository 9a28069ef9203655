/**
 * @file clock_step_test.cc
 * Six nodes whose clocks step while their processes are killed: who is refused.
 */
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <memory>
#include <random>

#include "fleet_fixture.h"
#include "serving/quota_base.h"

namespace boragewharf::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kCustomer[] = "school";
constexpr size_t kNodes = 6;
constexpr double kRate = 107000;  ///< Of the quota, tokens per second.
constexpr double kUse = 0.55;     ///< Demand relative to it.
constexpr double kMeanCost = 3600;
constexpr milliseconds kStep(10);
constexpr milliseconds kReportPeriod(200);
constexpr milliseconds kRestartTime(500);
constexpr milliseconds kReadTime(50);

/** Clocks of the first nodes differ from the true time for a while. */
struct ClockStep {
  seconds from{};
  seconds until{};
  double share = 1;
  seconds step{};
};

/** Nodes are killed: the first, the last, or the holder of the duties. */
struct Kill {
  enum class Who : uint8_t { kFirst, kLast, kHolder };
  seconds at{};
  Who who = Who::kFirst;
  double share = 0.7;  ///< Of the nodes; the holder is one.
  milliseconds down = kRestartTime;
};

struct ClockDay {
  std::string name;
  std::vector<ClockStep> steps;
  std::vector<Kill> kills;
};

/** A node: its control state and what its traffic side keeps of quotas. */
struct ClockNode {
  std::optional<FleetState> state;  ///< Empty while the process is down.
  std::unique_ptr<serving::QuotaTable> quotas;
  TimePoint up_at;  ///< When its process starts, or started.
  TimePoint read_at;
  TimePoint next_tick;
  TimePoint next_report;
  milliseconds clock_step{};
  bool has_read = true;
};

/** What the customer got. */
struct ClockResult {
  double refused = 0;    ///< Share of the requests that reached a node.
  double in_window = 0;  ///< Most tokens admitted in any 8 s.
  /** Largest error of a node's time of day, later than 1 s after its start. */
  milliseconds wall_error{};
};

/** All nodes, their store and one customer. */
class ClockModel {
 public:
  /** @param off Error of all clocks at the start of the deployment. */
  explicit ClockModel(uint64_t seed, seconds off = seconds(0))
      : generator(seed) {
    for (ClockNode& node : this->nodes) {
      node.clock_step = off;
    }
    serving::ServingConfig made;
    this->customer.name = kCustomer;
    this->customer.quota_in_tokens = true;
    this->customer.rate_per_second = kRate;
    this->customer.burst = kRate;
    made.customers.push_back(this->customer);
    serving::IndexConfig(made);
    this->config = std::make_shared<serving::ServingConfig>(made);
    for (size_t i = 0; i < kNodes; ++i) {
      this->StartNode(i, true);
      this->Apply(i, Tick{this->Clock(i)});
    }
  }

  /** Largest error of a node's time of day. */
  milliseconds WallErrorNow() const {
    milliseconds most{};
    for (const ClockNode& node : this->nodes) {
      const milliseconds error(*node.state->wall_offset_ms - kWall);
      most = std::max(most, std::chrono::abs(error));
    }
    return most;
  }

  ClockResult Play(const ClockDay& day, seconds length) {
    const TimePoint start = this->now;
    std::vector<bool> killed(day.kills.size(), false);
    while (this->now < start + length) {
      this->now += kStep;
      const Duration passed = this->now - start;
      for (size_t i = 0; i < kNodes; ++i) {
        this->nodes[i].clock_step = milliseconds(0);
        for (const ClockStep& step : day.steps) {
          if (passed >= step.from && passed < step.until &&
              static_cast<double>(i) < step.share * kNodes) {
            this->nodes[i].clock_step = step.step;
          }
        }
      }
      for (size_t k = 0; k < day.kills.size(); ++k) {
        if (!killed[k] && passed >= day.kills[k].at) {
          killed[k] = true;
          this->KillNodes(day.kills[k]);
        }
      }
      for (size_t i = 0; i < kNodes; ++i) {
        this->StepNode(i);
      }
      this->Ask();
    }
    ClockResult result;
    result.refused = this->refused / std::max(1.0, this->asked);
    result.in_window = this->most_in_window;
    result.wall_error = this->wall_error;
    return result;
  }

 private:
  static std::string Ip(size_t i) { return "10.0.0." + std::to_string(i + 1); }

  int64_t Clock(size_t i) const {
    return kWall + (this->now - TimePoint{}) / milliseconds(1) +
           this->nodes[i].clock_step.count();
  }

  void StartNode(size_t i, bool first) {
    ClockNode& node = this->nodes[i];
    FleetSettings settings;
    settings.node_name = "node-" + Ip(i);
    settings.ip = Ip(i);
    settings.zone = "a";
    settings.region = "r1";
    settings.incarnation = MakeIncarnation(
        this->Clock(i), static_cast<uint32_t>(this->generator()));
    settings.seed_ips = {Ip(0), Ip(2), Ip(4)};
    settings.lease_timing.lease_time = milliseconds(3600);
    settings.lease_timing.order_bound = seconds(1);
    settings.lease_timing.renew_period = seconds(1);
    settings.lease_timing.watch_period = milliseconds(1500);
    node.state.emplace(settings);
    node.quotas = std::make_unique<serving::QuotaTable>(
        28000, first ? 1.0 : 0.02, !first);
    node.quotas->Configure(*this->config, this->now);
    node.has_read = first;
    node.read_at = this->now + kReadTime;
    node.next_tick = this->now;
    node.next_report = this->now;
    this->Apply(i, StoreReachable{true});
    this->Apply(i, ConfigRead{10, this->config, "{}"});
    this->Apply(i, ServersRead{11, {}, false});
  }

  void KillNodes(const Kill& kill) {
    const auto share = static_cast<double>(kNodes) * kill.share;
    const auto count = static_cast<size_t>(std::ceil(share));
    for (size_t i = 0; i < kNodes; ++i) {
      const bool hit =
          kill.who == Kill::Who::kHolder
              ? this->lease.instance == Ip(i)
              : (kill.who == Kill::Who::kFirst ? i < count
                                               : i + count >= kNodes);
      if (hit) {
        this->nodes[i].state.reset();
        this->nodes[i].up_at = this->now + kill.down;
      }
    }
  }

  void StepNode(size_t i) {
    ClockNode& node = this->nodes[i];
    if (!node.state) {
      if (this->now >= node.up_at) {
        this->StartNode(i, false);
      }
      return;
    }
    if (!node.has_read && this->now >= node.read_at) {
      node.has_read = true;
      if (this->saved) {
        this->Apply(
            i,
            ProgressRead{
                this->saved->levels, {}, this->saved->wall_ms, this->Clock(i)});
      }
    }
    if (this->now >= node.next_report) {
      node.next_report += kReportPeriod;
      serving::TrafficReport report;
      report.quota_levels = node.quotas->Levels(this->now);
      for (const auto& [name, units] : node.quotas->Admitted()) {
        report.admitted[serving::HashName(name)] =
            static_cast<uint64_t>(std::max(0.0, units));
      }
      this->Apply(i, TrafficReported{report});
    }
    if (this->now >= node.next_tick) {
      node.next_tick += kTickPeriod;
      this->Apply(i, Tick{this->Clock(i)});
    }
    if (this->now >= node.up_at + seconds(1)) {
      const milliseconds error(*node.state->wall_offset_ms - kWall);
      this->wall_error = std::max(this->wall_error, std::chrono::abs(error));
    }
  }

  /** Runs the reducer of a node and executes its effects. */
  void Apply(size_t i, const Event& event) {
    ClockNode& node = this->nodes[i];
    if (!node.state) {
      return;
    }
    std::vector<Effect> effects;
    Reduce(*node.state, event, this->now, effects);
    for (const Effect& effect : effects) {
      this->Execute(i, effect);
    }
  }

  void Execute(size_t i, const Effect& effect) {
    ClockNode& node = this->nodes[i];
    if (const auto* send = std::get_if<SendToPeers>(&effect)) {
      for (size_t to = 0; to < kNodes; ++to) {
        if (to != i && std::ranges::count(send->ips, Ip(to)) > 0) {
          this->Apply(to, PeerMessageReceived{send->message});
        }
      }
    } else if (const auto* peers = std::get_if<PublishPeers>(&effect)) {
      node.quotas->SetNodes(peers->summary.nodes);
      if (peers->summary.informed) {
        node.quotas->SetInformed();
      }
      node.quotas->SetSilentShare(peers->summary.silent_share);
      const auto used =
          peers->summary.admitted.find(serving::HashName(kCustomer));
      if (used != peers->summary.admitted.end()) {
        node.quotas->DeductRemote(kCustomer, used->second);
      }
    } else if (const auto* save = std::get_if<SaveProgress>(&effect)) {
      this->saved = *save;
    } else if (const auto* restore = std::get_if<RestoreQuotas>(&effect)) {
      node.quotas->Restore(restore->levels, restore->age);
    } else if (std::holds_alternative<ReadProgress>(effect) && this->saved) {
      this->Apply(
          i,
          ProgressRead{
              this->saved->levels, {}, this->saved->wall_ms, this->Clock(i)});
    } else if (const auto* call = std::get_if<LeaseCall>(&effect)) {
      this->CallLease(i, call->call);
    }
  }

  void CallLease(size_t i, const lease::LeaseEffect& call) {
    const ObjectVersion current{std::to_string(this->lease_version)};
    if (std::holds_alternative<lease::ReadLease>(call)) {
      if (this->lease_version == 0) {
        this->Apply(i, LeaseEvent{lease::LeaseReadFailed{
                           kDutyLease, ResultCode::kStoreNotFound}});
      } else {
        this->Apply(
            i, LeaseEvent{lease::LeaseRead{kDutyLease, current, this->lease}});
      }
    } else if (const auto* write = std::get_if<lease::WriteLease>(&call)) {
      const bool fits = write->expected ? *write->expected == current
                                        : this->lease_version == 0;
      if (!fits) {
        this->Apply(i, LeaseEvent{lease::LeaseWriteFailed{
                           kDutyLease, ResultCode::kStoreConflict}});
        return;
      }
      this->lease = write->record;
      ++this->lease_version;
      this->Apply(i, LeaseEvent{lease::LeaseWritten{
                         kDutyLease, {std::to_string(this->lease_version)}}});
    }
  }

  /** The customer's requests of one step. */
  void Ask() {
    std::uniform_real_distribution<double> size(0.1 * kMeanCost,
                                                1.9 * kMeanCost);
    std::uniform_int_distribution<size_t> pick(0, kNodes - 1);
    this->due += kUse * kRate * std::chrono::duration<double>(kStep).count();
    while (this->due > 0) {
      const double cost = size(this->generator);
      this->due -= cost;
      ClockNode& node = this->nodes[pick(this->generator)];
      if (!node.state) {
        continue;  // The client does not reach it.
      }
      this->asked += 1;
      if (!node.quotas->Admit(this->customer, cost, this->now)) {
        this->refused += 1;
        continue;
      }
      this->admitted.emplace_back(this->now, cost);
      this->in_window += cost;
    }
    while (!this->admitted.empty() &&
           this->admitted.front().first < this->now - seconds(8)) {
      this->in_window -= this->admitted.front().second;
      this->admitted.pop_front();
    }
    this->most_in_window = std::max(this->most_in_window, this->in_window);
  }

  TimePoint now{seconds(1000)};
  std::mt19937_64 generator;
  serving::Customer customer;
  std::shared_ptr<const serving::ServingConfig> config;
  std::array<ClockNode, kNodes> nodes;
  std::optional<SaveProgress> saved;
  lease::LeaseRecord lease;
  uint64_t lease_version = 0;
  std::deque<std::pair<TimePoint, double>> admitted;
  double due = 0;
  double asked = 0;
  double refused = 0;
  double in_window = 0;
  double most_in_window = 0;
  milliseconds wall_error{};
};

/** Allowed in 8 s: an excess of 10% and 140,000 tokens. */
constexpr double kAllowed = kRate * 9 * 1.1 + 140000;

std::vector<ClockDay> Days() {
  using Who = Kill::Who;
  const std::vector<Kill> kills = {
      {seconds(8), Who::kFirst},   {seconds(13), Who::kLast},
      {seconds(21), Who::kFirst},  {seconds(24), Who::kLast},
      {seconds(31), Who::kHolder}, {seconds(33), Who::kHolder, 1, seconds(2)},
      {seconds(39), Who::kHolder}, {seconds(43), Who::kFirst, 1, seconds(1)}};
  std::vector<ClockDay> days = {{"no step", {}, kills}};
  for (const int64_t by : {-60, -45, -10, -2, 2, 10, 45, 60}) {
    for (const double share : {0.1, 0.5, 1.0}) {
      const std::string what =
          std::to_string(by) + " s on a share of " + std::to_string(share);
      days.push_back({"twice by " + what,
                      {{seconds(6), seconds(20), share, seconds(by)},
                       {seconds(30), seconds(38), share, seconds(by)}},
                      kills});
      days.push_back({"until the end by " + what,
                      {{seconds(22), seconds(100), share, seconds(by)}},
                      kills});
    }
  }
  return days;
}

// Pattern: clocks step on one, half or all nodes while most processes are
// killed again and again, all of them at last. Guards against a customer far
// below its quota who is locked out, because the order or the age of something
// was told by clocks (found as 19% of the requests refused on kbtc-wharf).
TEST(ClockStepTest, CustomerBelowItsQuotaIsServedThroughSteps) {
  for (const ClockDay& day : Days()) {
    ClockModel model(7);
    const ClockResult result = model.Play(day, seconds(60));
    EXPECT_LE(result.refused, 0.02) << day.name;
    EXPECT_LE(result.in_window, kAllowed) << day.name;
  }
}

// The same with steps and kills drawn at random.
TEST(ClockStepTest, CustomerBelowItsQuotaIsServedInRandomRuns) {
  for (uint64_t seed = 1; seed <= 40; ++seed) {
    std::mt19937_64 generator(seed);
    const auto draw = [&](int64_t low, int64_t high) {
      return std::uniform_int_distribution<int64_t>(low, high)(generator);
    };
    ClockDay day;
    for (int64_t at = draw(2, 8); at < 50; at += draw(4, 14)) {
      day.steps.push_back({seconds(at), seconds(at + draw(2, 15)),
                           static_cast<double>(draw(1, 6)) / kNodes,
                           seconds(draw(2, 60) * (draw(0, 1) == 0 ? -1 : 1))});
    }
    for (int64_t at = draw(3, 9); at < 50; at += draw(5, 12)) {
      day.kills.push_back({seconds(at), static_cast<Kill::Who>(draw(0, 2)),
                           static_cast<double>(draw(1, 6)) / kNodes,
                           milliseconds(draw(300, 2000))});
    }
    ClockModel model(seed);
    const ClockResult result = model.Play(day, seconds(60));
    EXPECT_LE(result.refused, 0.02) << "seed " << seed;
    EXPECT_LE(result.in_window, kAllowed) << "seed " << seed;
  }
}

// Pattern: the clocks of one, half or all nodes are off for 14 s, in which most
// processes are killed twice. Guards against nodes that take the time of day
// from the clocks of processes that have just started, and report usage windows
// wrongly from then on.
TEST(ClockStepTest, TimeOfDayOutlastsStepsBesideKills) {
  for (const int64_t by : {-60, -45, -10, -2, 2, 10, 45, 60}) {
    for (const double share : {0.1, 0.5, 1.0}) {
      const ClockDay day = {
          "by " + std::to_string(by) + " s, share " + std::to_string(share),
          {{seconds(6), seconds(20), share, seconds(by)}},
          {{seconds(8), Kill::Who::kFirst},
           {seconds(13), Kill::Who::kLast},
           {seconds(21), Kill::Who::kFirst},
           {seconds(30), Kill::Who::kFirst, 1, seconds(1)}}};
      ClockModel model(7);
      EXPECT_LE(model.Play(day, seconds(40)).wall_error, seconds(1))
          << day.name;
    }
  }
}

// Pattern: all clocks were off when the deployment started, and are corrected
// for good. Guards against a time of day that processes hand on for ever though
// no clock agrees with it; one clock that is off for good changes nothing.
TEST(ClockStepTest, TimeOfDayFollowsClocksThatStay) {
  ClockModel wrong_start(7, seconds(-20));
  wrong_start.Play({"corrected", {}, {}}, seconds(70));
  EXPECT_LE(wrong_start.WallErrorNow(), milliseconds(500));
  ClockModel one_off(7);
  const ClockDay day = {
      "one off", {{seconds(6), seconds(200), 0.1, seconds(30)}}, {}};
  EXPECT_LE(one_off.Play(day, seconds(150)).wall_error, milliseconds(500));
}

// Pattern: all nodes are killed while all clocks are back. Guards against a
// time of day before that of the last save.
TEST(ClockStepTest, TimeOfDayStartsAtTheLastSaveIfAllClocksAreBack) {
  const ClockDay day = {
      "all back",
      {{seconds(6), seconds(20), 1.0, seconds(-45)}},
      {{seconds(10), Kill::Who::kFirst, 1.0, milliseconds(700)}}};
  ClockModel model(7);
  EXPECT_LE(model.Play(day, seconds(30)).wall_error, seconds(2));
}

}  // namespace
}  // namespace boragewharf::fleet
