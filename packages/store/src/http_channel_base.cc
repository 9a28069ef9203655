/**
 * @file http_channel_base.cc
 * Connection pool and overall time bound on top of cpp-httplib.
 */
#include "store/http_channel_base.h"

#include <condition_variable>
#include <csignal>
#include <map>
#include <thread>
#include <utility>

#include "base/result_func.h"
#include "base/scope_guard.h"
#include "httpclient/bounded_client_base.h"

namespace boragewharf {

/** One kept-alive connection; used by one call at a time. */
struct HttpChannel::Connection {
  explicit Connection(const HttpChannelOptions& options)
      : client(options.endpoint.host, options.endpoint.port) {
    // The watchdog bounds the whole call; the library's own bounds apply to
    // single reads and writes, and only matter if the watchdog is delayed.
    const Duration per_read = 2 * options.timeout;
    this->client.set_connection_timeout(options.timeout);
    this->client.set_read_timeout(per_read);
    this->client.set_write_timeout(per_read);
    this->client.set_keep_alive(true);
    this->client.set_tcp_nodelay(true);
    this->client.set_url_encode(false);
  }

  BoundedHttpClient client;
  TimePoint last_used;      ///< End of the last call.
  uint64_t generation = 0;  ///< Generation of the channel at its start.
  bool expired = false;     ///< Shut down; guarded by the watchdog's mutex.
};

/** Shuts down the connections of calls that exceed their deadline. */
class HttpChannel::Watchdog {
 public:
  Watchdog()
      : thread([this](const std::stop_token& stop) { this->Run(stop); }) {}

  void Watch(Connection& connection, TimePoint deadline) {
    const std::lock_guard lock(this->mutex);
    this->deadlines.emplace(deadline, &connection);
    this->changed.notify_all();
  }

  /** @return Whether the deadline passed. */
  bool Unwatch(Connection& connection) {
    const std::lock_guard lock(this->mutex);
    std::erase_if(this->deadlines, [&connection](const auto& entry) {
      return entry.second == &connection;
    });
    return connection.expired;
  }

 private:
  // A connection that is still being set up when its deadline passes cannot
  // be shut down yet; it is tried again after this time.
  static constexpr Duration kRepeat = std::chrono::milliseconds(50);

  void Run(const std::stop_token& stop) {
    std::unique_lock lock(this->mutex);
    while (!stop.stop_requested()) {
      if (this->deadlines.empty()) {
        this->changed.wait(lock, stop,
                           [this] { return !this->deadlines.empty(); });
        continue;
      }
      const auto [deadline, connection] = *this->deadlines.begin();
      if (BootClock::now() < deadline) {
        const TimePoint first = deadline;
        this->changed.wait_until(lock, stop, deadline, [this, first] {
          return this->deadlines.empty() ||
                 this->deadlines.begin()->first < first;
        });
        continue;
      }
      connection->expired = true;
      connection->client.stop();
      this->deadlines.erase(this->deadlines.begin());
      this->deadlines.emplace(BootClock::now() + kRepeat, connection);
    }
  }

  std::mutex mutex;
  std::condition_variable_any changed;
  std::multimap<TimePoint, Connection*> deadlines;
  std::jthread thread;
};

HttpChannel::HttpChannel(HttpChannelOptions channel_options,
                         CounterRegistry& counters,
                         std::string_view counter_prefix)
    : options(std::move(channel_options)),
      registry(counters),
      prefix(counter_prefix),
      watchdog(std::make_unique<Watchdog>()) {
  std::signal(SIGPIPE, SIG_IGN);
}

HttpChannel::~HttpChannel() = default;

std::unique_ptr<HttpChannel::Connection> HttpChannel::TakeConnection() {
  const TimePoint oldest = BootClock::now() - this->options.max_idle;
  const std::lock_guard lock(this->mutex);
  std::erase_if(this->idle, [oldest](const auto& connection) {
    return connection->last_used < oldest;
  });
  std::unique_ptr<Connection> connection;
  if (this->idle.empty()) {
    connection = std::make_unique<Connection>(this->options);
    connection->generation = this->generation;
  } else {
    connection = std::move(this->idle.front());
    this->idle.pop_front();
  }
  return connection;
}

void HttpChannel::KeepConnection(std::unique_ptr<Connection> connection) {
  connection->last_used = BootClock::now();
  const std::lock_guard lock(this->mutex);
  const bool current = connection->generation == this->generation;
  if (!current || this->idle.size() >= this->options.max_idle_connections) {
    return;
  }
  this->idle.push_front(std::move(connection));
}

HttpReply HttpChannel::Exchange(const HttpCall& call) {
  HttpReply reply;
  httplib::Request request;
  request.method = call.method;
  request.path = call.path;
  request.body = call.body;
  if (!call.body.empty()) {
    request.set_header("Content-Type", "application/json");
  }
  const size_t limit = this->options.max_response_bytes;
  request.content_receiver = [&reply, limit](const char* data, size_t length,
                                             uint64_t, uint64_t) {
    if (reply.body.size() + length > limit) {
      return false;
    }
    reply.body.append(data, length);
    return true;
  };

  std::unique_ptr<Connection> connection = this->TakeConnection();
  this->watchdog->Watch(*connection, BootClock::now() + this->options.timeout);
  httplib::Response response;
  httplib::Error error = httplib::Error::Success;
  const bool answered = connection->client.Send(request, response, error);
  const bool expired = this->watchdog->Unwatch(*connection);

  if (expired) {
    const std::lock_guard lock(this->mutex);
    ++this->generation;
    this->idle.clear();
  }
  if (!answered) {
    const bool not_sent = error == httplib::Error::Connection ||
                          error == httplib::Error::ConnectionTimeout;
    reply.outcome = not_sent ? HttpOutcome::kNotSent : HttpOutcome::kLost;
    return reply;
  }
  reply.outcome = HttpOutcome::kAnswered;
  reply.status = response.status;
  if (!expired) {
    this->KeepConnection(std::move(connection));
  }
  return reply;
}

HttpReply HttpChannel::Perform(const HttpCall& call) {
  if (call.body.size() > this->options.max_request_bytes) {
    return {HttpOutcome::kTooLarge, 0, {}};
  }
  const TimePoint start = BootClock::now();
  HttpReply reply = this->Exchange(call);
  const Duration elapsed = BootClock::now() - start;
  const std::string labels = "call=\"" + std::string(call.label) + "\"";
  this->registry.Get(this->prefix + "_call_microseconds_total", labels)
      .Add(elapsed.count());
  return reply;
}

void HttpChannel::CountResult(std::string_view label, ResultCode code) {
  std::string labels = "call=\"";
  labels += label;
  labels += "\",result=\"";
  labels += code == ResultCode::kOk ? "ok" : GetResultInfo(code).name;
  labels += '"';
  this->registry.Get(this->prefix + "_calls_total", labels).Add();
}

}  // namespace boragewharf
