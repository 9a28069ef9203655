/**
 * @file routing_policy.cc
 * Routing policies: least expected delay, and fewest running requests.
 */
#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <map>
#include <random>
#include <string_view>

#include "serving/prefill_speed_base.h"
#include "serving/routing_policy_base.h"

namespace boragewharf::serving {
namespace {

/** Milliseconds that a full batch adds to a prefill in several steps. */
constexpr double kBatchDelayMs = 60.0;

/** Delay per queued request in milliseconds. A busy server finishes a request
 * every few dozen milliseconds. */
constexpr double kQueuedDelayMs = 60.0;

/** Delay of a rejected or failed attempt in milliseconds; about one latency
 * objective. */
constexpr double kFailureDelayMs = 400.0;

/** Round-trip time between regions of the deployments, in milliseconds. */
constexpr double kRegionRoundTripMs = 25.0;

/** Price of a kilobyte between regions as a delay, relative to the value of a
 * request. */
constexpr double kRegionMsPerKilobyte = 10.0;

/** Round-trip time between zones in milliseconds, including the price of the
 * traffic. */
constexpr double kZoneDelayMs = 4.0;

/** Cost of computing a prefix again, relative to its time: the price of the
 * computation counts about as much as the time. */
constexpr double kRecomputeWeight = 2.0;

/** Price of a copy relative to its time. The transfer costs a thirtieth of the
 * value of a request and occupies the links of two servers. */
constexpr double kCopyWeight = 5.0;

/** Setup time of a copy between servers of the deployments. */
constexpr double kCopySetupMs = 8.0;

/** Least shared tokens for a copy; with fewer, a prefill is faster. */
constexpr uint32_t kMinCopiedTokens = 256;

/** Random servers of the own and of other regions that are compared besides
 * those with the prefix. With more of them, nodes that have the same outdated
 * reports would choose the same server. */
constexpr size_t kOwnRegionSamples = 3;
constexpr size_t kOtherRegionSamples = 2;

/** Random servers of the own region that are compared besides, of those set
 * aside for prompts of another length. */
constexpr size_t kOtherLengthSamples = 2;

/** Queued requests per slot from which a server rejects further ones. */
constexpr double kMaxQueuedPerSlot = 1.5;

/** Whether a server would probably reject one more request. */
bool IsFull(const ServerView& view) {
  const double slots = std::max<uint32_t>(1, view.server->slots);
  return view.running >= slots * (1 + kMaxQueuedPerSlot);
}

/** Delay and price of the distance to a server, in milliseconds. */
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

/** Delay caused by the requests and recent failures of a server, in
 * milliseconds. */
double LoadDelay(const ServerView& view) {
  const double slots = std::max<uint32_t>(1, view.server->slots);
  double delay = kBatchDelayMs * std::min(1.0, view.running / slots);
  if (view.running >= slots) {
    delay += kQueuedDelayMs * (view.running - slots + 1);
  }
  delay /= view.speed;
  // The request's own part of the batch is the same on all average servers.
  delay += kBatchDelayMs / slots * (1 / view.speed - 1);
  delay += kFailureDelayMs * view.failure_rate;
  if (view.avoided) {
    delay += 10 * kFailureDelayMs;
  }
  return delay;
}

/** Rendezvous hash of a shared part and a server. */
uint64_t AffinityRank(uint64_t part, const BackendServer& server) {
  return XXH64(server.id.data(), server.id.size(), part);
}

/** Servers to which all nodes prefer to send a prefix, as indexes of the
 * candidates. Chosen by rendezvous hashing. */
struct PrefixOwners {
  std::optional<size_t> first;         ///< Highest rank in the own region.
  std::optional<size_t> second;        ///< Used when the first is busy.
  std::optional<size_t> other_region;  ///< Highest rank in other regions.

