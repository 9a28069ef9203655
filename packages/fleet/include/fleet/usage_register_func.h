/**
 * @file usage_register_func.h
 * Rules for recording the final usage counts of a window.
 *
 * The final counts of all windows are kept in one store object, which is only
 * changed by conditional writes (compare-and-swap on its revision). Each window
 * therefore has at most one set of counts, regardless of clocks and of which
 * node writes.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>

#include "fleet/fleet_type.h"

namespace boragewharf::fleet {

/** Number of windows whose counts are kept in the store. A new duty holder
 * repeats the reports of the last three windows. The others are kept in case a
 * clock that was ahead recorded later windows. */
inline constexpr size_t kStoredWindows = 8;

/** Final counts of the most recent windows. */
struct UsageRegister {
  /** Windows up to and including this one that are not in @ref fixed can no
   * longer be recorded. Window numbers are not negative. */
  int64_t closed_through = -1;
  std::map<int64_t, NamedCounts> fixed;  ///< Final counts by window.
  /** Era of the store in which the register was written. Before another era's
   * register is used, what it may have lost is closed. */
  uint64_t era = 0;
};

/** Decision on recording the final counts of a window. */
struct UsageDecision {
  enum class Step : uint8_t {
    kRepeat,  ///< The window's counts were recorded earlier; use them.
    kWrite,   ///< Write @ref next to the store, then use the counts.
    /** The window can no longer be recorded, and its counts are unknown. */
    kClosed,
  };
  Step step = Step::kClosed;
  NamedCounts counts;  ///< Empty with kClosed.
  UsageRegister next;  ///< With kWrite only.
};

/**
 * Decides which counts to record for a window.
 *
 * A register of another era than the store's is void: the store has come back
 * from a copy, and counts that were recorded and reported since the copy was
 * taken would be recorded a second time. All windows that an earlier holder may
 * have reported are closed then, except for those that this holder knows. The
 * same holds for a register that is missing in a store with eras. When a
 * deployment starts for the first time, no window may have been reported, and
 * @c usage.may_be_reported_through is -1.
 * @param current Register read from the store; a default one if the store has
 * none.
 * @param era Era of the store when it answered the read; 0 if it has none.
 * @return With kWrite, the next register holds at most kStoredWindows windows.
 * The lowest ones are dropped to make room. This may be @c usage.window itself,
 * whose counts are then known only to the writer.
 * @note Thread-safe.
 */
UsageDecision DecideUsage(const UsageRegister& current,
                          const FixUsage& usage,
                          uint64_t era = 0);

}  // namespace boragewharf::fleet
