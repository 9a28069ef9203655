/**
 * @file usage_register_func.cc
 * Rules for recording the final usage counts of a window.
 */
#include "fleet/usage_register_func.h"

#include <algorithm>

namespace boragewharf::fleet {

UsageDecision DecideUsage(const UsageRegister& current, const FixUsage& usage) {
  const auto recorded = current.fixed.find(usage.window);
  if (recorded != current.fixed.end()) {
    return {UsageDecision::Step::kRepeat, recorded->second, {}};
  }
  if (usage.window <= current.closed_through) {
    return {UsageDecision::Step::kClosed, {}, {}};
  }
  UsageDecision decision{UsageDecision::Step::kWrite, usage.counts, current};
  UsageRegister& next = decision.next;
  next.fixed.emplace(usage.window, usage.counts);
  while (next.fixed.size() > kStoredWindows) {
    next.closed_through =
        std::max(next.closed_through, next.fixed.begin()->first);
    next.fixed.erase(next.fixed.begin());
  }
  return decision;
}

}  // namespace boragewharf::fleet
