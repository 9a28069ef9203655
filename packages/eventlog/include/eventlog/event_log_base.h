/**
 * @file event_log_base.h
 * Structured log lines, bounded in volume and never blocking.
 */
#pragma once

#include <cstdint>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

#include "base/counter_base.h"

namespace boragewharf {

/** Importance of a line. */
enum class EventLevel : uint8_t { kInfo, kWarning, kError };

/** A named value of a line. */
struct EventField {
  std::string_view name;
  std::variant<int64_t, double, bool, std::string_view> value;

  EventField(std::string_view field, std::string_view text)
      : name(field), value(text) {}
  EventField(std::string_view field, const std::string& text)
      : name(field), value(std::string_view{text}) {}
  EventField(std::string_view field, const char* text)
      : name(field), value(std::string_view{text}) {}
  EventField(std::string_view field, bool flag) : name(field), value(flag) {}
  EventField(std::string_view field, double number)
      : name(field), value(number) {}
  template <class Integer>
  requires std::is_integral_v<Integer> EventField(std::string_view field,
                                                  Integer number)
      : name(field), value(static_cast<int64_t>(number)) {}
};

/** Writes lines; implementations are thread-safe and never block. */
class EventLog {
 public:
  virtual ~EventLog() = default;

  /**
   * Writes one line, or drops and counts it if the volume is exhausted.
   * @param event Name of the event in snake case; lines of one event share a
   *     bound on their rate.
   */
  virtual void Write(EventLevel level,
                     std::string_view event,
                     std::initializer_list<EventField> fields) = 0;
};

/**
 * JSON lines on standard output, written by a thread of their own. When the
 * reader stalls, the oldest queued lines are dropped and counted in
 * "log_lines_dropped_total".
 * @param node Name of this node, on each line.
 * @param lines_per_second Bound for each event name; errors are exempt up to
 *     four times it.
 */
std::unique_ptr<EventLog> MakeStdoutEventLog(std::string node,
                                             uint32_t lines_per_second,
                                             CounterRegistry& counters);

/** Renders a line; used by the implementations and by tests. */
std::string RenderEvent(std::string_view node,
                        int64_t wall_ms,
                        EventLevel level,
                        std::string_view event,
                        std::initializer_list<EventField> fields);

}  // namespace boragewharf
