/**
 * @file bounded_client_base.h
 * Client of cpp-httplib for servers that are not trusted to end what they send.
 */
#pragma once

#include <httplib.h>

#include <cstddef>
#include <functional>
#include <string>

#include "base/time_type.h"

namespace boragewharf {

/**
 * Bounds what the library keeps of a response besides its content. The library
 * collects each line of a head, a chunk header or trailers until it ends, and
 * so reads for ever, into memory, from a server that never ends one. Its read
 * timeout starts anew with each byte; here framing that has begun also has to
 * end within twice that timeout.
 *
 * Not thread-safe, but for stop().
 */
class BoundedHttpClient : public httplib::ClientImpl {
 public:
  BoundedHttpClient(const std::string& host, int port);

  /**
   * Sends a request and receives the response.
   * @param request Its content_receiver gets the content, has to bound it, and
   *     is wrapped by this call.
   * @param error Of the library; Read also if more than kMaxFramingBytes came
   *     without content, or framing took too long.
   * @return Whether the response has arrived whole.
   * @pre request.content_receiver is set.
   */
  bool Send(httplib::Request& request,
            httplib::Response& response,
            httplib::Error& error);

  /** Bytes that may arrive in a row without content: a head, or a chunk header.
   * The same as the node's bound on the head of a message. */
  static constexpr size_t kMaxFramingBytes = size_t{64} * 1024;

 private:
  // The name is the library's.
  // NOLINTNEXTLINE(readability-identifier-naming)
  bool process_socket(
      const Socket& socket,
      std::function<bool(httplib::Stream& stream)> callback) override;

  size_t framing_bytes = 0;   ///< Since the start, or the last content.
  TimePoint framing_start{};  ///< Arrival of the first of them.
};

}  // namespace boragewharf
