/**
 * @file server_connection_base.h
 * HTTP server: a listener and its connections on an event loop.
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

/** Handles the requests of a listener, on the listener's event loop. */
class RequestHandler {
 public:
  virtual ~RequestHandler() = default;

  /**
   * Called with a complete request. The next request of the connection is not
   * parsed until ServerConnection::EndResponse() is called.
   */
  virtual void OnRequest(const std::shared_ptr<ServerConnection>& connection,
                         InboundRequest request) = 0;

  /** Called when the client disconnects before the response is complete. */
  virtual void OnClientDisconnected(ServerConnection& connection) = 0;
};

/** Limits of a listener's connections; may change at any time. */
struct ConnectionLimits {
  uint32_t max_header_bytes = 16384;
  uint64_t max_body_bytes = 1048576;
  std::chrono::milliseconds header_timeout{3000};
  /** For connections without a request, and for a body that does not go on. A
   * whole request has to arrive within both timeouts together. */
  std::chrono::milliseconds idle_timeout{15000};
  /** A connection is closed if its client accepts no data for this long. */
  std::chrono::milliseconds write_stall_timeout{10000};
  /** Bytes of unfinished requests and unsent responses of all connections
   * together, above which the connections that hold the most are ended. */
  size_t max_buffered_bytes = size_t{32} * 1024 * 1024;
};

/**
 * An accepted connection. All methods must be called on the listener's event
 * loop.
 */
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  ServerConnection(HttpListener& listener, boost::asio::ip::tcp::socket socket);

  /** Starts reading. */
  void Start();

  /** Queues bytes of a response for sending. */
  void Send(std::string bytes);

  /** Number of queued bytes not yet accepted by the kernel. */
  size_t PendingBytes() const { return this->pending_bytes; }

  /**
   * Sets a callback that runs when bytes that did not fit into the socket
   * buffer at once have all been written. Reset at the end of each response.
   */
  void SetWriteCompleteCallback(std::function<void()> callback) {
    this->write_complete_callback = std::move(callback);
  }

  /**
   * Marks the response as completely queued.
   * @param keep_alive Whether the connection may serve another request.
   */
  void EndResponse(bool keep_alive);

  /** Closes the connection at once; an unfinished response is truncated. */
  void Abort();

  /** Whether the client allows further requests on the connection. */
  bool KeepAlive() const { return this->client_keeps_alive; }

  bool IsOpen() const { return this->socket.is_open(); }

  /**
   * Whether the client has closed its side of the connection, even if no read
   * has reported this yet. Not detected while unread data precedes the close.
   * @note Makes a system call.
   */
  bool ClientClosed();

  /**
   * Whether the socket holds received data that has not been read yet, which
   * happens while the event loop is busy.
   * @note Makes a system call.
   */
  bool HasUnreadData();

  /**
   * Whether no request is being read or answered. Data that is still in the
   * socket is not considered; see HasUnreadData().
   */
  bool IsIdle() const {
    return !this->request_active && this->unparsed_input.empty() &&
           !this->parser;
  }

  /** Closes the connection if one of its timeouts has expired. */
  void CheckTime(TimePoint now);

  /**
   * Closes the connection unless it has a request that is unread, partly read
   * or in progress, or response bytes to be written. It may stay open until the
   * event loop has run the handler of a pending read.
   */
  void CloseIfIdle();

  /** Bytes of the unfinished request and of unsent responses, as of the last
   * read or check of timeouts. */
  size_t BufferedBytes() const { return this->counted_bytes; }

  /** Ends the connection, as all connections hold too much together. */
  void Evict();

 private:
  void Read();
  void OnRead(const boost::system::error_code& error, size_t size);
  /** Closes the connection if @p handle throws, and passes the exception on. */
  template <class Handler>
  void CloseIfThrows(const Handler& handle);
  void Parse();
  /** Answers a request that was not read completely, and closes. */
  void RejectInput(uint32_t status);
  /** Updates the listener's sum of what its connections hold. */
  void CountBuffered();
  /** Whether the request that is being read takes too long. */
  bool IsRequestLate(TimePoint now) const;
  void Write();
  /** Writes write_buffer from @p offset on. */
  void WriteRest(size_t offset);
  /** @param written Bytes of write_buffer that have been written. */
  void OnWritten(const boost::system::error_code& error, size_t written);
  void Close();
  std::optional<size_t> Peek();

  HttpListener& listener;
  boost::asio::ip::tcp::socket socket;
  std::array<char, 8192> read_buffer{};
  std::string unparsed_input;
  std::optional<RequestParser> parser;
  std::deque<std::string> write_queue;
  std::string write_buffer;
  size_t pending_bytes = 0;
  size_t counted_bytes = 0;  ///< In HttpListener::buffered_bytes.
  std::function<void()> write_complete_callback;
  TimePoint last_progress;  ///< When data was last sent or received.
  TimePoint request_started;
  bool read_active = false;
  bool write_active = false;
  bool request_active = false;  ///< A request is being answered.
  bool client_keeps_alive = true;
  bool close_after_write = false;
  bool close_if_idle = false;  ///< The read was cancelled by CloseIfIdle().
};

/** Accepts connections on an address. */
class HttpListener {
 public:
  /**
   * Binds to the address and listens.
   * @param handler Must outlive the listener.
   * @throw boost::system::system_error If binding or listening fails.
   */
  HttpListener(boost::asio::io_context& loop,
               const Endpoint& address,
               RequestHandler& handler);

  /** Sets the limits for existing and future connections. */
  void SetLimits(const ConnectionLimits& new_limits) {
    this->limits = new_limits;
  }

  /** Applies timeouts; must be called several times per second. */
  void CheckTime(TimePoint now);

  /** Closes connections that have no request unread, partly read or in
   * progress. */
  void CloseIdle();

  /** Accepts the connections that the kernel has established already, then
   * closes the listening socket. Open connections go on. */
  void StopAccepting();

  /** Bytes of unfinished requests and unsent responses; see
   * ConnectionLimits::max_buffered_bytes. */
  size_t BufferedBytes() const { return this->buffered_bytes; }

  /** Number of open connections. */
  size_t Connections() const { return this->connections.size(); }

  /** Number of connections with a request unread or in progress, or with
   * response bytes still to be written. */
  size_t BusyConnections() const;

 private:
  friend class ServerConnection;
  void Accept();
  void StartConnection(boost::asio::ip::tcp::socket socket);
  /** Ends connections until the others hold less than the limit. */
  void EnforceBufferLimit();

  boost::asio::io_context& loop;
  boost::asio::ip::tcp::acceptor acceptor;
  RequestHandler& handler;
  ConnectionLimits limits;
  size_t buffered_bytes = 0;
  std::unordered_set<std::shared_ptr<ServerConnection>> connections;
};

/** Formats a complete response with a Content-Length field. */
std::string MakeResponse(uint32_t status,
                         const Fields& fields,
                         std::string_view body,
                         bool keep_alive);

/** Returns the standard reason phrase, or "<unknown-status>". */
std::string_view ReasonPhrase(uint32_t status);

}  // namespace boragewharf::httpio
