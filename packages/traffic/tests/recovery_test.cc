/**
 * @file recovery_test.cc
 * Streams whose backend server or entry instance ends, against stand-ins.
 */
#include <algorithm>
#include <atomic>
#include <span>
#include <thread>

#include "front_end_fixture.h"

namespace boragewharf::traffic {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr uint32_t kTokens = 200;
constexpr uint32_t kTokensBeforeFault = 20;

/** Streams take 0.8 s, longer than their threads take to start on a busy
 * machine. */
constexpr milliseconds kTokenTime(4);

class RecoveryTest : public FrontEndTest {
 protected:
  void SetUp() override {
    FrontEndTest::SetUp();
    for (const auto& engine : this->engines) {
      engine->Change([](standins::EngineControl& control) {
        control.token_time = kTokenTime;
      });
    }
  }

  /**
   * Starts @p count streams and runs @p fault in their middle: once each caller
   * has kTokensBeforeFault tokens. Their sum alone says nothing of the streams
   * of one engine, which may not have begun on a busy machine.
   */
  template <class Fault>
  std::vector<StreamedAnswer> RunWithFault(size_t count, Fault fault) {
    std::vector<StreamedAnswer> answers(count);
    std::vector<std::atomic<uint32_t>> received(count);
    std::vector<std::thread> callers;
    for (size_t i = 0; i < count; ++i) {
      callers.emplace_back([&, i] {
        answers[i] = this->Stream(Completion(Prompt(i), kTokens), &received[i]);
      });
    }
    AwaitEach(received);
    fault();
    for (std::thread& caller : callers) {
      caller.join();
    }
    return answers;
  }

  static std::string Prompt(size_t i) { return "story " + std::to_string(i); }

  void AwaitTokens(int64_t tokens) {
    for (int i = 0; i < 2000; ++i) {
      if (this->entry->Counter("tokens_received_total") >= tokens) {
        return;
      }
      std::this_thread::sleep_for(milliseconds(1));
    }
    FAIL() << "streams do not proceed";
  }

  /** Waits until each caller has kTokensBeforeFault tokens. */
  static void AwaitEach(std::span<const std::atomic<uint32_t>> received) {
    const auto has_begun = [](const std::atomic<uint32_t>& tokens) {
      return tokens >= kTokensBeforeFault;
    };
    const TimePoint end = BootClock::now() + std::chrono::seconds(20);
    while (!std::ranges::all_of(received, has_begun)) {
      ASSERT_LT(BootClock::now(), end) << "streams do not proceed";
      std::this_thread::sleep_for(milliseconds(1));
    }
  }

  static void ExpectAllComplete(const std::vector<StreamedAnswer>& answers) {
    for (size_t i = 0; i < answers.size(); ++i) {
      EXPECT_TRUE(answers[i].done) << answers[i].error;
      EXPECT_EQ(answers[i].tokens, kTokens);
      EXPECT_EQ(answers[i].text, standins::ExpectedText(Prompt(i), kTokens));
    }
  }

  /** Marks a server as leaving with that much notice. */
  void Reclaim(size_t index, std::optional<Duration> notice) {
    this->snapshots.Edit([&](RoutingSnapshot& snapshot) {
      auto& server = snapshot.servers["llm"][index];
      server.status = backend::BackendStatus::kLeaving;
      server.reclaim_deadline =
          notice ? BootClock::now() + *notice : TimePoint();
    });
    this->entry->front.OnSnapshotChanged();
  }

  static httplib::Result Get(uint16_t port,
                             const std::string& path,
                             const char* token) {
    httplib::Client client("127.0.0.1", port);
    client.set_read_timeout(std::chrono::seconds(20));
    return client.Get(path, {{"Authorization", token}});
  }

  /** A second entry instance, which adopts the streams of the first. */
  std::unique_ptr<TestEntry> AddPeer() {
    auto peer = std::make_unique<TestEntry>(this->snapshots, this->options);
    this->entry->handovers.peer = &peer->front;
    this->entry->handovers.address = {"127.0.0.1", peer->port};
    return peer;
  }

