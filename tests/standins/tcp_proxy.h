/**
 * @file tcp_proxy.h
 * TCP listener of the fault proxy.
 */
#pragma once

#include <poll.h>

#include <list>
#include <thread>
#include <vector>

#include "proxy_base.h"

namespace boragewharf::standin {

/** Forwards TCP connections to a target. */
class TcpProxy : public ProxyListener {
 public:
  TcpProxy(uint16_t wanted, const Endpoint& target_endpoint, uint64_t seed);
  ~TcpProxy() override;

 private:
  static constexpr size_t kMaxConnections = 512;
  static constexpr size_t kChunkBytes = 16'384;

  /** One direction of a connection. */
  struct Pipe {
    ProxyQueue queue;
    bool ended = false;     ///< The sender has closed its side.
    bool finished = false;  ///< That was passed on.
  };
  struct Connection {
    UniqueFd client;
    UniqueFd server;
    Pipe requests;
    Pipe answers;
    bool silent = false;
    bool broken = false;
  };

  void Run();
  void Accept();
  void CarryOutRequests();
  /** Fills @p fds; returns when the next data is due. */
  ProxyClock::time_point FillPollSet(std::vector<pollfd>& fds) const;
  void Serve(Connection& connection,
             const pollfd& client,
             const pollfd& server);
  void Receive(Connection& connection, int fd, Pipe& pipe, bool are_answers);
  void Send(Connection& connection, int fd, Pipe& pipe);
  static void Reset(Connection& connection);

  std::list<Connection> connections;
  std::thread thread;
};

}  // namespace boragewharf::standin
