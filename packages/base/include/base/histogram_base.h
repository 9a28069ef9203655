/**
 * @file histogram_base.h
 * Latency histograms made of counters.
 */
#pragma once

#include <array>
#include <string_view>

#include "base/counter_base.h"

namespace boragewharf {

/** Cumulative buckets, sum and count of a latency in milliseconds. */
class LatencyHistogram {
 public:
  /** Upper bounds of the buckets in milliseconds. */
  static constexpr std::array<int64_t, 14> kBounds = {
      1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10000, 30000};

  /** @param name Metric name without prefix; "_bucket" etc. are appended. */
  LatencyHistogram(CounterRegistry& registry, std::string_view name);

  /** Records a latency. @note Thread-safe. */
  void Observe(int64_t milliseconds);

 private:
  std::array<Counter*, kBounds.size()> buckets{};
  Counter& all;
  Counter& sum;
  Counter& count;
};

}  // namespace boragewharf
