/**
 * @file peer_client_base.cc
 * TCP client for requests to other daemons.
 */
#include "peer/peer_client_base.h"

#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <utility>

#include "base/digest_func.h"
#include "base/result_func.h"
#include "frame_func.h"
#include "peer/envelope_func.h"
#include "socket_func.h"

namespace boragewharf {
namespace {

// Waits until the socket is ready for one of the events.
bool WaitFor(const UniqueFd& socket, int16_t events, TimePoint deadline) {
  while (true) {
    const Duration left = deadline - BootClock::now();
    if (left <= Duration::zero()) {
      return false;
    }
    const auto milliseconds =
        std::chrono::ceil<std::chrono::milliseconds>(left).count();
    pollfd wait{socket.Get(), events, 0};
    const int ready = poll(&wait, 1, static_cast<int>(milliseconds));
    if (ready > 0) {
      return true;
    }
    if (ready < 0 && errno != EINTR) {
      return false;
    }
  }
}

bool WouldBlock() {
  return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
}

// Gives all bytes to the system, or false. A frame that was not given in full
// can not be authenticated and is thus never handled.
bool SendAll(const UniqueFd& socket,
             std::string_view bytes,
             TimePoint deadline) {
  while (!bytes.empty()) {
    const ssize_t sent =
        send(socket.Get(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent > 0) {
      bytes.remove_prefix(static_cast<size_t>(sent));
      continue;
    }
    if (sent < 0 && !WouldBlock()) {
      return false;
    }
    if (!WaitFor(socket, POLLOUT, deadline)) {
      return false;
    }
  }
  return true;
}

bool ReceiveExactly(const UniqueFd& socket,
                    std::string& out,
                    size_t size,
                    TimePoint deadline) {
  out.resize(size);
  size_t done = 0;
  while (done < size) {
    const ssize_t got = recv(socket.Get(), out.data() + done, size - done, 0);
    if (got > 0) {
      done += static_cast<size_t>(got);
      continue;
    }
    if (got == 0 || !WouldBlock()) {
      return false;
    }
    if (!WaitFor(socket, POLLIN, deadline)) {
      return false;
    }
  }
  return true;
}

// One frame without its length.
std::optional<std::string> ReceiveFrame(const UniqueFd& socket,
                                        TimePoint deadline) {
  std::string bytes;
  if (!ReceiveExactly(socket, bytes, kFrameLengthBytes, deadline)) {
    return std::nullopt;
  }
  const uint32_t length = FrameLength(bytes);
  if (length > kMaxFrameBytes) {
    return std::nullopt;
  }
  if (!ReceiveExactly(socket, bytes, length, deadline)) {
    return std::nullopt;
  }
  return bytes;
}

}  // namespace

struct PeerClient::Connection {
  explicit Connection(std::atomic<size_t>& count) : open_count(count) {
    this->open_count.fetch_add(1);
  }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  ~Connection() { this->open_count.fetch_sub(1); }

