/**
 * @file planned_stop_base.h
 * Decides whether a request can finish before its node stops.
 */
#pragma once

#include <cstdint>
#include <deque>
#include <optional>

#include "base/time_type.h"

namespace boragewharf::serving {

/** Input of EndsBeforeStop(). */
struct StopFacts {
  Duration left{};   ///< Time until the node stops.
  Duration limit{};  ///< Longest time that the request may take.
  std::optional<Duration> expected;  ///< Expected duration; empty if unknown.
  /** Only the limit counts, because a wrong expectation would cut off the
   * response. */
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

/** Course of a stream that was served completely. */
struct StreamCourse {
  Duration first_event{};          ///< From its arrival to its first event.
  Duration streaming{};            ///< From its first event to its end.
  uint32_t events = 0;             ///< At least 1.
  uint32_t max_output_tokens = 0;  ///< Limit that the client stated; 0: none.
};

/**
 * Estimates how long a stream takes at most, from the streams that were served
 * lately: as long as its limit of output tokens allows at their pace. If enough
 * of them were allowed as many tokens, also no longer than the longest of
 * these. A stream that the end of the node cuts can't be completed by another
 * one, and lengths spread too widely for averages. Not thread-safe.
 */
class StreamDurationEstimate {
 public:
  /** Adds a stream. */
  void Add(const StreamCourse& stream);

  /**
   * Duration that a stream rarely exceeds, from its arrival.
   * @param max_output_tokens Its limit; 0 if it states none.
   * @return Empty while too few streams are known that say anything of it.
   */
  std::optional<Duration> Bound(uint32_t max_output_tokens) const;

 private:
  /** Duration of the longest stream that was allowed at least as many tokens;
   * empty if too few were. */
  std::optional<Duration> LongestWithLimit(uint32_t max_output_tokens) const;
  /** Duration up to the limit at the usual pace; empty if not known. */
  std::optional<Duration> DurationOfLimit(uint32_t max_output_tokens) const;

  DurationEstimate first_event;
  DurationEstimate event_gap;  ///< Mean gap of a stream.
  std::deque<StreamCourse> recent;
};

}  // namespace boragewharf::serving
