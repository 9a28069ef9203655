/**
 * @file crash_attribution_base.cc
 * Evidence against prompt parts, and the verdicts on them.
 */
#include "serving/crash_attribution_base.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <set>
#include <tuple>
#include <utility>

namespace boragewharf::serving {
namespace {

using std::chrono::milliseconds;

/** What is needed for a verdict on a part. */
struct Threshold {
  size_t crashes = 0;
  size_t moments = 0;  ///< Distinct moments of these crashes.
  /** Crashes under other requests than the one that ran in most of them. That
   * one may crash servers by itself, with others beside it. */
  size_t independent = 0;
};

/** Thresholds for parts with which no request was ever answered, and for
 * others. A part has to be known everywhere soon after its fifth crash. */
constexpr Threshold kUnknownPart = {3, 3, 1};
constexpr Threshold kKnownPart = {4, 4, 2};

/** Crashes less than this apart are of one moment. A server reads a prompt for
 * longer before it can crash on it. */
constexpr milliseconds kMomentLength(50);

/** Least time between the first and the last crash of a part with which
 * requests were answered before. */
constexpr milliseconds kMinCrashSpan(500);

/** Largest probability, for a verdict, that any of the suspect parts would
 * have failed as often if all were sound. Where few other requests are
 * answered, a smaller one is reached too late for the bound on crashes. */
constexpr double kMaxChance = 0.02;

/** Responses of a service that are remembered. */
constexpr size_t kMaxFirstEvents = 256;

/** Time for which a part is blocked at first, and at most. */
constexpr std::chrono::minutes kFirstBlockTime(2);
constexpr std::chrono::minutes kMaxBlockTime(60);

/** Time for which crashes are remembered; parts that are used rarely need
 * minutes for a verdict. */
constexpr std::chrono::minutes kEvidenceLifetime(10);

/** Bounds of what is kept. */
constexpr size_t kMaxCrashes = 512;
constexpr size_t kMaxExposures = 64;
constexpr size_t kMaxParts = 8;
constexpr size_t kMaxBlocks = 256;
constexpr size_t kMaxPartsPerGeneration = 4096;

/** Time for which the end of a block is told, also to nodes that were cut off.
 */
constexpr std::chrono::minutes kEndedBlockReportTime(1);

}  // namespace

void PartSuccessTable::Record(const PartKey& key, TimePoint at) {
  TimePoint& last = this->recent[key];
  last = std::max(last, at);
  if (this->recent.size() >= kMaxPartsPerGeneration) {
    this->previous = std::exchange(this->recent, {});
  }
}

std::optional<TimePoint> PartSuccessTable::Last(const PartKey& key) const {
  for (const auto* generation : {&this->recent, &this->previous}) {
    const auto found = generation->find(key);
    if (found != generation->end()) {
      return found->second;
    }
  }
  return std::nullopt;
}

Duration CrashAttribution::BlockTime(uint32_t times) {
  Duration time = kFirstBlockTime;
  for (uint32_t i = 1; i < times && time < kMaxBlockTime; ++i) {
    time *= 2;
  }
  return std::min<Duration>(time, kMaxBlockTime);
}

bool CrashAttribution::IsBlocked(const PartKey& key, TimePoint now) const {
  const auto found = this->blocks.find(key);
  return found != this->blocks.end() &&
         now - found->second.since < BlockTime(found->second.times);
}

void CrashAttribution::RecordCrash(const CrashedRequest& request,
                                   TimePoint now) {
  this->Expire(now);
  this->AddExposure(request, true, now);
}

CrashAttribution::Crash& CrashAttribution::AddCrash(const ServerCrash& crash,
                                                    TimePoint now) {
  if (this->crashes.size() >= kMaxCrashes &&
      !this->crashes.contains(crash.crash)) {
    const auto oldest = std::min_element(
        this->crashes.begin(), this->crashes.end(),
        [](const auto& a, const auto& b) { return a.second.at < b.second.at; });
    this->crashes.erase(oldest);
  }
  const auto [entry, is_new] = this->crashes.try_emplace(crash.crash);
  if (is_new) {
    entry->second.at = crash.crashed_at;
    entry->second.known_at = now;
    entry->second.service = crash.service;
  }
  return entry->second;
}

void CrashAttribution::AddExposure(const CrashedRequest& request,
                                   bool own,
                                   TimePoint now) {
  if (now - request.crashed_at > kEvidenceLifetime) {
    return;
  }
  Crash& crash = this->AddCrash(
      {request.crash, request.service, 0, request.crashed_at}, now);
  crash.own = crash.own || own;
  const bool known =
      std::ranges::any_of(crash.exposures, [&](const Exposure& exposure) {
        return exposure.request == request.request;
      });
  if (request.parts.empty() || known ||
      crash.exposures.size() >= kMaxExposures) {
    return;
  }
  // The last parts are the most specific ones.
  const size_t count = std::min(request.parts.size(), kMaxParts);
  crash.exposures.push_back(
      {request.request,
       request.service,
       {request.parts.end() - static_cast<std::ptrdiff_t>(count),
        request.parts.end()},
       own});
}

void CrashAttribution::RecordFirstEvent(NameHash service, TimePoint now) {
  std::deque<TimePoint>& times = this->first_events[service];
  times.push_back(now);
  if (times.size() > kMaxFirstEvents) {
    times.pop_front();
  }
}

double CrashAttribution::FailureRate(const PartKey& key,
                                     const Candidate& candidate,
                                     TimePoint since) const {
  size_t answered = 0;
  const auto events = this->first_events.find(key.service);
  if (events != this->first_events.end()) {
    answered = static_cast<size_t>(std::ranges::count_if(
        events->second, [&](TimePoint at) { return at > since; }));
  }
  size_t lost = 1;  // Keeps a few responses from meaning certainty.
  for (const auto& [identifier, crash] : this->crashes) {
    if (crash.at < since || candidate.identifiers.contains(identifier) ||
        this->IsExplained(crash)) {
      continue;
    }
    lost += static_cast<size_t>(
        std::ranges::count_if(crash.exposures, [&](const Exposure& exposure) {
          return exposure.own && exposure.service == key.service;
        }));
  }
  return static_cast<double>(lost) / static_cast<double>(answered + lost);
}

void CrashAttribution::Exonerate(const PartKey& key,
                                 TimePoint at,
                                 std::vector<PartKey>& unblocked) {
  this->successes.Record(key, at);
  const auto block = this->blocks.find(key);
  if (block != this->blocks.end() && block->second.since < at) {
    unblocked.push_back(key);
    this->blocks.erase(block);
    this->ended_blocks[key] = at;
  }
}

std::vector<PartKey> CrashAttribution::RecordSuccess(
    NameHash service,
    std::span<const uint64_t> parts,
    TimePoint now) {
  std::vector<PartKey> unblocked;
  for (const uint64_t part : parts) {
    this->Exonerate({service, part}, now, unblocked);
  }
  return unblocked;
}

BlockChanges CrashAttribution::Merge(const CrashEvidence& evidence,
                                     TimePoint now) {
  this->Expire(now);
  for (const CrashedRequest& request : evidence.crashes) {
    this->AddExposure(request, false, now);
  }
  for (const ServerCrash& crash : evidence.other_crashes) {
    if (now - crash.crashed_at <= kEvidenceLifetime) {
      this->AddCrash(crash, now);
    }
  }
  BlockChanges changes;
  for (const PartSuccess& success : evidence.successes) {
    this->told_successes.Record(success.key, success.answered_at);
    this->Exonerate(success.key, success.answered_at, changes.unblocked);
  }
  for (const BlockedPart& blocked : evidence.blocked) {
    const auto known = this->blocks.find(blocked.key);
    // A known block is not renewed; nodes would renew each other's forever.
    if (known != this->blocks.end() && known->second.times >= blocked.times) {
      continue;
    }
    const auto answered = this->successes.Last(blocked.key);
    if ((answered && *answered > blocked.blocked_at) ||
        (known == this->blocks.end() && this->blocks.size() >= kMaxBlocks)) {
      continue;
    }
    this->blocks[blocked.key] = {blocked.blocked_at, blocked.times};
    changes.blocked.push_back(blocked);
  }
  return changes;
}

bool CrashAttribution::IsExplained(const Crash& crash) const {
  return std::ranges::any_of(crash.exposures, [&](const Exposure& exposure) {
    return std::ranges::any_of(exposure.parts, [&](uint64_t part) {
      return this->blocks.contains({exposure.service, part});
    });
  });
}

std::map<PartKey, CrashAttribution::Candidate> CrashAttribution::Candidates(
    TimePoint now) const {
  std::map<PartKey, Candidate> candidates;
  for (const auto& [identifier, crash] : this->crashes) {
    const bool explained = this->IsExplained(crash);
    std::set<PartKey> counted;
    for (const Exposure& exposure : crash.exposures) {
      for (size_t i = 0; i < exposure.parts.size(); ++i) {
        const PartKey key{exposure.service, exposure.parts[i]};
        const auto answered = this->successes.Last(key);
        if (answered && *answered >= crash.at) {
          continue;
        }
        // Only a part whose block has expired is judged by explained crashes.
        const auto block = this->blocks.find(key);
        const bool expired =
            block != this->blocks.end() && !this->IsBlocked(key, now) &&
            crash.at >= block->second.since + BlockTime(block->second.times);
        if ((explained || block != this->blocks.end()) && !expired) {
          continue;
        }
        Candidate& candidate = candidates[key];
        if (counted.insert(key).second) {
          candidate.crashes.emplace_back(crash.known_at, crash.at);
          candidate.identifiers.insert(identifier);
        }
        candidate.requests[exposure.request].insert(identifier);
        candidate.position = std::max(candidate.position, i);
        candidate.answered_before = answered.has_value();
      }
    }
  }
  return candidates;
}

std::tuple<bool, size_t, size_t> CrashAttribution::Candidate::Rank() const {
  return {!this->answered_before, this->crashes.size(), this->position};
}

bool CrashAttribution::HasBetterExplanation(
    const Candidate& candidate,
    const std::map<PartKey, Candidate>& candidates) {
  return std::ranges::any_of(candidates, [&](const auto& entry) {
    const Candidate& other = entry.second;
    return other.Rank() > candidate.Rank() &&
           std::ranges::includes(other.identifiers, candidate.identifiers);
  });
}

size_t CrashAttribution::Candidate::IndependentCrashes() const {
  size_t most = 0;
  for (const auto& [request, ids] : this->requests) {
    most = std::max(most, ids.size());
  }
  return this->crashes.size() - most;
}

size_t CrashAttribution::CountMoments(std::span<const CrashTimes> known) {
  std::vector<TimePoint> times;
  for (const auto& [known_at, at] : known) {
    times.push_back(at);
  }
  std::ranges::sort(times);
  size_t moments = 0;
  std::optional<TimePoint> start;
  for (const TimePoint at : times) {
    if (!start || at - *start >= kMomentLength) {
      start = at;
      moments += 1;
    }
  }
  return moments;
}

std::vector<CrashAttribution::CrashTimes> CrashAttribution::WithoutMassCrashes(
    const PartKey& key,
    const Candidate& candidate) const {
  std::vector<CrashTimes> kept;
  for (const CrashTimes& times : candidate.crashes) {
    const auto is_near = [&](TimePoint at) {
      return at - times.second < kMomentLength &&
             times.second - at < kMomentLength;
    };
    // A request that is sent again cannot have caused two crashes at once.
    const auto with_part =
        std::ranges::count_if(candidate.requests, [&](const auto& entry) {
          return std::ranges::any_of(entry.second, [&](uint32_t crash) {
            return is_near(this->crashes.at(crash).at);
          });
        });
    const auto all =
        std::ranges::count_if(this->crashes, [&](const auto& entry) {
          const Crash& crash = entry.second;
          return is_near(crash.at) && !this->IsExplained(crash) &&
                 crash.service == key.service;
        });
    if (2 * with_part >= all) {
      kept.push_back(times);
    }
  }
  return kept;
}

bool CrashAttribution::IsConvicted(const PartKey& key,
                                   const Candidate& candidate,
                                   size_t suspects,
                                   Duration settle_time,
                                   TimePoint now) const {
  if (this->blocks.contains(key)) {
    return true;  // A single crash renews an expired verdict.
  }
  const Threshold& needed =
      candidate.answered_before ? kKnownPart : kUnknownPart;
  if (candidate.crashes.size() < needed.crashes ||
      candidate.IndependentCrashes() < needed.independent) {
    return false;
  }
  auto own_crashes = this->WithoutMassCrashes(key, candidate);
  const size_t moments = CountMoments(own_crashes);
  if (own_crashes.size() < needed.crashes || moments < needed.moments) {
    return false;
  }
  const auto by_time = [](const auto& a, const auto& b) {
    return a.second < b.second;
  };
  const auto [first, last] = std::ranges::minmax(own_crashes, by_time);
  if (candidate.answered_before && last.second - first.second < kMinCrashSpan) {
    return false;
  }
  std::ranges::sort(own_crashes);
  if (now - own_crashes[needed.crashes - 1].first < settle_time) {
    return false;
  }
  // Crashes of one moment may have one cause, such as a reclaim.
  const double chance =
      std::pow(this->FailureRate(key, candidate, first.second), moments);
  return chance * static_cast<double>(suspects) <= kMaxChance;
}

std::vector<PartVerdict> CrashAttribution::Evaluate(Duration settle_time,
                                                    TimePoint now) {
  this->Expire(now);
  if (this->crashes.empty()) {
    return {};
  }
  std::vector<PartVerdict> verdicts;
  while (this->blocks.size() < kMaxBlocks) {
    const auto candidates = this->Candidates(now);
    const std::pair<const PartKey, Candidate>* worst = nullptr;
    for (const auto& entry : candidates) {
      const auto suspects =
          std::ranges::count_if(candidates, [&](const auto& other) {
            return other.second.answered_before == entry.second.answered_before;
          });
      if (this->IsConvicted(entry.first, entry.second,
                            static_cast<size_t>(suspects), settle_time, now) &&
          !HasBetterExplanation(entry.second, candidates) &&
          (worst == nullptr || entry.second.Rank() > worst->second.Rank())) {
        worst = &entry;
      }
    }
    if (worst == nullptr) {
      break;
    }
    const auto& [key, candidate] = *worst;
    Block& block = this->blocks[key];
    block.since = now;
    block.times += 1;
    verdicts.push_back({{key, block.times, 0, now},
                        candidate.crashes.size(),
                        candidate.requests.size(),
                        candidate.answered_before});
  }
  return verdicts;
}

std::optional<Duration> CrashAttribution::BlockedFor(
    NameHash service,
    std::span<const uint64_t> parts,
    TimePoint now) const {
  std::optional<Duration> longest;
  if (this->blocks.empty()) {
    return longest;
  }
  for (const uint64_t part : parts) {
    const PartKey key{service, part};
    if (!this->IsBlocked(key, now)) {
      continue;
    }
    const Block& block = this->blocks.at(key);
    const Duration left = block.since + BlockTime(block.times) - now;
    longest = std::max(longest.value_or(left), left);
  }
  return longest;
}

void CrashAttribution::Expire(TimePoint now) {
  std::erase_if(this->crashes, [&](const auto& entry) {
    return now - entry.second.at > kEvidenceLifetime;
  });
  std::erase_if(this->ended_blocks, [&](const auto& entry) {
    return now - entry.second > kEndedBlockReportTime;
  });
  // A verdict that has expired is remembered for as long again.
  std::erase_if(this->blocks, [&](const auto& entry) {
    return now - entry.second.since > 2 * BlockTime(entry.second.times);
  });
}

}  // namespace boragewharf::serving
