/**
 * @file traffic_core_base.h
 * State that all client requests of a node share.
 */
#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>

#include "base/counter_base.h"
#include "eventlog/event_log_base.h"
#include "eventlog/handler_guard_base.h"
#include "httpio/server_connection_base.h"
#include "relay/request_wire_base.h"
#include "relay/server_pool_base.h"
#include "rollout/rollout_agent_base.h"
#include "servermodel/server_speeds_base.h"
#include "serving/attempt_observer_base.h"
#include "serving/config_type.h"
#include "serving/crash_attribution_base.h"
#include "serving/crash_suspects_base.h"
#include "serving/peer_type.h"
#include "serving/planned_stop_base.h"
#include "serving/prefill_speed_base.h"
#include "serving/quota_base.h"
#include "serving/retry_base.h"
#include "serving/routing_policy_base.h"
#include "serving/shared_state_base.h"
#include "serving/stream_lookups_base.h"
#include "serving/stream_records_base.h"
#include "serving/stream_versions_base.h"

namespace boragewharf::relay {

class Exchange;

/** Traffic limits from the deployment settings. */
struct TrafficBounds {
  double retry_ratio = 0.2;  ///< Retries allowed per request, across all nodes.
  double retry_extra = 52;   ///< Additional retries allowed per window.
  Duration retry_window{};   ///< Length of the retry window.
  double quota_slack = 0;   ///< Quota units by which the limit may be exceeded.
  Duration usage_window{};  ///< Length of a usage reporting window.
  Duration drain{};         ///< Minimum run time of draining servers.
  Duration grace{};         ///< Time between the stop signal and the kill.
  bool first_start = true;  ///< First start of the whole deployment: no quota
                            ///< has been used yet.
  /** Of roll-outs; empty if the deployment has none. */
  std::optional<rollout::RolloutBounds> rollout;
};

/** Zone and region of the node. */
struct NodeLocation {
  std::string zone;
  std::string region;
  std::map<std::string, std::string> zone_regions;  ///< Region of each zone.
};

/**
 * Handles the client requests of a node; holds the configuration, servers,
 * limits and requests in progress.
 * All methods run on the traffic loop.
 */
class TrafficCore : public httpio::RequestHandler {
 public:
  TrafficCore(boost::asio::io_context& loop,
              const NodeLocation& place,
              const TrafficBounds& limits,
              const RequestCodec& request_codec,
              EventLog& event_log,
              CounterRegistry& registry);
  ~TrafficCore() override;

  /** Applies a newer configuration. */
  void SetConfig(std::shared_ptr<const serving::ServingConfig> next);

  /** Applies a newer list of backend servers. */
  void SetServers(const std::shared_ptr<const serving::ServerSet>& next);

  /** Applies the merged reports of the other nodes. */
  void SetPeers(const serving::PeerSummary& summary);

  /** Adds crashes under requests that other nodes have told or saved, with
   * local times. */
  void MergeSuspects(const serving::SuspectReport& told, TimePoint now);

  /** Merges what other nodes, or a save, tell of parts that crash servers. */
  void MergeCrashEvidence(const serving::CrashEvidence& evidence);

  /** Restores quota levels that were saved @p age ago. */
  void RestoreQuotas(const std::map<std::string, double>& levels,
                     Duration age) {
    this->quotas.Restore(levels, age);
  }

  /**
   * Starts the planned stop of the node, which ends at @p end. From now on
   * connections are closed after their response, and requests that cannot be
   * finished before @p end are refused. At @p end, requests of which no part
   * of the response has been sent are answered as timed out; the others go
   * on. A later call can only move the end to an earlier time.
   */
  void SetShutdownTime(TimePoint end);

  /** Ends the requests that are still in progress when the process exits. */
  void EndRequests();

  /** Uses @p versions, which must outlive this object, in place of what this
   * node and the others remember. */
  void SetStreamVersions(serving::StreamVersions& versions) {
    this->stream_versions = &versions;
  }

