/**
 * @file planned_stop_base.cc
 * Decides whether a request can finish before its node stops.
 */
#include "serving/planned_stop_base.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace boragewharf::serving {
namespace {

/** Weights of the latest duration in mean and deviation, and the number of
 * deviations in the bound; taken from the retransmission timer of RFC 6298. */
constexpr double kMeanWeight = 1.0 / 8;
constexpr double kDeviationWeight = 1.0 / 4;
constexpr double kDeviationFactor = 4;

/** Streams after which the older half of the observations is dropped. */
constexpr uint32_t kStreamsPerPeriod = 64;

/** Least number of streams for an estimate. */
constexpr uint32_t kMinStreams = 8;

/** Factor on the slowest observed stream; the load shifts while nodes stop. */
constexpr double kStreamSafetyFactor = 1.25;

}  // namespace

bool EndsBeforeStop(const StopFacts& facts) {
  if (facts.left <= Duration::zero()) {
    return false;
  }
  if (facts.limit <= facts.left) {
    return true;
  }
  return facts.expected && *facts.expected <= facts.left;
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

void StreamDurationEstimate::Add(const StreamCourse& stream) {
  if (stream.events == 0) {
    return;
  }
  if (this->current.streams >= kStreamsPerPeriod) {
    this->previous = std::exchange(this->current, {});
  }
  Extremes& seen = this->current;
  const double events = stream.events;
  seen.streams += 1;
  seen.first_event = std::max(seen.first_event,
                              static_cast<double>(stream.first_event.count()));
  seen.event_gap = std::max(
      seen.event_gap, static_cast<double>(stream.streaming.count()) / events);
  seen.events = std::max(seen.events, events);
  if (stream.max_output_tokens > 0) {
    seen.events_per_token =
        std::max(seen.events_per_token, events / stream.max_output_tokens);
  }
}

std::optional<Duration> StreamDurationEstimate::Bound(
    uint32_t max_output_tokens) const {
  if (this->current.streams + this->previous.streams < kMinStreams) {
    return std::nullopt;
  }
  const auto most = [this](double Extremes::*value) {
    return std::max(this->current.*value, this->previous.*value);
  };
  const double by_limit = most(&Extremes::events_per_token) * max_output_tokens;
  const double events = by_limit > 0 ? by_limit : most(&Extremes::events);
  return Duration(std::llround(
      kStreamSafetyFactor *
      (most(&Extremes::first_event) + most(&Extremes::event_gap) * events)));
}

}  // namespace boragewharf::serving
