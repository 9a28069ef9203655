/**
 * @file routing_load_test.cc
 * Routing by many nodes that only know each other's load from delayed reports.
 *
 * Simulates engines with batching, and nodes that report their load to each
 * other at intervals. Does not use the network.
 */
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <random>
#include <vector>

#include "serving/peer_type.h"
#include "serving/routing_policy_base.h"

namespace boragewharf::serving {
namespace {

/** Time for which engines cache a shared part, in milliseconds. */
constexpr double kCacheLifetimeMs = 10000;

/** Milliseconds to copy the 18,432 bytes of a token over 88 Gbit/s. */
constexpr double kCopyMsPerToken = 18432 * 8 / 88e6;

/** Parameters of the deployment and its traffic; times in milliseconds. */
struct LoadModel {
  size_t nodes = 40;
  size_t servers = 29;
  uint32_t slots = 12;
  double requests_per_ms = 0.19;
  double report_period = 474;
  double prefill_tokens_per_ms = 112;
  double duration = 30000;
};

/** Parameters of one kind of request. */
struct RequestKind {
  double share = 0;          ///< Of all requests.
  double prompt_mean = 0;    ///< Unshared tokens, log-normal.
  double prompt_spread = 0;  ///< Sigma of the logarithm.
  double prompt_max = 0;
  uint32_t shared = 0;          ///< Tokens of the shared parts.
  uint64_t distinct_parts = 0;  ///< Number of different shared parts.
  double events = 0;            ///< Mean number of events.
  double goal = 0;              ///< Objective for the first event.
};

const std::vector<RequestKind>& RequestKinds() {
  static const std::vector<RequestKind> kRequestKinds = {
      {0.24, 6610, 1.04, 54600, 5382, 619, 42, 800},
      {0.21, 628, 0.83, 3310, 198, 787, 32, 400},
      {0.55, 1800, 0.99, 6870, 568, 3209, 2.5, 500},
  };
  return kRequestKinds;
}

/** An engine that processes prompts one after another; each request then
 * occupies a slot until it ends. */
struct EngineModel {
  double prefill_until = 0;
  std::vector<double> ends;           ///< End times of the running requests.
  std::map<uint64_t, double> cached;  ///< Time of last use, by part.
};

/** An unfinished request that a node counts as load. */
struct InFlightRequest {
  size_t server = 0;
  double first_event = 0;
  double end = 0;
  uint32_t prefill = 0;
};

struct LoadResult {
  double late_share = 0;    ///< Share of first events that missed the goal.
  double queued_share = 0;  ///< Share of requests sent to a full engine.
  /** Share of the shared tokens that were computed although a server had used
   * them recently. */
  double recomputed_share = 0;
};

class LoadSimulation {
 public:
  LoadSimulation(const LoadModel& load_model, uint64_t seed)
      : model(load_model),
        generator(seed),
        engines(load_model.servers),
        sent(load_model.nodes),
        reported(load_model.nodes, std::vector<ServerLoad>(load_model.servers)),
        next_report(load_model.nodes) {
    for (size_t i = 0; i < load_model.servers; ++i) {
      BackendServer server;
      server.id = "i-" + std::to_string(i * 7919);
      server.slots = load_model.slots;
      this->listed.push_back(server);
    }
    for (size_t i = 0; i < load_model.nodes; ++i) {
      this->policies.push_back(MakeExpectedDelayPolicy(seed * 1000 + i));
      this->next_report[i] = this->Uniform() * load_model.report_period;
    }
  }

  LoadResult Simulate() {
    double now = 0;
    std::exponential_distribution<double> gap(this->model.requests_per_ms);
    while (now < this->model.duration) {
      now += gap(this->generator);
      this->Report(now);
      this->Arrive(now);
    }
    LoadResult result;
    result.late_share = this->late / this->requests;
    result.queued_share = this->queued / this->requests;
    result.recomputed_share = this->recomputed / this->shared;
    return result;
  }

