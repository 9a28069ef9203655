/**
 * @file loop_delay_base.h
 * Measures how late an event loop runs its timers.
 */
#pragma once

#include <string>
#include <string_view>

#include "base/counter_base.h"
#include "base/histogram_base.h"
#include "base/time_type.h"
#include "eventlog/event_log_base.h"

namespace boragewharf::node {

/** Delays of at least this are logged; half of the delay that callers notice.
 */
inline constexpr std::chrono::milliseconds kLoggedLoopDelay(250);

/**
 * Records the timer delays of an event loop in a histogram and logs long ones
 * as "loop_delayed". A delayed loop is late to read requests and to notice
 * client disconnects. Not thread-safe; must be used on the measured loop.
 */
class LoopDelayMonitor {
 public:
  /** @param loop Name of the loop, used in the metric name and log lines. */
  LoopDelayMonitor(std::string_view loop,
                   EventLog& log,
                   CounterRegistry& counters);

  /** Sets the time at which the next timer is due. */
  void SetDue(TimePoint when) { this->due = when; }

  /** Records the delay of the due timer, which runs at @p now. */
  void Observe(TimePoint now);

 private:
  std::string name;
  EventLog& log;
  LatencyHistogram delays;
  TimePoint due;
};

}  // namespace boragewharf::node
