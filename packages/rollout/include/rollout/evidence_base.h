/**
 * @file evidence_base.h
 * Counts of what attempts at the versions of a service resulted in.
 */
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/time_type.h"
#include "rollout/rollout_type.h"

namespace boragewharf::rollout {

/** What a time was measured of. */
enum class Metric : uint8_t { kFailure = 0, kFirst = 1, kGap = 2 };

/** Servers, load and size for which times are compared. */
struct Situation {
  Metric metric = Metric::kFirst;
  uint32_t running = 0;  ///< Other requests at the server.
  uint32_t slots = 1;    ///< Of the server.
  uint64_t tokens = 0;   ///< Prompt tokens that are read before the event.
};

/** Number of a class of similar situations. @note Thread-safe. */
uint16_t SituationOf(const Situation& situation);

/** Number of classes of load and of size. */
inline constexpr uint32_t kSituationClasses = 8;

/** Class of load of a class of situations. */
uint32_t LoadOf(uint16_t situation);

/** The same class of situations with another class of load. */
uint16_t WithLoad(uint16_t situation, uint32_t load);

/** Metric of a class of situations. */
Metric MetricOf(uint16_t situation);

struct FailureKey {
  uint32_t route = 0;
  uint32_t zone = 0;
  uint32_t server = 0;  ///< 0 for all servers of old versions.

  auto operator<=>(const FailureKey&) const = default;
};

struct TimeKey {
  uint32_t route = 0;
  uint32_t server = 0;  ///< 0 for all servers of old versions.
  uint16_t situation = 0;

  auto operator<=>(const TimeKey&) const = default;
};

struct FailureCount {
  uint32_t attempts = 0;
  uint32_t failures = 0;
};

struct TimeSum {
  uint32_t count = 0;
  double log_sum = 0;
  double square_sum = 0;
};

/** Counts, by what they were counted for. */
struct EvidenceCounts {
  std::map<FailureKey, FailureCount> failures;
  std::map<TimeKey, TimeSum> times;
};

/**
 * Counts of one process for one roll-out. Not thread-safe.
 */
class EvidenceRecorder {
 public:
  /** Records whether an attempt failed. */
  void RecordResult(const FailureKey& key, bool failed);

  /** Records a time; it is bounded to 0.1 ms to 1 day. */
  void RecordTime(const TimeKey& key, Duration time);

  /** Counts of all rows since the start, those that changed last first. */
  void Fill(RolloutEvidence& evidence) const;

 private:
  EvidenceCounts counts;
  uint64_t changes = 0;
  std::map<FailureKey, uint64_t> failure_changed;
  std::map<TimeKey, uint64_t> time_changed;
};

/**
 * Sum of the counts of all processes for one roll-out. Rows and processes are
 * bounded; what exceeds them is ignored. Not thread-safe.
 */
class EvidenceSum {
 public:
  /** Merges the counts of a process. Counts that are lower than known ones are
   * of an earlier message and ignored. */
  void Merge(uint64_t process, const RolloutEvidence& evidence, TimePoint now);

  /** Counts that were added since the last call. */
  EvidenceCounts TakeNew();

  /** Requests of the service, and attempts at the target, at all processes. */
  uint64_t Requests() const { return this->requests; }
  uint64_t Exposed() const { return this->exposed; }

  /** Attempts in progress at servers of other versions, at the processes that
   * were heard of since @p oldest. */
  uint64_t OldRunning(TimePoint oldest) const;

  /** Whether a process has stopped the target. */
  bool Stopped() const { return this->stopped; }

 private:
  struct Process {
    TimePoint heard;
    uint32_t requests = 0;
    uint32_t exposed = 0;
    uint32_t old_running = 0;
    EvidenceCounts counts;
  };

  std::map<uint64_t, Process> processes;
  EvidenceCounts pending;
  uint64_t requests = 0;
  uint64_t exposed = 0;
  bool stopped = false;
};

}  // namespace boragewharf::rollout
