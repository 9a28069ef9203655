/**
 * @file http_channel_base.h
 * HTTP client for calls to the platform and to other nodes.
 */
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/endpoint_type.h"
#include "base/time_type.h"
#include "httpio/message_parser_base.h"

namespace boragewharf::httpio {

/** A request to be sent over an HttpChannel. */
struct HttpCall {
  std::string method;
  std::string target;
  Fields fields;
  std::string body;
  /** Measured from when the call reaches the head of the queue. */
  std::chrono::milliseconds timeout{2000};

  /**
   * The call is not sent at or after this time. If it is in progress by then,
   * its connection is reset.
   */
  std::optional<TimePoint> call_deadline;

  /**
   * If not empty, the call replaces a queued call with the same subject. The
   * replaced call ends without a response.
   */
  std::string subject;
};

/** Connection options of a channel. */
struct ChannelOptions {
  /**
   * The kernel discards bytes that are still undelivered after this time, or
   * when the connection is closed or the process exits. If empty, they may be
   * delivered at any later time.
   */
  std::optional<std::chrono::milliseconds> delivery_timeout;
};

/** Result of a call. */
struct HttpResult {
  /** When sending started. If empty, no byte has reached the server. */
  std::optional<TimePoint> sent_at;
  std::optional<ResponseHead> head;  ///< Empty if no complete response.
  std::string body;
};

/**
 * Sends one call at a time over a persistent connection. A call that times out
 * resets the connection. All methods must be called on the event loop.
 */
class HttpChannel {
 public:
  using Callback = std::function<void(HttpResult)>;

  HttpChannel(boost::asio::io_context& loop,
              Endpoint server,
              ChannelOptions options = {});
  ~HttpChannel();
  HttpChannel(const HttpChannel&) = delete;
  HttpChannel& operator=(const HttpChannel&) = delete;

  /**
   * Queues a call.
   * @param callback Called exactly once, unless the channel is destroyed
   *     first. May be called before this method returns.
   */
  void Call(HttpCall call, Callback callback);

  /**
   * Ends all calls without a response. The connection of the call in progress
   * is reset, and queued calls are not sent. The event loop runs the callbacks
   * later.
   */
  void CancelAll();

  /** Number of calls queued or in progress. */
  size_t Pending() const;

 private:
  struct State;
  std::shared_ptr<State> state;
};

}  // namespace boragewharf::httpio
