/**
 * @file incarnation_func.h
 * Incarnation numbers, which identify one start of a node's process.
 */
#pragma once

#include <cstdint>

namespace boragewharf::fleet {

/**
 * Returns an incarnation number for a process start. The random bits make it
 * differ between nodes that start in the same millisecond. It grows with time
 * only to help people who read logs; code must not rely on that, because the
 * clock may have stepped between two starts.
 * @param draw Random bits.
 * @note Thread-safe.
 */
inline uint64_t MakeIncarnation(int64_t wall_ms, uint32_t random_bits) {
  constexpr int kRandomBits = 22;
  return (static_cast<uint64_t>(wall_ms) << kRandomBits) |
         (random_bits & ((1U << kRandomBits) - 1));
}

}  // namespace boragewharf::fleet
