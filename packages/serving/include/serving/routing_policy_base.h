/**
 * @file routing_policy_base.h
 * Selection of the backend server for a request.
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

/** Location of a server relative to this node. */
enum class Distance : uint8_t { kSameZone, kSameRegion, kOtherRegion };

/** A candidate server and its known load. */
struct ServerView {
  const BackendServer* server = nullptr;
  Distance distance = Distance::kSameZone;
  uint32_t running = 0;         ///< Requests of all nodes, as last reported.
  uint64_t prefill_tokens = 0;  ///< Prompt tokens still being processed.
  double failure_rate = 0;      ///< Recent share of failed requests, 0 to 1.
  bool avoided = false;         ///< Failed repeatedly in the last moments.
  bool prefix_cached = false;  ///< A node recently sent the shared parts to it.
  /** Learned speed relative to the average server of the service; above 0. */
  double speed = 1;
  /** Set aside for long prompts. */
  bool for_long_prompts = false;
};

/** Properties of a request that the choice depends on. */
struct RouteRequest {
  uint32_t prompt_tokens = 0;  ///< 0 for services without an engine.
  uint32_t shared_tokens = 0;  ///< Tokens of the shared parts.
  uint64_t shared_part = 0;    ///< Id of the last shared part; 0: none.
  uint64_t body_bytes = 0;
  /** Served before other queued requests: worth an attempt at a server that
   * looks full. */
  bool urgent = false;
  /** Prompt tokens that a server reads per millisecond; empty if unknown. */
  std::optional<double> prefill_tokens_per_ms;
  /** Milliseconds to copy the KV memory of a token from another server of the
   * same zone; 0: the servers cannot copy. */
  double copy_ms_per_token = 0;
  /** Whether the prompt is long; empty where lengths are not separated. */
  std::optional<bool> long_prompt;
  /** Price of a server that is for prompts of another length, as time. */
  double other_length_ms = 0;
};

/** The chosen candidate. */
struct RouteChoice {
  size_t index = 0;                 ///< Index into the candidates.
  double expected_ms = 0;           ///< Expected time to the first token.
  uint32_t read_tokens = 0;         ///< Prompt tokens that need a prefill.
  std::optional<size_t> copy_from;  ///< Candidate to copy the prefix from.
};

/** Chooses a server for each request. Not thread-safe. */
class RoutingPolicy {
 public:
  virtual ~RoutingPolicy() = default;

  /**
   * @param candidates Servers that may take the request; none is draining.
   * @return Empty if there is no candidate, or all of them are so loaded that
   *     they would reject the request.
   */
  virtual std::optional<RouteChoice> Choose(
      const RouteRequest& request,
      std::span<const ServerView> candidates) = 0;
};

/**
 * Creates a policy that minimizes the expected time to the first token. The
 * estimate includes the queued prompts and running requests of a server, and
 * the tokens of the request that it has not cached, all divided by the server's
 * speed; traffic between regions is
 * counted as additional time. The policy compares the servers that own or have
 * cached the prefix with a few random other servers. A server without the
 * prefix copies it from one of its software version that has it, if that is
 * cheaper than computing it again.
 * @param seed For the random choice; must differ between nodes.
 */
std::unique_ptr<RoutingPolicy> MakeExpectedDelayPolicy(uint64_t seed);

/** Creates a policy that prefers servers with few running requests for their
 * speed, and near ones; for services without an engine. */
std::unique_ptr<RoutingPolicy> MakeLeastRunningPolicy();

}  // namespace boragewharf::serving
