/**
 * @file config_type.h
 * The serving configuration: routes, services, customers and their limits.
 */
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace boragewharf::serving {

using Milliseconds = std::chrono::milliseconds;

/** Whether a request of a route may be sent again after it may have run. */
enum class RouteKind : uint8_t {
  kIdempotent,     ///< May run any number of times.
  kNonIdempotent,  ///< Runs at most once per client attempt.
  kStream,         ///< Event stream; non-idempotent unless resumable.
};

/** One of the services that share the requests of a route. */
struct SplitTarget {
  std::string service;
  uint32_t weight = 1;  ///< Relative to the weights of the other targets.
};

/** Maps requests with a host and path prefix to services. */
struct Route {
  std::string name;
  std::string host;
  std::string path_prefix;  ///< Begins and ends with a slash.
  RouteKind kind = RouteKind::kIdempotent;
  Milliseconds timeout{0};   ///< Until the response is complete.
  Milliseconds goal{0};      ///< Latency objective; for streams: first event.
  Milliseconds gap_goal{0};  ///< Objective for the time between events.
  uint32_t priority = 0;     ///< 0 is the highest priority.
  std::vector<SplitTarget> targets;
  uint32_t max_attempts = 1;  ///< Most servers that a request is sent to.
  bool anonymous = false;     ///< Requests need no key.
  bool resumable = false;     ///< Another server can continue a broken stream.

  /** Whether a request may run more than once. @note Thread-safe. */
  bool Repeatable() const {
    return this->kind == RouteKind::kIdempotent ||
           (this->kind == RouteKind::kStream && this->resumable);
  }
};

/** Properties of the model engines of a service's servers. */
struct EngineProfile {
  uint32_t slots = 1;            ///< Requests that a server runs concurrently.
  uint64_t kv_tokens = 0;        ///< KV memory of a server, in tokens.
  bool moves = false;            ///< Running requests can move between servers.
  double copy_ms_per_token = 0;  ///< Between servers of a zone; 0: unknown.
  Milliseconds copy_ttl{};       ///< Lifetime of an unclaimed moved copy.
};

/** Limits and prices for scaling a service. */
struct ScalingProfile {
  uint32_t min = 0;      ///< Least servers per zone, reclaimable ones included.
  uint32_t max = 0;      ///< Most servers per zone, reclaimable ones included.
  Milliseconds boot{0};  ///< Time that a server takes to start.
  double reclaimable_price = 1.0;            ///< Relative to on-demand servers.
  std::map<std::string, double> zone_price;  ///< Price of a server, by zone.
};

/** A group of interchangeable backend servers. */
struct Service {
  std::string name;
  uint32_t max_connections = 0;  ///< Per server, from all nodes together.
  std::optional<EngineProfile> engine;
  std::optional<ScalingProfile> scaling;
};

/** Limits on client requests and connections. */
struct ClientLimits {
  uint32_t max_header_bytes = 16384;
  uint64_t max_body_bytes = 4194304;
  Milliseconds header_timeout{3000};
  Milliseconds idle_timeout{15000};
};

/** A customer with its keys and quota. */
struct Customer {
  std::string name;
  std::vector<std::string> keys;
  std::optional<uint32_t> priority;  ///< Overrides the route's priority.
  bool quota_in_tokens = false;      ///< If false, the unit is requests.
  uint64_t plain_tokens = 0;   ///< Cost of a request without token counts.
  double rate_per_second = 0;  ///< Quota units; 0: no limit.
  double burst = 0;            ///< Bucket size in quota units.
};

/** A complete configuration. Immutable after it is published. */
struct ServingConfig {
  uint64_t version = 0;  ///< Set by the operator; increases.
  std::vector<Route> routes;
  std::vector<Service> services;
  std::vector<Customer> customers;
  ClientLimits limits;

  // Indexes, filled by IndexConfig().
  std::unordered_map<std::string, std::vector<size_t>> routes_by_host;
  std::unordered_map<std::string, size_t> customer_by_key;
  std::unordered_map<std::string, size_t> service_by_name;
};

/**
 * Fills the indexes.
 * @note Not thread-safe; must be called before the configuration is published.
 */
void IndexConfig(ServingConfig& config);

/**
 * Finds the route of @p host with the longest prefix of @p path.
 * @return The route, or nullptr if none matches.
 * @pre IndexConfig() was called.
 * @note Thread-safe on a published configuration.
 */
const Route* FindRoute(const ServingConfig& config,
                       std::string_view host,
                       std::string_view path);

/** Finds the customer of a key, or nullptr. @note As FindRoute(). */
const Customer* FindCustomer(const ServingConfig& config, std::string_view key);

/** Finds a service by name, or nullptr. @note As FindRoute(). */
const Service* FindService(const ServingConfig& config, std::string_view name);

/**
 * Selects the service for a request by the weights of the route's targets.
 * @param draw Random number, uniform in [0, 1).
 * @pre The route has at least one target.
 * @note Thread-safe.
 */
std::string_view PickTarget(const Route& route, double draw);

}  // namespace boragewharf::serving
