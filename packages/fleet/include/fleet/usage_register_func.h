/**
 * @file usage_register_func.h
 * Which usage counts of a window may be fixed.
 *
 * All fixed counts are in one object of the store, which is changed only by
 * writes on the condition that it has not changed since it was read. So each
 * window has at most one set of counts, whatever clocks say and whoever writes.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>

#include "fleet/fleet_type.h"

namespace boragewharf::fleet {

/** Windows whose counts are kept in the store. A successor repeats reports of
 * the last three windows; the others are kept for clocks that were ahead. */
inline constexpr size_t kStoredWindows = 8;

/** Fixed counts of the most recent windows. */
struct UsageRegister {
  /** Windows up to this one that are not in @ref fixed never get counts. No
   * window is below 0. */
  int64_t closed_through = -1;
  std::map<int64_t, NamedCounts> fixed;  ///< Counts by window.
};

/** What follows from a register for a window that is to be fixed. */
struct UsageDecision {
  enum class Step : uint8_t {
    kRepeat,  ///< The window is fixed; use the counts.
    kWrite,   ///< Use the counts once the next register has been written.
    kClosed,  ///< The window never gets counts that are known.
  };
  Step step = Step::kClosed;
  NamedCounts counts;  ///< Empty with kClosed.
  UsageRegister next;  ///< With kWrite only.
};

/**
 * Decides on counts for a window.
 * @param current What the store holds; the default if it holds nothing.
 * @return With kWrite, the next register holds kStoredWindows windows at most.
 *     The lowest ones give way, which may be the window itself: its counts are
 *     then known to the writer alone.
 * @note Thread-safe.
 */
UsageDecision DecideUsage(const UsageRegister& current, const FixUsage& usage);

}  // namespace boragewharf::fleet
