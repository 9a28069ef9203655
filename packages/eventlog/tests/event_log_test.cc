/**
 * @file event_log_test.cc
 * Tests the line format, the rate limits, and a stalled reader.
 */
#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <thread>
#include <vector>

#include "base/scope_guard.h"
#include "eventlog/event_log_base.h"
#include "eventlog/handler_guard_base.h"

namespace boragewharf {
namespace {

TEST(RenderEventTest, LineIsOneJsonObject) {
  const std::string line =
      RenderEvent("node-1", 42, EventLevel::kWarning, "request",
                  {{"id", "a\"b\n"}, {"ms", 7}, {"late", true}, {"x", 0.5}});
  EXPECT_EQ(line.find('\n'), std::string::npos);
  const auto json = nlohmann::json::parse(line);
  EXPECT_EQ(json["id"], "a\"b\n");
  EXPECT_EQ(json["ms"], 7);
  EXPECT_EQ(json["late"], true);
  EXPECT_EQ(json["level"], "warning");
}

// Guards against an event field that overwrites a standard field of the line,
// as the quota level in quota_exceeded events overwrote the severity level.
TEST(RenderEventTest, FieldsDoNotOverwriteStandardFields) {
  const auto line = nlohmann::json::parse(RenderEvent(
      "n1", 5, EventLevel::kWarning, "quota", {{"level", 7}, {"node", "x"}}));
  EXPECT_EQ(line["level"], "warning");
  EXPECT_EQ(line["node"], "n1");
  EXPECT_EQ(line["level_of_event"], 7);
}

TEST(RenderEventTest, InvalidBytesDoNotThrow) {
  EXPECT_NO_THROW(RenderEvent("n", 0, EventLevel::kInfo, "e",
                              {{"id", std::string("\xff\xfe")}}));
}

// Guards against logging that blocks request handling when nothing reads
// standard output.
TEST(StdoutEventLogTest, StalledReaderDoesNotBlockAndDropsAreCounted) {
  std::array<int, 2> pipe_ends{};
  ASSERT_EQ(pipe(pipe_ends.data()), 0);
  const UniqueFd reader(pipe_ends[0]);
  const UniqueFd writer(pipe_ends[1]);
  const UniqueFd original_stdout(dup(STDOUT_FILENO));
  fflush(stdout);
  dup2(writer.Get(), STDOUT_FILENO);
  CounterRegistry counters;
  const auto start = std::chrono::steady_clock::now();
  auto log = MakeStdoutEventLog("node-1", 100000, counters);
  const std::string filler(200, 'x');
  for (int i = 0; i < 20000; ++i) {
    log->Write(EventLevel::kInfo, "request", {{"id", filler}});
  }
  const auto elapsed = std::chrono::steady_clock::now() - start;
  const int64_t dropped = counters.Get("log_lines_dropped_total").Get();
  // Empty the pipe, so that the background thread can finish.
  std::thread drain([&] {
    std::array<char, 65536> bytes{};
    while (read(reader.Get(), bytes.data(), bytes.size()) > 0) {
    }
  });
  log.reset();
  fflush(stdout);
  dup2(original_stdout.Get(), STDOUT_FILENO);
  { UniqueFd closing(dup(writer.Get())); }
  close(writer.Get());
  drain.join();
  EXPECT_LT(elapsed, std::chrono::seconds(5));
  EXPECT_GT(dropped, 10000);
}

// Guards against an end of the process that loses lines which are being read,
// or that waits for a reader that has stalled.
TEST(StdoutEventLogTest, FlushWaitsForLinesButNotForAStalledReader) {
  std::array<int, 2> pipe_ends{};
  ASSERT_EQ(pipe(pipe_ends.data()), 0);
  const UniqueFd reader(pipe_ends[0]);
  std::optional<UniqueFd> writer(std::in_place, pipe_ends[1]);
  const UniqueFd original_stdout(dup(STDOUT_FILENO));
  fflush(stdout);
  dup2(writer->Get(), STDOUT_FILENO);
  CounterRegistry counters;
  auto log = MakeStdoutEventLog("node-1", 100000, counters);
  log->Write(EventLevel::kInfo, "first", {});
  const bool first_flushed = log->Flush(std::chrono::seconds(20));
  std::array<char, 1000> line{};
  const ssize_t first_size = read(reader.Get(), line.data(), line.size());

  const std::string filler(200, 'x');
  for (int i = 0; i < 2000; ++i) {
    log->Write(EventLevel::kInfo, "request", {{"id", filler}});
  }
  const auto start = std::chrono::steady_clock::now();
  const bool stalled_flushed = log->Flush(std::chrono::milliseconds(200));
  const auto elapsed = std::chrono::steady_clock::now() - start;

  std::string text;
  std::thread drain([&] {
    std::array<char, 65536> bytes{};
    for (ssize_t size = 1; size > 0;) {
      size = read(reader.Get(), bytes.data(), bytes.size());
      text.append(bytes.data(), size > 0 ? size : 0);
    }
  });
  const bool drained = log->Flush(std::chrono::seconds(20));
  log.reset();
  dup2(original_stdout.Get(), STDOUT_FILENO);
  writer.reset();
  drain.join();
  EXPECT_TRUE(first_flushed);
  EXPECT_GT(first_size, 0);
  EXPECT_FALSE(stalled_flushed);
  EXPECT_LT(elapsed, std::chrono::seconds(5));
  EXPECT_TRUE(drained);
  EXPECT_EQ(std::count(text.begin(), text.end(), '\n'), 2000);
}

TEST(StdoutEventLogTest, EachEventNameHasItsOwnRateLimit) {
  CounterRegistry counters;
  auto log = MakeStdoutEventLog("node-1", 2, counters);
  for (int i = 0; i < 10; ++i) {
    log->Write(EventLevel::kInfo, "request", {{"n", i}});
  }
  log->Write(EventLevel::kInfo, "start", {});
  EXPECT_EQ(counters.Get("log_lines_total").Get(), 3);
  EXPECT_EQ(counters.Get("log_lines_dropped_total").Get(), 8);
}

/** Runs its handlers in order; goes on after one that throws. */
struct FakeLoop {
  // NOLINTNEXTLINE(readability-identifier-naming): as of an io_context.
  void run() {
    while (this->next < this->handlers.size()) {
      this->handlers[this->next++]();
    }
  }

