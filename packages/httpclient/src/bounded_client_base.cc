/**
 * @file bounded_client_base.cc
 * Counts the bytes that the library reads between pieces of content.
 */
#include "httpclient/bounded_client_base.h"

#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <utility>

namespace boragewharf {
namespace {

/**
 * A stream whose reads fail once more bytes have been read than the limit, or
 * more time has passed since the first of them. The owner sets the count back.
 */
class BoundedStream : public httplib::Stream {
 public:
  BoundedStream(httplib::Stream& wrapped,
                size_t& counted_bytes,
                TimePoint& first_byte_time,
                Duration time_limit)
      : stream(wrapped),
        read_bytes(counted_bytes),
        first_time(first_byte_time),
        max_time(time_limit) {}

  // httplib::Stream; the names are the library's.
  // NOLINTBEGIN(readability-identifier-naming)
  bool is_readable() const override { return this->stream.is_readable(); }
  bool is_writable() const override { return this->stream.is_writable(); }

  ssize_t read(char* target, size_t size) override {
    if (this->read_bytes > BoundedHttpClient::kMaxFramingBytes ||
        (this->read_bytes > 0 &&
         BootClock::now() - this->first_time > this->max_time)) {
      return -1;
    }
    const ssize_t count = this->stream.read(target, size);
    if (count > 0) {
      if (this->read_bytes == 0) {
        this->first_time = BootClock::now();
      }
      this->read_bytes += static_cast<size_t>(count);
    }
    return count;
  }

  ssize_t write(const char* source, size_t size) override {
    return this->stream.write(source, size);
  }

  void get_remote_ip_and_port(std::string& ip, int& port) const override {
    this->stream.get_remote_ip_and_port(ip, port);
  }

  void get_local_ip_and_port(std::string& ip, int& port) const override {
    this->stream.get_local_ip_and_port(ip, port);
  }

  socket_t socket() const override { return this->stream.socket(); }
  // NOLINTEND(readability-identifier-naming)

 private:
  httplib::Stream& stream;
  size_t& read_bytes;
  TimePoint& first_time;
  const Duration max_time;
};

}  // namespace

BoundedHttpClient::BoundedHttpClient(const std::string& host, int port)
    : httplib::ClientImpl(host, port) {}

bool BoundedHttpClient::Send(httplib::Request& request,
                             httplib::Response& response,
                             httplib::Error& error) {
  this->framing_bytes = 0;
  request.content_receiver =
      [this, receive = std::move(request.content_receiver)](
          const char* data, size_t length, uint64_t offset, uint64_t total) {
        this->framing_bytes = 0;
        return receive(data, length, offset, total);
      };
  return this->send(request, response, error);
}

bool BoundedHttpClient::process_socket(
    const Socket& socket,
    std::function<bool(httplib::Stream& stream)> callback) {
  const Duration max_time =
      2 * (std::chrono::seconds(this->read_timeout_sec_) +
           std::chrono::microseconds(this->read_timeout_usec_));
  return httplib::detail::process_client_socket(
      socket.sock, this->read_timeout_sec_, this->read_timeout_usec_,
      this->write_timeout_sec_, this->write_timeout_usec_,
      [&](httplib::Stream& stream) {
        BoundedStream bounded(stream, this->framing_bytes, this->framing_start,
                              max_time);
        return callback(bounded);
      });
}

}  // namespace boragewharf
