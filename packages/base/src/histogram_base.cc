/**
 * @file histogram_base.cc
 * Latency histograms.
 */
#include "base/histogram_base.h"

#include <string>

namespace boragewharf {

LatencyHistogram::LatencyHistogram(CounterRegistry& registry,
                                   std::string_view name)
    : all(registry.Get(std::string(name) + "_bucket", "le=\"+Inf\"")),
      sum(registry.Get(std::string(name) + "_sum")),
      count(registry.Get(std::string(name) + "_count")) {
  for (size_t i = 0; i < kBounds.size(); ++i) {
    const std::string label = "le=\"" + std::to_string(kBounds[i]) + "\"";
    this->buckets[i] = &registry.Get(std::string(name) + "_bucket", label);
  }
}

void LatencyHistogram::Observe(int64_t milliseconds) {
  for (size_t i = 0; i < kBounds.size(); ++i) {
    if (milliseconds <= kBounds[i]) {
      this->buckets[i]->Add();
    }
  }
  this->all.Add();
  this->sum.Add(milliseconds);
  this->count.Add();
}

}  // namespace boragewharf
