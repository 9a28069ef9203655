/**
 * @file traffic_unit_test.cc
 * Parts of the front end without sockets.
 */
#include <gtest/gtest.h>

#include "base/digest_func.h"
#include "base/result_func.h"
#include "traffic/auth_func.h"
#include "traffic/completion_func.h"
#include "traffic/move_func.h"
#include "traffic/sse_parser_base.h"
#include "traffic/stream_base.h"

namespace boragewharf::traffic {
namespace {

using nlohmann::json;

std::vector<SseEvent> ParseInPieces(std::string_view bytes, size_t size) {
  SseParser parser(1024);
  std::vector<SseEvent> events;
  for (size_t at = 0; at < bytes.size(); at += size) {
    EXPECT_TRUE(parser.Feed(bytes.substr(at, size), [&](const SseEvent& event) {
      events.push_back(event);
      return true;
    }));
  }
  return events;
}

// Guards against events that depend on how the bytes were split, and against
// half an event when a connection is cut.
TEST(SseParserTest, EventsDoNotDependOnReads) {
  const std::string_view bytes =
      ": comment\n\ndata: a\n\nevent: x\r\ndata: b\r\ndata:c\r\n\r\n"
      "id: 7\n\ndata: cut";
  for (size_t size = 1; size <= bytes.size(); ++size) {
    const auto events = ParseInPieces(bytes, size);
    ASSERT_EQ(events.size(), 2) << size;
    EXPECT_EQ(events[0].data, "a");
    EXPECT_EQ(events[0].name, "");
    EXPECT_EQ(events[1].data, "b\nc");
    EXPECT_EQ(events[1].name, "x");
  }
}

// Guards against memory that a server can fill with one endless event.
TEST(SseParserTest, RefusesEventsBeyondTheLimit) {
  SseParser parser(16);
  EXPECT_FALSE(parser.Feed("data: 0123456789abcdef",
                           [](const SseEvent&) { return true; }));
  EXPECT_EQ(LastReason().code, ResultCode::kBodyTooLarge);
}

config::Configuration OneCustomer() {
  const std::string salt(16, 'x');
  config::Customer customer;
  customer.name = "alpha";
  for (const char* secret : {"old.one", "new"}) {
    customer.tokens.push_back(
        {HexEncode(salt), HexEncode(Sha256(salt + secret))});
  }
  config::Configuration configuration;
  configuration.customers["alpha"] = customer;
  return configuration;
}

// Guards against tokens of one customer that open another's account, and
// against a change of token that locks a customer out.
TEST(AuthenticationTest, AcceptsOnlyTheCustomersTokens) {
  const config::Configuration configuration = OneCustomer();
  EXPECT_NE(FindCustomer(configuration, "Bearer alpha.new"), nullptr);
  EXPECT_NE(FindCustomer(configuration, "Bearer alpha.old.one"), nullptr);
  for (const char* header :
       {"", "Bearer ", "Bearer alpha", "Bearer alpha.", "Bearer alpha.ne",
        "Bearer beta.new", "Bearer .new", "alpha.new", "Basic alpha.new"}) {
    EXPECT_EQ(FindCustomer(configuration, header), nullptr) << header;
    EXPECT_EQ(LastReason().code, ResultCode::kUnauthenticated);
  }
}

CompletionRequest Request(const json& body, bool is_chat) {
  const auto request = ParseCompletion(body.dump(), is_chat);
  EXPECT_TRUE(request);
  return request.value_or(CompletionRequest{});
}

// Guards against a resumed request that repeats text or exceeds the limit.
TEST(ResumeTest, ContinuesAfterTheTextReceived) {
  const auto plain =
      Request({{"model", "m"}, {"prompt", "a"}, {"max_tokens", 9}}, false);
  const json resumed = json::parse(UpstreamBody(plain, " b c", 2));
  EXPECT_EQ(resumed["prompt"], "a b c");
  EXPECT_EQ(resumed["max_tokens"], 7);
  EXPECT_EQ(resumed["stream"], true);

  const json turn{{"role", "user"}, {"content", "hi"}};
  const auto chat = Request(
      {{"model", "m"}, {"messages", {turn}}, {"max_completion_tokens", 5}},
      true);
  const json first = json::parse(UpstreamBody(chat, "", 0));
  EXPECT_EQ(first["messages"].size(), 1);
  EXPECT_FALSE(first.contains("continue_final_message"));
  const json second = json::parse(UpstreamBody(chat, " x", 1));
  EXPECT_EQ(second["messages"].back()["content"], " x");
  EXPECT_EQ(second["messages"].back()["role"], "assistant");
  EXPECT_EQ(second["continue_final_message"], true);
  EXPECT_EQ(second["max_completion_tokens"], 4);

  const json begun{{"role", "assistant"}, {"content", "so"}};
  const auto continued = Request({{"model", "m"},
                                  {"messages", {turn, begun}},
                                  {"continue_final_message", true}},
                                 true);
  const json third = json::parse(UpstreamBody(continued, " far", 1));
  EXPECT_EQ(third["messages"].size(), 2);
  EXPECT_EQ(third["messages"].back()["content"], "so far");
}

// Guards against an engine's default limit that starts anew with each resumed
// part.
TEST(ResumeTest, MakesTheDefaultLimitExplicit) {
  const auto request = Request({{"model", "m"}, {"prompt", "a"}}, false);
  EXPECT_EQ(request.max_tokens, 16);
  EXPECT_EQ(json::parse(UpstreamBody(request, " b", 1))["max_tokens"], 15);
}

std::unique_ptr<Stream> NewStream(uint32_t max_tokens) {
  auto request = Request(
      {{"model", "m"}, {"prompt", "a"}, {"max_tokens", max_tokens}}, false);
  return std::make_unique<Stream>(NewRequestId(), "alpha", std::move(request),
                                  BootClock::now() + std::chrono::seconds(30),
                                  Digest{});
}

// Guards against late output of a former server in the answer.
TEST(StreamTest, FencesOffEarlierAttempts) {
  const auto stream = NewStream(10);
  const auto first = stream->BeginAttempt("a");
  ASSERT_TRUE(first);
  EXPECT_TRUE(stream->Append(first->number, " one"));
  bool interrupted = false;
  EXPECT_TRUE(stream->SetInterrupt(first->number, [&] { interrupted = true; }));
  EXPECT_TRUE(stream->RequestMove(first->number));
  EXPECT_TRUE(interrupted);
  EXPECT_FALSE(stream->Append(first->number, " late"));
  const auto second = stream->BeginAttempt("b");
  ASSERT_TRUE(second);
  EXPECT_EQ(second->text, " one");
  EXPECT_EQ(second->received, 1);
  EXPECT_FALSE(stream->Append(first->number, " late"));
  stream->Finish(first->number, "stop");
  EXPECT_EQ(stream->State(), StreamState::kRunning);
  EXPECT_TRUE(stream->Append(second->number, " two"));
  stream->Finish(second->number, "length");
  const StreamPart part = stream->Read(1, Duration(0));
  EXPECT_EQ(part.text, " two");
  EXPECT_EQ(part.state, StreamState::kFinished);
  EXPECT_EQ(part.usage.completion_tokens, 2);
}

// Guards against tokens that arrive between a handover's copy and its end.
TEST(StreamTest, PauseFreezesTheText) {
  const auto stream = NewStream(10);
  const auto attempt = stream->BeginAttempt("a");
  EXPECT_TRUE(stream->Append(attempt->number, " one"));
  const auto transfer = stream->Pause();
  ASSERT_TRUE(transfer);
  EXPECT_FALSE(stream->Append(attempt->number, " two"));
  EXPECT_EQ(transfer->text, " one");
  EXPECT_FALSE(stream->Pause());
  stream->Resume();
  EXPECT_TRUE(stream->BeginAttempt("a"));
  EXPECT_TRUE(stream->Pause());
  stream->CompleteHandover({"127.0.0.1", 1});
  EXPECT_EQ(stream->Read(0, Duration(0)).state, StreamState::kHandedOver);
  EXPECT_FALSE(stream->BeginAttempt("a"));
}

// Guards against streams that are moved too late or without need.
TEST(MoveTest, EstimatesFromTheAttemptsRate) {
  const TimePoint start(std::chrono::seconds(100));
  AttemptProgress progress;
  progress.started = start;
  progress.tokens = 10;
  progress.remaining = 20;
  const TimePoint now = start + std::chrono::seconds(1);
  EXPECT_TRUE(
      WouldFinishBefore(progress, now, now + std::chrono::milliseconds(2001)));
  EXPECT_FALSE(
      WouldFinishBefore(progress, now, now + std::chrono::milliseconds(1999)));
  progress.remaining = 0;
  EXPECT_FALSE(WouldFinishBefore(progress, now, now + std::chrono::hours(1)));
  const MoveBounds bounds{std::chrono::seconds(2), std::chrono::seconds(4)};
  for (uint64_t key : {0ULL, 12345678901ULL, ~0ULL}) {
    const TimePoint time = MoveTime(start, bounds, key);
    EXPECT_LE(time, start - std::chrono::seconds(2));
    EXPECT_GT(time, start - std::chrono::seconds(6));
  }
}

}  // namespace
}  // namespace boragewharf::traffic
