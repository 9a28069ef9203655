/**
 * @file event_log_base.cc
 * Structured lines through an asynchronous logger.
 */
#include "eventlog/event_log_base.h"

#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>

#include <map>
#include <mutex>
#include <nlohmann/json.hpp>

#include "base/time_type.h"

namespace boragewharf {
namespace {

/** Lines queued for a reader that stalls; about 2 MB of memory. */
constexpr size_t kQueuedLines = 4096;

/** Errors may exceed the rate of other lines by this factor. */
constexpr uint32_t kErrorFactor = 4;

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

class StdoutEventLog : public EventLog {
 public:
  StdoutEventLog(std::string node_name,
                 uint32_t lines_per_second,
                 CounterRegistry& counters)
      : node(std::move(node_name)),
        rate(lines_per_second),
        dropped(counters.Get("log_lines_dropped_total")),
        written(counters.Get("log_lines_total")),
        pool(std::make_shared<spdlog::details::thread_pool>(kQueuedLines, 1)) {
    auto sink = std::make_shared<spdlog::sinks::stdout_sink_mt>();
    this->logger = std::make_shared<spdlog::async_logger>(
        "events", std::move(sink), this->pool,
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
      if (!this->Take(event, level, now)) {
        this->dropped.Add();
        return;
      }
    }
    this->written.Add();
    const int64_t wall = WallNow().time_since_epoch().count();
    this->logger->info(RenderEvent(this->node, wall, level, event, fields));
    const size_t overrun = this->pool->overrun_counter();
    if (overrun > this->reported_overrun) {
      this->dropped.Add(static_cast<int64_t>(overrun - this->reported_overrun));
      this->reported_overrun = overrun;
    }
  }

 private:
  struct Allowance {
    TimePoint second;
    uint32_t used = 0;
  };

  /** @pre The mutex is held. */
  bool Take(std::string_view event, EventLevel level, TimePoint now) {
    auto found = this->allowances.find(event);
    if (found == this->allowances.end()) {
      found =
          this->allowances.emplace(std::string(event), Allowance{now}).first;
    }
    Allowance& allowance = found->second;
    if (now - allowance.second >= std::chrono::seconds(1)) {
      allowance = Allowance{now};
    }
    const uint32_t bound =
        level == EventLevel::kInfo ? this->rate : this->rate * kErrorFactor;
    if (allowance.used >= bound) {
      return false;
    }
    allowance.used += 1;
    return true;
  }

  std::string node;
  uint32_t rate;
  Counter& dropped;
  Counter& written;
  std::shared_ptr<spdlog::details::thread_pool> pool;
  std::shared_ptr<spdlog::async_logger> logger;
  std::atomic<size_t> reported_overrun{0};
  std::mutex mutex;
  std::map<std::string, Allowance, std::less<>> allowances;
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
      name += "_of_event";  // The line's own fields stay what they are.
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
