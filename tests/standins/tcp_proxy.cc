/**
 * @file tcp_proxy.cc
 * TCP listener of the fault proxy: one thread with poll().
 */
#include "tcp_proxy.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>

namespace boragewharf::standin {

namespace {

short WantedEvents(const ProxyQueue& to_send,
                   const ProxyQueue& received,
                   bool ended,
                   ProxyClock::time_point now) {
  short events = 0;
  if (!ended && !received.Full()) {
    events |= POLLIN;
  }
  if (to_send.Due(now)) {
    events |= POLLOUT;
  }
  return events;
}

void DisableNagle(int fd) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

}  // namespace

TcpProxy::TcpProxy(uint16_t wanted,
                   const Endpoint& target_endpoint,
                   uint64_t seed)
    : ProxyListener(target_endpoint, seed) {
  this->Bind(SOCK_STREAM, wanted);
  this->thread = std::thread([this] { this->Run(); });
}

TcpProxy::~TcpProxy() {
  this->stopping = true;
  this->thread.join();
}

void TcpProxy::Reset(Connection& connection) {
  const linger at_once{1, 0};
  for (const UniqueFd* fd : {&connection.client, &connection.server}) {
    setsockopt(fd->Get(), SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
  }
  connection.broken = true;
}

void TcpProxy::Accept() {
  UniqueFd client(
      accept4(this->socket_fd.Get(), nullptr, nullptr, SOCK_NONBLOCK));
  if (!client) {
    return;
  }
  Connection connection;
  connection.client = std::move(client);
  connection.server = UniqueFd(socket(AF_INET, SOCK_STREAM, 0));
  // The target is on this machine, so connecting does not block for long.
  const int connected = connect(
      connection.server.Get(), reinterpret_cast<const sockaddr*>(&this->target),
      sizeof(this->target));
  if (connected != 0 || this->connections.size() >= kMaxConnections) {
    Reset(connection);
    return;
  }
  DisableNagle(connection.client.Get());
  DisableNagle(connection.server.Get());
  this->connections.push_back(std::move(connection));
}

void TcpProxy::Receive(Connection& connection,
                       int fd,
                       Pipe& pipe,
                       bool are_answers) {
  char buffer[kChunkBytes];
  const ssize_t received = recv(fd, buffer, sizeof(buffer), MSG_DONTWAIT);
  if (received < 0) {
    connection.broken = errno != EAGAIN && errno != EINTR;
    return;
  }
  if (received == 0) {
    pipe.ended = true;
    return;
  }
  // Read after the data, so that faults apply to all data sent after them.
  const ProxyFaults faults = this->GetFaults();
  if (connection.silent || (are_answers && faults.swallow_answers)) {
    return;
  }
  if (this->DropsNow(faults)) {
    Reset(connection);
    return;
  }
  pipe.queue.Push(std::string(buffer, static_cast<size_t>(received)), faults);
}

void TcpProxy::Send(Connection& connection, int fd, Pipe& pipe) {
  if (this->GetFaults().freeze) {
    return;
  }
  const ProxyClock::time_point now = ProxyClock::now();
  while (pipe.queue.Due(now)) {
    const std::string& front = pipe.queue.Front();
    const ssize_t sent =
        send(fd, front.data(), front.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    if (sent < 0) {
      connection.broken = errno != EAGAIN && errno != EINTR;
      return;
    }
    pipe.queue.Pop(static_cast<size_t>(sent));
  }
  if (pipe.ended && pipe.queue.Empty() && !pipe.finished) {
    shutdown(fd, SHUT_WR);
    pipe.finished = true;
  }
}

void TcpProxy::Serve(Connection& connection,
                     const pollfd& client,
                     const pollfd& server) {
  if ((client.revents & (POLLIN | POLLERR)) != 0) {
    this->Receive(connection, client.fd, connection.requests, false);
  }
  if (connection.silent) {
    // The proxy keeps both sockets until the client closes its own.
    connection.broken = connection.broken || connection.requests.ended;
    return;
  }
  if (!connection.broken && (server.revents & (POLLIN | POLLERR)) != 0) {
    this->Receive(connection, server.fd, connection.answers, true);
  }
  if (!connection.broken) {
    this->Send(connection, server.fd, connection.requests);
    this->Send(connection, client.fd, connection.answers);
  }
  if (connection.requests.finished && connection.answers.finished) {
    connection.broken = true;
  }
}

void TcpProxy::CarryOutRequests() {
  if (this->cut_requested) {
    for (Connection& connection : this->connections) {
      Reset(connection);
    }
    this->connections.clear();
    this->cut_requested = false;
    this->cut_requested.notify_all();
  }
  if (this->silence_requested) {
    for (Connection& connection : this->connections) {
      connection.silent = true;
    }
    this->silence_requested = false;
    this->silence_requested.notify_all();
  }
  this->open_count = static_cast<int64_t>(this->connections.size());
}

ProxyClock::time_point TcpProxy::FillPollSet(std::vector<pollfd>& fds) const {
  const ProxyClock::time_point now = ProxyClock::now();
  ProxyClock::time_point wake = ProxyClock::time_point::max();
  fds.clear();
  fds.push_back({this->socket_fd.Get(), POLLIN, 0});
  for (const Connection& connection : this->connections) {
    const Pipe& requests = connection.requests;
    const Pipe& answers = connection.answers;
    const short client_events =
        WantedEvents(answers.queue, requests.queue, requests.ended, now);
    const short server_events =
        WantedEvents(requests.queue, answers.queue, answers.ended, now);
    fds.push_back({connection.client.Get(), client_events, 0});
    // A silent connection is not even told when the target closes it.
    const int server = connection.silent ? -1 : connection.server.Get();
    fds.push_back({server, server_events, 0});
    if (!connection.silent) {
      requests.queue.LowerWake(wake);
      answers.queue.LowerWake(wake);
    }
  }
  return wake;
}

void TcpProxy::Run() {
  std::vector<pollfd> fds;
  while (!this->stopping) {
    this->CarryOutRequests();
    if (this->GetFaults().freeze) {
      std::this_thread::sleep_for(kFrozenPoll);
      continue;
    }
    const timespec timeout = PollTime(this->FillPollSet(fds));
    ppoll(fds.data(), fds.size(), &timeout, nullptr);
    size_t next = 1;
    for (Connection& connection : this->connections) {
      this->Serve(connection, fds[next], fds[next + 1]);
      next += 2;
    }
    this->connections.remove_if(
        [](const Connection& connection) { return connection.broken; });
    if ((fds.front().revents & POLLIN) != 0) {
      this->Accept();
    }
  }
}

}  // namespace boragewharf::standin
