/**
 * @file stream_socket_base.h
 * Datagrams between the data planes of the nodes.
 */
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <cstdint>
#include <functional>
#include <string>

#include "base/counter_base.h"
#include "eventlog/handler_guard_base.h"
#include "serving/stream_lookup_type.h"

namespace boragewharf::node {

/**
 * Sends and receives StreamMessage datagrams on the traffic loop. They do not
 * go through the control loop, whose queue could be lost with the process after
 * a client has got the event that a message is about.
 */
class StreamSocket {
 public:
  using Receiver =
      std::function<void(uint32_t sender, const serving::StreamMessage&)>;

  /** @param loop The traffic loop; all methods must be called on it.
   * @param receive Called with each message that could be read. */
  StreamSocket(boost::asio::io_context& loop,
               HandlerGuard& handler_guard,
               CounterRegistry& registry,
               Receiver receive);

  /** Binds the socket and starts to receive; throws if binding fails.
   * @param port The same on all nodes. */
  void Start(const std::string& ip, uint16_t port);

  /** Hands a datagram to the operating system. One that fails is counted. */
  void Send(uint32_t ip, const serving::StreamMessage& message);

 private:
  void Receive();
  void OnDatagram(std::string_view bytes);

  boost::asio::ip::udp::socket socket;
  boost::asio::ip::udp::endpoint sender;
  std::array<char, 65536> datagram{};
  HandlerGuard& guard;
  CounterRegistry& counters;
  Receiver receiver;
  uint16_t peer_port = 0;
};

}  // namespace boragewharf::node
