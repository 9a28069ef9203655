/**
 * @file caller_server_base.cc
 * Connections of callers.
 */
#include "traffic/caller_server_base.h"

#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>

#include <array>
#include <charconv>
#include <condition_variable>
#include <deque>
#include <limits>
#include <mutex>
#include <utility>
#include <vector>

#include "base/time_type.h"
#include "traffic/caller_connection_base.h"

namespace boragewharf::traffic {

namespace {

// The library listens with a backlog of 5; a burst of connections beyond it
// waits a second for the retransmission of the SYN.
constexpr int kBacklog = 1024;
constexpr size_t kRefusalThreads = 2;
constexpr std::chrono::seconds kDiscardTime{2};
constexpr std::chrono::milliseconds kDiscardWait{500};
constexpr size_t kMaxWaitingRefusals = 1024;
constexpr std::chrono::milliseconds kRefusalWait{20};
constexpr size_t kHeaderAllowance = 131072;

thread_local bool refuses_connections = false;

void ReuseAddressOnly(socket_t sock) {
  const int yes = 1;
  setsockopt(sock, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
}

void ReadAndDiscard(socket_t sock) {
  pollfd entry{sock, POLLIN, 0};
  if (poll(&entry, 1, static_cast<int>(kRefusalWait.count())) <= 0) {
    return;
  }
  std::array<char, 16384> discarded;
  recv(sock, discarded.data(), discarded.size(), MSG_DONTWAIT);
}

/**
 * Lets the caller read an answer that was sent before its request was read:
 * closing with unread input would reset the connection and lose the answer.
 */
void DiscardInput(socket_t sock) {
  shutdown(sock, SHUT_WR);
  const TimePoint end = BootClock::now() + kDiscardTime;
  std::array<char, 16384> discarded;
  ssize_t got = 1;
  while (got > 0 && BootClock::now() < end) {
    pollfd entry{sock, POLLIN, 0};
    if (poll(&entry, 1, static_cast<int>(kDiscardWait.count())) <= 0) {
      return;
    }
    got = recv(sock, discarded.data(), discarded.size(), MSG_DONTWAIT);
  }
}

/** One thread per connection; a few more threads refuse the rest. */
class ConnectionQueue : public httplib::TaskQueue {
 public:
  explicit ConnectionQueue(size_t connections) : max_connections(connections) {
    for (size_t i = 0; i < connections; ++i) {
      this->threads.emplace_back([this] { this->Serve(); });
    }
    for (size_t i = 0; i < kRefusalThreads; ++i) {
      this->threads.emplace_back([this] { this->Refuse(); });
    }
  }

  void enqueue(std::function<void()> task) override {
    std::unique_lock lock(this->mutex);
    if (this->open < this->max_connections) {
      ++this->open;
      this->accepted.push_back(std::move(task));
      this->has_accepted.notify_one();
      return;
    }
    if (this->refused.size() >= kMaxWaitingRefusals) {
      lock.unlock();
      // Blocking the accepting thread slows down the flood.
      refuses_connections = true;
      task();
      refuses_connections = false;
      return;
    }
    this->refused.push_back(std::move(task));
    this->has_refused.notify_one();
  }

  void shutdown() override {
    {
      const std::lock_guard lock(this->mutex);
      this->stopping = true;
      this->has_accepted.notify_all();
      this->has_refused.notify_all();
    }
    for (std::thread& thread : this->threads) {
      thread.join();
    }
  }

 private:
  void Serve() {
    while (const auto task = this->Next(this->accepted, this->has_accepted)) {
      task();
      const std::lock_guard lock(this->mutex);
      --this->open;
    }
  }

  void Refuse() {
    refuses_connections = true;
    while (const auto task = this->Next(this->refused, this->has_refused)) {
      task();
    }
  }

  std::function<void()> Next(std::deque<std::function<void()>>& queue,
                             std::condition_variable& filled) {
    std::unique_lock lock(this->mutex);
    filled.wait(lock, [&] { return this->stopping || !queue.empty(); });
    if (queue.empty()) {
      return nullptr;
    }
    std::function<void()> task = std::move(queue.front());
    queue.pop_front();
    return task;
  }

  const size_t max_connections;
  std::mutex mutex;
  std::condition_variable has_accepted;
  std::condition_variable has_refused;
  std::deque<std::function<void()>> accepted;
  std::deque<std::function<void()>> refused;
  std::vector<std::thread> threads;
  size_t open = 0;
  bool stopping = false;
};

}  // namespace

CallerServer::CallerServer(const FrontEndOptions& server_options,
                           std::string refusal,
                           std::function<void()> on_refused)
    : options(server_options),
      refusal_response(std::move(refusal)),
      connection_refused(std::move(on_refused)),
      stop_event(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {
  this->new_task_queue = [this] {
    return new ConnectionQueue(this->options.max_connections);
  };
  this->set_socket_options(ReuseAddressOnly);
  this->set_tcp_nodelay(true);
  this->set_payload_max_length(this->options.max_body_bytes);
  // Only announced to callers; the loop in ServeConnection() applies it.
  this->set_keep_alive_timeout(
      std::chrono::floor<std::chrono::seconds>(this->options.keep_alive)
          .count());
  this->set_keep_alive_max_count(std::numeric_limits<int32_t>::max());
}

CallerServer::~CallerServer() {
  this->StopAndJoin();
}

uint16_t CallerServer::Start() {
  const Endpoint& endpoint = this->options.listen;
  int port = endpoint.port;
  if (port == 0) {
    port = this->bind_to_any_port(endpoint.host);
  } else if (!this->bind_to_port(endpoint.host, port)) {
    port = 0;
  }
  if (port <= 0) {
    return 0;
  }
  ::listen(this->svr_sock_, kBacklog);
  this->listener = std::thread([this] { this->listen_after_bind(); });
  while (!this->is_running()) {
    std::this_thread::yield();
  }
  return static_cast<uint16_t>(port);
}

void CallerServer::StopAndJoin() {
  if (!this->listener.joinable()) {
    return;
  }
  this->closing = true;
  eventfd_write(this->stop_event.Get(), 1);
  this->stop();
  this->listener.join();
}

std::optional<Refusal> CallerServer::FramingFault(
    const httplib::Request& request) const {
  const auto invalid = [](const char* detail) {
    return Refusal{ResultCode::kInvalidField, detail, std::nullopt};
  };
  if (request.has_header("Transfer-Encoding")) {
    return invalid("Transfer-Encoding: send Content-Length instead");
  }
  if (request.has_header("Content-Encoding")) {
    return invalid("Content-Encoding: send the body uncompressed");
  }
  if (request.get_header_value_count("Content-Length") > 1) {
    return invalid("Content-Length: more than one");
  }
  const std::string text = request.get_header_value("Content-Length");
  uint64_t length = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, length);
  if (error == std::errc::invalid_argument || stop != end) {
    return invalid("Content-Length: not a number");
  }
  if (error != std::errc() || length > this->options.max_body_bytes) {
    return Refusal{ResultCode::kBodyTooLarge, {}, std::nullopt};
  }
  return std::nullopt;
}

bool CallerServer::process_and_close_socket(socket_t sock) {
  bool served = false;
  if (refuses_connections) {
    this->RefuseConnection(sock);
  } else {
    served = this->ServeConnection(sock);
  }
  shutdown(sock, SHUT_RDWR);
  close(sock);
  return served;
}

bool CallerServer::ServeConnection(socket_t sock) {
  CallerConnection connection(sock, this->options.caller_timeout,
                              this->options.max_body_bytes + kHeaderAllowance);
  bool served = false;
  bool must_close = false;
  const auto prepare = [&](httplib::Request& request) {
    PrepareRequest(request);
    // The body of such a request is left unread.
    must_close = this->FramingFault(request).has_value();
  };
  while (!must_close && connection.WaitForRequest(this->options.keep_alive,
                                                  this->stop_event.Get())) {
    bool closed = false;
    served = this->process_request(connection, this->closing, closed, prepare);
    served = connection.Flush() && served;
    if (!served || closed || this->closing) {
      break;
    }
  }
  if (must_close) {
    DiscardInput(sock);
  }
  return served;
}

void CallerServer::RefuseConnection(socket_t sock) {
  this->connection_refused();
  // Closing with unread input would reset the connection and lose the answer.
  ReadAndDiscard(sock);
  send(sock, this->refusal_response.data(), this->refusal_response.size(),
       MSG_NOSIGNAL | MSG_DONTWAIT);
  shutdown(sock, SHUT_WR);
  ReadAndDiscard(sock);
}

void CallerServer::PrepareRequest(httplib::Request& request) {
  request.headers.erase(kContentTypeHeader);
  const auto content_type = request.headers.find("Content-Type");
  if (content_type != request.headers.end()) {
    request.headers.emplace(kContentTypeHeader, content_type->second);
    request.headers.erase("Content-Type");
  }
  // The library would compress answers and cut ranges out of them by itself.
  request.headers.erase("Accept-Encoding");
  request.ranges.clear();
  if (!request.has_header("Transfer-Encoding") &&
      !request.has_header("Content-Length")) {
    request.set_header("Content-Length", "0");
  }
}

}  // namespace boragewharf::traffic
