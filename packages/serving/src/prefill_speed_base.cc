/**
 * @file prefill_speed_base.cc
 * Learns how fast engines process prompts.
 */
#include "serving/prefill_speed_base.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace boragewharf::serving {
namespace {

/** Requests that are kept, and for how long. Long enough for nodes that get a
 * few requests per second, short enough to follow a new engine. */
constexpr size_t kMaxSamples = 512;
constexpr std::chrono::seconds kSampleLifetime(30);

/** Interval between two estimates. */
constexpr std::chrono::milliseconds kEstimatePeriod(500);

/** Requests are compared in groups of similar prompt lengths. */
constexpr size_t kMaxGroups = 8;
constexpr size_t kMinGroups = 3;
constexpr size_t kMinGroupSize = 5;

/** Share of the fastest requests of a group that its time is taken from. */
constexpr double kFastShare = 0.35;

/** Least ratio of two groups' prompt lengths for a slope between them. */
constexpr double kMinLengthRatio = 1.5;

/** Weight of the newest estimate in the moving average. */
constexpr double kEstimateWeight = 0.3;

/** Typical prompt length and fast time of a group. */
struct Group {
  double tokens = 0;
  double ms = 0;
};

/** A value and its weight in a median. */
struct Weighted {
  double value = 0;
  double weight = 0;
};

/** @pre @p values is not empty. */
double WeightedMedian(std::vector<Weighted> values) {
  std::ranges::sort(values, {}, &Weighted::value);
  double total = 0;
  for (const Weighted& entry : values) {
    total += entry.weight;
  }
  double passed = 0;
  for (const Weighted& entry : values) {
    passed += entry.weight;
    if (passed >= total / 2) {
      return entry.value;
    }
  }
  return values.back().value;
}

}  // namespace

void PrefillSpeedEstimate::Add(uint32_t tokens,
                               Duration first_event,
                               TimePoint now) {
  if (tokens == 0 || first_event <= Duration::zero()) {
    return;
  }
  constexpr double kMicrosPerMs = 1000;
  this->samples.push_back(
      {tokens, static_cast<double>(first_event.count()) / kMicrosPerMs, now});
  if (this->samples.size() > kMaxSamples) {
    this->samples.pop_front();
  }
}

std::optional<PrefillSpeed> PrefillSpeedEstimate::Current(TimePoint now) {
  if (now < this->next_estimate) {
    return this->latest;
  }
  this->next_estimate = now + kEstimatePeriod;
  while (!this->samples.empty() &&
         now - this->samples.front().seen > kSampleLifetime) {
    this->samples.pop_front();
  }
  const auto estimate = this->Estimate();
  if (!estimate) {
    // Without requests, the last known speed is the best guess.
    return this->latest;
  }
  if (this->latest) {
    const double before = this->latest->tokens_per_ms;
    this->latest->tokens_per_ms = static_cast<float>(
        before + kEstimateWeight * (estimate->tokens_per_ms - before));
    this->latest->samples = estimate->samples;
  } else {
    this->latest = estimate;
  }
  return this->latest;
}

std::optional<PrefillSpeed> PrefillSpeedEstimate::Estimate() const {
  const size_t count =
      std::min(kMaxGroups, this->samples.size() / kMinGroupSize);
  if (count < kMinGroups) {
    return std::nullopt;
  }
  std::vector<Sample> sorted(this->samples.begin(), this->samples.end());
  std::ranges::sort(sorted, {}, &Sample::tokens);
  std::vector<Group> groups;
  for (size_t i = 0; i < count; ++i) {
    const auto first =
        sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() * i / count);
    const auto last = sorted.begin() + static_cast<std::ptrdiff_t>(
                                           sorted.size() * (i + 1) / count);
    std::vector<Sample> members(first, last);
    std::ranges::sort(members, {}, &Sample::ms);
    const auto fast = std::max<size_t>(
        2,
        static_cast<size_t>(kFastShare * static_cast<double>(members.size())));
    Group group;
    for (size_t k = 0; k < fast; ++k) {
      group.tokens += members[k].tokens / static_cast<double>(fast);
      group.ms += members[k].ms / static_cast<double>(fast);
    }
    groups.push_back(group);
  }
  // The slope is that of Theil and Sen, weighted by the difference in length:
  // constant delays cancel, and single odd groups don't count.
  std::vector<Weighted> slopes;
  for (size_t i = 0; i < groups.size(); ++i) {
    for (size_t k = i + 1; k < groups.size(); ++k) {
      if (groups[k].tokens >= kMinLengthRatio * groups[i].tokens) {
        const double tokens = groups[k].tokens - groups[i].tokens;
        slopes.push_back({(groups[k].ms - groups[i].ms) / tokens, tokens});
      }
    }
  }
  if (slopes.empty()) {
    return std::nullopt;
  }
  const double slope = WeightedMedian(std::move(slopes));
  if (slope <= 0) {
    return std::nullopt;
  }
  return PrefillSpeed{static_cast<float>(1 / slope),
                      static_cast<uint32_t>(this->samples.size())};
}

std::optional<double> CombineSpeeds(std::span<const PrefillSpeed> speeds) {
  std::vector<Weighted> values;
  for (const PrefillSpeed& speed : speeds) {
    if (std::isfinite(speed.tokens_per_ms) && speed.tokens_per_ms > 0) {
      values.push_back(
          {speed.tokens_per_ms,
           static_cast<double>(std::min<size_t>(speed.samples, kMaxSamples))});
    }
  }
  if (values.empty()) {
    return std::nullopt;
  }
  return WeightedMedian(std::move(values));
}

}  // namespace boragewharf::serving
