/**
 * @file platform_server.h
 * HTTP interface of the platform stand-in. The API and the control interface
 * listen on separate ports, so that an outage of the API leaves control.
 */
#pragma once

#include <httplib.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "platform_state.h"

namespace boragewharf::standin {

/**
 * The library listens with a backlog of 5, which drops connection attempts of
 * more simultaneous clients; they are then delayed by a second.
 */
class WideServer : public httplib::Server {
 public:
  /** Binds to 127.0.0.1. @return The port, or -1. */
  int Bind(uint16_t port);
};

/** The stand-in on 127.0.0.1. */
class PlatformServer {
 public:
  /**
   * Listens at once; a port of 0 is replaced by a free one.
   * @param api_threads Bound on simultaneous API connections: each occupies a
   *     thread of the library's server while it is kept alive.
   */
  PlatformServer(uint16_t wanted_api,
                 uint16_t wanted_control,
                 size_t api_threads = 96);
  PlatformServer(const PlatformServer&) = delete;
  PlatformServer& operator=(const PlatformServer&) = delete;
  ~PlatformServer();

  uint16_t ApiPort() const { return this->api_port; }
  uint16_t ControlPort() const { return this->control_port; }

  /** As POST /control; also opens or closes the API's listener. */
  Answer Control(const std::string& patch);
  PlatformState& State() { return this->state; }

 private:
  using Request = httplib::Request;
  using Response = httplib::Response;

  void OpenApi();
  void CloseApi();
  void RouteObjects(httplib::Server& server);
  void RouteCloud(httplib::Server& server);
  void RouteControl();
  /** Applies outage, delay and rate limit, then runs @p call. */
  void Serve(Response& response,
             const std::string& label,
             bool is_write,
             const std::function<Answer()>& call);
  void ServeWatch(const Request& request, Response& response);
  void ServeWeights(const Request& request, Response& response);
  bool WaitForOutage(Response& response);

  PlatformState state;
  const size_t threads;
  uint16_t api_port;
  uint16_t control_port;
  std::atomic<bool> closing{false};
  std::mutex api_mutex;
  std::unique_ptr<WideServer> api;
  std::thread api_thread;
  WideServer control;
  std::thread control_thread;
};

}  // namespace boragewharf::standin
