/**
 * @file front_end_fixture.h
 * A front end with stand-ins in one process.
 */
#pragma once

#include <gtest/gtest.h>

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "base/result_func.h"
#include "standins/engine_standin_base.h"
#include "standins/plain_standin_base.h"
#include "standins/token_func.h"
#include "traffic/basic_policy_base.h"
#include "traffic/front_end_base.h"
#include "traffic/sse_parser_base.h"

namespace boragewharf::traffic {

inline constexpr const char* kToken = "Bearer alpha.secret";
inline constexpr const char* kOtherToken = "Bearer beta.secret";
inline constexpr const char* kOperatorToken = "Bearer operator";

inline config::TokenHash HashOf(std::string_view secret) {
  const std::string salt(16, 's');
  return {HexEncode(salt), HexEncode(Sha256(salt + std::string(secret)))};
}

/** Snapshots that a test changes. */
class TestSnapshots : public SnapshotSource {
 public:
  SnapshotPtr Get() const override {
    const std::lock_guard lock(this->mutex);
    return this->current;
  }

  template <class Change>
  void Edit(Change change) {
    const std::lock_guard lock(this->mutex);
    auto next = std::make_shared<RoutingSnapshot>(*this->current);
    change(*next);
    this->current = next;
  }

 private:
  mutable std::mutex mutex;
  SnapshotPtr current = std::make_shared<RoutingSnapshot>();
};

/** A ledger in memory. */
class TestClaims : public ClaimClient {
 public:
  std::optional<ledger::ClaimResult> Claim(const ledger::ClaimRequest& request,
                                           TimePoint) override {
    const std::lock_guard lock(this->mutex);
    if (!this->available) {
      return Fail(ResultCode::kLedgerUnavailable);
    }
    ledger::ClaimResult result{
        request.claim, ledger::ClaimVerdict::kGranted, {}};
    const auto [entry, is_new] =
        this->claims.try_emplace(request.key, Entry{request, {}, {}});
    if (!is_new && entry->second.request.request != request.request) {
      result.verdict = ledger::ClaimVerdict::kReused;
    } else if (!is_new && entry->second.outcome) {
      result.verdict = *entry->second.outcome == ledger::Outcome::kFinished
                           ? ledger::ClaimVerdict::kReplay
                           : ledger::ClaimVerdict::kUnresolved;
      result.answer = entry->second.answer;
    } else if (!is_new) {
      result.verdict = ledger::ClaimVerdict::kInFlight;
    }
    return result;
  }

  bool Report(const ledger::OutcomeReport& report) override {
    const std::lock_guard lock(this->mutex);
    if (report.outcome == ledger::Outcome::kReleased) {
      this->claims.erase(report.key);
      return true;
    }
    Entry& entry = this->claims.at(report.key);
    entry.outcome = report.outcome;
    entry.answer = report.answer;
    return true;
  }

  std::atomic<bool> available{true};

 private:
  struct Entry {
    ledger::ClaimRequest request;
    std::optional<ledger::Outcome> outcome;
    ledger::StoredAnswer answer;
  };

  std::mutex mutex;
  std::map<Digest, Entry> claims;
};

class TestObservations : public ObservationSink {
 public:
  void Observe(const BackendObservation& observation) override {
    const std::lock_guard lock(this->mutex);
    ++this->counts[observation.kind];
  }
  void SetOpenStreams(uint32_t) override {}

  uint32_t Count(ObservationKind kind) {
    const std::lock_guard lock(this->mutex);
    return this->counts[kind];
  }

 private:
  std::mutex mutex;
  std::map<ObservationKind, uint32_t> counts;
};

class TestOperators : public OperatorHandler {
 public:
  OperatorAnswer SubmitTicket(std::string_view body) override {
    return {200, std::string(body)};
  }
  OperatorAnswer ListTickets() override { return {200, "[]"}; }
  OperatorAnswer ShowTicket(std::string_view number) override {
    return {200, std::string(number)};
  }
  OperatorAnswer Status() override { return {200, "{}"}; }
  OperatorAnswer Drain() override { return {202, "{}"}; }
  OperatorAnswer StateDump() override { return {200, "{}"}; }
};

/** Hands streams over to another front end of the same process. */
class TestHandovers : public HandoverClient {
 public:
  std::optional<Endpoint> HandOver(const StreamTransfer& transfer) override {
    if (this->peer == nullptr || !this->peer->Adopt(transfer)) {
      return Fail(ResultCode::kPeerRefused);
    }
    return this->address;
  }

  FrontEnd* peer = nullptr;
  Endpoint address;
};

/** One entry instance. */
struct TestEntry {
  explicit TestEntry(TestSnapshots& snapshots, const FrontEndOptions& options)
      : front(options,
              {snapshots, this->claims, this->observations, this->handovers,
               this->operators, this->admission, this->routing, this->retries,
               this->registry}),
        port(this->front.Start()) {}

  int64_t Counter(std::string_view name, std::string_view labels = {}) {
    return this->registry.Get(name, labels).Get();
  }

  CounterRegistry registry;
  TestClaims claims;
  TestObservations observations;
  TestHandovers handovers;
  TestOperators operators;
  ConcurrencyAdmission admission{1000};
  LeastLoadedRouting routing;
  RetryBudget retries;
  FrontEnd front;
  uint16_t port;
};

/** What a caller received of a stream. */
struct StreamedAnswer {
  int status = 0;
  std::string text;
  uint32_t tokens = 0;
  bool done = false;
  nlohmann::json error;
  nlohmann::json continuation;
  std::string request_id;
};

class FrontEndTest : public testing::Test {
 protected:
  static constexpr size_t kEngines = 3;

