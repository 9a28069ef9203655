/**
 * @file http_channel_base.h
 * A client connection for calls to the platform and to other nodes.
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

/** A call. */
struct HttpCall {
  std::string method;
  std::string target;
  Fields fields;
  std::string body;
  std::chrono::milliseconds timeout{2000};  ///< From when its turn comes.

  /** The call does not leave from then on, and is reset if it is under way. */
  std::optional<TimePoint> call_deadline;

  /** The call replaces one of the same subject that still waits, and ends that
   * without an answer; empty: none. */
  std::string subject;
};

/** What a channel does with its connection. */
struct ChannelOptions {
  /**
   * Bytes that have not been delivered after this, or when the connection or
   * the process ends, are discarded by the kernel; empty: they may be delivered
   * at any later time.
   */
  std::optional<std::chrono::milliseconds> delivery_timeout;
};

/** Its result. */
struct HttpResult {
  /** When the first bytes left; empty: none have reached the server. */
  std::optional<TimePoint> sent_at;
  std::optional<ResponseHead> head;  ///< Absent without a complete response.
  std::string body;
};

/**
 * Sends one call at a time over a connection that it keeps open. A call whose
 * time is over closes the connection. All methods run on the event loop.
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
   * @param callback Called exactly once, unless the channel is destroyed;
   *     perhaps before this returns.
   */
  void Call(HttpCall call, Callback callback);

  /**
   * Ends all calls without an answer: the one under way is reset, those that
   * wait do not leave. Their callbacks are called by the event loop.
   */
  void CancelAll();

  /** Calls queued or under way. */
  size_t Pending() const;

 private:
  struct State;
  std::shared_ptr<State> state;
};

}  // namespace boragewharf::httpio
