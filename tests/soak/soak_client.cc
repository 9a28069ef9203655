/**
 * @file soak_client.cc
 * Requests of a soak run and the guarantees that their responses must meet.
 */
#include "soak_client.h"

#include <boost/asio/write.hpp>

#include "platform_standin.h"

namespace boragewharf::soak {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

/** Time that a client waits for a complete response after the deadline. */
constexpr milliseconds kTimeAfterDeadline(1000);

/** Pause of a client between a response and its next request. */
constexpr milliseconds kPauseBetweenRequests(15);

constexpr std::array<const char*, 4> kPaths = {
    "/order/", "/lookup/", "/stream-report/", "/stream-answer/"};

/**
 * @return Number of events in @p stream_text, or nothing if it is not a
 * sequence of complete events that starts with the first one and has no gap.
 */
std::optional<uint32_t> CountEvents(const std::string& stream_text) {
  std::string rest = stream_text;
  uint32_t count = 0;
  while (!rest.empty()) {
    const std::string next = "id: " + std::to_string(count + 1) +
                             "\ndata: piece-" + std::to_string(count + 1) +
                             "\n\n";
    if (!rest.starts_with(next)) {
      return std::nullopt;
    }
    rest.erase(0, next.size());
    ++count;
  }
  return count;
}

}  // namespace

SoakClient::SoakClient(asio::io_context& loop,
                       std::string client_name,
                       uint64_t seed,
                       std::function<asio::ip::tcp::endpoint()> pick_node,
                       RunRecord& run)
    : socket(loop),
      timer(loop),
      name(std::move(client_name)),
      generator(seed),
      choose_node(std::move(pick_node)),
      record(run) {}

void SoakClient::Start(uint32_t count) {
  this->remaining_requests = count;
  this->is_limited = count > 0;
  this->StartNextRequest();
}

void SoakClient::StartNextRequest() {
  if (this->stopping || (this->is_limited && this->remaining_requests == 0)) {
    this->done = true;
    boost::system::error_code ignored;
    this->socket.close(ignored);
    return;
  }
  this->remaining_requests -= this->is_limited ? 1 : 0;
  this->id = this->name + "-" + std::to_string(++this->request_number);
  this->path = kPaths[this->generator() % kPaths.size()];
  this->traits =
      this->choose_traits ? this->choose_traits(this->id) : RequestTraits{};
  this->answer_begun = false;
  this->body.clear();
  this->input.clear();
  this->parser = std::make_unique<httpio::ResponseParser>(
      [this](std::string_view bytes) { this->body.append(bytes); });
  this->timer.expires_after(this->traits.deadline + kTimeAfterDeadline);
  this->timer.async_wait([this, sent_number = this->request_number](
                             const boost::system::error_code& error) {
    if (!error && sent_number == this->request_number) {
      this->record.timeouts += 1;
      this->FinishRequest(false);
    }
  });
  if (this->socket.is_open()) {
    this->Send();
  } else {
    this->Connect();
  }
}

void SoakClient::Connect() {
  const asio::ip::tcp::endpoint node = this->choose_node();
  this->node_ip = node.address().to_string();
  this->socket.async_connect(node, [this, sent_number = this->request_number](
                                       const boost::system::error_code& error) {
    if (sent_number != this->request_number) {
      return;
    }
    if (error) {
      this->record.connect_failures += 1;
      this->FinishRequest(false);
      return;
    }
    this->Send();
  });
}

void SoakClient::Send() {
  const bool has_body = this->path != "/lookup/";
  const std::string request_body = has_body ? "hello" : "";
  this->output =
      std::string(has_body ? "POST " : "GET ") + this->path +
      "1 HTTP/1.1\r\nHost: " + standins::kExampleHost +
      "\r\nBoragewharf-Attempt-Id: " + this->id +
      "\r\nBoragewharf-Deadline-Ms: " +
      std::to_string(this->traits.deadline.count()) +
      (this->traits.token_counts.empty()
           ? ""
           : "\r\nBoragewharf-Token-Counts: " + this->traits.token_counts) +
      "\r\nAuthorization: Bearer " + standins::kExampleApiKey +
      "\r\nContent-Length: " + std::to_string(request_body.size()) +
      "\r\n\r\n" + request_body;
  if (this->path == "/order/") {
    this->record.non_idempotent[this->id] = "";
  }
  this->sent_at = std::chrono::steady_clock::now();
  asio::async_write(this->socket, asio::buffer(this->output),
                    [](const boost::system::error_code&, size_t) {});
  this->Read();
}

void SoakClient::Read() {
  this->socket.async_read_some(
      asio::buffer(this->read_buffer),
      [this, sent_number = this->request_number](
          const boost::system::error_code& error, size_t size) {
        if (sent_number == this->request_number) {
          this->OnRead(error, size);
        }
      });
}

void SoakClient::OnRead(const boost::system::error_code& error, size_t size) {
  if (error) {
    this->FinishInterruptedRequest();
    return;
  }
  this->answer_begun = true;
  this->input.append(this->read_buffer.data(), size);
  this->input.erase(0, this->parser->Feed(this->input));
  if (this->parser->Failed()) {
    this->record.violations.push_back(this->id + ": invalid HTTP response");
    this->FinishRequest(false);
    return;
  }
  if (!this->parser->is_done()) {
    this->Read();
    return;
  }
  if (!this->input.empty()) {
    this->record.violations.push_back(this->id +
                                      ": unexpected bytes after the response");
  }
  this->FinishRequest(true);
}

void SoakClient::CheckResponse() {
  const uint32_t status = this->parser->head.status;
  if (status == 429 || status == 503) {
    this->record.reported_not_run[this->id] = std::to_string(status);
  }
  const auto elapsed = std::chrono::steady_clock::now() - this->sent_at;
  if (status == 504 && elapsed < this->traits.deadline) {
    this->record.early_timeouts += 1;
  }
  if (status != 200) {
    return;
  }
  ++this->served;
  const bool stream = this->path.find("stream") != std::string::npos;
  const bool is_correct =
      stream ? CountEvents(this->body) == this->traits.stream_events
             : this->body == "body of " + this->id;
  if (!is_correct) {
    this->record.violations.push_back(this->id + " " + this->path +
                                      ": wrong response body: " + this->body);
  }
}

void SoakClient::FinishInterruptedRequest() {
  using std::chrono::duration_cast;
  const auto now = std::chrono::steady_clock::now();
  const auto wall = std::chrono::system_clock::now().time_since_epoch();
  this->record.interrupted.push_back(
      {this->id, this->path, this->node_ip, this->answer_begun,
       duration_cast<milliseconds>(now - this->sent_at), this->traits.deadline,
       duration_cast<milliseconds>(wall).count()});
  this->FinishRequest(false);
}

void SoakClient::FinishRequest(bool complete) {
  this->timer.cancel();
  const bool stream = this->path.find("stream") != std::string::npos;
  if (complete) {
    this->CheckResponse();
    this->record.statuses[std::to_string(this->parser->head.status)] += 1;
  } else {
    this->record.statuses["none"] += 1;
    if (stream && !CountEvents(this->body)) {
      this->record.violations.push_back(
          this->id +
          ": events are missing, duplicated or truncated: " + this->body);
    }
  }
  if (!complete || !this->parser->keep_alive()) {
    boost::system::error_code ignored;
    this->socket.close(ignored);
  }
  ++this->request_number;  // Pending handlers of this request must do nothing
                           // from now on.
  this->timer.expires_after(kPauseBetweenRequests);
  this->timer.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      this->StartNextRequest();
    }
  });
}

}  // namespace boragewharf::soak
