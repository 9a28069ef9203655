/**
 * @file policy_bench_test.cc
 * Simulated measurement of policies against baselines in the same run. The
 * figures are those of the model below, not of real servers.
 */
#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <functional>
#include <queue>
#include <random>

#include "policy/admission_base.h"
#include "policy/routing_base.h"

namespace boragewharf::policy {
namespace {

constexpr uint64_t kSeed = 20260101;
constexpr size_t kServers = 12;
constexpr size_t kDaemons = 6;
constexpr size_t kZones = 3;
constexpr uint32_t kSlots = 16;
constexpr int kRequests = 40000;

/** Discrete events in the order of their times. */
class Clock {
 public:
  void At(Duration delay, std::function<void()> run) {
    this->actions.push({this->now + delay, this->order++, std::move(run)});
  }

  bool Step() {
    if (this->actions.empty()) {
      return false;
    }
    const Action action = this->actions.top();
    this->actions.pop();
    this->now = action.at;
    action.run();
    return true;
  }

  TimePoint now{std::chrono::seconds(1)};

 private:
  struct Action {
    TimePoint at;
    uint64_t order = 0;
    std::function<void()> run;
    bool operator<(const Action& other) const {
      return std::tie(other.at, other.order) < std::tie(this->at, this->order);
    }
  };
  std::priority_queue<Action> actions;
  uint64_t order = 0;
};

Duration Exponential(std::mt19937_64& random, double mean_us) {
  std::exponential_distribution<double> distribution(1 / mean_us);
  return Duration(static_cast<Duration::rep>(distribution(random)));
}

double Percentile(std::vector<double>& values, double share) {
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  const auto last = static_cast<double>(values.size() - 1);
  return values[static_cast<size_t>(share * last)];
}

struct RoutingResult {
  double p50_ms = 0;
  double p95_ms = 0;
  double other_region = 0;  ///< Share of requests.
};

/**
 * Six daemons, two per zone, send to 12 servers in three zones, the third in
 * another region. Servers run 16 requests at once, slower the more they run;
 * server 0 has half the speed. Loads are reported each second, 0.3 s late.
 */
class RoutingSim {
 public:
  RoutingSim(RoutingPolicy& routing_policy, double requests_per_second)
      : policy(routing_policy), rate(requests_per_second) {}

  RoutingResult Run() {
    this->clock.At(Duration(0), [this] { this->Arrive(); });
    this->clock.At(Duration(0), [this] { this->Report(); });
    while (this->finished < kRequests && this->clock.Step()) {
    }
    return {Percentile(this->first_token_ms, 0.5),
            Percentile(this->first_token_ms, 0.95),
            static_cast<double>(this->crossings) / kRequests};
  }

 private:
  struct Job {
    size_t daemon = 0;
    size_t server = 0;
    TimePoint sent;
    uint32_t prompt = 0;
    uint32_t tokens = 0;
  };
  struct Server {
    std::deque<Job> queue;
    uint32_t running = 0;
    uint32_t reported = 0;
    TimePoint reported_at;
  };

  static Distance DistanceOf(size_t daemon, size_t server) {
    const size_t from = daemon % kZones;
    const size_t to = server % kZones;
    if (from == to) {
      return Distance::kSameZone;
    }
    return (from == 2) == (to == 2) ? Distance::kSameRegion
                                    : Distance::kOtherRegion;
  }

  void Arrive() {
    if (++this->arrived < kRequests) {
      this->clock.At(Exponential(this->random, 1e6 / this->rate),
                     [this] { this->Arrive(); });
    }
    Job job;
    job.daemon = this->random() % kDaemons;
    const bool large = this->random() % 10 == 0;
    job.prompt = large ? 4000 : 300;
    job.tokens = large ? 400 : 60;
    job.sent = this->clock.now;
    std::array<BackendView, kServers> views;
    for (size_t i = 0; i < kServers; ++i) {
      views[i].distance = DistanceOf(job.daemon, i);
      views[i].own_in_flight = this->own[job.daemon][i];
      views[i].own_at_report = this->own_reported[job.daemon][i];
      views[i].reported_running = this->servers[i].reported;
      views[i].report_age = this->clock.now - this->servers[i].reported_at;
      views[i].reported = this->servers[i].reported_at != TimePoint{};
      views[i].slots = kSlots;
    }
    RouteRequest request;
    request.prompt_tokens = job.prompt;
    request.seed = this->random();
    job.server = this->policy.Choose(request, views)->value;
    ++this->own[job.daemon][job.server];
    this->servers[job.server].queue.push_back(job);
    this->StartJobs(job.server);
  }

