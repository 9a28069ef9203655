/**
 * @file stream_socket_base.cc
 * Datagrams between the data planes of the nodes.
 */
#include "node/stream_socket_base.h"

#include <utility>

#include "base/body_func.h"
#include "serving/peer_type.h"

namespace boragewharf::node {

namespace asio = boost::asio;
using udp = asio::ip::udp;

StreamSocket::StreamSocket(asio::io_context& loop,
                           HandlerGuard& handler_guard,
                           CounterRegistry& registry,
                           Receiver receive)
    : socket(loop),
      guard(handler_guard),
      counters(registry),
      receiver(std::move(receive)) {}

void StreamSocket::Start(const std::string& ip, uint16_t port) {
  this->peer_port = port;
  this->socket.open(udp::v4());
  this->socket.bind(udp::endpoint(asio::ip::make_address(ip), port));
  this->socket.non_blocking(true);
  this->Receive();
}

void StreamSocket::Send(uint32_t ip, const serving::StreamMessage& message) {
  boost::system::error_code error;
  const auto address = asio::ip::make_address(serving::UnpackIp(ip), error);
  if (!error) {
    this->socket.send_to(asio::buffer(EncodeBody(message)),
                         udp::endpoint(address, this->peer_port), 0, error);
  }
  this->counters
      .Get("stream_datagrams_sent_total",
           error ? "result=\"failed\"" : "result=\"sent\"")
      .Add();
}

void StreamSocket::Receive() {
  this->socket.async_receive_from(
      asio::buffer(this->datagram), this->sender,
      [this](const boost::system::error_code& error, size_t size) {
        if (error == asio::error::operation_aborted) {
          return;
        }
        if (!error) {
          this->guard.Call("stream_datagram", [&] {
            this->OnDatagram({this->datagram.data(), size});
          });
        }
        this->Receive();
      });
}

void StreamSocket::OnDatagram(std::string_view bytes) {
  const auto message = DecodeBody<serving::StreamMessage>(bytes);
  if (!message) {
    this->counters.Get("stream_datagrams_unreadable_total").Add();
    return;
  }
  this->receiver(serving::PackIp(this->sender.address().to_string()), *message);
}

}  // namespace boragewharf::node
