/**
 * @file loop_delay_base.cc
 * Measurement of event loop delays.
 */
#include "node/loop_delay_base.h"

#include <algorithm>

namespace boragewharf::node {

LoopDelayMonitor::LoopDelayMonitor(std::string_view loop,
                                   EventLog& event_log,
                                   CounterRegistry& counters)
    : name(loop), log(event_log), delays(counters, name + "_loop_delay_ms") {}

void LoopDelayMonitor::Observe(TimePoint now) {
  if (this->due == TimePoint{}) {
    return;
  }
  const auto delay = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::max<Duration>(Duration(0), now - this->due));
  this->delays.Observe(delay.count());
  if (delay >= kLoggedLoopDelay) {
    this->log.Write(EventLevel::kWarning, "loop_delayed",
                    {{"loop", this->name}, {"delay_ms", delay.count()}});
  }
}

}  // namespace boragewharf::node
