/**
 * @file server_connection_base.cc
 * Accepted HTTP connections.
 */
#include "httpio/server_connection_base.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/status.hpp>
#include <vector>

namespace boragewharf::httpio {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

/** Input kept while a response is under way; then reading pauses. */
constexpr size_t kMaxPipelinedBytes = 65536;

/** Connections that wait in the kernel; bursts of callers fit. */
constexpr int kAcceptBacklog = 1024;

/** A client that accepts no byte for this long is given up. */
constexpr std::chrono::seconds kWriteStallTimeout(10);

uint32_t StatusOf(ParseFault fault) {
  switch (fault) {
    case ParseFault::kHeaderTooLarge:
      return 431;
    case ParseFault::kBodyTooLarge:
      return 413;
    default:
      return 400;
  }
}

}  // namespace

std::string_view ReasonPhrase(uint32_t status) {
  const auto text = boost::beast::http::obsolete_reason(
      boost::beast::http::int_to_status(status));
  return {text.data(), text.size()};
}

std::string MakeResponse(uint32_t status,
                         const Fields& fields,
                         std::string_view body,
                         bool keep_alive) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " ";
  text += ReasonPhrase(status);
  text += "\r\n";
  for (const auto& [name, value] : fields) {
    text.append(name).append(": ").append(value).append("\r\n");
  }
  text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  if (!keep_alive) {
    text += "Connection: close\r\n";
  }
  text += "\r\n";
  text += body;
  return text;
}

ServerConnection::ServerConnection(HttpListener& owner, tcp::socket accepted)
    : listener(owner),
      socket(std::move(accepted)),
      progress(BootClock::now()),
      request_started(progress) {}

void ServerConnection::Start() {
  boost::system::error_code ignored;
  this->socket.set_option(tcp::no_delay(true), ignored);
  this->Read();
}

void ServerConnection::Read() {
  if (this->reading || !this->socket.is_open() ||
      (this->busy && this->input.size() > kMaxPipelinedBytes)) {
    return;
  }
  this->reading = true;
  this->socket.async_read_some(
      asio::buffer(this->chunk),
      [self = this->shared_from_this()](const boost::system::error_code& error,
                                        size_t size) {
        self->reading = false;
        self->OnRead(error, size);
      });
}

void ServerConnection::OnRead(const boost::system::error_code& error,
                              size_t size) {
  if (!this->socket.is_open()) {
    return;  // Closed while this completion was queued.
  }
  if (error) {
    if (this->socket.is_open() && this->busy) {
      this->listener.handler.OnClientDisconnected(*this);
    }
    this->Close();
    return;
  }
  this->progress = BootClock::now();
  if (this->input.empty() && !this->parser) {
    this->request_started = this->progress;
  }
  this->input.append(this->chunk.data(), size);
  if (!this->busy) {
    this->Parse();
  }
  this->Read();
}

void ServerConnection::Parse() {
  if (this->input.empty() || this->close_after_write) {
    return;
  }
  if (!this->parser) {
    this->parser.emplace(this->listener.limits.max_header_bytes,
                         this->listener.limits.max_body_bytes);
  }
  const bool header_was_done = this->parser->is_header_done();
  const size_t used = this->parser->Feed(this->input);
  this->input.erase(0, used);
  if (this->parser->Fault() != ParseFault::kNone) {
    this->RejectInput(this->parser->Fault());
    return;
  }
  if (!this->parser->is_done()) {
    if (!header_was_done && this->parser->is_header_done() &&
        this->parser->ExpectsContinue()) {
      this->Send("HTTP/1.1 100 Continue\r\n\r\n");
    }
    return;
  }
  InboundRequest request = std::move(this->parser->request);
  this->parser.reset();
  this->busy = true;
  this->client_keeps_alive = request.keep_alive;
  this->listener.handler.OnRequest(this->shared_from_this(),
                                   std::move(request));
}

void ServerConnection::RejectInput(ParseFault fault) {
  this->parser.reset();
  this->input.clear();
  this->busy = true;
  this->Send(MakeResponse(StatusOf(fault), {}, {}, false));
  this->EndResponse(false);
}

void ServerConnection::Send(std::string bytes) {
  if (!this->socket.is_open() || bytes.empty()) {
    return;
  }
  this->pending_bytes += bytes.size();
  this->output.push_back(std::move(bytes));
  this->Write();
}

void ServerConnection::Write() {
  if (this->write_active || this->output.empty() || !this->socket.is_open()) {
    return;
  }
  this->writing.clear();
  for (std::string& part : this->output) {
    this->writing += part;
  }
  this->output.clear();
  // Small writes mostly fit into the socket buffer and need no event.
  boost::system::error_code error;
  this->socket.non_blocking(true, error);
  const size_t sent =
      this->socket.write_some(asio::buffer(this->writing), error);
  if (!error && sent == this->writing.size()) {
    this->pending_bytes = 0;
    this->progress = BootClock::now();
    if (this->close_after_write) {
      this->Close();
    }
    return;
  }
  if (error && error != asio::error::would_block &&
      error != asio::error::try_again) {
    // The pending read reports the loss of the connection.
    this->pending_bytes = 0;
    boost::system::error_code ignored;
    this->socket.shutdown(tcp::socket::shutdown_both, ignored);
    return;
  }
  this->writing.erase(0, sent);
  this->pending_bytes = this->writing.size();
  this->write_active = true;
  asio::async_write(
      this->socket, asio::buffer(this->writing),
      [self = this->shared_from_this()](const boost::system::error_code& failed,
                                        size_t) { self->OnWritten(failed); });
}