  void SetUp() override {
    standins::EngineControl control;
    control.batch_limit = 200;
    for (size_t i = 0; i < kEngines; ++i) {
      this->engines.push_back(
          std::make_unique<standins::EngineStandin>(control));
      this->AddServer("llm", "engine-" + std::to_string(i),
                      this->engines.back()->Start(0));
    }
    this->plain_service =
        std::make_unique<standins::PlainStandin>(std::chrono::milliseconds(0));
    this->AddServer("desk", "desk-0", this->plain_service->Start(0));
    this->Configure();
    this->options.instance = "entry-0";
    this->options.zone = "zone-a";
    this->options.region = "region-a";
    this->options.max_connections = 128;
    this->options.operator_key = HashOf("operator");
    this->options.silence_bound = std::chrono::milliseconds(500);
    this->entry = std::make_unique<TestEntry>(this->snapshots, this->options);
    ASSERT_NE(this->entry->port, 0);
  }

  void AddServer(const std::string& service,
                 const std::string& instance,
                 uint16_t port) {
    backend::BackendServer server;
    server.instance = instance;
    server.service = service;
    server.address = {"127.0.0.1", port};
    server.zone = "zone-a";
    server.region = "region-a";
    this->snapshots.Edit([&](RoutingSnapshot& snapshot) {
      snapshot.servers[service].push_back(server);
    });
  }

  void Configure() {
    auto configuration = std::make_shared<config::Configuration>();
    for (const char* name : {"alpha", "beta"}) {
      config::Customer customer;
      customer.name = name;
      customer.tokens = {HashOf("secret")};
      customer.max_concurrent = 500;
      configuration->customers[name] = customer;
    }
    config::Service llm;
    llm.name = "llm";
    llm.type = config::ServiceType::kModel;
    configuration->services["llm"] = llm;
    config::Service desk;
    desk.name = "desk";
    desk.require_idempotency_key = true;
    configuration->services["desk"] = desk;
    config::Model model;
    model.name = "m";
    model.service = "llm";
    configuration->models["m"] = model;
    this->snapshots.Edit([&](RoutingSnapshot& snapshot) {
      snapshot.configuration = configuration;
    });
  }

  static nlohmann::json Completion(const std::string& prompt, uint32_t tokens) {
    return {{"model", "m"},
            {"prompt", prompt},
            {"max_tokens", tokens},
            {"stream", true}};
  }

  httplib::Result Call(const std::string& method,
                       const std::string& path,
                       const std::string& body = {},
                       const httplib::Headers& extra = {}) const {
    httplib::Client client("127.0.0.1", this->entry->port);
    client.set_read_timeout(std::chrono::seconds(20));
    httplib::Request request;
    request.method = method;
    request.path = path;
    request.headers = extra;
    if (!request.has_header("Authorization")) {
      request.set_header("Authorization", kToken);
    }
    request.body = body;
    return client.send(request);
  }

  /** Reads a stream to its end. @param progress Tokens so far, if wanted. */
  static StreamedAnswer ReadStream(uint16_t port,
                                   const std::string& method,
                                   const std::string& path,
                                   const std::string& body,
                                   std::atomic<uint32_t>* progress = nullptr) {
    StreamedAnswer answer;
    SseParser parser(1U << 20);
    httplib::Client client("127.0.0.1", port);
    client.set_read_timeout(std::chrono::seconds(20));
    httplib::Request request;
    request.method = method;
    request.path = path;
    request.body = body;
    request.set_header("Authorization", kToken);
    request.response_handler = [&](const httplib::Response& response) {
      answer.status = response.status;
      answer.request_id = response.get_header_value("X-Request-Id");
      return true;
    };
    request.content_receiver = [&](const char* data, size_t length, uint64_t,
                                   uint64_t) {
      if (answer.status != 200) {
        answer.error = nlohmann::json::parse(std::string(data, length));
        return true;
      }
      return parser.Feed({data, length}, [&](const SseEvent& event) {
        Collect(event, answer);
        if (progress != nullptr) {
          *progress = answer.tokens;
        }
        return true;
      });
    };
    httplib::Response response;
    httplib::Error error = httplib::Error::Success;
    if (!client.send(request, response, error)) {
      answer.status = -1;
    }
    return answer;
  }

  static void Collect(const SseEvent& event, StreamedAnswer& answer) {
    if (event.data == "[DONE]") {
      answer.done = true;
      return;
    }
    const auto data = nlohmann::json::parse(event.data);
    if (event.name == "continue") {
      answer.continuation = data;
      return;
    }
    if (data.contains("error")) {
      answer.error = data;
      return;
    }
    const auto& choice = data["choices"].at(0);
    const std::string text = choice.contains("delta")
                                 ? choice["delta"].value("content", "")
                                 : choice.value("text", "");
    answer.text += text;
    answer.tokens += text.empty() ? 0 : 1;
  }

  StreamedAnswer Stream(const nlohmann::json& body,
                        std::atomic<uint32_t>* progress = nullptr) const {
    return ReadStream(this->entry->port, "POST", "/v1/completions", body.dump(),
                      progress);
  }

  /** Name of the refusal in a body. */
  static std::string ErrorName(const httplib::Result& result) {
    const auto body = nlohmann::json::parse(result->body, nullptr, false);
    return body.is_object() ? body["error"].value("name", "") : "not JSON";
  }

  TestSnapshots snapshots;
  FrontEndOptions options;
  std::vector<std::unique_ptr<standins::EngineStandin>> engines;
  std::unique_ptr<standins::PlainStandin> plain_service;
  std::unique_ptr<TestEntry> entry;
};

}  // namespace boragewharf::traffic
