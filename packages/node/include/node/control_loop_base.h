/**
 * @file control_loop_base.h
 * Control loop of a node: applies events to the control state and executes the
 * resulting effects.
 */
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "base/counter_base.h"
#include "eventlog/event_log_base.h"
#include "eventlog/handler_guard_base.h"
#include "fleet/fetch_budget_base.h"
#include "fleet/fleet_cmd.h"
#include "fleet/list_order_type.h"
#include "fleet/platform_base.h"
#include "httpio/http_channel_base.h"
#include "httpio/server_connection_base.h"
#include "node/loop_delay_base.h"
#include "node/node_settings.h"

namespace boragewharf::node {

/** Receives updates from the control loop; called on that loop. */
class ControlStateListener {
 public:
  virtual ~ControlStateListener() = default;
  virtual void OnConfigPublished(
      std::shared_ptr<const serving::ServingConfig> config) = 0;
  virtual void OnServersPublished(
      std::shared_ptr<const serving::ServerSet> servers) = 0;
  virtual void OnPeersPublished(serving::PeerSummary summary) = 0;
  virtual void OnQuotasRestored(const std::map<std::string, double>& levels,
                                Duration age) = 0;
  virtual void OnBlockedPartsRestored(
      const std::vector<serving::BlockedPart>& blocked) = 0;
  virtual void OnSuspectsRestored(const serving::SuspectReport& suspects) = 0;
  virtual void OnStreamsRestored(const fleet::RestoreStreams& restored) = 0;
  virtual void OnStreamSaveEnded(const fleet::EndStreamSave& ended) = 0;
  /** The list of the last OnServersPublished() was that of the store. */
  virtual void OnListConfirmed(const fleet::ReportListConfirmed& confirmed) = 0;
};

/** Response of an HTTP endpoint of the control loop. */
struct EndpointResponse {
  uint32_t status = 200;
  std::string content_type;
  std::string body;
  std::string content_encoding = {};
};

/** Responds to each request immediately with the result of a function. */
class EndpointHandler : public httpio::RequestHandler {
 public:
  using ResponseFunction =
      std::function<EndpointResponse(const httpio::InboundRequest&)>;

  explicit EndpointHandler(ResponseFunction function)
      : respond(std::move(function)) {}

  void OnRequest(const std::shared_ptr<httpio::ServerConnection>& connection,
                 httpio::InboundRequest request) override;
  void OnClientDisconnected(httpio::ServerConnection&) override {}

 private:
  ResponseFunction respond;
};

/** Control part of a node. All methods must be called on the control loop. */
class ControlLoop {
 public:
  ControlLoop(boost::asio::io_context& loop,
              const NodeSettings& settings,
              fleet::Platform& platform,
              ControlStateListener& state_listener,
              EventLog& log,
              CounterRegistry& counters);
  ~ControlLoop();

  /** Binds the endpoints and starts the loop; throws if binding fails. */
  void Start();

  /** Applies an event to the control state and executes the effects. */
  void Handle(const fleet::Event& event);

 private:
  void Execute(const fleet::Effect& effect);
  void Execute(const fleet::StreamEffect& effect);
  void Send(const fleet::SendToPeers& send);
  void Fetch(const fleet::FetchState& fetch);
  void ReceiveDatagram();
  void OnDatagram(std::string_view bytes);
  /** Takes over the state that another node has answered with.
   * @return Whether it could be read. */
  bool ApplyFetched(const httpio::HttpResult& result);
  void Tick();
  EndpointResponse HandleReady(const httpio::InboundRequest& request);
  EndpointResponse HandleDirectory(const httpio::InboundRequest& request);
  EndpointResponse HandleControl(const httpio::InboundRequest& request);
  EndpointResponse AnswerFetch(const httpio::InboundRequest& request);
  EndpointResponse HandleMetrics(const httpio::InboundRequest& request);
  std::string DumpState() const;
  void Listen(
      const std::optional<Endpoint>& address,
      EndpointResponse (ControlLoop::*respond)(const httpio::InboundRequest&));

  boost::asio::io_context& loop;
  NodeSettings settings;
  fleet::Platform& platform;
  ControlStateListener& state_listener;
  EventLog& log;
  CounterRegistry& counters;
  HandlerGuard guard;
  LoopDelayMonitor delay_monitor;
  fleet::FleetState state;
  boost::asio::ip::udp::socket socket;
  boost::asio::ip::udp::endpoint sender;
  std::array<char, 65536> datagram{};
  boost::asio::steady_timer tick_timer;
  /** An HTTP listener and its handler. */
  struct HttpEndpoint {
    EndpointHandler handler;
    httpio::HttpListener listener;
    HttpEndpoint(boost::asio::io_context& loop,
                 const Endpoint& address,
                 EndpointHandler::ResponseFunction function)
        : handler(std::move(function)), listener(loop, address, handler) {}
  };
  std::vector<std::unique_ptr<HttpEndpoint>> http_endpoints;
  std::map<std::string, std::unique_ptr<httpio::HttpChannel>>
      fetch_channels;  ///< By IP.
  fleet::FetchBudget fetch_budget;
  /** Of HandleControl(); null if there is none. */
  httpio::HttpListener* control_listener = nullptr;
  /** The last complete compressed list, which many nodes ask for when they
   * start. */
  struct {
    fleet::ConfigOrder config;
    fleet::ListOrder servers;
    bool with_config = false;
    std::string body;
  } cached_list;
};

}  // namespace boragewharf::node
