/**
 * @file time_type.h
 * Time types of the control state, and the clock that feeds them.
 */
#pragma once

#include <chrono>

namespace boragewharf {

using Duration = std::chrono::microseconds;

/**
 * Clock that goes on while the process is paused or the machine suspended, so
 * that leases lapse meanwhile.
 */
struct BootClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock, duration>;
  // NOLINTNEXTLINE(readability-identifier-naming)
  static constexpr bool is_steady = true;

  /**
   * Reads CLOCK_BOOTTIME.
   * @return Time since the machine booted, in microseconds.
   * @note Thread-safe.
   */
  static time_point now() noexcept;  // NOLINT(readability-identifier-naming)
};

using TimePoint = BootClock::time_point;

/** Wall clock time in milliseconds since the epoch, as kept in the store. */
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

/**
 * Reads the wall clock.
 * @note Thread-safe.
 */
WallTime WallNow();

}  // namespace boragewharf