  bool Contains(size_t index) const {
    return this->first == index || this->second == index ||
           this->other_region == index;
  }
};

/** Whether a server is for prompts of another length than the request's. */
bool IsForOtherLength(const RouteRequest& request, const ServerView& view) {
  return request.long_prompt && *request.long_prompt != view.for_long_prompts;
}

PrefixOwners FindOwners(const RouteRequest& request,
                        std::span<const ServerView> candidates) {
  PrefixOwners owners;
  uint64_t first_rank = 0;
  uint64_t second_rank = 0;
  uint64_t other_region_rank = 0;
  for (size_t i = 0; i < candidates.size(); ++i) {
    const ServerView& view = candidates[i];
    if (IsForOtherLength(request, view)) {
      continue;
    }
    const uint64_t rank = AffinityRank(request.shared_part, *view.server);
    if (view.distance == Distance::kOtherRegion) {
      if (!owners.other_region || rank > other_region_rank) {
        owners.other_region = i;
        other_region_rank = rank;
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

/** Servers from which others copy a prefix. */
using CopySources = std::map<std::string_view, size_t>;

/** Of each software version, the nearest server that has cached the prefix:
 * servers can't use what another version has computed. */
CopySources FindCopySources(std::span<const ServerView> candidates) {
  CopySources sources;
  for (size_t i = 0; i < candidates.size(); ++i) {
    const ServerView& view = candidates[i];
    if (!view.prefix_cached) {
      continue;
    }
    const auto found = sources.try_emplace(view.server->version, i).first;
    if (view.distance < candidates[found->second].distance) {
      found->second = i;
    }
  }
  return sources;
}

/** The server from which @p view would copy the prefix. */
std::optional<size_t> SourceFor(const CopySources& sources,
                                const ServerView& view) {
  const auto found = sources.find(view.server->version);
  return found == sources.end() ? std::nullopt : std::optional(found->second);
}

/** How a server obtains the shared parts of a prompt, and the cost. */
struct PrefixCost {
  double delay_ms = 0;       ///< Until they are in its memory.
  double price_ms = 0;       ///< Additional cost, as time.
  uint32_t read_tokens = 0;  ///< Tokens that it computes itself.
  bool is_copied = false;    ///< Copied from another server.
};

/** Time of a server to read a number of prompt tokens, in milliseconds. */
double PrefillMs(const RouteRequest& request,
                 const ServerView& view,
                 double tokens) {
  return tokens / (view.speed *
                   request.prefill_tokens_per_ms.value_or(kAssumedTokensPerMs));
}

PrefixCost CostOfPrefix(const RouteRequest& request,
                        const ServerView& view,
                        const ServerView* source) {
  const double prefill_ms = PrefillMs(request, view, request.shared_tokens);
  if (source == nullptr || request.copy_ms_per_token <= 0 ||
      request.shared_tokens < kMinCopiedTokens) {
    return {prefill_ms, (kRecomputeWeight - 1) * prefill_ms,
            request.shared_tokens, false};
  }
  // The copy takes twice as long between zones.
  const double zones = view.server->zone == source->server->zone ? 1 : 2;
  const double copy_ms =
      kCopySetupMs + zones * request.copy_ms_per_token * request.shared_tokens;
  return {copy_ms, kCopyWeight * copy_ms, 0, true};
}

class ExpectedDelayPolicy : public RoutingPolicy {
 public:
  explicit ExpectedDelayPolicy(uint64_t seed) : generator(seed) {}

  std::optional<RouteChoice> Choose(
      const RouteRequest& request,
      std::span<const ServerView> candidates) override {
    PrefixOwners owners;
    CopySources sources;
    if (request.shared_part != 0) {
      owners = FindOwners(request, candidates);
      sources = FindCopySources(candidates);
    }
    const uint32_t own_tokens =
        request.prompt_tokens -
        std::min(request.prompt_tokens, request.shared_tokens);
    std::optional<RouteChoice> best;
    double best_cost = 0;
    for (const size_t i : this->Shortlist(request, candidates, owners)) {
      const ServerView& view = candidates[i];
      const std::optional<size_t> source = SourceFor(sources, view);
      PrefixCost prefix;
      if (!view.prefix_cached) {
        prefix = CostOfPrefix(request, view,
                              source ? &candidates[*source] : nullptr);
      }
      if (sources.empty() && (owners.first == i || owners.other_region == i)) {
        // No server has the prefix, so one has to compute it anyway. Other
        // requests look for it at its owners.
        prefix.price_ms = 0;
      }
      const double backlog =
          PrefillMs(request, view, static_cast<double>(view.prefill_tokens));
      const double expected = LoadDelay(view) + backlog + prefix.delay_ms +
                              PrefillMs(request, view, own_tokens);
      const double cost =
          expected + prefix.price_ms + DistanceDelay(view, request.body_bytes) +
          (IsForOtherLength(request, view) ? request.other_length_ms : 0);
      if (!best || cost < best_cost) {
        best = RouteChoice{i, expected, own_tokens + prefix.read_tokens,
                           prefix.is_copied ? source : std::nullopt};
        best_cost = cost;
      }
    }
    return best;
  }

 private:
  /**
   * Selects the servers to compare: those that have or own the prefix, and a
   * few random ones. Reports of other nodes are outdated; if all nodes compared
   * all servers, they would choose the same one until the next report.
   */
  std::vector<size_t> Shortlist(const RouteRequest& request,
                                std::span<const ServerView> candidates,
                                const PrefixOwners& owners) {
    std::vector<size_t> shortlist;
    std::vector<size_t> own_region;
    std::vector<size_t> other_region;
    std::vector<size_t> other_length;
    std::vector<size_t> avoided;
    std::vector<size_t> full;
    for (size_t i = 0; i < candidates.size(); ++i) {
      const ServerView& view = candidates[i];
      if (IsFull(view)) {
        full.push_back(i);
        continue;
      }
      if (view.avoided) {
        avoided.push_back(i);
      } else if (view.prefix_cached || owners.Contains(i)) {
        shortlist.push_back(i);
      } else if (view.distance == Distance::kOtherRegion) {
        other_region.push_back(i);
      } else if (IsForOtherLength(request, view)) {
        other_length.push_back(i);
      } else {
        own_region.push_back(i);
      }
    }
    std::sample(own_region.begin(), own_region.end(),
                std::back_inserter(shortlist), kOwnRegionSamples,
                this->generator);
    std::sample(other_region.begin(), other_region.end(),
                std::back_inserter(shortlist), kOtherRegionSamples,
                this->generator);
    std::sample(other_length.begin(), other_length.end(),
                std::back_inserter(shortlist), kOtherLengthSamples,
                this->generator);
    if (!shortlist.empty()) {
      return shortlist;
    }
    return avoided.empty() && request.urgent ? full : avoided;
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
