/**
 * @file time_type.cc
 * Clock reads.
 */
#include "base/time_type.h"

#include <ctime>

namespace boragewharf {

BootClock::time_point BootClock::now() noexcept {
  timespec value{};
  clock_gettime(CLOCK_BOOTTIME, &value);
  return time_point(std::chrono::duration_cast<Duration>(
      std::chrono::seconds(value.tv_sec) +
      std::chrono::nanoseconds(value.tv_nsec)));
}

WallTime WallNow() {
  return std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
}

}  // namespace boragewharf