 private:
  double Uniform() {
    return std::uniform_real_distribution<double>(0, 1)(this->generator);
  }

  ServerLoad OwnLoad(size_t node, size_t server, double now) const {
    ServerLoad load;
    for (const InFlightRequest& request : this->sent[node]) {
      if (request.server != server || request.end <= now) {
        continue;
      }
      load.running += 1;
      load.prefill_tokens += request.first_event > now ? request.prefill : 0;
    }
    return load;
  }

  void Report(double now) {
    for (size_t node = 0; node < this->model.nodes; ++node) {
      if (now < this->next_report[node]) {
        continue;
      }
      this->next_report[node] += this->model.report_period;
      std::erase_if(this->sent[node], [&](const InFlightRequest& request) {
        return request.end <= now;
      });
      for (size_t server = 0; server < this->model.servers; ++server) {
        this->reported[node][server] = this->OwnLoad(node, server, now);
      }
    }
  }

  void Arrive(double now) {
    const auto node = static_cast<size_t>(
        this->Uniform() * static_cast<double>(this->model.nodes));
    double draw = this->Uniform();
    size_t index = 0;
    while (index + 1 < RequestKinds().size() &&
           draw >= RequestKinds()[index].share) {
      draw -= RequestKinds()[index].share;
      index += 1;
    }
    const RequestKind& kind = RequestKinds()[index];
    const double sigma = kind.prompt_spread;
    std::lognormal_distribution<double> prompt(
        std::log(kind.prompt_mean) - sigma * sigma / 2, sigma);
    const auto own_tokens = static_cast<uint32_t>(
        std::min(kind.prompt_max, 1 + prompt(this->generator)));
    RouteRequest request;
    request.shared_tokens = kind.shared;
    request.prompt_tokens = kind.shared + own_tokens;
    request.shared_part =
        (index + 1) * 1000003 +
        static_cast<uint64_t>(this->Uniform() *
                              static_cast<double>(kind.distinct_parts));
    request.body_bytes = 1000;
    request.copy_ms_per_token = kCopyMsPerToken;
    request.prefill_tokens_per_ms = this->model.prefill_tokens_per_ms;
    const RouteChoice choice = this->Choose(node, request, now);
    this->ExecuteRequest(node, choice, kind, request, own_tokens, now);
  }

  RouteChoice Choose(size_t node, const RouteRequest& request, double now) {
    std::vector<ServerView> views(this->model.servers);
    for (size_t server = 0; server < views.size(); ++server) {
      ServerLoad load = this->OwnLoad(node, server, now);
      for (size_t other = 0; other < this->model.nodes; ++other) {
        if (other == node) {
          continue;
        }
        load.running += this->reported[other][server].running;
        load.prefill_tokens += this->reported[other][server].prefill_tokens;
      }
      views[server].server = &this->listed[server];
      views[server].running = load.running;
      views[server].prefill_tokens = load.prefill_tokens;
      views[server].prefix_cached =
          this->KnowsPrefix(node, server, request.shared_part, now);
    }
    const auto choice = this->policies[node]->Choose(request, views);
    return choice.value_or(RouteChoice{});
  }

  /** Whether a node knows that a prefix was sent to a server recently. */
  bool KnowsPrefix(size_t node,
                   size_t server,
                   uint64_t part,
                   double now) const {
    const auto found = this->prefixes.find({server, part});
    if (found == this->prefixes.end()) {
      return false;
    }
    return std::any_of(
        found->second.begin(), found->second.end(), [&](const auto& send) {
          const double age = now - send.second;
          return age < kCacheLifetimeMs &&
                 (send.first == node || age > this->model.report_period);
        });
  }

  bool IsCached(size_t server, uint64_t part, double now) const {
    const auto known = this->engines[server].cached.find(part);
    return known != this->engines[server].cached.end() &&
           now - known->second < kCacheLifetimeMs;
  }

