/**
 * @file usage_register_func.cc
 * Rules for recording the final usage counts of a window.
 */
#include "fleet/usage_register_func.h"

#include <algorithm>

namespace boragewharf::fleet {

namespace {

/** Drops the lowest windows until at most kStoredWindows are left. */
void Trim(UsageRegister& usage) {
  while (usage.fixed.size() > kStoredWindows) {
    usage.closed_through =
        std::max(usage.closed_through, usage.fixed.begin()->first);
    usage.fixed.erase(usage.fixed.begin());
  }
}

/** Register to start from in an era whose store has none that is valid. */
UsageRegister ReplaceLost(const UsageRegister& lost,
                          const FixUsage& usage,
                          uint64_t era) {
  UsageRegister next;
  next.era = era;
  next.closed_through =
      std::max(lost.closed_through, usage.may_be_reported_through);
  if (!lost.fixed.empty()) {
    // A clock that was ahead may have had later windows recorded.
    next.closed_through =
        std::max(next.closed_through, lost.fixed.rbegin()->first);
  }
  next.fixed = usage.known;
  Trim(next);
  return next;
}

}  // namespace

UsageDecision DecideUsage(const UsageRegister& current,
                          const FixUsage& usage,
                          uint64_t era) {
  if (current.era != era) {
    return DecideUsage(ReplaceLost(current, usage, era), usage, era);
  }
  const auto recorded = current.fixed.find(usage.window);
  if (recorded != current.fixed.end()) {
    return {UsageDecision::Step::kRepeat, recorded->second, {}};
  }
  if (usage.window <= current.closed_through) {
    return {UsageDecision::Step::kClosed, {}, {}};
  }
  UsageDecision decision{UsageDecision::Step::kWrite, usage.counts, current};
  decision.next.fixed.emplace(usage.window, usage.counts);
  Trim(decision.next);
  return decision;
}

}  // namespace boragewharf::fleet
