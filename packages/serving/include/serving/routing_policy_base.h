/**
 * @file routing_policy_base.h
 * Choice of the backend server for a request.
 */
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "serving/request_type.h"
#include "serving/server_type.h"

namespace boragewharf::serving {

/** Where a server stands relative to the entry instance. */
enum class Distance : uint8_t { kSameZone, kSameRegion, kOtherRegion };

/** A candidate with what is known of its load. */
struct ServerView {
  const BackendServer* server = nullptr;
  Distance distance = Distance::kSameZone;
  uint32_t running = 0;         ///< Requests of all nodes, as last reported.
  uint64_t prefill_tokens = 0;  ///< Prompt tokens sent and not yet answered.
  double failure_rate = 0;      ///< Recent share of failed requests, 0 to 1.
  bool avoided = false;         ///< Failed repeatedly a moment ago.
  bool prefix_cached = false;   ///< Some node sent the shared parts there.
};

/** What matters of a request for the choice. */
struct RouteRequest {
  uint32_t prompt_tokens = 0;  ///< 0 for plain services.
  uint32_t shared_tokens = 0;  ///< Tokens of the shared parts.
  uint64_t shared_part = 0;    ///< Id of the last shared part; 0: none.
  uint64_t body_bytes = 0;
  bool urgent = false;  ///< Overtakes waiting requests at the server.
  /** Time in milliseconds to copy a token's memory from another server of the
   * same zone; 0: the servers cannot copy. */
  double copy_ms_per_token = 0;
};

/** The choice among the candidates. */
struct RouteChoice {
  size_t index = 0;          ///< Into the span of candidates.
  double expected_ms = 0;    ///< Expected time to the first token.
  uint32_t read_tokens = 0;  ///< Prompt tokens that the server has to read.
  std::optional<size_t> copy_from;  ///< Candidate to copy the prefix from.
};

/** Chooses a server; implementations are used by one thread. */
class RoutingPolicy {
 public:
  virtual ~RoutingPolicy() = default;

  /**
   * @param candidates Servers that may take the request; none is draining.
   * @return Empty if there are no candidates, or all of them are so full that
   *     they would reject the request.
   */
  virtual std::optional<RouteChoice> Choose(
      const RouteRequest& request,
      std::span<const ServerView> candidates) = 0;
};

/**
 * Least expected time to the first token, from the prompts that wait at each
 * server, the requests that run there, and the tokens of the request that the
 * server has not cached; bytes between regions count as time. Compares the
 * servers that own the prefix and a random few of the others. A server that
 * does not hold the prefix copies it from one that does, where that is faster
 * than to read it again.
 * @param seed For the random choice; differs between nodes.
 */
std::unique_ptr<RoutingPolicy> MakeExpectedDelayPolicy(uint64_t seed);

/** Fewest running requests, nearest first; for plain services. */
std::unique_ptr<RoutingPolicy> MakeLeastRunningPolicy();

}  // namespace boragewharf::serving