  /** What is to be saved of the streams that began; see StreamRecords. */
  std::optional<serving::StreamSave> TakeStreamSave(TimePoint now) {
    return this->stream_records.TakeSave(now);
  }

  /** Records the end of a save of streams. */
  void EndStreamSave(uint64_t number, bool saved) {
    this->stream_records.EndSave(number, saved, BootClock::now());
  }

  /** Whether the saved streams of all nodes are to be read again; see
   * StreamRecords. */
  bool TakeStreamRestoreWanted() {
    return this->stream_records.TakeRestoreWanted();
  }

  /** Sets the way to the data planes of the other nodes, which must outlive
   * this object. */
  void SetStreamLink(serving::StreamLink& link) {
    this->stream_lookups.SetLink(link);
  }

  /** Handles a datagram of another node's data plane.
   * @param sender PackIp() of that node. */
  void OnStreamMessage(uint32_t sender, const serving::StreamMessage& message);

  /** The store has confirmed the list of the last SetServers(), as of @p asked.
   */
  void OnListConfirmed(TimePoint asked);

  /** Adds the streams that all nodes have saved, as asked for at @p asked. */
  void RestoreStreams(const std::vector<serving::SavedStreams>& saved,
                      TimePoint asked) {
    this->stream_records.Restore(saved, asked, BootClock::now());
  }

  /** Load, quota use, demand, usage and crash data for the other nodes. */
  serving::TrafficReport Report(TimePoint now);

  /** Applies timeouts; called every kTickPeriod. If a call is late, those of
   * servers that have sent nothing wait for the next one: what they have sent
   * may not have been read yet. */
  void CheckTime(TimePoint now);

  /** Bytes of responses that are buffered until they are complete, and of
   * unfinished events. */
  size_t BufferedBytes() const { return this->buffered_bytes; }

  /** Number of requests in progress. */
  size_t InProgress() const { return this->exchanges.size(); }

  /** Whether the configuration and the servers are known. */
  bool Ready() const { return this->config != nullptr && this->servers_known; }

  /** Unix time in milliseconds that all nodes agree on; the local clock until
   * the offset to it is known. */
  int64_t ClusterTimeMs(TimePoint now) const;

  void OnRequest(const std::shared_ptr<httpio::ServerConnection>& connection,
                 httpio::InboundRequest request) override;
  void OnClientDisconnected(httpio::ServerConnection& connection) override;

  /** Limit of BufferedBytes(); a fifth of the memory of the smallest node. */
  static constexpr size_t kMaxBufferedBytes = size_t{32} * 1024 * 1024;

  /** Period of CheckTime(); timeouts are at most this late if the loop is not.
   */
  static constexpr std::chrono::milliseconds kTickPeriod{50};

 private:
  friend class Exchange;

  /** Asks each stopping server that runs requests of this node how much time is
   * left until it stops. */
  void RequestStopNotices(TimePoint now);

  /** Asks a server for its state and the time until it stops. */
  void RequestReport(const std::shared_ptr<PooledServer>& server,
                     TimePoint now);

  /** Records what a server says of itself in the head of an answer.
   * @param sent When the request was sent. */
  void RecordAnswer(PooledServer& server,
                    const serving::ResponseFacts& facts,
                    TimePoint sent,
                    TimePoint now);

  /** Asks servers that have been leaving for long, but are still listed as
   * ready. */
  void CheckLeavingServers(TimePoint now);

  /** Asks servers that could not be reached whether they have restarted. */
  void CheckLifetimes(TimePoint now);

  /** Asks servers with a limit that have not answered for a while. */
  void CheckLimitedServers(TimePoint now);

  /** Counts and logs the requests that ran on servers that have crashed. */
  void CountCrashes(TimePoint now);

  /** Blocks the prompt parts that explain the crashes. */
  void BlockCrashingParts(TimePoint now);

  /** Logs the parts that are no longer blocked. */
  void LogUnblocked(const std::vector<serving::PartKey>& parts);

