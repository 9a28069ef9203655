/**
 * @file stalled_server.h
 * TCP server for tests that does not read from its connection.
 */
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <string>

#include "base/endpoint_type.h"

namespace boragewharf::httpio {

/** Accepts one connection and reads from it only on ReadAll(). */
class StalledServer {
 public:
  explicit StalledServer(boost::asio::io_context& event_loop)
      : acceptor(event_loop), socket(event_loop) {
    constexpr int kSmallBuffer = 4096;
    const boost::asio::ip::tcp::endpoint any(
        boost::asio::ip::make_address("127.0.0.1"), 0);
    this->acceptor.open(any.protocol());
    this->acceptor.set_option(
        boost::asio::socket_base::receive_buffer_size(kSmallBuffer));
    this->acceptor.bind(any);
    this->acceptor.listen();
    this->acceptor.async_accept(this->socket,
                                [this](const boost::system::error_code& error) {
                                  this->accepted = !error;
                                });
  }

  Endpoint Address() const {
    return {"127.0.0.1", this->acceptor.local_endpoint().port()};
  }

  bool Accepted() const { return this->accepted; }

  /** Reads until the connection ends; returns the error that ended it. */
  boost::system::error_code ReadAll(std::string& bytes) {
    boost::system::error_code error;
    this->socket.non_blocking(false, error);
    std::array<char, 65536> read_buffer{};
    while (!error) {
      const size_t size =
          this->socket.read_some(boost::asio::buffer(read_buffer), error);
      bytes.append(read_buffer.data(), size);
    }
    return error;
  }

 private:
  boost::asio::ip::tcp::acceptor acceptor;
  boost::asio::ip::tcp::socket socket;
  bool accepted = false;
};

}  // namespace boragewharf::httpio
