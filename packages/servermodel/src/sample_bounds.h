/**
 * @file sample_bounds.h
 * Decay and bounds of samples, for the parts of ServerSpeeds.
 */
#pragma once

#include <algorithm>
#include <chrono>
#include <cmath>

#include "base/time_type.h"

namespace boragewharf::servermodel {

/** Time after which a recent sample has lost 63% of its weight: a change shows
 * within one to two seconds, and a server has about 60 samples in it under a
 * load of a dozen streams. */
inline constexpr double kRecentSeconds = 1.5;

/** Highest weight of the samples of one node for a server, which bounds the
 * effect of a false report. About 15 samples. */
inline constexpr double kMaxNodeWeight = 100;

/** Bound of a sample, and of an estimate, as a factor. */
inline constexpr double kMaxFactor = 4;

inline double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

inline double BoundLog(double log_speed) {
  static const double kBound = std::log(kMaxFactor);
  return std::clamp(log_speed, -kBound, kBound);
}

}  // namespace boragewharf::servermodel