  std::atomic<size_t>& open_count;
  UniqueFd socket;
  MemberId server;
  uint64_t challenge = 0;
  uint64_t next_sequence = 1;
  TimePoint last_used;
};

PeerClient::PeerClient(PeerClientOptions client_options,
                       CounterRegistry& registry)
    : options(std::move(client_options)), counters(registry) {}

PeerClient::~PeerClient() = default;

std::optional<PeerReply> PeerClient::Call(const Endpoint& to,
                                          MessageType type,
                                          std::string_view body,
                                          Duration timeout,
                                          std::optional<MemberId> expected) {
  const TimePoint deadline = BootClock::now() + timeout;
  this->counters.Get("peer_calls_total").Add();
  std::unique_ptr<Connection> connection = this->TakeIdle(to);
  if (connection && expected && connection->server != *expected) {
    connection.reset();
  }
  if (!connection) {
    connection = this->Connect(to, deadline);
  }
  if (!connection) {
    this->counters.Get("peer_calls_failed_total").Add();
    return std::nullopt;
  }
  if (expected && connection->server != *expected) {
    this->PutIdle(to, std::move(connection));
    this->counters.Get("peer_calls_failed_total").Add();
    return Fail(ResultCode::kPeerNotMember, ToString(to));
  }
  auto reply = this->Exchange(*connection, type, body, deadline);
  if (connection->socket) {
    this->PutIdle(to, std::move(connection));
  }
  if (!reply) {
    this->counters.Get("peer_calls_failed_total").Add();
  }
  return reply;
}

std::optional<PeerReply> PeerClient::Exchange(Connection& connection,
                                              MessageType type,
                                              std::string_view body,
                                              TimePoint deadline) {
  Envelope request;
  request.kind = EnvelopeKind::kRequest;
  request.type = type;
  request.sender = this->options.self;
  request.incarnation = this->incarnation;
  request.sequence = connection.next_sequence++;
  request.challenge = connection.challenge;
  request.nonce = RandomU64();
  request.body = body;
  const auto frame = SealFrame(this->options.keys, request);
  if (!frame) {
    return std::nullopt;
  }
  // The connection is usable afterwards only if the exchange completes.
  UniqueFd socket = std::move(connection.socket);
  if (!SendAll(socket, *frame, deadline)) {
    return Fail(ResultCode::kPeerUnreachable, "request was not sent");
  }
  const auto bytes = ReceiveFrame(socket, deadline);
  if (!bytes) {
    return Fail(ResultCode::kPeerNoAnswer);
  }
  auto response =
      OpenEnvelope(this->options.keys, EnvelopeKind::kResponse, *bytes);
  const bool answers_this = response && response->sender == connection.server &&
                            response->sequence == request.sequence &&
                            response->challenge == request.challenge &&
                            response->nonce == request.nonce;
  if (!answers_this) {
    return Fail(ResultCode::kPeerNoAnswer, "response to another request");
  }
  connection.socket = std::move(socket);
  if (response->type == MessageType::kRefusal) {
    const Reason reason = DecodeRefusal(response->body);
    return Fail(reason.code, reason.detail);
  }
  if (response->type != type) {
    return Fail(ResultCode::kPeerNoAnswer, "response of another type");
  }
  return PeerReply{response->sender, std::move(response->body)};
}

std::unique_ptr<PeerClient::Connection> PeerClient::Connect(
    const Endpoint& to,
    TimePoint deadline) {
  const auto address = ToSocketAddress(to);
  if (!address) {
    return nullptr;
  }
  if (this->open_connections.load() >= this->options.max_connections) {
    Fail(ResultCode::kPeerRefused, "too many open connections");
    return nullptr;
  }
  auto connection = std::make_unique<Connection>(this->open_connections);
  connection->socket = UniqueFd(
      ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!connection->socket) {
    FailWithErrno("socket");
    return nullptr;
  }
  const UniqueFd& socket = connection->socket;
  const int on = 1;
  setsockopt(socket.Get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  const int result =
      connect(socket.Get(), reinterpret_cast<const sockaddr*>(&*address),
              sizeof(*address));
  if (result != 0 &&
      (errno != EINPROGRESS || !WaitFor(socket, POLLOUT, deadline))) {
    Fail(ResultCode::kPeerUnreachable, ToString(to));
    return nullptr;
  }
  // A failed connect shows as an error of this first read.
  const auto bytes = ReceiveFrame(socket, deadline);
  if (!bytes) {
    Fail(ResultCode::kPeerUnreachable, ToString(to));
    return nullptr;
  }
  const auto hello =
      OpenEnvelope(this->options.keys, EnvelopeKind::kHello, *bytes);
  if (!hello) {
    return nullptr;
  }
  connection->server = hello->sender;
  connection->challenge = hello->challenge;
  return connection;
}

std::unique_ptr<PeerClient::Connection> PeerClient::TakeIdle(
    const Endpoint& to) {
  this->CloseIdle();
  const std::lock_guard lock(this->mutex);
  const auto found = this->idle.find(to);
  if (found == this->idle.end()) {
    return nullptr;
  }
  std::unique_ptr<Connection> usable;
  while (!found->second.empty() && !usable) {
    std::unique_ptr<Connection> candidate = std::move(found->second.back());
    found->second.pop_back();
    char byte = 0;
    const ssize_t got = recv(candidate->socket.Get(), &byte, 1, MSG_PEEK);
    // Nothing to read is the only sign of a connection that is still good.
    if (got < 0 && WouldBlock()) {
      usable = std::move(candidate);
    }
  }
  if (found->second.empty()) {
    this->idle.erase(found);
  }
  return usable;
}

void PeerClient::PutIdle(const Endpoint& to,
                         std::unique_ptr<Connection> connection) {
  connection->last_used = BootClock::now();
  const std::lock_guard lock(this->mutex);
  auto& connections = this->idle[to];
  if (connections.size() < this->options.max_idle_per_peer) {
    connections.push_back(std::move(connection));
  }
}

void PeerClient::CloseIdle() {
  const TimePoint oldest = BootClock::now() - this->options.silence_timeout;
  const std::lock_guard lock(this->mutex);
  for (auto entry = this->idle.begin(); entry != this->idle.end();) {
    std::erase_if(entry->second, [&](const auto& connection) {
      return connection->last_used < oldest;
    });
    entry = entry->second.empty() ? this->idle.erase(entry) : std::next(entry);
  }
}

}  // namespace boragewharf
