/**
 * @file relay_latency.cc
 * Measures what the front end adds to a call, against the same call without
 * it. Prints figures; not part of the test run, because they depend on the
 * load of the machine.
 */
#include <algorithm>
#include <cstdio>
#include <functional>
#include <optional>

#include "front_end_fixture.h"

namespace boragewharf::traffic {
namespace {

constexpr int kWarmUpCalls = 200;
constexpr int kCalls = 3000;
constexpr uint32_t kStreamTokens = 200;
constexpr int kStreams = 100;

struct Figures {
  double median_us = 0;
  double p99_us = 0;
};

Figures Measure(int calls, const std::function<void()>& call) {
  std::vector<double> times;
  for (int i = 0; i < kWarmUpCalls + calls; ++i) {
    const auto start = std::chrono::steady_clock::now();
    call();
    const auto time = std::chrono::steady_clock::now() - start;
    if (i >= kWarmUpCalls) {
      times.push_back(std::chrono::duration<double, std::micro>(time).count());
    }
  }
  std::ranges::sort(times);
  return {times[times.size() / 2], times[times.size() * 99 / 100]};
}

void Print(const char* name, const Figures& direct, const Figures& relayed) {
  std::printf(
      "%-14s direct %7.0f / %7.0f us, relayed %7.0f / %7.0f us, added %5.0f "
      "us at the median, %5.0f us at p99\n",
      name, direct.median_us, direct.p99_us, relayed.median_us, relayed.p99_us,
      relayed.median_us - direct.median_us, relayed.p99_us - direct.p99_us);
}

class RelayLatency : public FrontEndTest {
 protected:
  void SetUp() override {
    FrontEndTest::SetUp();
    for (const auto& engine : this->engines) {
      engine->Change([](standins::EngineControl& control) {
        control.token_time = std::chrono::microseconds(0);
        control.first_token_time = std::chrono::microseconds(0);
      });
    }
  }

  uint16_t ServerPort(const char* service) const {
    return this->snapshots.Get()->servers.at(service)[0].address.port;
  }

  static Figures Get(uint16_t port, const std::string& path) {
    httplib::Client client("127.0.0.1", port);
    client.set_keep_alive(true);
    client.set_tcp_nodelay(true);
    return Measure(kCalls, [&] {
      ASSERT_EQ(client.Get(path, {{"Authorization", kToken}})->status, 200);
    });
  }

  static Figures Post(uint16_t port, uint32_t tokens, int calls) {
    httplib::Client client("127.0.0.1", port);
    client.set_keep_alive(true);
    client.set_tcp_nodelay(true);
    const std::string body = Completion("measured", tokens).dump();
    return Measure(calls, [&] {
      const auto result =
          client.Post("/v1/completions", {{"Authorization", kToken}}, body,
                      "application/json");
      ASSERT_EQ(result->status, 200);
    });
  }
};

/** Time to the first event of a stream. */
Figures FirstToken(uint16_t port) {
  httplib::Client client("127.0.0.1", port);
  client.set_keep_alive(true);
  client.set_tcp_nodelay(true);
  const std::string body = nlohmann::json{
      {"model", "m"},
      {"prompt", "measured"},
      {"max_tokens", 2},
      {"stream", true}}.dump();
  std::vector<double> times;
  for (int i = 0; i < kWarmUpCalls + kCalls; ++i) {
    const auto start = std::chrono::steady_clock::now();
    std::optional<std::chrono::steady_clock::duration> first;
    httplib::Request request;
    request.method = "POST";
    request.path = "/v1/completions";
    request.body = body;
    request.set_header("Authorization", kToken);
    request.content_receiver = [&](const char*, size_t, uint64_t, uint64_t) {
      first = first.value_or(std::chrono::steady_clock::now() - start);
      return true;
    };
    httplib::Response response;
    httplib::Error error = httplib::Error::Success;
    EXPECT_TRUE(client.send(request, response, error));
    if (i >= kWarmUpCalls && first) {
      times.push_back(
          std::chrono::duration<double, std::micro>(*first).count());
    }
  }
  std::ranges::sort(times);
  return {times[times.size() / 2], times[times.size() * 99 / 100]};
}

TEST_F(RelayLatency, AddedTime) {
  Print("plain GET", Get(this->ServerPort("desk"), "/x"),
        Get(this->entry->port, "/services/desk/x"));
  Print("first token", FirstToken(this->ServerPort("llm")),
        FirstToken(this->entry->port));
  Print("one token", Post(this->ServerPort("llm"), 1, kCalls),
        Post(this->entry->port, 1, kCalls));
  Print("200 tokens", Post(this->ServerPort("llm"), kStreamTokens, kStreams),
        Post(this->entry->port, kStreamTokens, kStreams));
}

}  // namespace
}  // namespace boragewharf::traffic
