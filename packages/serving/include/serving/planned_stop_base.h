/**
 * @file planned_stop_base.h
 * Decides whether a request can finish before its node stops.
 */
#pragma once

#include <optional>

#include "base/time_type.h"

namespace boragewharf::serving {

/** Input of EndsBeforeStop(). */
struct StopFacts {
  Duration left{};   ///< Time until the node stops.
  Duration limit{};  ///< Longest time that the request may take.
  std::optional<Duration> expected;  ///< Expected duration; empty if unknown.
  /** Only the limit counts, because a wrong expectation would cut off the
   * response, as that of a stream that has begun. */
  bool must_be_certain = false;
};

/** Whether the request ends before its node stops. @note Thread-safe. */
bool EndsBeforeStop(const StopFacts& facts);

/**
 * Estimates an upper bound for the duration of requests of one kind from those
 * that were served. Not thread-safe.
 */
class DurationEstimate {
 public:
  /** Adds the duration of a served request; must not be negative. */
  void Add(Duration duration);

  /** Duration that requests rarely exceed; empty before the first request. */
  std::optional<Duration> Bound() const;

 private:
  std::optional<double> mean;  ///< In microseconds, like deviation.
  double deviation = 0;
};

}  // namespace boragewharf::serving
