/**
 * @file version_test_base.cc
 * Sequential test that compares a new version of a service with the old ones.
 */
#include "rollout/version_test_base.h"

#include <algorithm>
#include <cmath>

namespace boragewharf::rollout {
namespace {

/**
 * Log-likelihood ratio at which the target counts as worse. A good version
 * crosses it from a given attempt on with a probability of at most
 * exp(-kThreshold) (Wald); over 3,000 attempts and 10 sums that is 0.003 by the
 * union bound.
 */
constexpr double kThreshold = 16;

/** The same without the worst server: for one server in 30 seconds by exp(-5).
 */
constexpr double kThresholdWithoutServer = 5;

/** The same when a decision is due: exp(-5.3) = 0.005. Times have more samples
 * than failures, and differ between servers. */
constexpr double kSuspectFailures = 5.3;
constexpr double kSuspectTimes = 6.5;

/** The same without the worst server. Failures are rare, and two of them at
 * two servers say much; with 4 for times, one slow server among six made 2 of
 * 200 good versions suspect. */
constexpr double kSuspectFailuresElsewhere = 2;
constexpr double kSuspectTimesElsewhere = 5;

/** Sum at which a version is accepted: a bad one passes with a probability of
 * exp(-6.2) = 0.002. */
constexpr double kAcceptFailures = -6.2;

/** The same for times, of which most versions have enough samples. */
constexpr double kAcceptTimes = -3;

/** Attempts below which nothing is accepted. */
constexpr uint64_t kMinAttempts = 30;

/** A worse version fails in this share of attempts more, or this many times as
 * often. */
constexpr double kWorseShare = 0.03;
constexpr double kWorseFactor = 2.5;

/** Smallest and largest failure rate that old versions are assumed to have. */
constexpr double kMinRate = 0.002;
constexpr double kMaxRate = 0.5;

/** Attempts that the rate of all routes counts as in that of a route. */
constexpr double kPriorAttempts = 20;

/** Share that recent failures keep with each addition, of which there are five
 * per second: half of it is lost in 0.7 s. */
constexpr double kRecentKept = 0.82;

/**
 * A worse version takes this many times as long. A difference of its square
 * root is the limit between like and unlike: above 1.6, by which a slow server
 * of a service (0.7 : 1.7) differs from the mean of its requests, most of which
 * are at the fast ones; and below 3. With 2.4, good versions were stopped while
 * slow servers were exposed.
 */
constexpr double kWorseTimes = 3.3;

/** Least samples of old versions with which times are compared. */
constexpr uint32_t kMinOldTimes = 8;

/** Times are assumed to grow with this power of the load where the old versions
 * have no samples: between none and in proportion. */
constexpr double kLoadExponent = 0.5;

/** Least standard deviation of the logarithm of a time. */
constexpr double kMinDeviation = 0.4;

/** Times of requests that run at once depend on each other: this many count as
 * one. */
constexpr double kDependentSamples = 4;

}  // namespace

void VersionTest::AddOld(const EvidenceCounts& added) {
  // Rates of which there are no new samples are kept: while all requests go to
  // the target, a zone may still fail.
  std::set<OldRate*> decayed;
  const auto decay = [&](OldRate& rate) {
    if (decayed.insert(&rate).second) {
      rate.recent_attempts *= kRecentKept;
      rate.recent_failures *= kRecentKept;
    }
  };
  const auto add = [&](OldRate& rate, const FailureCount& count) {
    decay(rate);
    rate.attempts += count.attempts;
    rate.failures += count.failures;
    rate.recent_attempts += count.attempts;
    rate.recent_failures += count.failures;
  };
  for (const auto& [key, count] : added.failures) {
    if (key.server == 0) {
      add(this->old_total, count);
      add(this->old_zones[key.zone], count);
      add(this->old_rates[{key.route, key.zone}], count);
    }
  }
  const auto add_time = [](TimeSum& sum, const TimeSum& more) {
    sum.count += more.count;
    sum.log_sum += more.log_sum;
    sum.square_sum += more.square_sum;
  };
  for (const auto& [key, sum] : added.times) {
    if (key.server == 0) {
      add_time(this->old_times[{key.route, key.situation}], sum);
    }
  }
}

double VersionTest::OldFailureRate(uint32_t route, uint32_t zone) const {
  const auto rate_of = [](const OldRate& rate, double prior) {
    const auto shrunk = [&](double failures, double attempts) {
      const double samples = attempts + kPriorAttempts;
      const double share = (failures + kPriorAttempts * prior) / samples;
      // The rate of a failing zone is known only roughly.
      return share < kWorseShare
                 ? share
                 : share + std::sqrt(share * (1 - share) / samples);
    };
    return std::max(shrunk(rate.failures, rate.attempts),
                    shrunk(rate.recent_failures, rate.recent_attempts));
  };
  // A zone that fails does so on all routes.
  double rate = rate_of(this->old_total, kMinRate);
  const auto of_zone = this->old_zones.find(zone);
  if (of_zone != this->old_zones.end()) {
    rate = rate_of(of_zone->second, rate);
  }
  const auto found = this->old_rates.find({route, zone});
  if (found != this->old_rates.end()) {
    rate = rate_of(found->second, rate);
  }
  return std::clamp(rate, kMinRate, kMaxRate);
}

bool VersionTest::OldTime(const TimeKey& key,
                          double& mean,
                          double& variance) const {
  // Slow servers reach loads that the old ones don't: the nearest load counts,
  // since requests would otherwise be left out just because they are slow.
  const TimeSum* nearest = nullptr;
  double least_distance = 0;
  for (uint32_t load = 0; load < kSituationClasses; ++load) {
    const auto found =
        this->old_times.find({key.route, WithLoad(key.situation, load)});
    const double distance = std::log((LoadOf(key.situation) + 1.0) /
                                     (static_cast<double>(load) + 1.0));
    if (found != this->old_times.end() && found->second.count >= kMinOldTimes &&
        (nearest == nullptr || std::abs(distance) < std::abs(least_distance))) {
      nearest = &found->second;
      least_distance = distance;
    }
  }
  if (nearest == nullptr) {
    return false;
  }
  const TimeSum& sum = *nearest;
  const double own_mean = sum.log_sum / sum.count;
  mean = own_mean + kLoadExponent * least_distance;
  variance = std::max(kMinDeviation * kMinDeviation,
                      sum.square_sum / sum.count - own_mean * own_mean);
  return true;
}

bool VersionTest::HasOldTimes(uint32_t route, uint16_t situation) const {
  const auto found = this->old_times.find({route, situation});
  return found != this->old_times.end() && found->second.count >= kMinOldTimes;
}

void VersionTest::AddTo(const Group& group,
                        const std::map<uint32_t, double>& ratios,
                        uint64_t samples) {
  Score& score = this->scores[group];
  double total = 0;
  for (const auto& [server, ratio] : ratios) {
    total += ratio;
    score.without.try_emplace(server, score.worse);
  }
  for (auto& [server, without] : score.without) {
    const auto own = ratios.find(server);
    const double others = own == ratios.end() ? total : total - own->second;
    without = std::max(0.0, without + others);
  }
  score.worse = std::max(0.0, score.worse + total);
  score.accepted = std::min(0.0, score.accepted + total);
  score.samples += samples;
}

void VersionTest::Add(const EvidenceCounts& added, size_t target_servers) {
  this->AddOld(added);
  std::map<Group, std::map<uint32_t, double>> ratios;
  std::map<Group, uint64_t> samples;
  const auto add = [&](const std::vector<Group>& groups, uint32_t server,
                       double ratio, uint32_t count) {
    for (const Group& group : groups) {
      ratios[group][server] += ratio;
      samples[group] += count;
    }
  };
  for (const auto& [key, count] : added.failures) {
    if (key.server == 0) {
      continue;
    }
    const double old = this->OldFailureRate(key.route, key.zone);
    const double worse =
        std::min(0.9, std::max(old + kWorseShare, kWorseFactor * old));
    const double served = count.attempts - count.failures;
    add({Group{key.route, Metric::kFailure, kAnyLoad},
         Group{0, Metric::kFailure, kAnyLoad}},
        key.server,
        count.failures * std::log(worse / old) +
            served * std::log((1 - worse) / (1 - old)),
        count.attempts);
    this->target_attempts += count.attempts;
    this->servers.insert(key.server);
  }
  const double difference = std::log(kWorseTimes);
  for (const auto& [key, sum] : added.times) {
    double mean = 0;
    double variance = 0;
    if (key.server == 0 || !this->OldTime(key, mean, variance)) {
      continue;
    }
    const double excess = sum.log_sum - sum.count * (mean + difference / 2);
    const Metric metric = MetricOf(key.situation);
    std::vector<Group> groups{{key.route, metric, kAnyLoad},
                              {0, metric, kAnyLoad}};
    if (this->HasOldTimes(key.route, key.situation)) {
      // Loads that the old versions have not had are compared with an
      // assumption only; a slow server reaches them.
      groups.push_back({0, metric, LoadOf(key.situation)});
    }
    add(groups, key.server, difference / variance * excess / kDependentSamples,
        sum.count);
    this->servers.insert(key.server);
  }
  for (const auto& [group, of_servers] : ratios) {
    this->AddTo(group, of_servers, samples[group]);
  }
  this->Judge(target_servers);
}

void VersionTest::Judge(size_t target_servers) {
  for (const auto& [group, score] : this->scores) {
    if (this->bad || score.worse < kThreshold + this->added_threshold) {
      continue;
    }
    double least = target_servers < 2 ? score.worse : 0;
    if (score.without.size() >= 2) {
      least = score.worse;
      for (const auto& [server, without] : score.without) {
        least = std::min(least, without);
      }
    }
    if (least < kThresholdWithoutServer) {
      continue;
    }
    this->bad = true;
    const char* names[] = {"failures", "time to the first event", "gaps"};
    this->reason =
        std::string(names[static_cast<size_t>(group.metric)]) +
        (group.route == 0 ? "" : " on one route") +
        (group.load == kAnyLoad ? ""
                                : " under load " + std::to_string(group.load)) +
        ", ratio " + std::to_string(static_cast<int>(score.worse)) + " after " +
        std::to_string(score.samples) + " samples";
  }
}

bool VersionTest::IsAccepted() const {
  if (this->bad || this->IsSuspect() || this->target_attempts < kMinAttempts) {
    return false;
  }
  const auto reached = [&](Metric metric, double bound) {
    const auto found = this->scores.find(Group{0, metric, kAnyLoad});
    return found != this->scores.end() && found->second.accepted <= bound;
  };
  const auto measured = [&](Metric metric) {
    const auto found = this->scores.find(Group{0, metric, kAnyLoad});
    return found != this->scores.end() && found->second.samples > 0;
  };
  return reached(Metric::kFailure, kAcceptFailures) &&
         (!measured(Metric::kFirst) || reached(Metric::kFirst, kAcceptTimes));
}

bool VersionTest::IsSuspect() const {
  return this->bad || std::ranges::any_of(this->scores, [](const auto& entry) {
           const Score& score = entry.second;
           const double elsewhere = entry.first.metric == Metric::kFailure
                                        ? kSuspectFailuresElsewhere
                                        : kSuspectTimesElsewhere;
           const double threshold = entry.first.metric == Metric::kFailure
                                        ? kSuspectFailures
                                        : kSuspectTimes;
           return score.worse >= threshold &&
                  (score.without.size() < 2 ||
                   std::ranges::all_of(score.without, [&](const auto& without) {
                     return without.second >= elsewhere;
                   }));
         });
}

}  // namespace boragewharf::rollout
