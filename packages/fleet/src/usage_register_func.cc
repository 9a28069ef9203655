/**
 * @file usage_register_func.cc
 * Which usage counts of a window may be fixed.
 */
#include "fleet/usage_register_func.h"

#include <algorithm>

namespace boragewharf::fleet {

UsageDecision DecideUsage(const UsageRegister& current, const FixUsage& usage) {
  const auto held = current.fixed.find(usage.window);
  if (held != current.fixed.end()) {
    return {UsageDecision::Step::kRepeat, held->second, {}};
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
