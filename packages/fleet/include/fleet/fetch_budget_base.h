/**
 * @file fetch_budget_base.h
 * Bound on the state that a node sends to nodes that fetch it.
 */
#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>

#include "base/time_type.h"

namespace boragewharf::fleet {

/** Long-term rate of fetch responses, a fifth of the slowest common link of
 * 10 Mbit/s. */
inline constexpr double kFetchBytesPerSecond = 250000;

/** Responses that may be sent at once: about ten compressed lists of 3,000
 * servers, or the uncompressed ones of 100 servers to 40 nodes. */
inline constexpr double kFetchBurstBytes = 500000;

/** Token bucket for fetch responses. Not thread-safe. */
class FetchBudget {
 public:
  explicit FetchBudget(double rate = kFetchBytesPerSecond,
                       double burst = kFetchBurstBytes)
      : bytes_per_second(rate), burst_bytes(burst), available(burst) {}

  /** Whether a fetch may be answered at @p now, which must not decrease between
   * calls. A refused node asks another one. */
  bool MayAnswer(TimePoint now) {
    const double seconds =
        std::chrono::duration<double>(now - this->refilled).count();
    this->available = std::min(
        this->burst_bytes,
        this->available + std::max(0.0, seconds) * this->bytes_per_second);
    this->refilled = now;
    return this->available > 0;
  }

  /** Records a response. The one that uses up the budget is sent whole. */
  void Record(size_t bytes) { this->available -= static_cast<double>(bytes); }

 private:
  double bytes_per_second;
  double burst_bytes;
  double available;
  TimePoint refilled;
};

}  // namespace boragewharf::fleet
