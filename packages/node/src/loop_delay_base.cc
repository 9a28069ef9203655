/**
 * @file loop_delay_base.cc
 * Delays of event loops.
 */
#include "node/loop_delay_base.h"

#include <algorithm>

namespace boragewharf::node {

LoopDelay::LoopDelay(std::string_view loop,
                     EventLog& event_log,
                     CounterRegistry& counters)
    : name(loop), log(event_log), delays(counters, name + "_loop_delay_ms") {}

void LoopDelay::Observe(TimePoint now) {
  if (this->due == TimePoint{}) {
    return;
  }
  const auto late = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::max<Duration>(Duration(0), now - this->due));
  this->delays.Observe(late.count());
  if (late >= kLoggedLoopDelay) {
    this->log.Write(EventLevel::kWarning, "loop_delayed",
                    {{"loop", this->name}, {"delay_ms", late.count()}});
  }
}

}  // namespace boragewharf::node
