/**
 * @file standin_server_base.cc
 * Common server of the stand-ins.
 */
#include "standins/standin_server_base.h"

#include <sys/socket.h>

#include <limits>

namespace boragewharf::standins {

namespace {

// The library listens with a backlog of 5, which makes bursts of connections
// wait a second for the retransmission of their SYN.
constexpr int kBacklog = 1024;
constexpr time_t kKeepAliveSeconds = 60;

void ReuseAddressOnly(socket_t sock) {
  const int yes = 1;
  setsockopt(sock, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
}

}  // namespace

StandinServer::StandinServer(size_t threads) {
  this->new_task_queue = [this, threads] {
    auto* const pool = new httplib::ThreadPool(threads);
    this->accepts = true;
    this->accepts.notify_all();
    return pool;
  };
  this->set_socket_options(ReuseAddressOnly);
  this->set_tcp_nodelay(true);
  this->set_keep_alive_max_count(std::numeric_limits<size_t>::max());
  this->set_keep_alive_timeout(kKeepAliveSeconds);
}

StandinServer::~StandinServer() {
  this->StopAndJoin();
}

uint16_t StandinServer::Start(uint16_t wanted_port) {
  int port = wanted_port;
  if (wanted_port == 0) {
    port = this->bind_to_any_port("127.0.0.1");
  } else if (!this->bind_to_port("127.0.0.1", wanted_port)) {
    port = 0;
  }
  if (port <= 0) {
    return 0;
  }
  ::listen(this->svr_sock_, kBacklog);
  this->listener = std::thread([this] { this->listen_after_bind(); });
  while (!this->is_running()) {
    std::this_thread::yield();
  }
  // With a few hundred threads on a busy machine this takes longer than tests
  // allow a server to be silent.
  this->accepts.wait(false);
  return static_cast<uint16_t>(port);
}

void StandinServer::StopAndJoin() {
  if (!this->listener.joinable()) {
    return;
  }
  this->stop();
  this->listener.join();
}

void AnswerJson(httplib::Response& response,
                int status,
                const nlohmann::json& body) {
  response.status = status;
  response.set_content(body.dump(), "application/json");
}

}  // namespace boragewharf::standins
