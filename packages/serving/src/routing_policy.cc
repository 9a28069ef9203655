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

/** Price of a copy relative to its time: moved memory costs a thirtieth of a
 * request's worth, and the links of two servers are busy. */
constexpr double kCopyWeight = 5.0;

/** Time to begin a copy between servers, in the deployments. */
constexpr double kCopySetupMs = 8.0;

/** Shared tokens below which a copy takes longer than to read them. */
constexpr uint32_t kLeastCopied = 256;

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

/** Servers that all nodes agree on for a prefix, as indices. */
struct PrefixOwners {
  std::optional<size_t> first;   ///< Of the own region.
  std::optional<size_t> second;  ///< Takes over when the first is busy.
  std::optional<size_t> far;     ///< The first one of other regions.

  bool Contains(size_t index) const {
    return this->first == index || this->second == index || this->far == index;
  }
};

PrefixOwners FindOwners(uint64_t part, std::span<const ServerView> candidates) {
  PrefixOwners owners;
  uint64_t first_rank = 0;
  uint64_t second_rank = 0;
  uint64_t far_rank = 0;
  for (size_t i = 0; i < candidates.size(); ++i) {
    const ServerView& view = candidates[i];
    const uint64_t rank = AffinityRank(part, *view.server);
    if (view.distance == Distance::kOtherRegion) {
      if (!owners.far || rank > far_rank) {
        owners.far = i;
        far_rank = rank;
      }
      continue;
    }
    if (!owners.first || rank > first_rank) {
      owners.second = owners.first;
      second_rank = first_rank;
      owners.first = i;
      first_rank = rank;
    } else if (!owners.second || rank > second_rank) {
      owners.second = i;
      second_rank = rank;
    }
  }
  return owners;
}

/** The server from which others copy the prefix: the nearest that holds it. */
std::optional<size_t> FindSource(std::span<const ServerView> candidates) {
  std::optional<size_t> source;
  for (size_t i = 0; i < candidates.size(); ++i) {
    const ServerView& view = candidates[i];
    if (view.prefix_cached &&
        (!source || view.distance < candidates[*source].distance)) {
      source = i;
    }
  }
  return source;
}

/** How a server comes by the shared parts of a prompt. */
struct PrefixCost {
  double delay_ms = 0;       ///< Until they are in its memory.
  double price_ms = 0;       ///< What that costs besides, as time.
  uint32_t read_tokens = 0;  ///< Tokens that it reads itself.
  bool copies = false;
};

PrefixCost CostOfPrefix(const RouteRequest& request,
                        const ServerView& view,
                        const ServerView* source) {
  const double reading = request.shared_tokens / kPrefillTokensPerMs;
  if (source == nullptr || request.copy_ms_per_token <= 0 ||
      request.shared_tokens < kLeastCopied) {
    return {reading, (kRecomputeWeight - 1) * reading, request.shared_tokens,
            false};
  }
  const double zones = view.server->zone == source->server->zone ? 1 : 2;
  const double copying =
      kCopySetupMs + zones * request.copy_ms_per_token * request.shared_tokens;
  return {copying, kCopyWeight * copying, 0, true};
}

class ExpectedDelayPolicy : public RoutingPolicy {
 public:
  explicit ExpectedDelayPolicy(uint64_t seed) : generator(seed) {}

  std::optional<RouteChoice> Choose(
      const RouteRequest& request,
      std::span<const ServerView> candidates) override {
    PrefixOwners owners;
    std::optional<size_t> source;
    if (request.shared_part != 0) {
      owners = FindOwners(request.shared_part, candidates);
      source = FindSource(candidates);
    }
    const uint32_t own_tokens =
        request.prompt_tokens -
        std::min(request.prompt_tokens, request.shared_tokens);
    std::optional<RouteChoice> best;
    double best_cost = 0;
    for (const size_t i : this->Shortlist(candidates, owners)) {
      const ServerView& view = candidates[i];
      PrefixCost prefix;
      if (!view.prefix_cached) {
        prefix = CostOfPrefix(request, view,
                              source ? &candidates[*source] : nullptr);
      }
      if (!source && (owners.first == i || owners.far == i)) {
        // Some server has to read it; its owner is where others look first.
        prefix.price_ms = 0;
      }
      const double backlog =
          static_cast<double>(view.prefill_tokens) / kPrefillTokensPerMs;
      const double expected = LoadDelay(view) + backlog + prefix.delay_ms +
                              own_tokens / kPrefillTokensPerMs;
      const double cost =
          expected + prefix.price_ms + DistanceDelay(view, request.body_bytes);
      if (!best || cost < best_cost) {
        best = RouteChoice{i, expected, own_tokens + prefix.read_tokens,
                           prefix.copies ? source : std::nullopt};
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
                                const PrefixOwners& owners) {
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
      } else if (view.prefix_cached || owners.Contains(i)) {
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
        best = RouteChoice{i, LoadDelay(view), 0, std::nullopt};
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