  std::vector<std::function<void()>> handlers;
  size_t next = 0;
};

/** Keeps the texts of all fields. */
class TextLog : public EventLog {
 public:
  void Write(EventLevel level,
             std::string_view event,
             std::initializer_list<EventField> fields) override {
    this->lines.push_back(RenderEvent("n", 0, level, event, fields));
  }

  std::vector<std::string> lines;
};

// Guards against an exception in one event handler that ends the process, or
// the handling of later events.
TEST(HandlerGuardTest, LoopGoesOnAfterExceptionsAndReportsThem) {
  CounterRegistry counters;
  TextLog log;
  HandlerGuard guard("traffic", log, counters);
  int handled = 0;
  FakeLoop loop;
  loop.handlers = {
      [&] { ++handled; }, [] { throw std::runtime_error("bad \xff"); },
      [] { throw 5; },
      [&] {
        const bool ended =
            guard.Call("request", [] { throw std::out_of_range("at"); });
        EXPECT_FALSE(ended);
        ++handled;
      }};
  RunGuarded(loop, guard);
  EXPECT_EQ(handled, 2);
  const auto count = [&](const std::string& source) {
    return counters
        .Get("handler_exceptions_total",
             "loop=\"traffic\",source=\"" + source + "\"")
        .Get();
  };
  EXPECT_EQ(count("event_loop"), 2);
  EXPECT_EQ(count("request"), 1);
  ASSERT_EQ(log.lines.size(), 3U);
  const auto line = nlohmann::json::parse(log.lines[2]);
  EXPECT_EQ(line["event"], "handler_exception");
  EXPECT_EQ(line["source"], "request");
  EXPECT_EQ(line["reason"], "at");
}

}  // namespace
}  // namespace boragewharf
