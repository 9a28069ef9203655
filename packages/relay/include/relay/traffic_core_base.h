/**
 * @file traffic_core_base.h
 * State of a node's traffic that all requests share.
 */
#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "base/counter_base.h"
#include "eventlog/event_log_base.h"
#include "httpio/server_connection_base.h"
#include "relay/request_wire_base.h"
#include "relay/server_pool_base.h"
#include "serving/config_type.h"
#include "serving/crash_suspects_base.h"
#include "serving/peer_type.h"
#include "serving/planned_stop_base.h"
#include "serving/quota_base.h"
#include "serving/retry_base.h"
#include "serving/routing_policy_base.h"

namespace boragewharf::relay {

class Exchange;

/** Bounds of the traffic, from the deployment. */
struct TrafficBounds {
  double retry_ratio = 0.2;  ///< Repeats per request, all nodes together.
  double retry_extra = 52;   ///< Repeats besides, in a window.
  Duration retry_window{};   ///< Length of that window.
  double quota_slack = 0;    ///< Quota units allowed over the limit.
  Duration usage_window{};   ///< Length of a usage window.
  Duration drain{};          ///< Least time that leaving servers go on.
  Duration grace{};          ///< Time between the signal to stop and kill.
  bool first_start = true;   ///< The whole deployment starts for the first
                             ///< time, so no quota has been used.
};

/** Place of the node. */
struct NodePlace {
  std::string zone;
  std::string region;
  std::map<std::string, std::string> zone_regions;  ///< Region of each zone.
};

/**
 * Traffic of a node: configuration, servers, limits and requests in progress.
 * All methods run on the traffic loop.
 */
class TrafficCore : public httpio::RequestHandler {
 public:
  TrafficCore(boost::asio::io_context& loop,
              const NodePlace& place,
              const TrafficBounds& limits,
              const RequestWire& request_wire,
              EventLog& event_log,
              CounterRegistry& registry);
  ~TrafficCore() override;

  /** Takes over a newer configuration. */
  void SetConfig(std::shared_ptr<const serving::ServingConfig> next);

  /** Takes over a newer list of servers. */
  void SetServers(const std::shared_ptr<const serving::ServerSet>& next);

  /** Takes over what the other nodes reported. */
  void SetPeers(const serving::PeerSummary& summary);

  /** Takes over quota levels that were saved @p age ago. */
  void RestoreQuotas(const std::map<std::string, double>& levels,
                     Duration age) {
    this->quotas.Restore(levels, age);
  }

  /**
   * From now on connections close after their answer, and requests that cannot
   * be finished before @p end are refused. A request that has no part of its
   * answer then is answered as timed out, one that has goes on. A later call
   * can only bring the end forward.
   */
  void SetLeaving(TimePoint end);

  /** What the other nodes need to know. */
  serving::TrafficReport Report(TimePoint now);

  /** Applies time-outs; called every kTickPeriod. */
  void CheckTime(TimePoint now);

  /** Bytes of answers that are held back until they are complete. */
  size_t BufferedBytes() const { return this->buffered_bytes; }

  /** Requests in progress. */
  size_t InProgress() const { return this->exchanges.size(); }

  /** Whether requests can be served. */
  bool Ready() const { return this->config != nullptr && this->servers_known; }

  /** Time of day as all nodes agree on it, in milliseconds. */
  int64_t WallMs(TimePoint now) const;

  void OnRequest(const std::shared_ptr<httpio::ServerConnection>& connection,
                 httpio::InboundRequest request) override;
  void OnClientDisconnected(httpio::ServerConnection& connection) override;

  /** Bound on BufferedBytes(); a fifth of the smallest node's memory. */
  static constexpr size_t kMaxBufferedBytes = size_t{32} * 1024 * 1024;

  /** Period of CheckTime(); bounds the lateness of time-outs. */
  static constexpr std::chrono::milliseconds kTickPeriod{50};

 private:
  friend class Exchange;

  /** Asks servers that leave with requests of ours for the time left. */
  void AskLeavingServers(TimePoint now);

  /** Starts the early requests that can be served, or have waited enough. */
  void StartEarly();

  /** Time that a request on @p route takes; empty if unknown. */
  std::optional<Duration> ExpectedLength(const serving::Route& route) const;

  /** Counts a request that began to run. */
  void CountRun(const std::string& customer, TimePoint now);

  boost::asio::io_context& loop;
  TrafficBounds bounds;
  const RequestWire& wire;
  EventLog& log;
  CounterRegistry& counters;
  ServerPool pool;
  std::shared_ptr<const serving::ServingConfig> config;
  uint64_t servers_revision = 0;
  size_t buffered_bytes = 0;
  bool servers_known = false;
  bool leaving = false;
  std::optional<TimePoint> ends_at;  ///< Set while leaving.
  std::map<std::string, serving::LengthEstimate> lengths;  ///< By route.
  uint32_t nodes = 1;
  std::optional<int64_t> wall_offset_ms;
  serving::QuotaTable quotas;
  serving::RetryBudget budget;
  serving::CrashSuspects suspects;
  std::unique_ptr<serving::RoutingPolicy> engine_policy;
  std::unique_ptr<serving::RoutingPolicy> plain_policy;
  std::mt19937_64 generator;
  std::unordered_map<httpio::ServerConnection*, std::shared_ptr<Exchange>>
      exchanges;
  /** Requests that arrived before the first configuration and servers. */
  std::vector<std::shared_ptr<Exchange>> early;
  std::map<int64_t, std::map<std::string, uint32_t>> usage;
  struct Demand {
    double prefill_per_second = 0;
    uint64_t tokens_since = 0;
    uint32_t refused = 0;
    uint32_t running = 0;
  };
  std::map<std::string, Demand> demand;
  TimePoint demand_updated;
};

}  // namespace boragewharf::relay
