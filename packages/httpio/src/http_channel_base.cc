/**
 * @file http_channel_base.cc
 * Calls over a kept connection.
 */
#include "httpio/http_channel_base.h"

#include <boost/asio/write.hpp>
#include <utility>

namespace boragewharf::httpio {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

/** Largest response body of the platform or a node, in bytes. */
constexpr size_t kMaxBodyBytes = size_t{16} * 1024 * 1024;

/** Idle connections are not reused after this; servers close them silently. */
constexpr std::chrono::seconds kMaxIdle(5);

}  // namespace

struct HttpChannel::State : std::enable_shared_from_this<HttpChannel::State> {
  State(asio::io_context& loop, Endpoint address)
      : server(std::move(address)), socket(loop), timer(loop) {}

  void Next() {
    if (this->busy || this->queue.empty() || this->stopped) {
      return;
    }
    this->busy = true;
    this->generation += 1;
    this->result = {};
    this->input.clear();
    const HttpCall& call = this->queue.front().first;
    this->parser = std::make_unique<ResponseParser>(
        [this](std::string_view b) { this->result.body.append(b); });
    this->timer.expires_after(call.timeout);
    this->timer.async_wait(
        [self = this->shared_from_this(),
         started = this->generation](const boost::system::error_code& error) {
          if (!error && self->busy && self->generation == started) {
            self->Finish(false);
          }
        });
    const bool stale =
        std::chrono::steady_clock::now() - this->last_used > kMaxIdle;
    if (this->socket.is_open() && stale) {
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
      this->Finish(false);
      return;
    }
    this->socket.async_connect(
        tcp::endpoint(address, this->server.port),
        [self = this->shared_from_this(),
         started = this->generation](const boost::system::error_code& failed) {
          if (self->generation != started || !self->busy) {
            return;
          }
          if (failed) {
            self->Finish(false);
            return;
          }
          boost::system::error_code ignored;
          self->socket.set_option(tcp::no_delay(true), ignored);
          self->SendCall();
        });
  }

  void SendCall() {
    const HttpCall& call = this->queue.front().first;
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
            self->Finish(false);
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
          error == asio::error::eof && this->parser->FinishAtEnd();
      if (complete) {
        this->Disconnect();
      }
      this->Finish(complete);
      return;
    }
    this->input.append(this->chunk.data(), size);
    const size_t used = this->parser->Feed(this->input);
    this->input.erase(0, used);
    if (this->parser->Failed() || this->result.body.size() > kMaxBodyBytes) {
      this->Finish(false);
      return;
    }
    if (!this->parser->is_done()) {
      this->Read();
      return;
    }
    if (!this->parser->keep_alive() || !this->input.empty()) {
      this->Disconnect();
    }
    this->Finish(true);
  }

  void Finish(bool complete) {
    // The callback may destroy the channel.
    const auto self = this->shared_from_this();
    if (!complete) {
      this->Abandon();
    }
    this->busy = false;
    this->timer.cancel();
    if (complete) {
      this->result.head = std::move(this->parser->head);
      this->last_used = std::chrono::steady_clock::now();
    }
    Callback callback = std::move(this->queue.front().second);
    this->queue.pop_front();
    HttpResult finished = std::move(this->result);
    callback(std::move(finished));
    this->Next();
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

HttpChannel::HttpChannel(asio::io_context& loop, Endpoint server)
    : state(std::make_shared<State>(loop, std::move(server))) {}

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
  this->state->queue.emplace_back(std::move(call), std::move(callback));
  this->state->Next();
}

size_t HttpChannel::Pending() const {
  return this->state->queue.size();
}

}  // namespace boragewharf::httpio