  bool DrainWithin(Duration time) {
    return this->entry->front.Drain(BootClock::now() + time);
  }
};

// Guards against lost, repeated or mixed tokens when a server dies.
TEST_F(RecoveryTest, StreamsResumeAfterServerDies) {
  const auto answers =
      this->RunWithFault(30, [this] { this->engines[0]->Kill(); });
  ExpectAllComplete(answers);
  EXPECT_GT(this->entry->Counter("stream_resumes_total"), 0);
  EXPECT_GT(this->entry->Counter("tokens_recomputed_total", "part=\"answer\""),
            0);
  EXPECT_GT(this->entry->observations.Count(ObservationKind::kBroken), 0);
}

// Guards against streams that wait for ever on a connection that went silent.
TEST_F(RecoveryTest, StreamsResumeAfterConnectionGoesSilent) {
  const auto answers = this->RunWithFault(
      30, [this] { this->engines[1]->SilenceOpenConnections(); });
  ExpectAllComplete(answers);
  EXPECT_GT(this->entry->observations.Count(ObservationKind::kSilent), 0);
}

// Guards against idle connections to a silent server that each delay a later
// request by the silence bound.
TEST_F(RecoveryTest, IdleConnectionsAreDroppedWithTheSilentOne) {
  this->RunWithFault(30, [] {});
  for (const auto& engine : this->engines) {
    engine->SilenceOpenConnections();
  }
  const auto started = BootClock::now();
  for (int i = 0; i < 30; ++i) {
    EXPECT_TRUE(this->Stream(Completion("next", 3)).done);
  }
  // One silence bound per server, and the back-off after a second failure.
  const auto bound = this->options.silence_bound * kEngines;
  EXPECT_LT(BootClock::now() - started, bound + std::chrono::seconds(2));
  EXPECT_LE(this->entry->observations.Count(ObservationKind::kSilent),
            kEngines);
}

// Guards against moves that recompute streams which end in time anyway, and
// against streams that stay on a reclaimed server.
TEST_F(RecoveryTest, OnlyStreamsThatWouldNotFinishAreMoved) {
  const auto finishing = this->RunWithFault(
      12, [this] { this->Reclaim(0, std::chrono::seconds(20)); });
  ExpectAllComplete(finishing);
  EXPECT_EQ(this->entry->Counter("stream_moves_total"), 0);
  EXPECT_EQ(this->entry->Counter("stream_resumes_total"), 0);

  this->engines[1]->Change([](standins::EngineControl& control) {
    control.token_time = milliseconds(50);
  });
  const auto moved =
      this->RunWithFault(12, [this] { this->Reclaim(1, milliseconds(2500)); });
  ExpectAllComplete(moved);
  EXPECT_GT(this->entry->Counter("stream_moves_total"), 0);
  EXPECT_EQ(this->entry->observations.Count(ObservationKind::kBroken), 0);
}

// Guards against new work on a server that leaves without deadline, and
// against its streams being interrupted.
TEST_F(RecoveryTest, PlannedStopInterruptsNothing) {
  const auto answers =
      this->RunWithFault(12, [&] { this->Reclaim(2, std::nullopt); });
  ExpectAllComplete(answers);
  EXPECT_EQ(this->entry->Counter("stream_resumes_total"), 0);
  const std::map<std::string, uint32_t> before = this->engines[2]->Runs();
  for (int i = 0; i < 10; ++i) {
    EXPECT_TRUE(this->Stream(Completion("late", 3)).done);
  }
  EXPECT_EQ(this->engines[2]->Runs(), before);
}

// Guards against work that goes on for callers who left.
TEST_F(RecoveryTest, CallerDisconnectCancelsTheRun) {
  for (const bool streamed : {true, false}) {
    json body = Completion("abandoned", 100000);
    body["stream"] = streamed;
    httplib::Client client("127.0.0.1", this->entry->port);
    const int64_t before = this->entry->Counter("tokens_received_total");
    std::thread caller([&] {
      client.Post("/v1/completions", {{"Authorization", kToken}}, body.dump(),
                  "application/json");
    });
    this->AwaitTokens(before + 10);
    client.stop();
    caller.join();
    uint32_t running = 1;
    for (int i = 0; i < 200 && running > 0; ++i) {
      std::this_thread::sleep_for(milliseconds(10));
      running = 0;
      for (const auto& engine : this->engines) {
        running += engine->Running();
      }
    }
    EXPECT_EQ(running, 0) << "streamed: " << streamed;
    EXPECT_EQ(this->entry->front.OpenStreams(), 0);
  }
}

// Guards against streams that are lost or repeated when an entry instance
// drains, and against streams that other customers can read.
TEST_F(RecoveryTest, DrainHandsStreamsOverToPeer) {
  const auto peer = this->AddPeer();
  bool drained = false;
  const auto parts = this->RunWithFault(
      20, [&] { drained = this->DrainWithin(std::chrono::seconds(5)); });
  EXPECT_TRUE(drained);
  for (size_t i = 0; i < parts.size(); ++i) {
    ASSERT_FALSE(parts[i].continuation.is_null()) << parts[i].error;
    const std::string path =
        "/v1/streams/" + parts[i].continuation["stream"].get<std::string>();
    EXPECT_EQ(parts[i].continuation["position"], parts[i].tokens);
    EXPECT_EQ(parts[i].continuation["addresses"][0],
              "127.0.0.1:" + std::to_string(peer->port));
    EXPECT_EQ(Get(peer->port, path, kOtherToken)->status, 404);
    const StreamedAnswer rest =
        ReadStream(peer->port, "GET",
                   path + "?from=" + std::to_string(parts[i].tokens), "");
    EXPECT_TRUE(rest.done) << rest.error;
    EXPECT_EQ(parts[i].text + rest.text,
              standins::ExpectedText(Prompt(i), kTokens));
  }
}

// Guards against a stream that continues from an outdated text because the
// answer to the first offer of it was lost.
TEST_F(RecoveryTest, RepeatedHandoverContinuesFromTheLaterText) {
  StreamTransfer transfer;
  transfer.id = NewRequestId();
  transfer.customer = "alpha";
  transfer.streamed = true;
  transfer.body = Completion("offered twice", 50).dump();
  transfer.remaining_ms = 20000;
  ASSERT_TRUE(this->entry->front.Adopt(transfer));
  transfer.text = " chosen";
  transfer.piece_ends = {7};
  ASSERT_TRUE(this->entry->front.Adopt(transfer));
  const StreamedAnswer answer =
      ReadStream(this->entry->port, "GET",
                 "/v1/streams/" + ToString(transfer.id) + "?from=0", "");
  EXPECT_TRUE(answer.done);
  EXPECT_EQ(answer.text,
            " chosen" + standins::ExpectedText("offered twice chosen", 49));
  transfer.piece_ends = {9};
  EXPECT_FALSE(this->entry->front.Adopt(transfer));
}

// Guards against callers of plain JSON answers that a drain leaves without
// answer.
TEST_F(RecoveryTest, DrainRedirectsPlainAnswers) {
  const auto peer = this->AddPeer();
  json body = Completion("redirected", kTokens);
  body["stream"] = false;
  httplib::Result first(nullptr, httplib::Error::Unknown);
  std::thread caller(
      [&] { first = this->Call("POST", "/v1/completions", body.dump()); });
  this->AwaitTokens(20);
  EXPECT_TRUE(this->DrainWithin(std::chrono::seconds(5)));
  caller.join();
  ASSERT_TRUE(first);
  ASSERT_EQ(first->status, 303) << first->body;
  const std::string location = first->get_header_value("Location");
  const std::string path = location.substr(location.find("/v1/"));
  const auto second = Get(peer->port, path, kToken);
  ASSERT_TRUE(second);
  EXPECT_EQ(json::parse(second->body)["choices"][0]["text"],
            standins::ExpectedText("redirected", kTokens));
}

// Guards against a drain that loses streams which no peer adopts.
TEST_F(RecoveryTest, StreamsContinueIfNoPeerAdopts) {
  const auto answers = this->RunWithFault(
      10, [&] { EXPECT_TRUE(this->DrainWithin(std::chrono::seconds(6))); });
  ExpectAllComplete(answers);
  const auto refused =
      this->Call("POST", "/v1/completions", Completion("a", 1).dump());
  EXPECT_EQ(ErrorName(refused), "draining");
}

// Guards against requests that report a run although every server refused.
TEST_F(RecoveryTest, RefusalOfAllServersIsNotRun) {
  for (const auto& engine : this->engines) {
    engine->Change(
        [](standins::EngineControl& control) { control.refuse = true; });
  }
  const StreamedAnswer answer = this->Stream(Completion("a", 1));
  EXPECT_EQ(answer.status, 503);
  EXPECT_EQ(answer.error["error"]["name"], "backend_refused");
  EXPECT_EQ(answer.error["error"]["run_state"], "not_run");
  for (const auto& engine : this->engines) {
    EXPECT_TRUE(engine->Runs().empty());
  }
}

// Guards against a request that crashes one server after another.
TEST_F(RecoveryTest, CrashingRequestStopsWithinTheRetryLimit) {
  for (const auto& engine : this->engines) {
    engine->Change([](standins::EngineControl& control) {
      control.crash_marker = "BOOM";
    });
  }
  const StreamedAnswer answer = this->Stream(Completion("BOOM", 5));
  EXPECT_EQ(answer.status, 502);
  EXPECT_EQ(answer.error["error"]["run_state"], "may_have_run");
  EXPECT_EQ(this->entry->observations.Count(ObservationKind::kBroken), 3);
}

// Guards against connections beyond the bound that wait without an answer.
TEST_F(RecoveryTest, ConnectionsBeyondTheBoundAreRefused) {
  std::vector<std::unique_ptr<httplib::Client>> idle;
  for (size_t i = 0; i < this->options.max_connections; ++i) {
    idle.push_back(
        std::make_unique<httplib::Client>("127.0.0.1", this->entry->port));
    idle.back()->set_keep_alive(true);
    ASSERT_EQ(idle.back()->Get("/healthz")->status, 200);
  }
  const auto started = BootClock::now();
  const auto refused = this->Call("GET", "/v1/models");
  ASSERT_TRUE(refused);
  EXPECT_EQ(ErrorName(refused), "too_many_connections");
  EXPECT_LT(BootClock::now() - started, milliseconds(1000));
  idle.clear();
  httplib::Result after(nullptr, httplib::Error::Unknown);
  for (int i = 0; i < 100 && (!after || after->status != 200); ++i) {
    std::this_thread::sleep_for(milliseconds(10));
    after = this->Call("GET", "/v1/models");
  }
  EXPECT_EQ(after->status, 200);
}

}  // namespace
}  // namespace boragewharf::traffic
