/**
 * @file evidence_base.cc
 * Counts of what attempts at the versions of a service resulted in.
 */
#include "rollout/evidence_base.h"

#include <algorithm>
#include <bit>
#include <chrono>
#include <cmath>
#include <utility>

namespace boragewharf::rollout {
namespace {

/** Bounds of the sum: 300 nodes with two restarts each, and more rows than one
 * message holds. */
constexpr size_t kMaxProcesses = 1024;
constexpr size_t kMaxRows = 512;

/** Rows that a process counts. */
constexpr size_t kMaxOwnRows = 256;

constexpr uint32_t kClasses = kSituationClasses;

/** Smallest number of tokens that is told from fewer, as a power of two. Below
 * it, the time of a prompt is mostly that of a decoding step. */
constexpr int kMinTokenBits = 9;

/** Load classes between an empty and a full server. */
constexpr uint64_t kLoadSteps = 4;

double LogMs(Duration time) {
  constexpr double kMinMs = 0.1;
  constexpr double kMaxMs = 86400000;
  const double ms = std::chrono::duration<double, std::milli>(time).count();
  return std::log(std::clamp(ms, kMinMs, kMaxMs));
}

/** Rows of a map, those that changed last first. */
template <class Key>
std::vector<Key> NewestFirst(const std::map<Key, uint64_t>& changed) {
  std::vector<std::pair<uint64_t, Key>> order;
  order.reserve(changed.size());
  for (const auto& [key, change] : changed) {
    order.emplace_back(change, key);
  }
  std::sort(order.rbegin(), order.rend());
  std::vector<Key> keys;
  keys.reserve(order.size());
  for (const auto& [change, key] : order) {
    keys.push_back(key);
  }
  return keys;
}

}  // namespace

uint16_t SituationOf(const Situation& situation) {
  const uint64_t slots = std::max(1U, situation.slots);
  const auto load = static_cast<uint32_t>(
      std::min<uint64_t>(kClasses - 1, situation.running * kLoadSteps / slots));
  const auto bits = static_cast<int>(std::bit_width(situation.tokens));
  const auto size = static_cast<uint32_t>(
      std::clamp(bits - kMinTokenBits, 0, static_cast<int>(kClasses) - 1));
  return static_cast<uint16_t>(
      (static_cast<uint32_t>(situation.metric) * kClasses + load) * kClasses +
      size);
}

uint32_t LoadOf(uint16_t situation) {
  return situation / kClasses % kClasses;
}

uint16_t WithLoad(uint16_t situation, uint32_t load) {
  return static_cast<uint16_t>(situation - LoadOf(situation) * kClasses +
                               load * kClasses);
}

Metric MetricOf(uint16_t situation) {
  return situation / (kClasses * kClasses) ==
                 static_cast<uint32_t>(Metric::kGap)
             ? Metric::kGap
             : Metric::kFirst;
}

void EvidenceRecorder::RecordResult(const FailureKey& key, bool failed) {
  if (this->counts.failures.size() >= kMaxOwnRows &&
      !this->counts.failures.contains(key)) {
    return;
  }
  FailureCount& count = this->counts.failures[key];
  count.attempts += 1;
  count.failures += failed ? 1 : 0;
  this->failure_changed[key] = ++this->changes;
}

void EvidenceRecorder::RecordTime(const TimeKey& key, Duration time) {
  if (this->counts.times.size() >= kMaxOwnRows &&
      !this->counts.times.contains(key)) {
    return;
  }
  const double log_ms = LogMs(time);
  TimeSum& sum = this->counts.times[key];
  sum.count += 1;
  sum.log_sum += log_ms;
  sum.square_sum += log_ms * log_ms;
  this->time_changed[key] = ++this->changes;
}

void EvidenceRecorder::Fill(RolloutEvidence& evidence) const {
  for (const FailureKey& key : NewestFirst(this->failure_changed)) {
    const FailureCount& count = this->counts.failures.at(key);
    evidence.failures.push_back(
        {key.route, key.zone, key.server, count.attempts, count.failures});
  }
  for (const TimeKey& key : NewestFirst(this->time_changed)) {
    const TimeSum& sum = this->counts.times.at(key);
    evidence.times.push_back({key.route, key.server, key.situation, sum.count,
                              static_cast<float>(sum.log_sum),
                              static_cast<float>(sum.square_sum)});
  }
}

void EvidenceSum::Merge(uint64_t process,
                        const RolloutEvidence& evidence,
                        TimePoint now) {
  if (this->processes.size() >= kMaxProcesses &&
      !this->processes.contains(process)) {
    return;
  }
  Process& known = this->processes[process];
  known.heard = now;
  known.old_running = evidence.old_running;
  this->stopped |= evidence.stopped;
  if (evidence.requests > known.requests) {
    this->requests += evidence.requests - known.requests;
    known.requests = evidence.requests;
  }
  if (evidence.exposed > known.exposed) {
    this->exposed += evidence.exposed - known.exposed;
    known.exposed = evidence.exposed;
  }
  for (const FailureRow& row : evidence.failures) {
    const FailureKey key{row.route, row.zone, row.server};
    if (known.counts.failures.size() >= kMaxRows &&
        !known.counts.failures.contains(key)) {
      continue;
    }
    FailureCount& count = known.counts.failures[key];
    if (row.attempts <= count.attempts || row.failures < count.failures) {
      continue;
    }
    FailureCount& added = this->pending.failures[key];
    added.attempts += row.attempts - count.attempts;
    added.failures +=
        std::min(row.failures - count.failures, row.attempts - count.attempts);
    count = {row.attempts, row.failures};
  }
  for (const TimeRow& row : evidence.times) {
    const TimeKey key{row.route, row.server, row.situation};
    if (known.counts.times.size() >= kMaxRows &&
        !known.counts.times.contains(key)) {
      continue;
    }
    TimeSum& sum = known.counts.times[key];
    if (row.count <= sum.count) {
      continue;
    }
    TimeSum& added = this->pending.times[key];
    added.count += row.count - sum.count;
    added.log_sum += row.log_sum - sum.log_sum;
    added.square_sum += std::max(0.0, row.square_sum - sum.square_sum);
    sum = {row.count, row.log_sum, row.square_sum};
  }
}

EvidenceCounts EvidenceSum::TakeNew() {
  return std::exchange(this->pending, {});
}

uint64_t EvidenceSum::OldRunning(TimePoint oldest) const {
  uint64_t running = 0;
  for (const auto& [id, process] : this->processes) {
    running += process.heard >= oldest ? process.old_running : 0;
  }
  return running;
}

}  // namespace boragewharf::rollout
