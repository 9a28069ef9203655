/**
 * @file planned_stop_base.cc
 * Decides whether a request can finish before its node stops.
 */
#include "serving/planned_stop_base.h"

#include <algorithm>
#include <cmath>

namespace boragewharf::serving {
namespace {

/** Weights of the latest duration in mean and deviation, and the number of
 * deviations in the bound; taken from the retransmission timer of RFC 6298. */
constexpr double kMeanWeight = 1.0 / 8;
constexpr double kDeviationWeight = 1.0 / 4;
constexpr double kDeviationFactor = 4;

}  // namespace

bool EndsBeforeStop(const StopFacts& facts) {
  if (facts.left <= Duration::zero()) {
    return false;
  }
  if (facts.limit <= facts.left) {
    return true;
  }
  return !facts.must_be_certain && facts.expected &&
         *facts.expected <= facts.left;
}

void DurationEstimate::Add(Duration duration) {
  const auto value = static_cast<double>(duration.count());
  if (!this->mean) {
    this->mean = value;
    this->deviation = value / 2;
    return;
  }
  this->deviation +=
      kDeviationWeight * (std::abs(value - *this->mean) - this->deviation);
  *this->mean += kMeanWeight * (value - *this->mean);
}

std::optional<Duration> DurationEstimate::Bound() const {
  if (!this->mean) {
    return std::nullopt;
  }
  return Duration(
      std::llround(*this->mean + kDeviationFactor * this->deviation));
}

}  // namespace boragewharf::serving
