/**
 * @file http_channel_base.cc
 * HTTP calls over a persistent connection.
 */
#include "httpio/http_channel_base.h"

#include <netinet/tcp.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <utility>

namespace boragewharf::httpio {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

/** Maximum response body size, in bytes. */
constexpr size_t kMaxBodyBytes = size_t{16} * 1024 * 1024;

/** Maximum time in milliseconds that sent data may stay unacknowledged. */
using TcpUserTimeout =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

/** Connections idle for longer are not reused, since the server may have closed
 * them without notice. */
constexpr std::chrono::seconds kMaxIdleTime(5);

}  // namespace

struct HttpChannel::State : std::enable_shared_from_this<HttpChannel::State> {
  State(asio::io_context& loop,
        Endpoint address,
        ChannelOptions channel_options)
      : server(std::move(address)),
        options(channel_options),
        socket(loop),
        timer(loop) {}

  void StartNextCall() {
    if (this->call_active || this->queue.empty() || this->destroyed) {
      return;
    }
    this->call_active = true;
    this->current_generation += 1;
    this->result = {};
    this->unparsed_input.clear();
    const HttpCall& call = this->queue.front().first;
    if (this->DeadlinePassed()) {
      this->FinishCall(Outcome::kNotSent);
      return;
    }
    this->parser = std::make_unique<ResponseParser>(
        [this](std::string_view bytes) { this->result.body.append(bytes); });
    Duration remaining = call.timeout;
    if (call.call_deadline) {
      remaining = std::min(remaining, *call.call_deadline - BootClock::now());
    }
    this->timer.expires_after(remaining);
    this->timer.async_wait([self = this->shared_from_this(),
                            call_generation = this->current_generation](
                               const boost::system::error_code& error) {
      if (!error && self->call_active &&
          self->current_generation == call_generation) {
        self->FinishCall(Outcome::kFailed);
      }
    });
    const bool stale =
        std::chrono::steady_clock::now() - this->last_used > kMaxIdleTime;
    if (this->socket.is_open() && (stale || this->HasUnexpectedBytes())) {
      this->Disconnect();
    }
    if (this->socket.is_open()) {
      this->SendCall();
      return;
    }
    this->Connect();
  }

  void Connect() {
    boost::system::error_code error;
    const auto address = asio::ip::make_address(this->server.host, error);
    if (error) {
      this->FinishCall(Outcome::kFailed);
      return;
    }
    const tcp::endpoint target(address, this->server.port);
    this->OpenWithDeliveryTimeout(target.protocol());
    this->socket.async_connect(
        target, [self = this->shared_from_this(),
                 call_generation = this->current_generation](
                    const boost::system::error_code& failed) {
          if (self->current_generation != call_generation ||
              !self->call_active) {
            return;
          }
          if (failed) {
            self->FinishCall(Outcome::kFailed);
            return;
          }
          boost::system::error_code ignored;
          self->socket.set_option(tcp::no_delay(true), ignored);
          self->SendCall();
        });
  }

  /** Whether unread data follows the responses to earlier calls. */
  bool HasUnexpectedBytes() {
    boost::system::error_code error;
    return this->socket.available(error) > 0;
  }

  /** Whether the deadline of the first call in the queue has passed. */
  bool DeadlinePassed() const {
    const HttpCall& call = this->queue.front().first;
    return call.call_deadline && BootClock::now() >= *call.call_deadline;
  }

  /**
   * Opens the socket and applies the delivery timeout, if one is set.
   * @pre The socket is closed.
   */
  void OpenWithDeliveryTimeout(const tcp& protocol) {
    if (!this->options.delivery_timeout) {
      return;
    }
    boost::system::error_code ignored;
    this->socket.open(protocol, ignored);
    this->socket.set_option(tcp::socket::linger(true, 0), ignored);
    this->socket.set_option(TcpUserTimeout(static_cast<int>(
                                this->options.delivery_timeout->count())),
                            ignored);
  }

  void SendCall() {
    const HttpCall& call = this->queue.front().first;
    if (this->DeadlinePassed()) {
      this->FinishCall(Outcome::kNotSent);
      return;
    }
    this->request_bytes = call.method + " " + call.target +
                          " HTTP/1.1\r\nHost: " + ToString(this->server) +
                          "\r\n";
    for (const auto& [name, value] : call.fields) {
      AppendField(this->request_bytes, name, value);
    }
    if (!call.body.empty()) {
      this->request_bytes +=
          "Content-Length: " + std::to_string(call.body.size()) + "\r\n";
    }
    this->request_bytes += "\r\n" + call.body;
    this->result.sent_at = BootClock::now();
    asio::async_write(this->socket, asio::buffer(this->request_bytes),
                      [self = this->shared_from_this(),
                       call_generation = this->current_generation](
                          const boost::system::error_code& error, size_t) {
                        if (error && self->call_active &&
                            self->current_generation == call_generation) {
                          self->FinishCall(Outcome::kFailed);
                        }
                      });
    this->Read();
  }

  void Read() {
    this->socket.async_read_some(
        asio::buffer(this->read_buffer),
        [self = this->shared_from_this(),
         call_generation = this->current_generation](
            const boost::system::error_code& error, size_t size) {
          if (self->call_active &&
              self->current_generation == call_generation) {
            self->OnRead(error, size);
          }
        });
  }