void ServerConnection::OnWritten(const boost::system::error_code& error) {
  this->write_active = false;
  this->pending_bytes -= std::min(this->pending_bytes, this->writing.size());
  if (error) {
    return;  // The pending read reports the loss of the connection.
  }
  this->progress = BootClock::now();
  this->Write();
  if (!this->write_active && this->close_after_write) {
    this->Close();
    return;
  }
  if (this->pending_bytes == 0 && this->drained) {
    this->drained();
  }
}

void ServerConnection::EndResponse(bool keep_alive) {
  this->drained = nullptr;
  this->busy = false;
  this->progress = BootClock::now();
  this->request_started = this->progress;
  if (!keep_alive || !this->client_keeps_alive) {
    this->close_after_write = true;
    if (!this->write_active && this->output.empty()) {
      this->Close();
    }
    return;
  }
  if (!this->input.empty()) {
    // Posted, so that pipelined requests do not nest on the stack.
    asio::post(this->socket.get_executor(), [self = this->shared_from_this()] {
      if (!self->busy) {
        self->Parse();
      }
    });
  }
  this->Read();
}

/** Unread bytes, at most 1; 0 at the client's end, empty if there is neither.
 */
std::optional<size_t> ServerConnection::Peek() {
  boost::system::error_code error;
  this->socket.non_blocking(true, error);
  char next = 0;
  const size_t size = this->socket.receive(asio::buffer(&next, sizeof(next)),
                                           tcp::socket::message_peek, error);
  if (error == asio::error::would_block || error == asio::error::try_again) {
    return std::nullopt;
  }
  return error.failed() ? 0 : size;
}

bool ServerConnection::ClientClosed() {
  return !this->socket.is_open() || this->Peek() == 0U;
}

bool ServerConnection::HasUnread() {
  return this->socket.is_open() && this->Peek().value_or(0) > 0;
}

void ServerConnection::Abort() {
  this->busy = false;
  this->Close();
}

void ServerConnection::Close() {
  this->drained = nullptr;
  if (!this->socket.is_open()) {
    return;
  }
  boost::system::error_code ignored;
  this->socket.shutdown(tcp::socket::shutdown_send, ignored);
  this->socket.close(ignored);
  this->listener.connections.erase(this->shared_from_this());
}

void ServerConnection::CheckTime(TimePoint now) {
  if (this->pending_bytes > 0) {
    if (now - this->progress > kWriteStallTimeout) {
      if (this->busy) {
        this->listener.handler.OnClientDisconnected(*this);
      }
      this->Close();
    }
    return;
  }
  if (this->busy) {
    return;
  }
  const bool in_header = this->parser && !this->parser->is_header_done();
  const auto header_limit = this->listener.limits.header_timeout;
  if (in_header && now - this->request_started > header_limit) {
    this->parser.reset();
    this->input.clear();
    this->busy = true;
    this->Send(MakeResponse(408, {}, {}, false));
    this->EndResponse(false);
    return;
  }
  if (now - this->progress > this->listener.limits.idle_timeout &&
      !this->HasUnread()) {
    this->Close();
  }
}

HttpListener::HttpListener(asio::io_context& event_loop,
                           const Endpoint& address,
                           RequestHandler& request_handler)
    : loop(event_loop), acceptor(event_loop), handler(request_handler) {
  const tcp::endpoint endpoint(asio::ip::make_address(address.host),
                               address.port);
  this->acceptor.open(endpoint.protocol());
  this->acceptor.set_option(tcp::acceptor::reuse_address(true));
  this->acceptor.bind(endpoint);
  this->acceptor.listen(kAcceptBacklog);
  this->Accept();
}

void HttpListener::Accept() {
  this->acceptor.async_accept(
      [this](const boost::system::error_code& error, tcp::socket socket) {
        if (error == asio::error::operation_aborted) {
          return;
        }
        if (!error) {
          auto connection =
              std::make_shared<ServerConnection>(*this, std::move(socket));
          this->connections.insert(connection);
          connection->Start();
        }
        this->Accept();
      });
}

void HttpListener::CheckTime(TimePoint now) {
  const std::vector<std::shared_ptr<ServerConnection>> all(
      this->connections.begin(), this->connections.end());
  for (const auto& connection : all) {
    connection->CheckTime(now);
  }
}

void HttpListener::CloseIdle() {
  const std::vector<std::shared_ptr<ServerConnection>> all(
      this->connections.begin(), this->connections.end());
  for (const auto& connection : all) {
    if (connection->IsIdle() && connection->PendingBytes() == 0 &&
        !connection->HasUnread()) {
      connection->Abort();
    }
  }
}

size_t HttpListener::BusyConnections() const {
  size_t busy = 0;
  for (const auto& connection : this->connections) {
    if (!connection->IsIdle() || connection->PendingBytes() > 0 ||
        connection->HasUnread()) {
      ++busy;
    }
  }
  return busy;
}

}  // namespace boragewharf::httpio
