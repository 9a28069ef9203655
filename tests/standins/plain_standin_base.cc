/**
 * @file plain_standin_base.cc
 * Runs and reports of the plain stand-in.
 */
#include "standins/plain_standin_base.h"

#include <thread>

namespace boragewharf::standins {

namespace {

using nlohmann::json;

constexpr size_t kThreads = 256;
constexpr const char* kAnyPath = ".*";

}  // namespace

PlainStandin::PlainStandin(std::chrono::milliseconds initial_delay)
    : delay_ms(initial_delay.count()), server(kThreads) {
  this->AddRoutes();
}

uint16_t PlainStandin::Start(uint16_t wanted_port) {
  return this->server.Start(wanted_port);
}

void PlainStandin::SetDelay(std::chrono::milliseconds value) {
  this->delay_ms = value.count();
}

void PlainStandin::SetCutAnswers(bool value) {
  this->cut_answers = value;
}

std::map<std::string, uint32_t> PlainStandin::RunsById() const {
  const std::lock_guard lock(this->mutex);
  return this->runs_by_id;
}

std::map<std::string, uint32_t> PlainStandin::RunsByKey() const {
  const std::lock_guard lock(this->mutex);
  return this->runs_by_key;
}

void PlainStandin::AddRoutes() {
  using httplib::Request;
  using httplib::Response;
  this->server.Get("/health", [](const Request&, Response& response) {
    AnswerJson(response, 200, {{"status", "ok"}});
  });
  this->server.Get("/runs", [this](const Request&, Response& response) {
    AnswerJson(response, 200,
               {{"by_id", this->RunsById()}, {"by_key", this->RunsByKey()}});
  });
  this->server.Post(
      "/control", [this](const Request& request, Response& response) {
        const json body = json::parse(request.body);
        this->delay_ms = body.value("delay_ms", this->delay_ms.load());
        this->cut_answers = body.value("cut_answers", this->cut_answers.load());
        AnswerJson(response, 200, {{"delay_ms", this->delay_ms.load()}});
      });
  const auto run = [this](const Request& request, Response& response) {
    this->Run(request, response);
  };
  this->server.Get(kAnyPath, run);
  this->server.Post(kAnyPath, run);
  this->server.Put(kAnyPath, run);
  this->server.Patch(kAnyPath, run);
  this->server.Delete(kAnyPath, run);
}

void PlainStandin::Run(const httplib::Request& request,
                       httplib::Response& response) {
  const std::string id = request.get_header_value("X-Request-Id");
  const std::string key = request.get_header_value("Idempotency-Key");
  {
    const std::lock_guard lock(this->mutex);
    ++this->runs_by_id[id];
    if (!key.empty()) {
      ++this->runs_by_key[key];
    }
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(this->delay_ms));
  if (this->cut_answers) {
    response.set_content_provider(
        1, "application/json",
        [](size_t, size_t, httplib::DataSink&) { return false; });
    return;
  }
  AnswerJson(response, 200,
             {{"method", request.method},
              {"path", request.target},
              {"body", request.body},
              {"request_id", id},
              {"key", key}});
}

}  // namespace boragewharf::standins
