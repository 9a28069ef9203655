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

/** Receives the response to a request, on the traffic loop. */
class UpstreamListener {
 public:
  virtual ~UpstreamListener() = default;

  /** The first byte of the request is about to be sent. */
  virtual void OnSending() = 0;

  /**
   * The status line and header of a response have arrived.
   * @return Whether the response belongs to the request; otherwise it is
   * skipped and the next response is read.
   */
  virtual bool OnHead(const httpio::ResponseHead& head) = 0;

  /** A part of the body has arrived. */
  virtual void OnBody(std::string_view bytes) = 0;

  /** The response is complete; the connection no longer refers to the listener.
   */
  virtual void OnComplete() = 0;

  /** The attempt ended without a complete response. */
  virtual void OnFailure(serving::AttemptFailure failure) = 0;
};

/** A connection to a backend server. All methods run on the traffic loop. */
class UpstreamConnection
    : public std::enable_shared_from_this<UpstreamConnection> {
 public:
  UpstreamConnection(boost::asio::io_context& loop, Endpoint server);

  /**
   * Sends a request; connects first if necessary.
   * @param head Request line and header, including the empty line.
   * @param body Kept alive until it has been written.
   * @param head_request Whether the method is HEAD: the response has no body.
   * @param listener Must outlive the attempt, unless Close() detaches it.
   * @pre No request is in progress.
   */
  void Send(std::string head,
            std::shared_ptr<const std::string> body,
            bool head_request,
            UpstreamListener& listener);

  /**
   * Ends the attempt without further calls of the listener. A connection
   * without a complete response is reset, so that request bytes which the
   * server has not received yet are discarded instead of delivered later.
   */
  void Close();

  /** Prevents further requests on this connection. */
  void DisallowReuse() { this->reusable = false; }

  /** Pauses or resumes reading, for backpressure. */
  void SetPaused(bool pause);

  /** Whether reading is paused. */
  bool Paused() const { return this->paused; }

  /** Whether another request may be sent on this connection. */
  bool Reusable() const;

  /** Whether the connection is established. */
  bool Connected() const { return this->connected; }

  /** Sent bytes that the server has not acknowledged; -1 if unknown. */
  int64_t UnacknowledgedBytes();

  /** Time of the last sent or received data. */
  TimePoint LastActive() const { return this->last_active; }

  /** Idle timeout from the server's Keep-Alive field, if any. */
  std::optional<Duration> KeepAlive() const { return this->keep_alive; }
  void SetKeepAlive(std::optional<Duration> bound) { this->keep_alive = bound; }

 private:
  void Connect();
  void Write();
  void Read();
  void OnRead(const boost::system::error_code& error, size_t size);
  void Parse();
  void ResetParser();
  void ReportHead();
  void Fail(serving::AttemptFailure failure);
  void Complete();

  Endpoint server;
  boost::asio::ip::tcp::socket socket;
  std::array<char, 16384> read_buffer{};
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
  bool write_failed = false;  ///< Sending the request failed.
  bool paused = false;
  bool head_request = false;
  bool head_reported = false;  ///< OnHead() was called for the response.
  bool head_accepted = false;  ///< OnHead() returned true for it.
  bool reusable = true;        ///< Nothing so far rules out another request.
  bool closed = false;
  bool in_progress = false;  ///< A request has no complete response yet.
};

}  // namespace boragewharf::relay
