/**
 * @file http_channel_base.cc
 * Calls over a kept connection.
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

/** Largest response body of the platform or a node, in bytes. */
constexpr size_t kMaxBodyBytes = size_t{16} * 1024 * 1024;

/** Longest time in milliseconds for which sent bytes stay undelivered. */
using UserTimeout =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

/** Idle connections are not reused after this; servers close them silently. */
constexpr std::chrono::seconds kMaxIdle(5);

}  // namespace

struct HttpChannel::State : std::enable_shared_from_this<HttpChannel::State> {
  State(asio::io_context& loop, Endpoint address, ChannelOptions chosen)
      : server(std::move(address)),
        options(chosen),
        socket(loop),
        timer(loop) {}

  void Next() {
    if (this->busy || this->queue.empty() || this->stopped) {
      return;
    }
    this->busy = true;
    this->generation += 1;
    this->result = {};
    this->input.clear();
    const HttpCall& call = this->queue.front().first;
    if (this->Overdue()) {
      this->Finish(Outcome::kWithheld);
      return;
    }
    this->parser = std::make_unique<ResponseParser>(
        [this](std::string_view b) { this->result.body.append(b); });
    Duration time = call.timeout;
    if (call.call_deadline) {
      time = std::min(time, *call.call_deadline - BootClock::now());
    }
    this->timer.expires_after(time);
    this->timer.async_wait(
        [self = this->shared_from_this(),
         started = this->generation](const boost::system::error_code& error) {
          if (!error && self->busy && self->generation == started) {
            self->Finish(Outcome::kFailed);
          }
        });
    const bool stale =
        std::chrono::steady_clock::now() - this->last_used > kMaxIdle;
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
      this->Finish(Outcome::kFailed);
      return;
    }
    const tcp::endpoint target(address, this->server.port);
    this->LimitDelivery(target.protocol());
    this->socket.async_connect(
        target, [self = this->shared_from_this(), started = this->generation](
                    const boost::system::error_code& failed) {
          if (self->generation != started || !self->busy) {
            return;
          }
          if (failed) {
            self->Finish(Outcome::kFailed);
            return;
          }
          boost::system::error_code ignored;
          self->socket.set_option(tcp::no_delay(true), ignored);
          self->SendCall();
        });
  }

  /** Whether the server has sent more than the answers to earlier calls. */
  bool HasUnexpectedBytes() {
    boost::system::error_code error;
    return this->socket.available(error) > 0;
  }

  /** Whether the call at the head may not leave any more. */
  bool Overdue() const {
    const HttpCall& call = this->queue.front().first;
    return call.call_deadline && BootClock::now() >= *call.call_deadline;
  }

  /** @pre The socket is closed. */
  void LimitDelivery(const tcp& protocol) {
    if (!this->options.delivery_timeout) {
      return;
    }
    boost::system::error_code ignored;
    this->socket.open(protocol, ignored);
    this->socket.set_option(tcp::socket::linger(true, 0), ignored);
    this->socket.set_option(
        UserTimeout(static_cast<int>(this->options.delivery_timeout->count())),
        ignored);
  }

  void SendCall() {
    const HttpCall& call = this->queue.front().first;
    if (this->Overdue()) {
      this->Finish(Outcome::kWithheld);
      return;
    }
    this->output = call.method + " " + call.target +
                   " HTTP/1.1\r\nHost: " + ToString(this->server) + "\r\n";
    for (const auto& [name, value] : call.fields) {
      this->output.append(name).append(": ").append(value).append("\r\n");
    }
    if (!call.body.empty()) {
      this->output +=
          "Content-Length: " + std::to_string(call.body.size()) + "\r\n";
    }
    this->output += "\r\n" + call.body;
    this->result.sent_at = BootClock::now();
    asio::async_write(
        this->socket, asio::buffer(this->output),
        [self = this->shared_from_this(), started = this->generation](
            const boost::system::error_code& error, size_t) {
          if (error && self->busy && self->generation == started) {
            self->Finish(Outcome::kFailed);
          }
        });
    this->Read();
  }

  void Read() {
    this->socket.async_read_some(
        asio::buffer(this->chunk),
        [self = this->shared_from_this(), started = this->generation](
            const boost::system::error_code& error, size_t size) {
          if (self->busy && self->generation == started) {
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
      this->Finish(complete ? Outcome::kComplete : Outcome::kFailed);
      return;
    }
    this->input.append(this->chunk.data(), size);
    const size_t used = this->parser->Feed(this->input);
    this->input.erase(0, used);
    if (this->parser->Failed() || this->result.body.size() > kMaxBodyBytes) {
      this->Finish(Outcome::kFailed);
      return;
    }
    if (!this->parser->is_done()) {
      this->Read();
      return;
    }
    if (!this->parser->keep_alive() || !this->input.empty()) {
      this->Disconnect();
    }
    this->Finish(Outcome::kComplete);
  }

  /** How the call at the head ended. */
  enum class Outcome : uint8_t { kComplete, kFailed, kWithheld };

  void Finish(Outcome outcome) {
    // The callback may destroy the channel.
    const auto self = this->shared_from_this();
    if (outcome == Outcome::kFailed) {
      this->Abandon();
    }
    this->busy = false;
    this->timer.cancel();
    if (outcome == Outcome::kComplete) {
      this->result.head = std::move(this->parser->head);
      this->last_used = std::chrono::steady_clock::now();
    }
    Callback callback = std::move(this->queue.front().second);
    this->queue.pop_front();
    HttpResult finished = std::move(this->result);
    callback(std::move(finished));
    this->Next();
  }

  /** Calls back later, unless the channel is destroyed meanwhile. */
  void Post(Callback callback, HttpResult ended) {
    asio::post(this->socket.get_executor(),
               [self = this->shared_from_this(), callback = std::move(callback),
                ended = std::move(ended)] {
                 if (!self->stopped) {
                   callback(ended);
                 }
               });
  }

  void CancelAll() {
    if (this->busy) {
      this->Abandon();
      this->timer.cancel();
      // The handlers of this call no longer find it.
      this->generation += 1;
      this->busy = false;
      this->Post(std::move(this->queue.front().second),
                 std::move(this->result));
      this->queue.pop_front();
    }
    while (!this->queue.empty()) {
      this->Post(std::move(this->queue.front().second), {});
      this->queue.pop_front();
    }
  }

  /** Lets a call take the place of one of its subject that waits, or the last
   * place. */
  void Enqueue(HttpCall call, Callback callback) {
    // The call at the head may have left.
    const auto first = this->queue.begin() + (this->busy ? 1 : 0);
    const auto waiting =
        std::find_if(first, this->queue.end(), [&](const auto& entry) {
          return !call.subject.empty() && entry.first.subject == call.subject;
        });
    if (waiting == this->queue.end()) {
      this->queue.emplace_back(std::move(call), std::move(callback));
      return;
    }
    this->Post(std::move(waiting->second), {});
    *waiting = {std::move(call), std::move(callback)};
  }

  void Disconnect() {
    boost::system::error_code ignored;
    this->socket.close(ignored);
  }

  /** Resets the connection of a call that is given up; what has not been
   * delivered of it never is. */
  void Abandon() {
    boost::system::error_code ignored;
    this->socket.set_option(tcp::socket::linger(true, 0), ignored);
    this->Disconnect();
  }

  Endpoint server;
  ChannelOptions options;
  tcp::socket socket;
  asio::steady_timer timer;
  std::array<char, 16384> chunk{};
  std::string input;
  std::string output;
  std::unique_ptr<ResponseParser> parser;
  std::deque<std::pair<HttpCall, Callback>> queue;
  HttpResult result;
  uint64_t generation = 0;
  std::chrono::steady_clock::time_point last_used;
  bool busy = false;
  bool stopped = false;
};

HttpChannel::HttpChannel(asio::io_context& loop,
                         Endpoint server,
                         ChannelOptions options)
    : state(std::make_shared<State>(loop, std::move(server), options)) {}

HttpChannel::~HttpChannel() {
  this->state->stopped = true;
  if (this->state->busy) {
    this->state->Abandon();
  }
  this->state->busy = false;
  this->state->timer.cancel();
  this->state->Disconnect();
}

void HttpChannel::Call(HttpCall call, Callback callback) {
  this->state->Enqueue(std::move(call), std::move(callback));
  this->state->Next();
}

void HttpChannel::CancelAll() {
  this->state->CancelAll();
}

size_t HttpChannel::Pending() const {
  return this->state->queue.size();
}

}  // namespace boragewharf::httpio
