/**
 * @file server_connection_base.h
 * Accepted HTTP connections on an event loop.
 */
#pragma once

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_set>

#include "base/endpoint_type.h"
#include "base/time_type.h"
#include "httpio/message_parser_base.h"

namespace boragewharf::httpio {

class ServerConnection;
class HttpListener;

/** Receives the requests of a listener's connections, on its event loop. */
class RequestHandler {
 public:
  virtual ~RequestHandler() = default;

  /**
   * A complete request. The connection reads no further request until
   * ServerConnection::EndResponse().
   */
  virtual void OnRequest(const std::shared_ptr<ServerConnection>& connection,
                         InboundRequest request) = 0;

  /** The client closed the connection before the response ended. */
  virtual void OnClientDisconnected(ServerConnection& connection) = 0;
};

/** Bounds of a listener's connections; may change at any time. */
struct ConnectionLimits {
  uint32_t max_header_bytes = 16384;
  uint64_t max_body_bytes = 1048576;
  std::chrono::milliseconds header_timeout{3000};
  std::chrono::milliseconds idle_timeout{15000};
};

/** One accepted connection. All methods run on the listener's event loop. */
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  ServerConnection(HttpListener& listener, boost::asio::ip::tcp::socket socket);

  /** Starts reading. */
  void Start();

  /** Queues bytes of a response. */
  void Send(std::string bytes);

  /** Bytes queued and not yet accepted by the kernel. */
  size_t PendingBytes() const { return this->pending_bytes; }

  /** Sets a function that runs whenever the queue has been written out. */
  void SetWriteCompleteCallback(std::function<void()> function) {
    this->drained = std::move(function);
  }

  /**
   * The response has been queued completely.
   * @param keep_alive Whether the next request may follow.
   */
  void EndResponse(bool keep_alive);

  /** Closes at once; a response that is under way stays incomplete. */
  void Abort();

  /** Whether requests after the current one may use the connection. */
  bool KeepAlive() const { return this->client_keeps_alive; }

  bool IsOpen() const { return this->socket.is_open(); }

  /**
   * Whether the client's end of the connection has been received although no
   * read has reported it yet. Bytes that lie before the end hide it.
   * @note Costs a system call.
   */
  bool ClientClosed();

  /**
   * Whether bytes have arrived that no read has reported yet; they lie there
   * for as long as the event loop is busy.
   * @note Costs a system call.
   */
  bool HasUnread();

  /** Whether no request is being read or answered, as far as was read. */
  bool IsIdle() const {
    return !this->busy && this->input.empty() && !this->parser;
  }

  /** Closes what exceeds its time-out. */
  void CheckTime(TimePoint now);

 private:
  void Read();
  void OnRead(const boost::system::error_code& error, size_t size);
  void Parse();
  void RejectInput(ParseFault fault);
  void Write();
  void OnWritten(const boost::system::error_code& error);
  void Close();
  std::optional<size_t> Peek();

  HttpListener& listener;
  boost::asio::ip::tcp::socket socket;
  std::array<char, 8192> chunk{};
  std::string input;
  std::optional<RequestParser> parser;
  std::deque<std::string> output;
  std::string writing;
  size_t pending_bytes = 0;
  std::function<void()> drained;
  TimePoint progress;  ///< Last byte in either direction.
  TimePoint request_started;
  bool reading = false;
  bool write_active = false;
  bool busy = false;  ///< A request is being answered.
  bool client_keeps_alive = true;
  bool close_after_write = false;
};

/** Accepts connections at an address. */
class HttpListener {
 public:
  /**
   * @param handler Outlives the listener.
   * @note Binds and listens; throws boost::system::system_error on failure.
   */
  HttpListener(boost::asio::io_context& loop,
               const Endpoint& address,
               RequestHandler& handler);

  /** Bounds of all connections from now on. */
  void SetLimits(const ConnectionLimits& new_limits) {
    this->limits = new_limits;
  }

  /** Applies time-outs; called several times a second. */
  void CheckTime(TimePoint now);

  /** Closes connections on which no request is unread, being read or answered.
   */
  void CloseIdle();

  /** Connections open. */
  size_t Connections() const { return this->connections.size(); }

  /** Connections with a request unread or in progress. */
  size_t BusyConnections() const;

 private:
  friend class ServerConnection;
  void Accept();

  boost::asio::io_context& loop;
  boost::asio::ip::tcp::acceptor acceptor;
  RequestHandler& handler;
  ConnectionLimits limits;
  std::unordered_set<std::shared_ptr<ServerConnection>> connections;
};

/** A complete response with a body. */
std::string MakeResponse(uint32_t status,
                         const Fields& fields,
                         std::string_view body,
                         bool keep_alive);

/** Standard reason phrase, or "Unknown". */
std::string_view ReasonPhrase(uint32_t status);

}  // namespace boragewharf::httpio
