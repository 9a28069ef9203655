/**
 * @file udp_socket_base.cc
 * Datagrams between daemons.
 */
#include "peer/udp_socket_base.h"

#include <poll.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <exception>
#include <utility>

#include "base/result_func.h"
#include "peer/envelope_func.h"
#include "socket_func.h"

namespace boragewharf {
namespace {

// Covers a burst of 1,300 members that ping at the same moment.
constexpr int kReceiveBufferBytes = 2 * 1024 * 1024;

bool IsDatagramType(MessageType type) {
  return type == MessageType::kPing || type == MessageType::kAck ||
         type == MessageType::kPingRequest;
}

}  // namespace

UdpSocket::UdpSocket(UdpOptions socket_options,
                     CounterRegistry& registry,
                     Handler on_datagram)
    : options(std::move(socket_options)),
      counters(registry),
      handler(std::move(on_datagram)),
      guard(this->options.max_senders),
      received(registry.Get("peer_datagrams_received_total")),
      sent(registry.Get("peer_datagrams_sent_total")),
      received_bytes(registry.Get("peer_datagram_bytes_received_total")),
      sent_bytes(registry.Get("peer_datagram_bytes_sent_total")) {}

std::unique_ptr<UdpSocket> UdpSocket::Open(UdpOptions options,
                                           CounterRegistry& counters,
                                           Handler handler) {
  if (!CheckPeerKeys(options.keys) || options.max_senders == 0) {
    return nullptr;
  }
  std::unique_ptr<UdpSocket> opened(
      new UdpSocket(std::move(options), counters, std::move(handler)));
  if (!opened->Bind()) {
    return nullptr;
  }
  opened->thread =
      std::thread([socket = opened.get()] { socket->ReceiveLoop(); });
  return opened;
}

bool UdpSocket::Bind() {
  this->socket = OpenBoundSocket(SOCK_DGRAM, this->options.listen);
  if (!this->socket) {
    return false;
  }
  setsockopt(this->socket.Get(), SOL_SOCKET, SO_RCVBUF, &kReceiveBufferBytes,
             sizeof(kReceiveBufferBytes));
  this->local = LocalEndpointOf(this->socket);
  this->stop_event = OpenEvent();
  return static_cast<bool>(this->stop_event);
}

UdpSocket::~UdpSocket() {
  if (this->thread.joinable()) {
    SignalEvent(this->stop_event);
    this->thread.join();
  }
}

bool UdpSocket::Send(const Endpoint& to,
                     MessageType type,
                     std::string_view body) {
  const auto address = ToSocketAddress(to);
  if (!address) {
    return false;
  }
  Envelope envelope;
  envelope.kind = EnvelopeKind::kDatagram;
  envelope.type = type;
  envelope.sender = this->options.self;
  envelope.incarnation = this->incarnation;
  envelope.sequence = this->next_sequence.fetch_add(1);
  envelope.body = body;
  const auto bytes = SealEnvelope(this->options.keys, envelope);
  if (!bytes) {
    return false;
  }
  const ssize_t written =
      sendto(this->socket.Get(), bytes->data(), bytes->size(), MSG_NOSIGNAL,
             reinterpret_cast<const sockaddr*>(&*address), sizeof(*address));
  if (written < 0) {
    Fail(ResultCode::kPeerUnreachable, ToString(to));
    return false;
  }
  this->sent.Add();
  this->sent_bytes.Add(written);
  return true;
}

void UdpSocket::ReceiveLoop() {
  while (true) {
    std::array<pollfd, 2> waits{
        pollfd{this->socket.Get(), POLLIN, 0},
        pollfd{this->stop_event.Get(), POLLIN, 0},
    };
    poll(waits.data(), waits.size(), -1);
    if (waits[1].revents != 0) {
      return;
    }
    if (waits[0].revents != 0) {
      this->ReceiveOne();
    }
  }
}

void UdpSocket::ReceiveOne() {
  // One byte more than allowed, to tell a datagram that is too large.
  std::array<char, kMaxDatagramBytes + 1> buffer;
  sockaddr_in address{};
  socklen_t address_size = sizeof(address);
  const ssize_t size =
      recvfrom(this->socket.Get(), buffer.data(), buffer.size(), 0,
               reinterpret_cast<sockaddr*>(&address), &address_size);
  if (size < 0) {
    return;  // ICMP errors of earlier sends arrive here; pings detect them.
  }
  this->received.Add();
  this->received_bytes.Add(size);
  const std::string_view bytes(buffer.data(), static_cast<size_t>(size));
  try {
    this->HandleBytes(FromSocketAddress(address), bytes);
  } catch (const std::exception&) {
    this->Drop(ResultCode::kInternal);
  }
}

void UdpSocket::HandleBytes(const Endpoint& from, std::string_view bytes) {
  auto envelope =
      OpenEnvelope(this->options.keys, EnvelopeKind::kDatagram, bytes);
  if (!envelope) {
    this->Drop(LastReason().code);
    return;
  }
  // A datagram of this process that comes back is a repeat as well.
  if (envelope->sender == this->options.self ||
      !this->guard.Accept(envelope->sender, envelope->sequence)) {
    this->Drop(ResultCode::kPeerReplayed);
    return;
  }
  if (!IsDatagramType(envelope->type)) {
    this->Drop(ResultCode::kPeerUnknownType);
    return;
  }
  this->handler(PeerDatagram{from, envelope->sender, envelope->incarnation,
                             envelope->type, std::move(envelope->body)});
}

void UdpSocket::Drop(ResultCode code) {
  const std::string name(GetResultInfo(code).name);
  this->counters.Get("peer_datagrams_dropped_total", "code=\"" + name + "\"")
      .Add();
}

}  // namespace boragewharf
