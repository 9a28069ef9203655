/**
 * @file loop_delay_base.h
 * How late an event loop runs what is due.
 */
#pragma once

#include <string>
#include <string_view>

#include "base/counter_base.h"
#include "base/histogram_base.h"
#include "base/time_type.h"
#include "eventlog/event_log_base.h"

namespace boragewharf::node {

/** Delay from which a line is written; half of what callers notice. */
inline constexpr std::chrono::milliseconds kLoggedLoopDelay(250);

/**
 * Delays of one event loop, as a histogram and as "loop_delayed" lines. A
 * loop that lags reads requests, and the departure of clients, too late.
 * Not thread-safe; used on the loop that it measures.
 */
class LoopDelay {
 public:
  /** @param loop Name of the loop, part of the metric and of the lines. */
  LoopDelay(std::string_view loop, EventLog& log, CounterRegistry& counters);

  /** The next timer is set and due at @p when. */
  void Expect(TimePoint when) { this->due = when; }

  /** The timer that was due runs at @p now. */
  void Observe(TimePoint now);

 private:
  std::string name;
  EventLog& log;
  LatencyHistogram delays;
  TimePoint due;
};

}  // namespace boragewharf::node