  /** While BufferedBytes() exceeds its limit, fails the attempt of the request
   * that holds the most. */
  void EnforceBufferLimit();

  /** Ends the requests that wait for a server and must not run any more. */
  void AbandonBlockedRequests();

  /** Restarts the requests in waiting_requests. Those that still have to wait
   * add themselves again. */
  void StartWaitingRequests();

  /** Upper estimate of the time that a request on @p route takes, which is no
   * stream; empty if unknown. */
  std::optional<Duration> ExpectedDuration(const serving::Route& route) const;

  /** Applies the learned speeds to the servers of the pool, and logs servers
   * that became slow or normal. */
  void ApplyServerSpeeds();

  /** Counts a request that began to run for the usage report. */
  void CountUsage(const std::string& customer, TimePoint now);

  boost::asio::io_context& loop;
  TrafficBounds bounds;
  const RequestCodec& codec;
  EventLog& log;
  CounterRegistry& counters;
  HandlerGuard guard;
  ServerPool pool;
  std::shared_ptr<const serving::ServingConfig> config;
  uint64_t servers_revision = 0;
  size_t buffered_bytes = 0;
  bool servers_known = false;
  bool shutting_down = false;
  std::optional<TimePoint> shutdown_at;  ///< Set during a planned stop.
  std::map<std::string, serving::DurationEstimate>
      route_durations;       ///< By route, without streams.
  uint32_t ready_nodes = 0;  ///< Other nodes that accept requests.
  uint32_t nodes = 1;
  std::map<std::string, serving::PrefillSpeedEstimate>
      prefill_estimates;  ///< Of this node, by service.
  /** Prompt tokens per millisecond by service, as all nodes have measured. */
  std::map<serving::NameHash, double> prefill_speeds;
  std::optional<int64_t> wall_offset_ms;
  serving::QuotaTable quotas;
  serving::RetryBudget budget;
  serving::CrashSuspects suspects;
  serving::CrashAttribution crash_attribution;
  /** Time for which evidence is left open to other nodes' responses. */
  Duration crash_settle_time{};
  TimePoint next_crash_evaluation;
  std::unique_ptr<serving::RoutingPolicy> engine_policy;
  std::unique_ptr<serving::RoutingPolicy> plain_policy;
  servermodel::ServerSpeeds server_speeds;
  /** Without bounds for roll-outs, there is none. */
  std::optional<rollout::RolloutAgent> rollout_agent;
  /** Members that learn from attempts; not owned. */
  std::vector<serving::AttemptObserver*> observers;
  /** Members that exchange state with other nodes; not owned. */
  std::vector<serving::SharedState*> shared_states;
  serving::StreamRecords stream_records;
  serving::StreamLookups stream_lookups;
  serving::StreamVersions* stream_versions = &this->stream_lookups;
  std::mt19937_64 generator;
  std::unordered_map<httpio::ServerConnection*, std::shared_ptr<Exchange>>
      exchanges;
  /** Requests that wait for the first configuration and server list, or for the
   * versions of streams. */
  std::vector<std::shared_ptr<Exchange>> waiting_requests;
  /** Requests that began to run, by usage window and customer. */
  std::map<int64_t, std::map<std::string, uint32_t>> usage;
  /** Demand for a service at this node. */
  struct Demand {
    double prefill_per_second = 0;  ///< Moving average, in tokens.
    uint64_t tokens_in_period = 0;  ///< To prefill, since demand_updated.
    uint32_t refused = 0;           ///< Requests that got no server, in total.
    uint32_t running = 0;           ///< Requests in progress at servers.
  };
  std::map<std::string, Demand> demand;  ///< By service name.
  TimePoint demand_updated;
  std::optional<TimePoint> last_check;  ///< Last call of CheckTime().
  /** Whether this call of CheckTime() may find servers silent. */
  bool finds_silence = true;
};

}  // namespace boragewharf::relay
