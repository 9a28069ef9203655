/**
 * @file upstream_connection_base.h
 * A connection to a backend server that carries one request at a time.
 */
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>

#include "base/endpoint_type.h"
#include "base/time_type.h"
#include "httpio/message_parser_base.h"
#include "serving/retry_base.h"

namespace boragewharf::relay {

/** Receives the answer to a request, on the traffic loop. */
class UpstreamListener {
 public:
  virtual ~UpstreamListener() = default;

  /** The first byte of the request is about to leave. */
  virtual void OnSending() = 0;

  /**
   * A response's head.
   * @return Whether it answers the request; otherwise it is skipped and the
   *     next response is awaited.
   */
  virtual bool OnHead(const httpio::ResponseHead& head) = 0;

  /** A piece of the body. */
  virtual void OnBody(std::string_view bytes) = 0;

  /** The response is complete; the connection has left the listener. */
  virtual void OnComplete() = 0;

  /** The attempt ended without a complete response. */
  virtual void OnFailure(serving::AttemptFailure failure) = 0;
};

/** One connection. All methods run on the traffic loop. */
class UpstreamConnection
    : public std::enable_shared_from_this<UpstreamConnection> {
 public:
  UpstreamConnection(boost::asio::io_context& loop, Endpoint server);

  /**
   * Sends a request, after connecting if needed.
   * @param head Request line and header with the empty line.
   * @param body Kept until written.
   * @param listener Outlives the attempt or is detached by Close().
   * @pre No request is under way.
   */
  void Send(std::string head,
            std::shared_ptr<const std::string> body,
            bool head_request,
            UpstreamListener& listener);

  /**
   * Ends the attempt without further calls of the listener. A connection whose
   * request has not been answered completely is reset: bytes of it that the
   * server has not received yet are discarded instead of delivered later.
   */
  void Close();

  /** Keeps the connection from being used for another request. */
  void Retire() { this->clean = false; }

  /** Stops or resumes reading, for back pressure. */
  void SetPaused(bool pause);

  /** Whether another request may be sent on it. */
  bool Reusable() const;

  /** Whether the connection is established. */
  bool Connected() const { return this->connected; }

  /** Bytes that the server has not acknowledged, or -1 if it isn't known. */
  int64_t UnacknowledgedBytes();

  /** Time of the last byte in either direction. */
  TimePoint LastActive() const { return this->last_active; }

  /** Idle time-out that the server announced, if any. */
  std::optional<Duration> KeepAlive() const { return this->keep_alive; }
  void SetKeepAlive(std::optional<Duration> bound) { this->keep_alive = bound; }

 private:
  void Connect();
  void Write();
  void Read();
  void OnRead(const boost::system::error_code& error, size_t size);
  void Parse();
  void NewParser();
  void AnnounceHead();
  void Fail(serving::AttemptFailure failure);
  void Complete();

  Endpoint server;
  boost::asio::ip::tcp::socket socket;
  std::array<char, 16384> chunk{};
  std::string input;
  std::string head;
  std::shared_ptr<const std::string> body;
  std::unique_ptr<httpio::ResponseParser> parser;
  UpstreamListener* listener = nullptr;
  TimePoint last_active;
  std::optional<Duration> keep_alive;
  bool connected = false;
  bool reading = false;
  bool writing = false;
  bool paused = false;
  bool head_request = false;
  bool announced = false;  ///< The listener has seen the current head.
  bool accepted = false;   ///< ... and took it as its answer.
  bool clean = true;       ///< Nothing unexpected was received so far.
  bool closed = false;
  bool in_progress = false;  ///< A request has no complete answer.
};

}  // namespace boragewharf::relay
