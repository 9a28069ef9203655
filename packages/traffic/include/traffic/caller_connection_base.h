/**
 * @file caller_connection_base.h
 * A caller's TCP connection as the HTTP library reads and writes it.
 */
#pragma once

#include <httplib.h>

#include <array>
#include <chrono>
#include <string>

namespace boragewharf::traffic {

/**
 * Buffered connection. The library's own class is not public, polls idle
 * connections a hundred times a second, and neither bounds the size of all
 * headers of a request nor tells whether the caller has left. Used by one
 * thread.
 */
class CallerConnection : public httplib::Stream {
 public:
  /**
   * @param descriptor Connected socket; not owned.
   * @param io_timeout Bound per read and write.
   * @param max_request_bytes Bound per request, headers included.
   */
  CallerConnection(socket_t descriptor,
                   std::chrono::milliseconds io_timeout,
                   size_t max_request_bytes);
  ~CallerConnection() override;

  /** The connection that the calling thread serves, or null. */
  static CallerConnection* Current();

  /**
   * Waits for the start of a request.
   * @param stop_fd Readable when the server stops.
   * @return False on timeout, stop or end of the connection.
   */
  bool WaitForRequest(std::chrono::milliseconds timeout, int stop_fd);

  /** Sends what is held back. @return False if the connection has failed. */
  bool Flush();

  /** Whether the caller has closed its side or the connection. */
  bool IsClosed() const;

  // httplib::Stream; the names are the library's.
  // NOLINTBEGIN(readability-identifier-naming)
  bool is_readable() const override;
  bool is_writable() const override;
  ssize_t read(char* target, size_t size) override;
  ssize_t write(const char* source, size_t size) override;
  void get_remote_ip_and_port(std::string& ip, int& port) const override;
  void get_local_ip_and_port(std::string& ip, int& port) const override;
  socket_t socket() const override { return this->sock; }
  // NOLINTEND(readability-identifier-naming)

 private:
  static constexpr size_t kBufferBytes = 16384;

  bool Fill();
  bool Send(const char* source, size_t size);

  const socket_t sock;
  const std::chrono::milliseconds timeout;
  const size_t max_bytes;
  /** Head of an answer until its body follows, to send both at once. */
  std::string held;
  bool holds_head = false;
  size_t request_bytes = 0;
  size_t begin = 0;
  size_t end = 0;
  std::array<char, kBufferBytes> buffer;
};

}  // namespace boragewharf::traffic
