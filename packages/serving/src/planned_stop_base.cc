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

/** Number of streams that are remembered. */
constexpr size_t kMaxStreams = 128;

/** Least number of streams for an estimate. */
constexpr size_t kMinStreams = 8;

/** Least number of streams whose longest one bounds others: the next one is
 * longer than n others with a probability of 1 in n + 1, here 1 in 20. */
constexpr size_t kMinComparableStreams = 19;

/** Whether a stream was allowed to be as long as one with this limit. */
bool AllowsAsMany(const StreamCourse& stream, uint32_t max_output_tokens) {
  return stream.max_output_tokens == 0 ||
         (max_output_tokens > 0 &&
          stream.max_output_tokens >= max_output_tokens);
}

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

void StreamDurationEstimate::Add(const StreamCourse& stream) {
  if (stream.events == 0) {
    return;
  }
  this->first_event.Add(stream.first_event);
  this->event_gap.Add(stream.streaming / stream.events);
  this->recent.push_back(stream);
  if (this->recent.size() > kMaxStreams) {
    this->recent.pop_front();
  }
}

std::optional<Duration> StreamDurationEstimate::LongestWithLimit(
    uint32_t max_output_tokens) const {
  size_t comparable = 0;
  Duration longest{};
  for (const StreamCourse& stream : this->recent) {
    if (!AllowsAsMany(stream, max_output_tokens)) {
      continue;
    }
    comparable += 1;
    longest = std::max(longest, stream.first_event + stream.streaming);
  }
  if (comparable < kMinComparableStreams) {
    return std::nullopt;
  }
  return longest;
}

std::optional<Duration> StreamDurationEstimate::DurationOfLimit(
    uint32_t max_output_tokens) const {
  double events_per_token = 0;
  for (const StreamCourse& stream : this->recent) {
    if (stream.max_output_tokens > 0) {
      events_per_token =
          std::max(events_per_token, static_cast<double>(stream.events) /
                                         stream.max_output_tokens);
    }
  }
  const double events = max_output_tokens * events_per_token;
  if (events <= 0) {
    return std::nullopt;
  }
  const auto gap = static_cast<double>(this->event_gap.Bound()->count());
  return *this->first_event.Bound() + Duration(std::llround(gap * events));
}

std::optional<Duration> StreamDurationEstimate::Bound(
    uint32_t max_output_tokens) const {
  if (this->recent.size() < kMinStreams) {
    return std::nullopt;
  }
  const auto longest = this->LongestWithLimit(max_output_tokens);
  const auto by_limit = this->DurationOfLimit(max_output_tokens);
  if (longest && by_limit) {
    return std::min(*longest, *by_limit);
  }
  return longest ? longest : by_limit;
}

}  // namespace boragewharf::serving
