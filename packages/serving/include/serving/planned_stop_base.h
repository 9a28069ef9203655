/**
 * @file planned_stop_base.h
 * Whether a request can be finished before its node ends.
 */
#pragma once

#include <optional>

#include "base/time_type.h"

namespace boragewharf::serving {

/** Facts that decide. */
struct StopFacts {
  Duration left{};   ///< Time until the node ends.
  Duration limit{};  ///< Longest that the request may take, from now.
  std::optional<Duration> expected;  ///< Length expected, empty if unknown.
};

/** Whether the request ends before its node. Pure. @note Thread-safe. */
bool EndsBeforeStop(const StopFacts& facts);

/**
 * Length that requests of one kind hardly ever exceed, learned from those that
 * were served. Not thread-safe.
 */
class DurationEstimate {
 public:
  /** Counts a request that took @p length, at least 0. */
  void Add(Duration length);

  /** @return Empty before the first request. */
  std::optional<Duration> Bound() const;

 private:
  std::optional<double> mean;  ///< Microseconds, as is the next.
  double deviation = 0;
};

}  // namespace boragewharf::serving
