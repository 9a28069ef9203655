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
 * @param current Register read from the store; a default one if the store has
 * none.
 * @return With kWrite, the next register holds at most kStoredWindows windows.
 * The lowest ones are dropped to make room. This may be @c usage.window itself,
 * whose counts are then known only to the writer.
 * @note Thread-safe.
 */
UsageDecision DecideUsage(const UsageRegister& current, const FixUsage& usage);

}  // namespace boragewharf::fleet
