/**
 * @file daemon_process_test.cc
 * Promises of the system with real daemons as processes.
 */
#include <gtest/gtest.h>
#include <signal.h>

#include <future>

#include "deployment.h"
#include "standins/token_func.h"

namespace boragewharf::integration {
namespace {

using nlohmann::json;
using std::chrono::seconds;

json ModelTicket(int number, int base, const std::string& name) {
  return {{"ticket", number},
          {"base", base},
          {"set",
           {{{"kind", "model"},
             {"name", name},
             {"service", "llm"},
             {"version", "1"},
             {"replicas", 2}}}}};
}

std::string RunStateOf(const httplib::Result& answer) {
  const json body = json::parse(answer->body, nullptr, false);
  return body.value("/error/run_state"_json_pointer, "");
}

class DaemonProcessTest : public testing::Test {
 protected:
  void SetUp() override { ASSERT_TRUE(this->deployment.Start()); }

  httplib::Result Complete(size_t index, const std::string& prompt) const {
    const json body = {
        {"model", "small"}, {"prompt", prompt}, {"max_tokens", 4}};
    return this->deployment.Caller(index)->Post("/v1/completions", body.dump(),
                                                "application/json");
  }

  Deployment deployment;
};

// Guards against a second run when a caller repeats a finished non-idempotent
// request through other entry instances.
TEST_F(DaemonProcessTest, RepeatedKeyRunsOnce) {
  constexpr int kKeys = 20;
  for (int i = 0; i < kKeys; ++i) {
    const std::string key = "booking-" + std::to_string(i);
    const auto first = this->deployment.Book(i % 3, key);
    ASSERT_TRUE(first && first->status == 200) << key;
    const auto second = this->deployment.Book((i + 1) % 3, key);
    ASSERT_TRUE(second && second->status == 200) << key;
    EXPECT_EQ(second->body, first->body);
    EXPECT_EQ(second->get_header_value("Idempotency-Replayed"), "true");
  }
  const auto runs = this->deployment.plain.RunsByKey();
  EXPECT_EQ(runs.size(), kKeys);
  for (const auto& [key, count] : runs) {
    EXPECT_EQ(count, 1U) << key;
  }
}

// Guards against lost idempotent service, a false "not run" and a daemon that
// starts without the accepted configuration while the store is out.
TEST_F(DaemonProcessTest, StoreOutage) {
  this->deployment.platform.Control(R"({"outage":"refuse"})");
  const auto refused = this->deployment.Book(0, "during-outage");
  ASSERT_TRUE(refused);
  EXPECT_EQ(refused->status, 503);
  EXPECT_EQ(RunStateOf(refused), "not_run");
  EXPECT_TRUE(this->deployment.plain.RunsByKey().empty());

  this->deployment.Signal(2, SIGKILL);
  this->deployment.WaitForExit(2);
  this->deployment.StartDaemon(2);
  EXPECT_TRUE(this->deployment.WaitUntilReady(2, seconds(30)));
  const auto models = this->deployment.Caller(2)->Get("/v1/models");
  ASSERT_TRUE(models);
  EXPECT_NE(models->body.find("small"), std::string::npos);
  for (size_t i = 0; i < 2; ++i) {
    const auto answer = this->Complete(i, "outage");
    ASSERT_TRUE(answer && answer->status == 200) << i;
    EXPECT_NE(answer->body.find(standins::ExpectedText("outage", 4)),
              std::string::npos);
  }
}

// Guards against a planned stop that cuts off a stream in flight.
TEST_F(DaemonProcessTest, GracefulShutdownFinishesStreams) {
  static constexpr int kTokens = 100;
  std::future<std::string> stream = std::async(std::launch::async, [this] {
    const json body = {{"model", "small"},
                       {"prompt", "long"},
                       {"max_tokens", kTokens},
                       {"stream", true}};
    const auto answer = this->deployment.Caller(0)->Post(
        "/v1/completions", body.dump(), "application/json");
    return answer ? answer->body : std::string();
  });
  ASSERT_TRUE(WaitFor(seconds(10), [this] {
    return this->deployment.engines[0]->TokensGenerated() +
               this->deployment.engines[1]->TokensGenerated() >
           10;
  }));
  this->deployment.Signal(0, SIGTERM);
  const std::string body = stream.get();
  EXPECT_NE(body.find("id: " + std::to_string(kTokens) + "\n"),
            std::string::npos);
  EXPECT_NE(body.find("data: [DONE]"), std::string::npos);
  EXPECT_EQ(this->deployment.WaitForExit(0), 0);
}

// Guards against a paused daemon that serves the former configuration after a
// ticket was accepted without it.
TEST_F(DaemonProcessTest, PausedDaemonServesNothingOld) {
  this->deployment.Signal(2, SIGSTOP);
  ASSERT_TRUE(WaitFor(seconds(60), [this] {
    return this->deployment.FileTicket(0, ModelTicket(2, 1, "large")) == 200;
  }));
  this->deployment.Signal(2, SIGCONT);
  // Answers from the first moment on have the new model or are refusals.
  for (int i = 0; i < 50; ++i) {
    const auto models = this->deployment.Caller(2)->Get("/v1/models");
    if (models && models->status == 200) {
      EXPECT_NE(models->body.find("large"), std::string::npos);
    }
  }
  EXPECT_TRUE(this->deployment.WaitUntilReady(2, seconds(30)));
}

}  // namespace
}  // namespace boragewharf::integration
