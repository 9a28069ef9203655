/**
 * @file front_end_test.cc
 * Answers, refusals and keyed calls of the front end against stand-ins.
 */
#include <thread>

#include "front_end_fixture.h"

namespace boragewharf::traffic {
namespace {

using nlohmann::json;

// Guards against answers that are cut, reordered or given to another caller.
TEST_F(FrontEndTest, ConcurrentStreamsAreCompleteAndTheirOwn) {
  constexpr size_t kStreams = 100;
  constexpr uint32_t kTokens = 40;
  std::vector<std::thread> callers;
  std::atomic<size_t> correct{0};
  for (size_t i = 0; i < kStreams; ++i) {
    callers.emplace_back([&, i] {
      const std::string prompt = "prompt " + std::to_string(i);
      const StreamedAnswer answer = this->Stream(Completion(prompt, kTokens));
      const bool is_own =
          answer.text == standins::ExpectedText(prompt, kTokens);
      correct += answer.done && is_own ? 1 : 0;
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  EXPECT_EQ(correct, kStreams);
}

// Guards against differences between the forms of one answer.
TEST_F(FrontEndTest, PlainAndChatAnswersAreComplete) {
  json body = Completion("one two", 5);
  body["stream"] = false;
  const auto result = this->Call("POST", "/v1/completions", body.dump());
  ASSERT_TRUE(result);
  EXPECT_EQ(result->status, 200);
  EXPECT_EQ(result->get_header_value("X-Request-Id").size(), 32);
  const json answer = json::parse(result->body);
  EXPECT_EQ(answer["choices"][0]["text"], standins::ExpectedText("one two", 5));
  EXPECT_EQ(answer["choices"][0]["finish_reason"], "length");
  EXPECT_EQ(answer["usage"]["completion_tokens"], 5);
  EXPECT_EQ(answer["usage"]["prompt_tokens"], 2);

  const json chat{{"model", "m"},
                  {"max_tokens", 5},
                  {"messages", {{{"role", "user"}, {"content", "hello"}}}}};
  const auto chat_result =
      this->Call("POST", "/v1/chat/completions", chat.dump());
  ASSERT_TRUE(chat_result);
  EXPECT_EQ(json::parse(chat_result->body)["choices"][0]["message"]["content"],
            standins::ExpectedText(standins::ChatPrompt(chat), 5));
}

struct RefusalCase {
  const char* method;
  const char* path;
  std::string body;
  httplib::Headers headers;
  const char* name;
};

// Guards against refusals without number, and against input that stops the
// process.
TEST_F(FrontEndTest, BadInputIsRefusedWithItsOwnCode) {
  const std::string deep(100000, '[');
  const std::vector<RefusalCase> cases{
      {"POST", "/v1/completions", "{", {}, "malformed_json"},
      {"POST", "/v1/completions", deep, {}, "malformed_json"},
      {"POST", "/v1/completions", "[]", {}, "invalid_field"},
      {"POST", "/v1/completions", "{\"model\":\"m\"}", {}, "missing_field"},
      {"POST",
       "/v1/completions",
       R"({"model":"m","prompt":"","n":2})",
       {},
       "invalid_field"},
      {"POST",
       "/v1/completions",
       R"({"model":"m","prompt":"","max_tokens":0})",
       {},
       "invalid_field"},
      {"POST",
       "/v1/completions",
       R"({"model":"x","prompt":""})",
       {},
       "unknown_model"},
      {"POST",
       "/v1/chat/completions",
       R"({"model":"m","messages":[7]})",
       {},
       "invalid_field"},
      {"POST",
       "/v1/completions",
       std::string(5U << 20, 'x'),
       {},
       "body_too_large"},
      {"POST",
       "/v1/completions",
       "{}",
       {{"Authorization", "Bearer alpha.x"}},
       "unauthenticated"},
      {"POST",
       "/v1/completions",
       "{}",
       {{"Authorization", "alpha.secret"}},
       "unauthenticated"},
      {"POST",
       "/v1/completions",
       "{}",
       {{"Content-Encoding", "gzip"}},
       "invalid_field"},
      {"GET", "/services/none/a", "", {}, "unknown_service"},
      {"GET", "/services/llm/a", "", {}, "unknown_service"},
      {"POST", "/services/desk/a", "", {}, "idempotency_key_required"},
      {"POST",
       "/services/desk/a",
       "",
       {{"Idempotency-Key", "a b"}},
       "invalid_idempotency_key"},
      {"GET",
       "/v1/streams/00112233445566778899aabbccddeeff",
       "",
       {},
       "unknown_stream"},
      {"GET", "/nothing", "", {}, "not_found"},
      {"GET", "/admin/status", "", {}, "forbidden"},
  };
  for (const RefusalCase& test : cases) {
    const auto result =
        this->Call(test.method, test.path, test.body, test.headers);
    ASSERT_TRUE(result) << test.path << " " << test.name;
    EXPECT_EQ(ErrorName(result), test.name) << test.path;
    const json error = json::parse(result->body)["error"];
    const auto code = FindResultCode(test.name);
    ASSERT_TRUE(code);
    EXPECT_EQ(error["code"], static_cast<int>(*code));
    EXPECT_EQ(result->status, GetResultInfo(*code).http_status);
    EXPECT_FALSE(error["next_step"].get<std::string>().empty());
    EXPECT_FALSE(result->get_header_value("X-Request-Id").empty());
  }
  const auto after = this->Call("GET", "/v1/models");
  ASSERT_TRUE(after);
  EXPECT_EQ(after->status, 200);
}

// Guards against serving without a configuration or a serving lease.
TEST_F(FrontEndTest, RefusesWhileNotAllowedToServe) {
  const auto expect_refusal = [&](const char* name) {
    const auto result =
        this->Call("POST", "/v1/completions", Completion("a", 1).dump());
    ASSERT_TRUE(result);
    EXPECT_EQ(ErrorName(result), name);
    EXPECT_EQ(json::parse(result->body)["error"]["run_state"], "not_run");
    EXPECT_FALSE(result->get_header_value("Retry-After").empty());
    EXPECT_EQ(this->Call("GET", "/readyz")->status, 503);
  };
  this->snapshots.Edit([](RoutingSnapshot& snapshot) {
    snapshot.serving_lease_end = BootClock::now() - Duration(1);
  });
  expect_refusal("serving_lease_lapsed");
  this->snapshots.Edit([](RoutingSnapshot& snapshot) {
    snapshot.serving_lease_end.reset();
    snapshot.draining = true;
  });
  expect_refusal("draining");
  this->snapshots.Edit([](RoutingSnapshot& snapshot) {
    snapshot.draining = false;
    snapshot.configuration.reset();
  });
  expect_refusal("not_configured");
}

// Guards against a call whose body, query or headers change on the way.
TEST_F(FrontEndTest, PlainCallsPassUnchanged) {
  const auto read = this->Call("GET", "/services/desk/look%20up/x?q=%26a", "");
  ASSERT_TRUE(read);
  EXPECT_EQ(json::parse(read->body)["path"], "/look%20up/x?q=%26a");
  // The library parses multipart bodies by itself; a body that is lost here
  // would make both requests look the same under one key.
  const httplib::Headers form{
      {"Content-Type", "multipart/form-data; boundary=b"},
      {"Idempotency-Key", "form-1"}};
  const std::string head =
      "--b\r\nContent-Disposition: form-data; name=\"a\"\r\n\r\n";
  const std::string tail = "\r\n--b--\r\n";
  const auto one =
      this->Call("POST", "/services/desk/f", head + "1" + tail, form);
  const auto two =
      this->Call("POST", "/services/desk/f", head + "2" + tail, form);
  EXPECT_EQ(one->status, 200);
  EXPECT_EQ(ErrorName(two), "key_reused");
}

// Guards against a second run of a keyed request.
TEST_F(FrontEndTest, KeyedCallRunsOnceAndIsReplayed) {
  const httplib::Headers key{{"Idempotency-Key", "k1"}};
  const auto first = this->Call("POST", "/services/desk/book", "seat 4", key);
  const auto second = this->Call("POST", "/services/desk/book", "seat 4", key);
  ASSERT_TRUE(first && second);
  EXPECT_EQ(first->status, 200);
  EXPECT_EQ(second->body, first->body);
  EXPECT_EQ(second->get_header_value("Idempotency-Replayed"), "true");
  const auto other = this->Call("POST", "/services/desk/book", "seat 5", key);
  EXPECT_EQ(ErrorName(other), "key_reused");
  EXPECT_EQ(this->plain_service->RunsByKey()["k1"], 1);
}

// Guards against a repeat of a keyed request whose answer was lost.
TEST_F(FrontEndTest, KeyedCallWithLostAnswerNeverRunsAgain) {
  const httplib::Headers key{{"Idempotency-Key", "k2"}};
  this->plain_service->SetCutAnswers(true);
  const auto lost = this->Call("POST", "/services/desk/book", "seat 4", key);
  ASSERT_TRUE(lost);
  EXPECT_EQ(ErrorName(lost), "outcome_unknown");
  EXPECT_EQ(json::parse(lost->body)["error"]["run_state"], "may_have_run");
  this->plain_service->SetCutAnswers(false);
  const auto again = this->Call("POST", "/services/desk/book", "seat 4", key);
  EXPECT_EQ(ErrorName(again), "key_unresolved");
  EXPECT_EQ(this->plain_service->RunsByKey()["k2"], 1);
}

// Guards against a key that stays claimed although nothing was sent, and
// against sending without a committed claim.
TEST_F(FrontEndTest, KeyedCallThatWasNotSentMayRunLater) {
  const httplib::Headers key{{"Idempotency-Key", "k3"}};
  this->entry->claims.available = false;
  const auto unclaimed =
      this->Call("POST", "/services/desk/book", "seat 4", key);
  EXPECT_EQ(ErrorName(unclaimed), "ledger_unavailable");
  this->entry->claims.available = true;
  EXPECT_EQ(this->plain_service->RunsByKey().count("k3"), 0);

  backend::BackendServer real;
  this->snapshots.Edit([&](RoutingSnapshot& snapshot) {
    real = snapshot.servers["desk"][0];
    snapshot.servers["desk"][0].address.port = 1;
  });
  const auto refused = this->Call("POST", "/services/desk/book", "seat 4", key);
  EXPECT_EQ(ErrorName(refused), "backend_unreachable");
  EXPECT_EQ(json::parse(refused->body)["error"]["run_state"], "not_run");
  this->snapshots.Edit(
      [&](RoutingSnapshot& snapshot) { snapshot.servers["desk"][0] = real; });
  const auto later = this->Call("POST", "/services/desk/book", "seat 4", key);
  EXPECT_EQ(later->status, 200);
  EXPECT_EQ(this->plain_service->RunsByKey()["k3"], 1);
}

// Guards against callers that are sent to a leaving instance.
TEST_F(FrontEndTest, EntriesListOwnZoneFirstAndNoneLeaving) {
  this->snapshots.Edit([](RoutingSnapshot& snapshot) {
    snapshot.entries = {
        {"entry-9", {"10.0.0.9", 80}, "zone-z", "region-z", false},
        {"entry-2", {"10.0.0.2", 80}, "zone-b", "region-a", false},
        {"entry-1", {"10.0.0.1", 80}, "zone-a", "region-a", true},
        {"entry-0", {"10.0.0.0", 80}, "zone-a", "region-a", false}};
  });
  const auto result = this->Call("GET", "/v1/entries");
  ASSERT_TRUE(result);
  const json body = json::parse(result->body);
  ASSERT_EQ(body["entries"].size(), 3);
  EXPECT_EQ(body["entries"][0]["address"], "10.0.0.0:80");
  EXPECT_EQ(body["entries"][1]["zone"], "zone-b");
  EXPECT_EQ(body["entries"][2]["zone"], "zone-z");
  EXPECT_EQ(body["lifetime_seconds"], 30);
}

}  // namespace
}  // namespace boragewharf::traffic
