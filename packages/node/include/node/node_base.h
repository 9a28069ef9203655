/**
 * @file node_base.h
 * A node: the control loop, the traffic loop and their life.
 */
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <thread>

#include "node/control_loop_base.h"
#include "node/loop_delay_base.h"
#include "node/node_settings.h"
#include "relay/traffic_core_base.h"

namespace boragewharf::node {

/** Makes the platform's adapter on the control loop. */
using PlatformFactory = std::function<std::unique_ptr<fleet::Platform>(
    boost::asio::io_context& loop,
    EventLog& log,
    CounterRegistry& counters)>;

/** One process of the deployment. */
class Node : private ControlStateListener {
 public:
  /**
   * @param settings_path File that is read again when it changes.
   * @param wire Outlives the node.
   */
  Node(NodeSettings settings,
       std::string settings_path,
       const PlatformFactory& make_platform,
       const relay::RequestWire& wire);
  ~Node() override;

  /**
   * Serves until a signal to stop, then finishes the requests in progress.
   * @return False if an address could not be bound.
   * @note Called once, by the thread that becomes the control thread.
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
  void WaitForSignal();
  void Reload();
  void Leave();
  void TickTraffic();
  void CheckSettingsFile();

  NodeSettings settings;
  std::string settings_path;
  CounterRegistry counters;
  std::unique_ptr<EventLog> log;
  LoopDelay traffic_delay;  ///< Traffic loop only.
  boost::asio::io_context control_loop{1};
  boost::asio::io_context traffic_loop{1};
  std::unique_ptr<fleet::Platform> platform;
  std::optional<ControlLoop> control;
  std::optional<relay::TrafficCore> traffic;
  std::optional<httpio::HttpListener> clients;
  std::optional<boost::asio::steady_timer> traffic_timer;
  boost::asio::signal_set signals;
  boost::asio::steady_timer settings_timer;
  std::string settings_text;
  TimePoint next_report;
  std::optional<TimePoint> leaving_since;  ///< Traffic loop only.
};

}  // namespace boragewharf::node
