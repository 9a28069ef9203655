/**
 * @file event_log_base.cc
 * Event log on an asynchronous spdlog logger.
 */
#include "eventlog/event_log_base.h"

#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>

#include <atomic>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

#include "base/scope_guard.h"
#include "base/time_type.h"

namespace boragewharf {
namespace {

/** Size of the queue for a stalled reader, in lines; about 2 MB of memory. */
constexpr size_t kMaxQueuedLines = 4096;

/** Period at which a flush looks for lines that are still queued. */
constexpr std::chrono::milliseconds kFlushPollPeriod(1);

/** Warnings and errors may exceed the rate limit by this factor. */
constexpr uint32_t kElevatedLevelFactor = 4;

std::string_view LevelName(EventLevel level) {
  switch (level) {
    case EventLevel::kInfo:
      return "info";
    case EventLevel::kWarning:
      return "warning";
    case EventLevel::kError:
      return "error";
  }
  return "unknown";
}

/** Writes to standard output, and counts the lines that it was given. */
class CountingSink : public spdlog::sinks::stdout_sink_mt {
 public:
  // NOLINTNEXTLINE(readability-identifier-naming): as of the base class.
  void log(const spdlog::details::log_msg& message) override {
    const ScopeGuard count([this] { this->ended += 1; });
    spdlog::sinks::stdout_sink_mt::log(message);
  }

  /** Number of lines that have been written, or have failed. */
  size_t Ended() const { return this->ended; }

 private:
  std::atomic<size_t> ended{0};
};

class StdoutEventLog : public EventLog {
 public:
  StdoutEventLog(std::string node_name,
                 uint32_t lines_per_second,
                 CounterRegistry& counters)
      : node(std::move(node_name)),
        max_lines_per_second(lines_per_second),
        dropped(counters.Get("log_lines_dropped_total")),
        written(counters.Get("log_lines_total")),
        pool(
            std::make_shared<spdlog::details::thread_pool>(kMaxQueuedLines, 1)),
        sink(std::make_shared<CountingSink>()) {
    this->logger = std::make_shared<spdlog::async_logger>(
        "events", this->sink, this->pool,
        spdlog::async_overflow_policy::overrun_oldest);
    this->logger->set_pattern("%v");
    this->logger->flush_on(spdlog::level::info);
  }

  void Write(EventLevel level,
             std::string_view event,
             std::initializer_list<EventField> fields) override {
    const TimePoint now = BootClock::now();
    {
      const std::lock_guard<std::mutex> lock(this->mutex);
      if (!this->ConsumeAllowance(event, level, now)) {
        this->dropped.Add();
        return;
      }
    }
    this->written.Add();
    this->queued += 1;
    const int64_t wall_ms = WallNow().time_since_epoch().count();
    this->logger->info(RenderEvent(this->node, wall_ms, level, event, fields));
    const size_t total_overruns = this->pool->overrun_counter();
    if (total_overruns > this->counted_overruns) {
      this->dropped.Add(
          static_cast<int64_t>(total_overruns - this->counted_overruns));
      this->counted_overruns = total_overruns;
    }
  }

  bool Flush(Duration limit) override {
    const TimePoint end = BootClock::now() + limit;
    while (this->sink->Ended() + this->pool->overrun_counter() < this->queued) {
      if (BootClock::now() >= end) {
        return false;
      }
      std::this_thread::sleep_for(kFlushPollPeriod);
    }
    return true;
  }

 private:
  /** Lines of one event name written within the current second. */
  struct RateWindow {
    TimePoint start;
    uint32_t lines = 0;
  };

  /**
   * Counts a line against the rate limit of its event.
   * @return Whether the line may be written.
   * @pre The mutex is held.
   */
  bool ConsumeAllowance(std::string_view event,
                        EventLevel level,
                        TimePoint now) {
    auto found = this->rate_windows.find(event);
    if (found == this->rate_windows.end()) {
      found =
          this->rate_windows.emplace(std::string(event), RateWindow{now}).first;
    }
    RateWindow& window = found->second;
    if (now - window.start >= std::chrono::seconds(1)) {
      window = RateWindow{now};
    }
    const uint32_t limit =
        level == EventLevel::kInfo
            ? this->max_lines_per_second
            : this->max_lines_per_second * kElevatedLevelFactor;
    if (window.lines >= limit) {
      return false;
    }
    window.lines += 1;
    return true;
  }

  std::string node;
  uint32_t max_lines_per_second;
  Counter& dropped;
  Counter& written;
  std::shared_ptr<spdlog::details::thread_pool> pool;
  std::shared_ptr<CountingSink> sink;
  std::shared_ptr<spdlog::async_logger> logger;
  std::atomic<size_t> queued{0};  ///< Lines given to the logger.
  std::atomic<size_t> counted_overruns{0};
  std::mutex mutex;
  std::map<std::string, RateWindow, std::less<>> rate_windows;
};

}  // namespace

std::string RenderEvent(std::string_view node,
                        int64_t wall_ms,
                        EventLevel level,
                        std::string_view event,
                        std::initializer_list<EventField> fields) {
  nlohmann::ordered_json line;
  line["t"] = wall_ms;
  line["level"] = LevelName(level);
  line["node"] = node;
  line["event"] = event;
  for (const EventField& field : fields) {
    std::string name(field.name);
    if (line.contains(name)) {
      name += "_of_event";  // Do not overwrite the standard fields.
    }
    std::visit([&](const auto& value) { line[name] = value; }, field.value);
  }
  return line.dump(-1, ' ', false,
                   nlohmann::ordered_json::error_handler_t::replace);
}

std::unique_ptr<EventLog> MakeStdoutEventLog(std::string node,
                                             uint32_t lines_per_second,
                                             CounterRegistry& counters) {
  return std::make_unique<StdoutEventLog>(std::move(node), lines_per_second,
                                          counters);
}

}  // namespace boragewharf
