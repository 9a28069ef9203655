/**
 * @file incarnation_func.h
 * Numbers of the starts of a node's process.
 */
#pragma once

#include <cstdint>

namespace boragewharf::fleet {

/**
 * Number of a process start; differs between nodes that start in the same
 * millisecond. That it rises with the time helps readers of logs only: the
 * clock may have stepped between two starts.
 * @param draw Random bits.
 * @note Thread-safe.
 */
inline uint64_t MakeIncarnation(int64_t wall_ms, uint32_t draw) {
  constexpr int kDrawBits = 22;
  return (static_cast<uint64_t>(wall_ms) << kDrawBits) |
         (draw & ((1U << kDrawBits) - 1));
}

}  // namespace boragewharf::fleet
