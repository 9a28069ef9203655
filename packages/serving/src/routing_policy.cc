/**
 * @file routing_policy.cc
 * Routing by expected delay, and by requests in flight.
 */
#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <random>

#include "serving/routing_policy_base.h"

namespace boragewharf::serving {
namespace {

/** Prompt tokens read per millisecond; the deployments' engines: 112, 157. */
constexpr double kPrefillTokensPerMs = 130.0;

/** Milliseconds that a full batch adds to a step-by-step prefill. */
constexpr double kBatchDelayMs = 60.0;

/** Milliseconds per request beyond the slots; a run ends every few dozen. */
constexpr double kQueuedDelayMs = 60.0;

/** A rejected or failed attempt costs about one objective. */
constexpr double kFailureDelayMs = 400.0;

/** Round trip between regions in the deployments, in milliseconds. */
constexpr double kRegionRoundTripMs = 25.0;

/** Price of a kilobyte between regions, relative to a request's worth. */
constexpr double kRegionMsPerKilobyte = 10.0;

/** Round trip between zones in milliseconds, with the price of the bytes. */
constexpr double kZoneDelayMs = 4.0;

/** A prefix that is read again also costs its price, about its time again. */
constexpr double kRecomputeWeight = 2.0;

/** Servers compared for a request besides those that hold its prefix. More of
 * them let nodes with the same old reports choose the same server. */
constexpr size_t kSampledNear = 3;
constexpr size_t kSampledFar = 2;

/** Requests waiting at a server, per slot, beyond which it rejects more. */
constexpr double kQueuePerSlot = 1.5;

/** Whether a server would probably reject one more request. */
bool IsFull(const ServerView& view) {
  const double slots = std::max<uint32_t>(1, view.server->slots);
  return view.running >= slots * (1 + kQueuePerSlot);
}

double DistanceDelay(const ServerView& view, uint64_t bytes) {
  switch (view.distance) {
    case Distance::kSameZone:
      return 0;
    case Distance::kSameRegion:
      return kZoneDelayMs;
    case Distance::kOtherRegion:
      break;
  }
  return kRegionRoundTripMs +
         kRegionMsPerKilobyte * static_cast<double>(bytes) / 1024.0;
}

/** Time spent behind the requests that the server already has. */
double LoadDelay(const ServerView& view) {
  const double slots = std::max<uint32_t>(1, view.server->slots);
  double delay = kBatchDelayMs * std::min(1.0, view.running / slots);
  if (view.running >= slots) {
    delay += kQueuedDelayMs * (view.running - slots + 1);
  }
  delay += kFailureDelayMs * view.failure_rate;
  if (view.avoided) {
    delay += 10 * kFailureDelayMs;
  }
  return delay;
}

uint64_t AffinityRank(uint64_t part, const BackendServer& server) {
  return XXH64(server.id.data(), server.id.size(), part);
}

/** Index of the server that all nodes agree on for a prefix, by region. */
std::optional<size_t> PrefixOwner(uint64_t part,
                                  std::span<const ServerView> candidates,
                                  bool other_region) {
  std::optional<size_t> owner;
  uint64_t best = 0;
  for (size_t i = 0; i < candidates.size(); ++i) {
    const ServerView& view = candidates[i];
    if ((view.distance == Distance::kOtherRegion) != other_region) {
      continue;
    }
    const uint64_t rank = AffinityRank(part, *view.server);
    if (!owner || rank > best) {
      owner = i;
      best = rank;
    }
  }
  return owner;
}

/** Tokens of a request that a server has to read. */
double MissingShared(const RouteRequest& request, bool cached) {
  return cached ? 0 : request.shared_tokens;
}

class ExpectedDelayPolicy : public RoutingPolicy {
 public:
  explicit ExpectedDelayPolicy(uint64_t seed) : generator(seed) {}

  std::optional<RouteChoice> Choose(
      const RouteRequest& request,
      std::span<const ServerView> candidates) override {
    std::optional<size_t> near_owner;
    std::optional<size_t> far_owner;
    if (request.shared_part != 0) {
      near_owner = PrefixOwner(request.shared_part, candidates, false);
      far_owner = PrefixOwner(request.shared_part, candidates, true);
    }
    std::optional<RouteChoice> best;
    double best_cost = 0;
    for (const size_t i : this->Shortlist(candidates, near_owner, far_owner)) {
      const ServerView& view = candidates[i];
      const bool cached =
          view.prefix_cached || near_owner == i || far_owner == i;
      const double missing = MissingShared(request, cached);
      const double own_tokens =
          request.prompt_tokens -
          std::min(request.prompt_tokens, request.shared_tokens) + missing;
      const double backlog =
          static_cast<double>(view.prefill_tokens) / kPrefillTokensPerMs;
      const double expected =
          LoadDelay(view) + backlog + own_tokens / kPrefillTokensPerMs;
      const double cost =
          expected + DistanceDelay(view, request.body_bytes) +
          (kRecomputeWeight - 1) * missing / kPrefillTokensPerMs;
      if (!best || cost < best_cost) {
        best = RouteChoice{i, expected};
        best_cost = cost;
      }
    }
    return best;
  }

 private:
  /**
   * The servers to compare: those that hold the prefix, and a few at random.
   * The reports of other nodes are old; if all nodes compared all servers,
   * they would send to the same one until the next report.
   */
  std::vector<size_t> Shortlist(std::span<const ServerView> candidates,
                                std::optional<size_t> near_owner,
                                std::optional<size_t> far_owner) {
    std::vector<size_t> listed;
    std::vector<size_t> near;
    std::vector<size_t> far;
    std::vector<size_t> avoided;
    for (size_t i = 0; i < candidates.size(); ++i) {
      const ServerView& view = candidates[i];
      if (IsFull(view)) {
        continue;
      }
      if (view.avoided) {
        avoided.push_back(i);
      } else if (view.prefix_cached || near_owner == i || far_owner == i) {
        listed.push_back(i);
      } else if (view.distance == Distance::kOtherRegion) {
        far.push_back(i);
      } else {
        near.push_back(i);
      }
    }
    std::sample(near.begin(), near.end(), std::back_inserter(listed),
                kSampledNear, this->generator);
    std::sample(far.begin(), far.end(), std::back_inserter(listed), kSampledFar,
                this->generator);
    return listed.empty() ? avoided : listed;
  }

  std::mt19937_64 generator;
};

class LeastRunningPolicy : public RoutingPolicy {
 public:
  std::optional<RouteChoice> Choose(
      const RouteRequest& request,
      std::span<const ServerView> candidates) override {
    std::optional<RouteChoice> best;
    double best_cost = 0;
    for (size_t i = 0; i < candidates.size(); ++i) {
      const ServerView& view = candidates[i];
      if (IsFull(view)) {
        continue;
      }
      const double cost =
          LoadDelay(view) + DistanceDelay(view, request.body_bytes);
      if (!best || cost < best_cost) {
        best = RouteChoice{i, LoadDelay(view)};
        best_cost = cost;
      }
    }
    return best;
  }
};

}  // namespace

std::unique_ptr<RoutingPolicy> MakeExpectedDelayPolicy(uint64_t seed) {
  return std::make_unique<ExpectedDelayPolicy>(seed);
}

std::unique_ptr<RoutingPolicy> MakeLeastRunningPolicy() {
  return std::make_unique<LeastRunningPolicy>();
}

}  // namespace boragewharf::serving
