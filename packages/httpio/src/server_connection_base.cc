/**
 * @file server_connection_base.cc
 * HTTP connections of a listener.
 */
#include "httpio/server_connection_base.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/beast/http/status.hpp>
#include <utility>
#include <vector>

#include "base/scope_guard.h"

namespace boragewharf::httpio {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

/** Reading pauses when more than this is buffered while a request is in
 * progress. */
constexpr size_t kMaxPipelinedBytes = 65536;

/** Length of the accept queue in the kernel; large enough for bursts of new
 * connections. */
constexpr int kAcceptBacklog = 1024;

/** Status for a request that there is no memory for. */
constexpr uint32_t kStatusOverloaded = 503;

/** Status for a request that does not arrive in time. */
constexpr uint32_t kStatusTimeout = 408;

uint32_t StatusForFault(ParseFault fault) {
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
    AppendField(text, name, value);
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
      last_progress(BootClock::now()),
      request_started(last_progress) {}

void ServerConnection::Start() {
  boost::system::error_code ignored;
  this->socket.set_option(tcp::no_delay(true), ignored);
  this->Read();
}

template <class Handler>
void ServerConnection::CloseIfThrows(const Handler& handle) {
  try {
    handle();
  } catch (...) {
    // Without a further read, the connection would stay open unattended.
    if (this->socket.is_open() && this->request_active) {
      this->listener.handler.OnClientDisconnected(*this);
    }
    this->Close();
    throw;
  }
}

void ServerConnection::Read() {
  if (this->read_active || !this->socket.is_open() ||
      (this->request_active &&
       this->unparsed_input.size() > kMaxPipelinedBytes)) {
    return;
  }
  this->read_active = true;
  this->socket.async_read_some(
      asio::buffer(this->read_buffer),
      [self = this->shared_from_this()](const boost::system::error_code& error,
                                        size_t size) {
        self->read_active = false;
        self->CloseIfThrows([&] { self->OnRead(error, size); });
      });
}

void ServerConnection::OnRead(const boost::system::error_code& error,
                              size_t size) {
  if (!this->socket.is_open()) {
    return;  // Closed while this completion handler was queued.
  }
  const bool close_requested = std::exchange(this->close_if_idle, false);
  if (close_requested && error == asio::error::operation_aborted) {
    if (this->HasUnreadData()) {
      this->Read();
    } else {
      this->Close();
    }
    return;
  }
  if (error) {
    if (this->socket.is_open() && this->request_active) {
      this->listener.handler.OnClientDisconnected(*this);
    }
    this->Close();
    return;
  }
  this->last_progress = BootClock::now();
  if (this->unparsed_input.empty() && !this->parser) {
    this->request_started = this->last_progress;
  }
  this->unparsed_input.append(this->read_buffer.data(), size);
  if (!this->request_active) {
    this->Parse();
  }
  this->CountBuffered();
  this->listener.EnforceBufferLimit();
  this->Read();
}

void ServerConnection::CountBuffered() {
  size_t held = 0;
  if (this->socket.is_open()) {
    held = this->unparsed_input.size() + this->pending_bytes +
           (this->parser ? this->parser->request.body.size() : 0);
  }
  this->listener.buffered_bytes += held;
  this->listener.buffered_bytes -= this->counted_bytes;
  this->counted_bytes = held;
}

void ServerConnection::Evict() {
  if (this->request_active) {
    this->listener.handler.OnClientDisconnected(*this);
    this->Abort();
    return;
  }
  this->RejectInput(kStatusOverloaded);
  // Does not wait for a client that reads slowly.
  this->Close();
}

void ServerConnection::Parse() {
  if (this->unparsed_input.empty() || this->close_after_write) {
    return;
  }
  if (!this->parser) {
    this->parser.emplace(this->listener.limits.max_header_bytes,
                         this->listener.limits.max_body_bytes);
  }
  const bool header_was_done = this->parser->is_header_done();
  const size_t consumed = this->parser->Feed(this->unparsed_input);
  this->unparsed_input.erase(0, consumed);
  if (this->parser->Fault() != ParseFault::kNone) {
    this->RejectInput(StatusForFault(this->parser->Fault()));
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
  this->request_active = true;
  this->client_keeps_alive = request.keep_alive;
  this->listener.handler.OnRequest(this->shared_from_this(),
                                   std::move(request));
}

void ServerConnection::RejectInput(uint32_t status) {
  this->parser.reset();
  this->unparsed_input.clear();
  this->request_active = true;
  this->Send(MakeResponse(status, {}, {}, false));
  this->EndResponse(false);
}

void ServerConnection::Send(std::string bytes) {
  if (!this->socket.is_open() || bytes.empty()) {
    return;
  }
  this->pending_bytes += bytes.size();
  this->write_queue.push_back(std::move(bytes));
  this->Write();
}

void ServerConnection::Write() {
  if (this->write_active || this->write_queue.empty() ||
      !this->socket.is_open()) {
    return;
  }
  this->write_buffer.clear();
  for (std::string& part : this->write_queue) {
    this->write_buffer += part;
  }
  this->write_queue.clear();
  // Most small writes fit into the socket buffer, so that no asynchronous write
  // is needed.
  boost::system::error_code error;
  this->socket.non_blocking(true, error);
  const size_t sent =
      this->socket.write_some(asio::buffer(this->write_buffer), error);
  if (!error && sent == this->write_buffer.size()) {
    this->pending_bytes = 0;
    this->last_progress = BootClock::now();
    if (this->close_after_write) {
      this->Close();
    }
    return;
  }
  if (error && error != asio::error::would_block &&
      error != asio::error::try_again) {
    // The pending read will report the lost connection.
    this->pending_bytes = 0;
    boost::system::error_code ignored;
    this->socket.shutdown(tcp::socket::shutdown_both, ignored);
    return;
  }
  this->write_buffer.erase(0, sent);
  this->pending_bytes = this->write_buffer.size();
  this->write_active = true;
  this->WriteRest(0);
}

void ServerConnection::WriteRest(size_t offset) {
  this->socket.async_write_some(
      asio::buffer(this->write_buffer) + offset,
      [self = this->shared_from_this(), offset](
          const boost::system::error_code& error, size_t size) {
        self->OnWritten(error, offset + size);
      });
}

void ServerConnection::OnWritten(const boost::system::error_code& error,
                                 size_t written) {
  if (!error && written < this->write_buffer.size()) {
    // The client reads, if slowly.
    this->last_progress = BootClock::now();
    this->WriteRest(written);
    return;
  }
  this->write_active = false;
  this->pending_bytes -=
      std::min(this->pending_bytes, this->write_buffer.size());
  if (error) {
    return;  // The pending read will report the lost connection.
  }
  this->last_progress = BootClock::now();
  this->Write();
  if (!this->write_active && this->close_after_write) {
    this->Close();
    return;
  }
  if (this->pending_bytes == 0 && this->write_complete_callback) {
    this->write_complete_callback();
  }
}

void ServerConnection::EndResponse(bool keep_alive) {
  this->write_complete_callback = nullptr;
  this->request_active = false;
  this->last_progress = BootClock::now();
  this->request_started = this->last_progress;
  if (!keep_alive || !this->client_keeps_alive) {
    this->close_after_write = true;
    if (!this->write_active && this->write_queue.empty()) {
      this->Close();
    }
    return;
  }
  if (!this->unparsed_input.empty()) {
    // Post the call, so that pipelined requests do not recurse.
    asio::post(this->socket.get_executor(), [self = this->shared_from_this()] {
      if (!self->request_active) {
        self->CloseIfThrows([&] { self->Parse(); });
      }
    });
  }
  this->Read();
}

/**
 * Peeks at the next byte in the socket.
 * @return 1 if there is unread data, 0 if the client has closed or an error
 *     occurred, empty if there is nothing to read.
 */
std::optional<size_t> ServerConnection::Peek() {
  boost::system::error_code error;
  this->socket.non_blocking(true, error);
  char next_byte = 0;
  const size_t size =
      this->socket.receive(asio::buffer(&next_byte, sizeof(next_byte)),
                           tcp::socket::message_peek, error);
  if (error == asio::error::would_block || error == asio::error::try_again) {
    return std::nullopt;
  }
  return error.failed() ? 0 : size;
}

bool ServerConnection::ClientClosed() {
  return !this->socket.is_open() || this->Peek() == 0U;
}

bool ServerConnection::HasUnreadData() {
  return this->socket.is_open() && this->Peek().value_or(0) > 0;
}

void ServerConnection::Abort() {
  this->request_active = false;
  this->Close();
}

void ServerConnection::Close() {
  this->write_complete_callback = nullptr;
  if (!this->socket.is_open()) {
    return;
  }
  boost::system::error_code ignored;
  this->socket.shutdown(tcp::socket::shutdown_send, ignored);
  this->socket.close(ignored);
  this->CountBuffered();
  this->listener.connections.erase(this->shared_from_this());
}

bool ServerConnection::IsRequestLate(TimePoint now) const {
  if (!this->parser) {
    return false;
  }
  const ConnectionLimits& limits = this->listener.limits;
  const Duration taken = now - this->request_started;
  if (!this->parser->is_header_done()) {
    return taken > limits.header_timeout;
  }
  return now - this->last_progress > limits.idle_timeout ||
         taken > limits.header_timeout + limits.idle_timeout;
}

void ServerConnection::CheckTime(TimePoint now) {
  this->CountBuffered();
  if (this->pending_bytes > 0) {
    if (now - this->last_progress > this->listener.limits.write_stall_timeout) {
      if (this->request_active) {
        this->listener.handler.OnClientDisconnected(*this);
      }
      this->Close();
    }
    return;
  }
  if (this->request_active) {
    return;
  }
  if (this->IsRequestLate(now)) {
    this->RejectInput(kStatusTimeout);
    return;
  }
  if (now - this->last_progress > this->listener.limits.idle_timeout) {
    this->CloseIfIdle();
  }
}

void ServerConnection::CloseIfIdle() {
  if (!this->socket.is_open() || !this->IsIdle() || this->pending_bytes > 0 ||
      this->HasUnreadData()) {
    return;
  }
  if (!this->read_active) {
    this->Close();
    return;
  }
  // A read may have completed already, with its handler still queued. OnRead()
  // then gets the data instead of the cancellation.
  this->close_if_idle = true;
  boost::system::error_code ignored;
  this->socket.cancel(ignored);
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
  if (!this->acceptor.is_open()) {
    return;  // Closed while the handler of the last accept was queued.
  }
  this->acceptor.async_accept(
      [this](const boost::system::error_code& error, tcp::socket socket) {
        if (error == asio::error::operation_aborted) {
          return;
        }
        const ScopeGuard accept_next([this] { this->Accept(); });
        if (!error) {
          this->StartConnection(std::move(socket));
        }
      });
}

void HttpListener::StartConnection(tcp::socket socket) {
  auto connection =
      std::make_shared<ServerConnection>(*this, std::move(socket));
  this->connections.insert(connection);
  connection->Start();
}

void HttpListener::CheckTime(TimePoint now) {
  const std::vector<std::shared_ptr<ServerConnection>> all(
      this->connections.begin(), this->connections.end());
  for (const auto& connection : all) {
    connection->CheckTime(now);
  }
  this->EnforceBufferLimit();
}

void HttpListener::EnforceBufferLimit() {
  while (this->buffered_bytes > this->limits.max_buffered_bytes) {
    const auto largest = std::ranges::max_element(
        this->connections, {},
        [](const auto& connection) { return connection->BufferedBytes(); });
    if (largest == this->connections.end() ||
        (*largest)->BufferedBytes() == 0) {
      return;
    }
    const auto connection = (*largest)->shared_from_this();
    connection->Evict();
  }
}

void HttpListener::CloseIdle() {
  const std::vector<std::shared_ptr<ServerConnection>> all(
      this->connections.begin(), this->connections.end());
  for (const auto& connection : all) {
    connection->CloseIfIdle();
  }
}

void HttpListener::StopAccepting() {
  // Closing resets the connections that wait in the accept queue, also those
  // whose request has arrived.
  boost::system::error_code error;
  this->acceptor.non_blocking(true, error);
  while (!error) {
    tcp::socket socket(this->loop);
    this->acceptor.accept(socket, error);
    if (!error) {
      this->StartConnection(std::move(socket));
    }
  }
  this->acceptor.close(error);
}

size_t HttpListener::BusyConnections() const {
  size_t count = 0;
  for (const auto& connection : this->connections) {
    if (!connection->IsIdle() || connection->PendingBytes() > 0 ||
        connection->HasUnreadData()) {
      ++count;
    }
  }
  return count;
}

}  // namespace boragewharf::httpio
