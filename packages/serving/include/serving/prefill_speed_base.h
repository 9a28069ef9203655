/**
 * @file prefill_speed_base.h
 * Learns from served requests how fast the engines of a service process
 * prompts.
 */
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <span>

#include "base/time_type.h"

namespace boragewharf::serving {

/** Prompt tokens per millisecond that are assumed of an engine until its speed
 * has been measured, some seconds after the start. Slower than known engines,
 * so that too many servers are ordered rather than too few. */
inline constexpr double kAssumedTokensPerMs = 50.0;

/** An estimate of the prefill speed of a service's servers. */
struct PrefillSpeed {
  float tokens_per_ms = 0;  ///< Prompt tokens that a server reads per ms.
  uint32_t samples = 0;     ///< Requests that it is based on.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->tokens_per_ms, this->samples);
  }
};

/**
 * Estimates the speed from the time to the first event of requests with
 * different prompt lengths. Load and slow servers lengthen that time, so that
 * the faster requests of each length decide; only differences between lengths
 * count, so that constant delays cancel. Not thread-safe.
 */
class PrefillSpeedEstimate {
 public:
  /**
   * Adds a request.
   * @param tokens Prompt tokens that its server had to read, as far as known.
   * @param first_event Time from sending it to its first event.
   */
  void Add(uint32_t tokens, Duration first_event, TimePoint now);

  /** The speed; empty while the recent requests don't show it. */
  std::optional<PrefillSpeed> Current(TimePoint now);

 private:
  struct Sample {
    uint32_t tokens = 0;
    double ms = 0;
    TimePoint seen;
  };

  std::optional<PrefillSpeed> Estimate() const;

  std::deque<Sample> samples;
  std::optional<PrefillSpeed> latest;
  TimePoint next_estimate;
};

/** Median of the nodes' estimates, weighted by their samples; empty if there is
 * none. @return Tokens per millisecond. @note Thread-safe. */
std::optional<double> CombineSpeeds(std::span<const PrefillSpeed> speeds);

}  // namespace boragewharf::serving
