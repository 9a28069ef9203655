/**
 * @file control_loop_base.h
 * The control thread of a node: runs the reducer and executes its effects.
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
#include "fleet/fleet_cmd.h"
#include "fleet/platform_base.h"
#include "httpio/http_channel_base.h"
#include "httpio/server_connection_base.h"
#include "node/loop_delay_base.h"
#include "node/node_settings.h"

namespace boragewharf::node {

/** Receives what the control state publishes; called on the control loop. */
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
};

/** An answer of the simple endpoints. */
struct SimpleAnswer {
  uint32_t status = 200;
  std::string content_type;
  std::string body;
};

/** Answers each request at once with the result of a function. */
class SimpleHandler : public httpio::RequestHandler {
 public:
  using Function = std::function<SimpleAnswer(const httpio::InboundRequest&)>;

  explicit SimpleHandler(Function function) : answer(std::move(function)) {}

  void OnRequest(const std::shared_ptr<httpio::ServerConnection>& connection,
                 httpio::InboundRequest request) override;
  void OnClientDisconnected(httpio::ServerConnection&) override {}

 private:
  Function answer;
};

/** The control side. All methods run on the control loop. */
class ControlLoop {
 public:
  ControlLoop(boost::asio::io_context& loop,
              const NodeSettings& settings,
              fleet::Platform& platform,
              ControlStateListener& traffic,
              EventLog& log,
              CounterRegistry& counters);
  ~ControlLoop();

  /** Binds the endpoints and begins; throws on a failure to bind. */
  void Start();

  /** Applies an event and executes the effects. */
  void Handle(const fleet::Event& event);

 private:
  void Execute(const fleet::Effect& effect);
  void Send(const fleet::SendToPeers& send);
  void Fetch(const fleet::FetchState& fetch);
  void ReceiveDatagram();
  void Tick();
  SimpleAnswer AnswerReady(const httpio::InboundRequest& request);
  SimpleAnswer AnswerDirectory(const httpio::InboundRequest& request);
  SimpleAnswer AnswerControl(const httpio::InboundRequest& request);
  SimpleAnswer AnswerMetrics(const httpio::InboundRequest& request);
  std::string DumpState() const;
  void Listen(
      const std::optional<Endpoint>& address,
      SimpleAnswer (ControlLoop::*answer)(const httpio::InboundRequest&));

  boost::asio::io_context& loop;
  NodeSettings settings;
  fleet::Platform& platform;
  ControlStateListener& traffic;
  EventLog& log;
  CounterRegistry& counters;
  LoopDelay delay;
  fleet::FleetState state;
  boost::asio::ip::udp::socket socket;
  boost::asio::ip::udp::endpoint sender;
  std::array<char, 65536> datagram{};
  boost::asio::steady_timer timer;
  struct Server {
    SimpleHandler handler;
    httpio::HttpListener listener;
    Server(boost::asio::io_context& loop,
           const Endpoint& address,
           SimpleHandler::Function function)
        : handler(std::move(function)), listener(loop, address, handler) {}
  };
  std::vector<std::unique_ptr<Server>> servers;
  std::map<std::string, std::unique_ptr<httpio::HttpChannel>> fetchers;
};

}  // namespace boragewharf::node