  void StartJobs(size_t index) {
    Server& server = this->servers[index];
    while (server.running < kSlots && !server.queue.empty()) {
      const Job job = server.queue.front();
      server.queue.pop_front();
      const double slowdown =
          (1.0 + 1.0 * server.running / kSlots) * (index == 0 ? 2 : 1);
      ++server.running;
      const Distance distance = DistanceOf(job.daemon, index);
      const double network = distance == Distance::kSameZone     ? 0.5e3
                             : distance == Distance::kSameRegion ? 3e3
                                                                 : 24e3;
      const double first = job.prompt * 60 * slowdown;
      const Duration waited = this->clock.now - job.sent;
      this->first_token_ms.push_back(
          (static_cast<double>(waited.count()) + first + network) / 1000);
      this->crossings += distance == Distance::kOtherRegion ? 1 : 0;
      const double run = first + job.tokens * 20e3 * slowdown;
      this->clock.At(Duration(static_cast<Duration::rep>(run)),
                     [this, job] { this->End(job); });
    }
  }

  void End(const Job& job) {
    --this->servers[job.server].running;
    --this->own[job.daemon][job.server];
    ++this->finished;
    this->StartJobs(job.server);
  }

  void Report() {
    const auto own_now = this->own;
    std::array<uint32_t, kServers> loads{};
    for (size_t i = 0; i < kServers; ++i) {
      loads[i] = this->servers[i].running +
                 static_cast<uint32_t>(this->servers[i].queue.size());
    }
    this->clock.At(std::chrono::milliseconds(300), [=, this] {
      this->own_reported = own_now;
      for (size_t i = 0; i < kServers; ++i) {
        this->servers[i].reported = loads[i];
        this->servers[i].reported_at = this->clock.now;
      }
    });
    this->clock.At(std::chrono::seconds(1), [this] { this->Report(); });
  }

  using Counts = std::array<std::array<uint32_t, kServers>, kDaemons>;

  RoutingPolicy& policy;
  double rate;
  std::mt19937_64 random{kSeed};
  Clock clock;
  std::array<Server, kServers> servers;
  Counts own{};
  Counts own_reported{};
  int arrived = 0;
  int finished = 0;
  uint64_t crossings = 0;
  std::vector<double> first_token_ms;
};

RoutingResult Print(const char* name, RoutingPolicy&& policy, double rate) {
  const RoutingResult result = RoutingSim(policy, rate).Run();
  std::printf(
      "%-16s %5.0f/s  first token p50 %7.1f ms  p95 %8.1f ms  "
      "other region %4.1f%%\n",
      name, rate, result.p50_ms, result.p95_ms, 100 * result.other_region);
  return result;
}

// Guards against a routing policy that is worse than the baselines in the
// latency that 95% of requests meet.
TEST(PolicyBenchTest, RoutingAgainstBaselines) {
  for (double rate : {20.0, 35.0, 45.0}) {
    const auto in_turn = Print("round robin", RoundRobinPolicy(), rate);
    const auto least = Print("least in flight", LeastInFlightPolicy(), rate);
    const auto predicted =
        Print("predicted time", PredictedTimePolicy(PredictionOptions{}), rate);
    EXPECT_LE(predicted.p95_ms, in_turn.p95_ms);
    EXPECT_LE(predicted.p95_ms, least.p95_ms);
    EXPECT_LE(predicted.other_region, least.other_region);
  }
}

// Prints the time of a decision; there is no stated target for it.
TEST(PolicyBenchTest, DecisionTime) {
  constexpr int kChoices = 2000;
  for (size_t count : {size_t{12}, size_t{3200}}) {
    PredictedTimePolicy policy{PredictionOptions{}};
    std::vector<BackendView> views(count);
    for (size_t i = 0; i < count; ++i) {
      views[i].reported = true;
      views[i].reported_running = static_cast<uint32_t>(i % 16);
    }
    RouteRequest request;
    request.prompt_tokens = 300;
    const auto before = std::chrono::steady_clock::now();
    for (int i = 0; i < kChoices; ++i) {
      request.seed = static_cast<uint64_t>(i);
      ASSERT_TRUE(policy.Choose(request, views));
    }
    const std::chrono::duration<double, std::micro> time =
        std::chrono::steady_clock::now() - before;
    std::printf("predicted time, %4zu servers: %.2f us per decision\n", count,
                time.count() / kChoices);
  }
}

struct AdmissionResult {
  double in_time = 0;      ///< Share of questions started within 0.2 s.
  double refused = 0;      ///< Share of questions refused.
  double batch_end_s = 0;  ///< When the last report started.
  int batch_refused = 0;
};

/**
 * A large customer files 300 reports of 1,000 tokens at once, while four small
 * ones ask 6 questions a second of 100 tokens that must start within 2 s. 32
 * requests run at once at 50 tokens/s each.
 */
class AdmissionSim {
 public:
  explicit AdmissionSim(AdmissionPolicy& admission_policy)
      : policy(admission_policy) {}

