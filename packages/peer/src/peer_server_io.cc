/**
 * @file peer_server_io.cc
 * The I/O thread of a PeerServer.
 */
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <utility>

#include "base/digest_func.h"
#include "base/result_func.h"
#include "frame_func.h"
#include "peer/envelope_func.h"
#include "peer_server_core.h"
#include "socket_func.h"

namespace boragewharf {
namespace {

constexpr uint64_t kListenerId = 0;
constexpr uint64_t kEventId = 1;
constexpr int kMaxEvents = 64;
constexpr size_t kReadBytes = size_t{64} * 1024;
constexpr int kSweepMilliseconds = 500;

// Input buffered over all connections. Bounds what senders without a key can
// make the process hold; 32 documents of 1 MB fit.
constexpr size_t kMaxInputBytes = size_t{32} * 1024 * 1024;

void Watch(const UniqueFd& epoll,
           int operation,
           int fd,
           uint64_t id,
           uint32_t events) {
  epoll_event event{};
  event.events = events;
  event.data.u64 = id;
  epoll_ctl(epoll.Get(), operation, fd, &event);
}

}  // namespace

void PeerServer::Core::IoLoop() {
  Watch(this->epoll, EPOLL_CTL_ADD, this->listener.Get(), kListenerId, EPOLLIN);
  Watch(this->epoll, EPOLL_CTL_ADD, this->event.Get(), kEventId, EPOLLIN);
  TimePoint next_sweep = BootClock::now();
  while (!this->stopping) {
    std::array<epoll_event, kMaxEvents> events;
    const int count = epoll_wait(this->epoll.Get(), events.data(), kMaxEvents,
                                 kSweepMilliseconds);
    for (int i = 0; i < count; ++i) {
      const uint64_t id = events[i].data.u64;
      if (id == kListenerId) {
        this->Accept();
      } else if (id == kEventId) {
        ClearEvent(this->event);
        this->ApplyCompletions();
      } else {
        this->HandleEvents(id, events[i].events);
      }
    }
    const TimePoint now = BootClock::now();
    if (now >= next_sweep) {
      this->CloseSilent(now);
      next_sweep = now + std::chrono::milliseconds(kSweepMilliseconds);
    }
  }
  this->connections.clear();
}

void PeerServer::Core::Accept() {
  while (true) {
    UniqueFd socket(accept4(this->listener.Get(), nullptr, nullptr,
                            SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (!socket) {
      if (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR &&
          errno != ECONNABORTED) {
        // Out of descriptors: the listener stays readable, so it is left
        // alone until the next sweep.
        Watch(this->epoll, EPOLL_CTL_MOD, this->listener.Get(), kListenerId, 0);
        this->is_accepting = false;
      }
      return;
    }
    if (this->connections.size() >= this->options.max_connections) {
      this->Drop(ResultCode::kTooManyConnections);
      continue;
    }
    const int on = 1;
    setsockopt(socket.Get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const uint64_t id = this->next_id++;
    Connection& connection = this->connections[id];
    connection.socket = std::move(socket);
    connection.last_activity = BootClock::now();
    Watch(this->epoll, EPOLL_CTL_ADD, connection.socket.Get(), id, EPOLLIN);
    this->SendHello(connection);
    if (!this->WriteOutput(connection)) {
      this->Close(id);
      continue;
    }
    this->UpdateInterest(id, connection);
  }
}

void PeerServer::Core::SendHello(Connection& connection) {
  connection.challenge = RandomU64();
  Envelope hello;
  hello.kind = EnvelopeKind::kHello;
  hello.sender = this->options.self;
  hello.challenge = connection.challenge;
  connection.output = SealFrame(this->options.keys, hello).value();
}

void PeerServer::Core::HandleEvents(uint64_t id, uint32_t events) {
  const auto found = this->connections.find(id);
  if (found == this->connections.end()) {
    return;
  }
  Connection& connection = found->second;
  bool is_open = (events & EPOLLERR) == 0;
  if (is_open && (events & EPOLLOUT) != 0) {
    is_open = this->WriteOutput(connection);
  }
  if (is_open && (events & EPOLLIN) != 0 && !connection.is_busy) {
    is_open = this->ReadInput(connection) && this->ProcessInput(id, connection);
  } else if ((events & EPOLLHUP) != 0) {
    is_open = false;
  }
  if (!is_open) {
    this->Close(id);
    return;
  }
  this->UpdateInterest(id, connection);
}

bool PeerServer::Core::ReadInput(Connection& connection) {
  std::array<char, kReadBytes> buffer;
  const ssize_t got =
      recv(connection.socket.Get(), buffer.data(), buffer.size(), 0);
  if (got < 0) {
    return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
  }
  if (got == 0) {
    if (!connection.input.empty()) {
      this->Drop(ResultCode::kPeerTruncated);
    }
    return false;
  }
  connection.last_activity = BootClock::now();
  if (connection.input.empty()) {
    connection.frame_start = connection.last_activity;
  }
  connection.input.append(buffer.data(), static_cast<size_t>(got));
  this->input_bytes += static_cast<size_t>(got);
  if (this->input_bytes > kMaxInputBytes) {
    this->Drop(ResultCode::kPeerRefused);
    return false;
  }
  return true;
}

bool PeerServer::Core::ProcessInput(uint64_t id, Connection& connection) {
  if (connection.input.size() < kFrameLengthBytes) {
    return true;
  }
  const size_t length = FrameLength(connection.input);
  if (length > kMaxFrameBytes) {
    this->Drop(ResultCode::kPeerTooLarge);
    return false;
  }
  const size_t frame_bytes = kFrameLengthBytes + length;
  if (connection.input.size() < frame_bytes) {
    return true;
  }
  // One request at a time: a client sends the next one after the answer.
  if (connection.input.size() > frame_bytes) {
    this->Drop(ResultCode::kPeerRefused);
    return false;
  }
  std::string frame;
  frame.swap(connection.input);
  const std::string_view envelope =
      std::string_view{frame}.substr(kFrameLengthBytes);
  this->input_bytes -= frame.size();
  return this->ProcessFrame(id, connection, envelope);
}

bool PeerServer::Core::ProcessFrame(uint64_t id,
                                    Connection& connection,
                                    std::string_view bytes) {
  auto request =
      OpenEnvelope(this->options.keys, EnvelopeKind::kRequest, bytes);
  if (!request) {
    this->Drop(LastReason().code);
    return false;
  }
  // The challenge is new for each connection, so a request that was recorded
  // on another one does not pass here.
  if (request->challenge != connection.challenge ||
      request->sequence <= connection.last_sequence) {
    this->Drop(ResultCode::kPeerReplayed);
    return false;
  }
  connection.last_sequence = request->sequence;
  connection.is_authenticated = true;
  connection.is_busy = true;
  this->counters.Get("peer_requests_total").Add();
  const RequestRef ref{id, request->type, request->sequence, request->challenge,
                       request->nonce};
  WorkItem item;
  item.request = PeerRequest{request->sender, request->incarnation,
                             request->type, std::move(request->body)};
  this->Dispatch(ref, std::move(item));
  return true;
}

bool PeerServer::Core::WriteOutput(Connection& connection) {
  while (!connection.output.empty()) {
    const ssize_t sent = send(connection.socket.Get(), connection.output.data(),
                              connection.output.size(), MSG_NOSIGNAL);
    if (sent < 0) {
      return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
    }
    connection.output.erase(0, static_cast<size_t>(sent));
    connection.last_activity = BootClock::now();
  }
  connection.output.shrink_to_fit();
  return true;
}

void PeerServer::Core::UpdateInterest(uint64_t id,
                                      const Connection& connection) {
  uint32_t events = 0;
  if (!connection.is_busy) {
    events |= EPOLLIN;
  }
  if (!connection.output.empty()) {
    events |= EPOLLOUT;
  }
  Watch(this->epoll, EPOLL_CTL_MOD, connection.socket.Get(), id, events);
}

void PeerServer::Core::ApplyCompletions() {
  std::vector<Completion> ready;
  {
    const std::lock_guard lock(this->mutex);
    ready.swap(this->completions);
  }
  for (Completion& completion : ready) {
    const auto found = this->connections.find(completion.connection);
    if (found == this->connections.end()) {
      continue;
    }
    Connection& connection = found->second;
    connection.is_busy = false;
    connection.output += completion.frame;
    if (!this->WriteOutput(connection)) {
      this->Close(completion.connection);
      continue;
    }
    this->UpdateInterest(completion.connection, connection);
  }
}

void PeerServer::Core::Close(uint64_t id) {
  const auto found = this->connections.find(id);
  this->input_bytes -= found->second.input.size();
  this->connections.erase(found);
}

void PeerServer::Core::CloseSilent(TimePoint now) {
  std::vector<uint64_t> expired;
  for (const auto& [id, connection] : this->connections) {
    const Duration silence = now - connection.last_activity;
    const bool is_partial =
        !connection.input.empty() &&
        now - connection.frame_start > this->options.frame_timeout;
    const bool is_anonymous =
        !connection.is_authenticated && silence > this->options.frame_timeout;
    if (is_partial) {
      this->Drop(ResultCode::kPeerTruncated);
    }
    if (is_partial || is_anonymous || silence > this->options.silence_timeout) {
      expired.push_back(id);
    }
  }
  for (const uint64_t id : expired) {
    this->Close(id);
  }
  if (!this->is_accepting) {
    this->is_accepting = true;
    Watch(this->epoll, EPOLL_CTL_MOD, this->listener.Get(), kListenerId,
          EPOLLIN);
  }
}

}  // namespace boragewharf