  void ExecuteRequest(size_t node,
                      const RouteChoice& choice,
                      const RequestKind& kind,
                      const RouteRequest& request,
                      uint32_t own_tokens,
                      double now) {
    const size_t server = choice.index;
    EngineModel& engine = this->engines[server];
    std::erase_if(engine.ends, [&](double end) { return end <= now; });
    double start = now;
    if (engine.ends.size() >= this->model.slots) {
      this->queued += 1;
      std::sort(engine.ends.begin(), engine.ends.end());
      start = engine.ends[engine.ends.size() - this->model.slots];
    }
    const bool was_cached = this->IsCached(server, request.shared_part, now);
    const bool copied =
        !was_cached && choice.copy_from &&
        this->IsCached(*choice.copy_from, request.shared_part, now);
    const bool hit = was_cached || copied;
    const double missing = hit ? 0 : request.shared_tokens;
    start += copied ? 2 * kCopyMsPerToken * request.shared_tokens : 0;
    const double previous_use = this->last_use[request.shared_part];
    if (!hit && previous_use > 0 && now - previous_use < kCacheLifetimeMs) {
      this->recomputed += missing;
    }
    this->last_use[request.shared_part] = now;
    engine.cached[request.shared_part] = now;
    engine.prefill_until =
        std::max(engine.prefill_until, start) +
        (own_tokens + missing) / this->model.prefill_tokens_per_ms;
    const double first_event = engine.prefill_until + 31;
    const double events =
        std::exponential_distribution<double>(1 / kind.events)(this->generator);
    const double end = first_event + events * 50;
    engine.ends.push_back(end);
    this->prefixes[{server, request.shared_part}][node] = now;
    this->sent[node].push_back({server, first_event, end,
                                own_tokens + static_cast<uint32_t>(missing)});
    this->requests += 1;
    this->late += first_event - now > kind.goal ? 1 : 0;
    this->shared += request.shared_tokens;
  }

  LoadModel model;
  std::mt19937_64 generator;
  std::vector<BackendServer> listed;
  std::vector<EngineModel> engines;
  std::vector<std::vector<InFlightRequest>> sent;  ///< By node.
  std::vector<std::vector<ServerLoad>> reported;
  std::vector<double> next_report;
  /** Last time that each node sent a prefix to a server. */
  std::map<std::pair<size_t, uint64_t>, std::map<size_t, double>> prefixes;
  std::map<uint64_t, double> last_use;  ///< By shared part, on any server.
  std::vector<std::unique_ptr<RoutingPolicy>> policies;
  double requests = 0;
  double late = 0;
  double queued = 0;
  double shared = 0;
  double recomputed = 0;
};

// Thundering herd: dozens of nodes use the same reports, which are half a
// second old, and all choose the server that had the least load then. Guards
// against full engines while others are idle.
TEST(RoutingLoadTest, ManyNodesSpreadTheirRequestsOnStaleReports) {
  const LoadResult result = LoadSimulation(LoadModel{}, 1).Simulate();
  RecordProperty("late", std::to_string(result.late_share));
  RecordProperty("crowded", std::to_string(result.queued_share));
  RecordProperty("readAgain", std::to_string(result.recomputed_share));
  EXPECT_LT(result.late_share, 0.05);
  EXPECT_LT(result.queued_share, 0.05);
  EXPECT_LT(result.recomputed_share, 0.1);
}

// A few nodes with recent reports. Guards against losing the benefit of
// accurate load data by spreading requests randomly.
TEST(RoutingLoadTest, FewNodesUseFreshReports) {
  LoadModel model;
  model.nodes = 6;
  model.servers = 9;
  model.slots = 48;
  model.requests_per_ms = 0.1;
  model.report_period = 200;
  const LoadResult result = LoadSimulation(model, 2).Simulate();
  RecordProperty("late", std::to_string(result.late_share));
  RecordProperty("readAgain", std::to_string(result.recomputed_share));
  EXPECT_LT(result.late_share, 0.05);
  EXPECT_LT(result.recomputed_share, 0.1);
}

}  // namespace
}  // namespace boragewharf::serving