  AdmissionResult Run() {
    for (int i = 0; i < 300; ++i) {
      this->Offer("large", WorkClass::kBatch, 1000, std::chrono::minutes(30));
    }
    this->clock.At(Duration(0), [this] { this->Ask(); });
    this->clock.At(Duration(0), [this] { this->Expire(); });
    while (this->clock.now < this->end) {
      this->clock.Step();
    }
    return {
        static_cast<double>(this->in_time) / this->asked,
        static_cast<double>(this->refused) / this->asked,
        static_cast<double>(this->last_batch.time_since_epoch().count()) / 1e6,
        this->batch_refused};
  }

 private:
  void Ask() {
    this->clock.At(Exponential(this->random, 1e6 / 6), [this] { this->Ask(); });
    ++this->asked;
    this->Offer("small" + std::to_string(this->random() % 4),
                WorkClass::kInteractive, 100, std::chrono::seconds(2));
  }

  void Offer(const std::string& customer,
             WorkClass work,
             uint64_t cost,
             Duration patience) {
    const AdmissionId id{this->requests.size()};
    const AdmissionRequest request{id,   customer, 1,
                                   work, cost,     this->clock.now + patience};
    this->requests.push_back({request, this->clock.now});
    AdmissionChanges changes;
    const AdmissionDecision decision =
        this->policy.Offer(request, this->clock.now, changes);
    this->Apply(changes);
    if (decision.verdict == AdmissionVerdict::kRun) {
      this->Start(id);
    } else if (decision.verdict == AdmissionVerdict::kRefused) {
      this->Refuse(id);
    }
  }

  void Start(AdmissionId id) {
    const auto& [request, since] = this->requests[id.value];
    if (request.work == WorkClass::kBatch) {
      this->last_batch = this->clock.now;
    } else {
      const Duration wait = this->clock.now - since;
      this->in_time += wait <= std::chrono::milliseconds(200) ? 1 : 0;
    }
    this->clock.At(std::chrono::milliseconds(20) * request.cost, [this, id] {
      AdmissionChanges changes;
      this->policy.Finish(id, this->clock.now, changes);
      this->Apply(changes);
    });
  }

  void Refuse(AdmissionId id) {
    const bool batch = this->requests[id.value].first.work == WorkClass::kBatch;
    ++(batch ? this->batch_refused : this->refused);
  }

  void Apply(const AdmissionChanges& changes) {
    for (AdmissionId id : changes.started) {
      this->Start(id);
    }
    for (const AdmissionRefusal& refusal : changes.refused) {
      this->Refuse(refusal.id);
    }
  }

  void Expire() {
    AdmissionChanges changes;
    this->policy.Expire(this->clock.now, changes);
    this->Apply(changes);
    this->clock.At(std::chrono::milliseconds(100), [this] { this->Expire(); });
  }

  AdmissionPolicy& policy;
  std::mt19937_64 random{kSeed};
  Clock clock;
  TimePoint end{std::chrono::seconds(600)};
  std::vector<std::pair<AdmissionRequest, TimePoint>> requests;
  TimePoint last_batch;
  int asked = 0;
  int in_time = 0;
  int refused = 0;
  int batch_refused = 0;
};

AdmissionResult Print(const char* name, AdmissionPolicy&& policy) {
  const AdmissionResult result = AdmissionSim(policy).Run();
  std::printf(
      "%-18s questions started within 0.2 s %5.1f%%  refused %5.1f%%  "
      "last report starts after %5.1f s  reports refused %d\n",
      name, 100 * result.in_time, 100 * result.refused, result.batch_end_s,
      result.batch_refused);
  return result;
}

// Guards against reports of one customer that keep the questions of others
// from being answered, and against reports that never finish.
TEST(PolicyBenchTest, AdmissionAgainstBaseline) {
  AdmissionOptions options;
  options.capacity = 32;
  const auto fifo = Print("first in first out", FifoAdmissionPolicy(options));
  const auto fair = Print("fair", FairAdmissionPolicy(options));
  EXPECT_GE(fair.in_time, fifo.in_time);
  EXPECT_LE(fair.refused, fifo.refused);
  EXPECT_EQ(fair.batch_refused, 0);
  EXPECT_LT(fair.batch_end_s, 600);
}

}  // namespace
}  // namespace boragewharf::policy
