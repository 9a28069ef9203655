/**
 * @file node_base.h
 * A node: owns the control loop and the traffic loop.
 */
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <thread>

#include "eventlog/handler_guard_base.h"
#include "node/control_loop_base.h"
#include "node/latest_slot_base.h"
#include "node/loop_delay_base.h"
#include "node/node_settings.h"
#include "node/signal_receiver_base.h"
#include "node/stream_socket_base.h"
#include "relay/traffic_core_base.h"

namespace boragewharf::node {

/** Creates the platform adapter, which runs on the control loop. */
using PlatformFactory = std::function<std::unique_ptr<fleet::Platform>(
    boost::asio::io_context& loop,
    EventLog& log,
    CounterRegistry& counters)>;

/** A node process of a deployment. */
class Node : private ControlStateListener, private serving::StreamLink {
 public:
  /**
   * @param settings_path Settings file, which is read again when it changes.
   * @param wire Must outlive the node.
   */
  Node(NodeSettings settings,
       std::string settings_path,
       const PlatformFactory& make_platform,
       const relay::RequestCodec& wire);
  ~Node() override;

  /**
   * Serves until SIGTERM or SIGINT, then finishes the requests in progress.
   * @return False if an address could not be bound.
   * @note Must be called only once. The calling thread runs the control loop.
   * The destructor may wait for the reader of the log; a process that has to
   * end in time ends without it.
   */
  bool Run();

 private:
  void OnConfigPublished(
      std::shared_ptr<const serving::ServingConfig> config) override;
  void OnServersPublished(
      std::shared_ptr<const serving::ServerSet> servers) override;
  void OnPeersPublished(serving::PeerSummary summary) override;
  void OnQuotasRestored(const std::map<std::string, double>& levels,
                        Duration age) override;
  void OnBlockedPartsRestored(
      const std::vector<serving::BlockedPart>& blocked) override;
  void OnSuspectsRestored(const serving::SuspectReport& suspects) override;
  void OnStreamsRestored(const fleet::RestoreStreams& restored) override;
  void OnStreamSaveEnded(const fleet::EndStreamSave& ended) override;
  void OnListConfirmed(const fleet::ReportListConfirmed& confirmed) override;
  void Send(uint32_t ip, const serving::StreamMessage& message) override;
  void ConfirmServerList(bool begin_to_watch) override;
  /** Passes the streams that are to be saved now to the control loop, and
   * whether the saves of all nodes are to be read. */
  void SaveStreams(TimePoint now);
  /** Runs @p handler on the traffic loop. @param source See HandlerGuard. */
  template <class Handler>
  void PostToTraffic(const char* source, Handler handler);
  /** Called on the thread of the signal receiver. */
  void OnSignal(int number, TimePoint received);
  void ReloadSettings();
  /** Starts the planned stop, whose grace period began at @p received. */
  void BeginShutdown(TimePoint received);
  /** Rejects all further requests; the process exits soon after. */
  void BeginExit(TimePoint now);
  void TickTraffic();
  /** Gives the log time to be written, within the grace period. */
  void FlushLog();
  void CheckSettingsFile();

  /** Values for the traffic loop and the control loop that they have not taken
   * yet. A loop that is late takes the newest, so that no queue grows. */
  LatestSlot<std::shared_ptr<const serving::ServerSet>> pending_servers;
  LatestSlot<serving::PeerSummary> pending_peers;
  LatestSlot<serving::TrafficReport> pending_report;
  NodeSettings settings;
  std::string settings_path;
  CounterRegistry counters;
  std::unique_ptr<EventLog> log;
  HandlerGuard control_guard;
  HandlerGuard traffic_guard;
  LoopDelayMonitor traffic_delay_monitor;  ///< Traffic loop only.
  boost::asio::io_context control_loop{1};
  boost::asio::io_context traffic_loop{1};
  std::unique_ptr<fleet::Platform> platform;
  std::optional<ControlLoop> control;
  std::optional<relay::TrafficCore> traffic;
  std::optional<StreamSocket> stream_socket;  ///< Traffic loop only.
  std::optional<httpio::HttpListener> client_listener;
  std::optional<boost::asio::steady_timer> traffic_timer;
  boost::asio::steady_timer settings_timer;
  std::string last_settings_text;
  TimePoint next_report_time;
  /** When the stop signal arrived. Traffic loop only. */
  std::optional<TimePoint> shutdown_started;
  std::optional<TimePoint> exit_started;  ///< Traffic loop only.
  uint32_t exit_ticks = 0;                ///< Ticks since then.
  size_t in_progress_at_end = 0;          ///< Requests that the exit ended.
  SignalReceiver signals;                 ///< Uses the other members.
};

}  // namespace boragewharf::node
