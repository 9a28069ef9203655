/**
 * @file event_log_base.h
 * Structured event log with a rate limit for each event name. Writing to it
 * never blocks the caller.
 */
#pragma once

#include <cstdint>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

#include "base/counter_base.h"
#include "base/time_type.h"

namespace boragewharf {

/** Severity of a log line. */
enum class EventLevel : uint8_t { kInfo, kWarning, kError };

/** A named value in a log line. */
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

/** Writes log lines. Implementations are thread-safe; Write() never blocks. */
class EventLog {
 public:
  virtual ~EventLog() = default;

  /**
   * Writes one line. If the rate limit of the event is exceeded, the line is
   * dropped and counted instead.
   * @param event Name of the event in snake case. Each event name has its own
   *     rate limit.
   */
  virtual void Write(EventLevel level,
                     std::string_view event,
                     std::initializer_list<EventField> fields) = 0;

  /**
   * Waits until all lines written so far are in their output, but no longer
   * than @p limit.
   * @return Whether they are.
   */
  virtual bool Flush([[maybe_unused]] Duration limit) { return true; }
};

/**
 * Creates a log that writes JSON lines to standard output from a background
 * thread. When the reader of standard output stalls, the oldest queued lines
 * are dropped and counted in "log_lines_dropped_total". The destructor waits
 * for the reader without a limit; see EventLog::Flush().
 * @param node Name of this node, included in each line.
 * @param lines_per_second Rate limit for each event name. Warnings and errors
 *     are allowed at four times this rate.
 */
std::unique_ptr<EventLog> MakeStdoutEventLog(std::string node,
                                             uint32_t lines_per_second,
                                             CounterRegistry& counters);

/** Formats a log line as JSON; also used directly by tests. */
std::string RenderEvent(std::string_view node,
                        int64_t wall_ms,
                        EventLevel level,
                        std::string_view event,
                        std::initializer_list<EventField> fields);

}  // namespace boragewharf
