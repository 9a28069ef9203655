/**
 * @file config_type.h
 * The configuration in force: routes, services, customers and their limits.
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

/** What may be repeated. */
enum class RouteKind : uint8_t {
  kIdempotent,     ///< May run any number of times.
  kNonIdempotent,  ///< Runs at most once for each client attempt.
  kStream,         ///< Events; non-idempotent unless resumable.
};

/** One of the services among which a route splits its requests. */
struct SplitTarget {
  std::string service;
  uint32_t weight = 1;  ///< Share relative to the other targets.
};

/** Selects a service by host and path prefix. */
struct Route {
  std::string name;
  std::string host;
  std::string path_prefix;  ///< Begins and ends with a slash.
  RouteKind kind = RouteKind::kIdempotent;
  Milliseconds timeout{0};   ///< Longest time until the final answer.
  Milliseconds goal{0};      ///< Latency objective (streams: first event).
  Milliseconds gap_goal{0};  ///< Longest pause between events on time.
  uint32_t priority = 0;     ///< 0 is the most urgent.
  std::vector<SplitTarget> targets;
  uint32_t max_attempts = 1;  ///< Servers to which an attempt may be sent.
  bool anonymous = false;     ///< Needs no key.
  bool resumable = false;     ///< A stream may continue at another server.

  /** Whether a request may run more than once. @note Thread-safe. */
  bool Repeatable() const {
    return this->kind == RouteKind::kIdempotent ||
           (this->kind == RouteKind::kStream && this->resumable);
  }
};

/** Model engine properties of a service's servers. */
struct EngineProfile {
  uint32_t slots = 1;            ///< Requests that a server runs at once.
  uint64_t kv_tokens = 0;        ///< Memory of a server, in tokens.
  bool moves = false;            ///< Running requests can move between servers.
  double copy_ms_per_token = 0;  ///< Between servers of a zone; 0: unknown.
  Milliseconds copy_ttl{};       ///< Life of a moved copy that nobody takes.
};

/** Bounds and prices for ordering servers of a service. */
struct ScalingProfile {
  uint32_t min = 0;  ///< Servers in each zone, both kinds together.
  uint32_t max = 0;  ///< As above.
  Milliseconds boot{0};
  double reclaimable_price = 1.0;            ///< Relative to on-demand.
  std::map<std::string, double> zone_price;  ///< Price of a server by zone.
};

/** A group of interchangeable backend servers. */
struct Service {
  std::string name;
  uint32_t max_connections = 0;  ///< Accepted by one server from all nodes.
  std::optional<EngineProfile> engine;
  std::optional<ScalingProfile> scaling;
};

/** Bounds on what a client may send. */
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
  std::optional<uint32_t> priority;  ///< Takes precedence over the route's.
  bool quota_in_tokens = false;      ///< Otherwise in requests.
  uint64_t plain_tokens = 0;         ///< Cost of a request without counts.
  double rate_per_second = 0;        ///< 0: no limit.
  double burst = 0;                  ///< In the same unit.
};

/** A complete configuration. Immutable once published. */
struct ServingConfig {
  uint64_t version = 0;  ///< The operator's number; rises.
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
 * @note Not thread-safe; called before the configuration is published.
 */
void IndexConfig(ServingConfig& config);

/**
 * Route with the longest prefix of @p path among those of @p host.
 * @return nullptr if none matches.
 * @pre IndexConfig() was called.
 * @note Thread-safe on an immutable configuration.
 */
const Route* FindRoute(const ServingConfig& config,
                       std::string_view host,
                       std::string_view path);

/** Customer that holds a key, or nullptr. @note As FindRoute(). */
const Customer* FindCustomer(const ServingConfig& config, std::string_view key);

/** Service by name, or nullptr. @note As FindRoute(). */
const Service* FindService(const ServingConfig& config, std::string_view name);

/**
 * Picks the service of a request on a split route.
 * @param draw Uniform in [0, 1).
 * @pre The route has at least one target.
 * @note Thread-safe.
 */
std::string_view PickTarget(const Route& route, double draw);

}  // namespace boragewharf::serving
