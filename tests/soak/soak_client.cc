/**
 * @file soak_client.cc
 * Requests of a soak run and the promises that their answers must keep.
 */
#include "soak_client.h"

#include <boost/asio/write.hpp>

#include "platform_standin.h"

namespace boragewharf::soak {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

/** Time after which a client gives up an answer. */
constexpr milliseconds kPatience(6000);

/** Pause between requests. */
constexpr milliseconds kPause(15);

/** Events that the stand-ins send. */
constexpr uint32_t kEvents = 12;

constexpr std::array<const char*, 4> kPaths = {
    "/order/", "/lookup/", "/stream-report/", "/stream-answer/"};

/** Events from the first on; empty if the text is none, or has a gap. */
std::optional<uint32_t> CountEvents(const std::string& text) {
  std::string rest = text;
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
      pick(std::move(pick_node)),
      record(run) {}

void SoakClient::Start(uint32_t count) {
  this->left = count;
  this->bounded = count > 0;
  this->Next();
}

void SoakClient::Next() {
  if (this->stopping || (this->bounded && this->left == 0)) {
    this->done = true;
    boost::system::error_code ignored;
    this->socket.close(ignored);
    return;
  }
  this->left -= this->bounded ? 1 : 0;
  this->id = this->name + "-" + std::to_string(++this->number);
  this->path = kPaths[this->generator() % kPaths.size()];
  this->body.clear();
  this->input.clear();
  this->parser = std::make_unique<httpio::ResponseParser>(
      [this](std::string_view bytes) { this->body.append(bytes); });
  this->timer.expires_after(kPatience);
  this->timer.async_wait(
      [this, started = this->number](const boost::system::error_code& error) {
        if (!error && started == this->number) {
          this->Finish(false);
        }
      });
  if (this->socket.is_open()) {
    this->Send();
  } else {
    this->Connect();
  }
}

void SoakClient::Connect() {
  this->socket.async_connect(
      this->pick(),
      [this, started = this->number](const boost::system::error_code& error) {
        if (started != this->number) {
          return;
        }
        if (error) {
          this->Finish(false);
          return;
        }
        this->Send();
      });
}

void SoakClient::Send() {
  const bool post = this->path != "/lookup/";
  const std::string text = post ? "hello" : "";
  this->output = std::string(post ? "POST " : "GET ") + this->path +
                 "1 HTTP/1.1\r\nHost: " + standins::kHost +
                 "\r\nBoragewharf-Attempt-Id: " + this->id +
                 "\r\nBoragewharf-Deadline-Ms: 5000\r\nAuthorization: "
                 "Bearer " +
                 standins::kKey +
                 "\r\nContent-Length: " + std::to_string(text.size()) +
                 "\r\n\r\n" + text;
  if (this->path == "/order/") {
    this->record.unsafe[this->id] = "";
  }
  asio::async_write(this->socket, asio::buffer(this->output),
                    [](const boost::system::error_code&, size_t) {});
  this->Read();
}

void SoakClient::Read() {
  this->socket.async_read_some(
      asio::buffer(this->chunk),
      [this, started = this->number](const boost::system::error_code& error,
                                     size_t size) {
        if (started == this->number) {
          this->OnRead(error, size);
        }
      });
}

void SoakClient::OnRead(const boost::system::error_code& error, size_t size) {
  if (error) {
    this->Finish(false);
    return;
  }
  this->input.append(this->chunk.data(), size);
  this->input.erase(0, this->parser->Feed(this->input));
  if (this->parser->Failed()) {
    this->record.faults.push_back(this->id + ": bytes that are no answer");
    this->Finish(false);
    return;
  }
  if (!this->parser->is_done()) {
    this->Read();
    return;
  }
  if (!this->input.empty()) {
    this->record.faults.push_back(this->id + ": bytes after the answer");
  }
  this->Finish(true);
}

void SoakClient::CheckAnswer() {
  const uint32_t status = this->parser->head.status;
  if (status == 429 || status == 503) {
    this->record.not_run[this->id] = std::to_string(status);
  }
  if (status != 200) {
    return;
  }
  ++this->served;
  const bool stream = this->path.find("stream") != std::string::npos;
  const bool right = stream ? CountEvents(this->body) == kEvents
                            : this->body == "body of " + this->id;
  if (!right) {
    this->record.faults.push_back(this->id + " " + this->path +
                                  ": wrong answer: " + this->body);
  }
}

void SoakClient::Finish(bool complete) {
  this->timer.cancel();
  const bool stream = this->path.find("stream") != std::string::npos;
  if (complete) {
    this->CheckAnswer();
    this->record.statuses[std::to_string(this->parser->head.status)] += 1;
  } else {
    this->record.statuses["none"] += 1;
    if (stream && !CountEvents(this->body)) {
      this->record.faults.push_back(
          this->id + ": events missing, doubled or cut: " + this->body);
    }
  }
  if (!complete || !this->parser->keep_alive()) {
    boost::system::error_code ignored;
    this->socket.close(ignored);
  }
  ++this->number;  // Completions of this request are stale from now on.
  this->timer.expires_after(kPause);
  this->timer.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      this->Next();
    }
  });
}

}  // namespace boragewharf::soak