  void OnRead(const boost::system::error_code& error, size_t size) {
    if (error) {
      const bool complete =
          error == asio::error::eof && this->parser->FinishAtEof();
      if (complete) {
        this->Disconnect();
      }
      this->FinishCall(complete ? Outcome::kComplete : Outcome::kFailed);
      return;
    }
    this->unparsed_input.append(this->read_buffer.data(), size);
    const size_t consumed = this->parser->Feed(this->unparsed_input);
    this->unparsed_input.erase(0, consumed);
    if (this->parser->Failed() || this->result.body.size() > kMaxBodyBytes) {
      this->FinishCall(Outcome::kFailed);
      return;
    }
    if (!this->parser->is_done()) {
      this->Read();
      return;
    }
    if (!this->parser->keep_alive() || !this->unparsed_input.empty()) {
      this->Disconnect();
    }
    this->FinishCall(Outcome::kComplete);
  }

  /** How the first call in the queue ended. */
  enum class Outcome : uint8_t { kComplete, kFailed, kNotSent };

  /** Ends the first call in the queue and starts the next one. */
  void FinishCall(Outcome outcome) {
    // Keep the state alive, since the callback may destroy the channel.
    const auto self = this->shared_from_this();
    if (outcome == Outcome::kFailed) {
      this->ResetConnection();
    }
    this->call_active = false;
    this->timer.cancel();
    if (outcome == Outcome::kComplete) {
      this->result.head = std::move(this->parser->head);
      this->last_used = std::chrono::steady_clock::now();
    }
    Callback callback = std::move(this->queue.front().second);
    this->queue.pop_front();
    HttpResult completed_result = std::move(this->result);
    try {
      callback(std::move(completed_result));
    } catch (...) {
      // The queued calls are still made.
      asio::post(this->timer.get_executor(), [self] { self->StartNextCall(); });
      throw;
    }
    this->StartNextCall();
  }

  /** Runs the callback from the event loop, unless the channel is destroyed
   * before. */
  void PostCallback(Callback callback, HttpResult final_result) {
    asio::post(this->socket.get_executor(),
               [self = this->shared_from_this(), callback = std::move(callback),
                final_result = std::move(final_result)] {
                 if (!self->destroyed) {
                   callback(final_result);
                 }
               });
  }

  void CancelAll() {
    if (this->call_active) {
      this->ResetConnection();
      this->timer.cancel();
      // Make the pending socket and timer handlers of this call ignore it.
      this->current_generation += 1;
      this->call_active = false;
      this->PostCallback(std::move(this->queue.front().second),
                         std::move(this->result));
      this->queue.pop_front();
    }
    while (!this->queue.empty()) {
      this->PostCallback(std::move(this->queue.front().second), {});
      this->queue.pop_front();
    }
  }

  /** Adds a call to the queue, or puts it in place of a queued call with the
   * same subject. */
  void Enqueue(HttpCall call, Callback callback) {
    // A call in progress may have been sent already and is not replaced.
    const auto first_queued = this->queue.begin() + (this->call_active ? 1 : 0);
    const auto replaced =
        std::find_if(first_queued, this->queue.end(), [&](const auto& entry) {
          return !call.subject.empty() && entry.first.subject == call.subject;
        });
    if (replaced == this->queue.end()) {
      this->queue.emplace_back(std::move(call), std::move(callback));
      return;
    }
    this->PostCallback(std::move(replaced->second), {});
    *replaced = {std::move(call), std::move(callback)};
  }

  void Disconnect() {
    boost::system::error_code ignored;
    this->socket.close(ignored);
  }

  /** Resets the connection, so that the kernel discards the undelivered bytes
   * of the abandoned call. */
  void ResetConnection() {
    boost::system::error_code ignored;
    this->socket.set_option(tcp::socket::linger(true, 0), ignored);
    this->Disconnect();
  }

  Endpoint server;
  ChannelOptions options;
  tcp::socket socket;
  asio::steady_timer timer;
  std::array<char, 16384> read_buffer{};
  std::string unparsed_input;
  std::string request_bytes;
  std::unique_ptr<ResponseParser> parser;
  std::deque<std::pair<HttpCall, Callback>> queue;
  HttpResult result;
  /** Incremented for each call, so that handlers of earlier calls can be told
   * apart. */
  uint64_t current_generation = 0;
  std::chrono::steady_clock::time_point last_used;
  bool call_active = false;
  bool destroyed = false;
};

HttpChannel::HttpChannel(asio::io_context& loop,
                         Endpoint server,
                         ChannelOptions options)
    : state(std::make_shared<State>(loop, std::move(server), options)) {}

HttpChannel::~HttpChannel() {
  this->state->destroyed = true;
  if (this->state->call_active) {
    this->state->ResetConnection();
  }
  this->state->call_active = false;
  this->state->timer.cancel();
  this->state->Disconnect();
}

void HttpChannel::Call(HttpCall call, Callback callback) {
  this->state->Enqueue(std::move(call), std::move(callback));
  this->state->StartNextCall();
}

void HttpChannel::CancelAll() {
  this->state->CancelAll();
}

size_t HttpChannel::Pending() const {
  return this->state->queue.size();
}

}  // namespace boragewharf::httpio
