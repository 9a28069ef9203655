/**
 * @file version_test_base.h
 * Sequential test that compares a new version of a service with the old ones.
 */
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "rollout/evidence_base.h"

namespace boragewharf::rollout {

/**
 * Decides whether the target of a roll-out is worse than the old versions.
 *
 * For each route, for each load and for all together, the log-likelihood ratio
 * between "worse by a given difference" and "like the old versions" is added up
 * over the attempts, for failures (Bernoulli), times to the first event and
 * gaps (log-normal). Its cumulative sum that restarts at zero detects a fault
 * that begins at any time (E. S. Page, "Continuous inspection schemes",
 * Biometrika 41, 1954); the sum in the other direction accepts the version (A.
 * Wald, "Sequential Analysis", 1947). Failures are compared with those of the
 * old versions on the same route and in the same zone, times with those on the
 * same route under similar load. A verdict also has to hold without any single
 * server. Not thread-safe.
 */
class VersionTest {
 public:
  /** @param margin Added to the threshold, for a test of which many run. */
  explicit VersionTest(double margin = 0) : added_threshold(margin) {}

  /** Adds counts.
   * @param target_servers Listed servers of the target. */
  void Add(const EvidenceCounts& added, size_t target_servers);

  /** Whether the target is worse. Stays true. */
  bool IsBad() const { return this->bad; }

  /** Whether the target is as good as the old versions, as of now. */
  bool IsAccepted() const;

  /** Whether the target is probably worse, if a decision is due now. */
  bool IsSuspect() const;

  /** Attempts at the target that were counted. */
  uint64_t TargetAttempts() const { return this->target_attempts; }

  /** Reason of IsBad(), for the log. */
  std::string Reason() const { return this->reason; }

 private:
  /** Load of a sum over all loads. */
  static constexpr uint32_t kAnyLoad = kSituationClasses;

  /** What a sum is over. */
  struct Group {
    uint32_t route = 0;  ///< 0 for all together.
    Metric metric = Metric::kFailure;
    uint32_t load = kAnyLoad;  ///< Class of load.

    auto operator<=>(const Group&) const = default;
  };

  struct Score {
    double worse = 0;     ///< Cumulative sum, at least 0.
    double accepted = 0;  ///< Sum in the other direction, at most 0.
    uint64_t samples = 0;
    /** The sum without each server. */
    std::map<uint32_t, double> without;
  };

  struct OldRate {
    double attempts = 0;
    double failures = 0;
    double recent_attempts = 0;
    double recent_failures = 0;
  };

  void AddOld(const EvidenceCounts& added);
  double OldFailureRate(uint32_t route, uint32_t zone) const;
  /** Mean and variance of the logarithm of a time of the old versions.
   * @return Whether they are known. */
  bool OldTime(const TimeKey& key, double& mean, double& variance) const;
  /** Whether the old versions have enough samples of exactly these situations.
   */
  bool HasOldTimes(uint32_t route, uint16_t situation) const;
  void AddTo(const Group& group,
             const std::map<uint32_t, double>& ratios,
             uint64_t samples);
  void Judge(size_t target_servers);

  double added_threshold;
  OldRate old_total;
  std::map<uint32_t, OldRate> old_zones;
  std::map<std::pair<uint32_t, uint32_t>, OldRate> old_rates;
  std::map<std::pair<uint32_t, uint16_t>, TimeSum> old_times;
  std::map<Group, Score> scores;
  std::set<uint32_t> servers;
  uint64_t target_attempts = 0;
  bool bad = false;
  std::string reason;
};

}  // namespace boragewharf::rollout
