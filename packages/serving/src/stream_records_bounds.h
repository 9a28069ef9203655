/**
 * @file stream_records_bounds.h
 * Bounds that the parts of StreamRecords share.
 */
#pragma once

#include <cstddef>
#include <cstdint>

#include "base/time_type.h"

namespace boragewharf::serving {

/** Milliseconds of an age for a message or a save. @note Thread-safe. */
uint32_t AgeMs(TimePoint since, TimePoint now);

/** The same in units of BegunStream::age. @note Thread-safe. */
uint16_t AgeUnits(TimePoint since, TimePoint now);

/** Messages in which each node is told of a stream, as datagrams get lost. */
inline constexpr size_t kTimesTold = 3;

/** Time within which the servers have written their entries again after the
 * store has come back from a copy. */
inline constexpr std::chrono::seconds kEntryReturnTime(3);

}  // namespace boragewharf::serving
