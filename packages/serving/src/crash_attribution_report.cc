/**
 * @file crash_attribution_report.cc
 * What a node tells the others of crashes and of the parts of prompts.
 */
#include <algorithm>
#include <chrono>
#include <functional>
#include <iterator>
#include <tuple>
#include <utility>

#include "serving/crash_attribution_base.h"

namespace boragewharf::serving {
namespace {

/** Time for which each crash is told to the other nodes; several message
 * periods. */
constexpr std::chrono::seconds kReportTime(10);

/** Bounds of a report, because datagrams are limited. */
constexpr size_t kMaxReportedCrashes = 8;
constexpr size_t kMaxReportedOtherCrashes = 16;
constexpr size_t kMaxReportedSuccesses = 12;
constexpr size_t kMaxReportedBlocks = 16;

/** Crashes of a part from which on responses to requests with it are told. */
constexpr size_t kMinCrashesToTell = 2;

}  // namespace

CrashEvidence CrashAttribution::Report(TimePoint now) const {
  CrashEvidence evidence;
  for (const auto& [key, block] : this->blocks) {
    if (this->IsBlocked(key, now) &&
        evidence.blocked.size() < kMaxReportedBlocks) {
      evidence.blocked.push_back({key, block.times, 0, block.since});
    }
  }
  for (const auto& [key, answered] : this->ended_blocks) {
    if (evidence.successes.size() < kMaxReportedSuccesses) {
      evidence.successes.push_back({key, 0, answered});
    }
  }
  if (!this->crashes.empty()) {
    evidence.crashes = this->ReportedCrashes(now);
    evidence.other_crashes = this->ReportedOtherCrashes(evidence.crashes, now);
    std::ranges::copy(this->ReportedSuccesses(),
                      std::back_inserter(evidence.successes));
  }
  return evidence;
}

std::vector<CrashedRequest> CrashAttribution::ReportedCrashes(
    TimePoint now) const {
  // By the number of crashes that speak against the worst part, so that the
  // parts nearest to a verdict are told first.
  const auto candidates = this->Candidates(now);
  std::vector<std::pair<size_t, CrashedRequest>> ranked;
  for (const auto& [identifier, crash] : this->crashes) {
    if (now - crash.at > kReportTime) {
      continue;
    }
    for (const Exposure& exposure : crash.exposures) {
      size_t worst = 0;
      for (const uint64_t part : exposure.parts) {
        const auto found = candidates.find({exposure.service, part});
        if (found != candidates.end()) {
          worst = std::max(worst, found->second.crashes.size());
        }
      }
      if (worst > 0) {
        ranked.emplace_back(worst, CrashedRequest{identifier, exposure.request,
                                                  exposure.service,
                                                  exposure.parts, 0, crash.at});
      }
    }
  }
  std::ranges::stable_sort(ranked, [](const auto& a, const auto& b) {
    return std::tuple(a.first, a.second.crashed_at) >
           std::tuple(b.first, b.second.crashed_at);
  });
  std::vector<CrashedRequest> reported;
  for (auto& [worst, request] : ranked) {
    if (reported.size() >= kMaxReportedCrashes) {
      break;
    }
    reported.push_back(std::move(request));
  }
  return reported;
}

std::vector<ServerCrash> CrashAttribution::ReportedOtherCrashes(
    std::span<const CrashedRequest> told,
    TimePoint now) const {
  std::vector<ServerCrash> reported;
  for (const auto& entry : this->crashes) {
    const Crash& crash = entry.second;
    const bool is_told = std::ranges::any_of(told, [&](const auto& request) {
      return request.crash == entry.first;
    });
    if (crash.own && !is_told && now - crash.at <= kReportTime) {
      reported.push_back({entry.first, crash.service, 0, crash.at});
    }
  }
  std::ranges::sort(reported, std::greater(), &ServerCrash::crashed_at);
  reported.resize(std::min(reported.size(), kMaxReportedOtherCrashes));
  return reported;
}

std::map<PartKey, CrashAttribution::CrashCount> CrashAttribution::CrashCounts()
    const {
  std::map<PartKey, CrashCount> counts;
  for (const auto& [identifier, crash] : this->crashes) {
    if (this->IsExplained(crash)) {
      continue;
    }
    std::set<PartKey> parts;
    for (const Exposure& exposure : crash.exposures) {
      for (const uint64_t part : exposure.parts) {
        parts.insert({exposure.service, part});
      }
    }
    for (const PartKey& key : parts) {
      CrashCount& count = counts[key];
      count.crashes += 1;
      count.last = std::max(count.last, crash.at);
    }
  }
  return counts;
}

std::vector<PartSuccess> CrashAttribution::ReportedSuccesses() const {
  // What no node has told yet comes first, then what crashed most often.
  using Rank = std::pair<bool, size_t>;
  std::vector<std::pair<Rank, PartSuccess>> ranked;
  for (const auto& [key, count] : this->CrashCounts()) {
    const auto answered = this->successes.Last(key);
    if (answered && count.crashes >= kMinCrashesToTell) {
      const auto told = this->told_successes.Last(key);
      const bool is_new = !told || *told < count.last;
      ranked.emplace_back(Rank(is_new, count.crashes),
                          PartSuccess{key, 0, *answered});
    }
  }
  std::ranges::stable_sort(
      ranked, [](const auto& a, const auto& b) { return a.first > b.first; });
  std::vector<PartSuccess> reported;
  for (const auto& [rank, success] : ranked) {
    if (reported.size() >= kMaxReportedSuccesses) {
      break;
    }
    reported.push_back(success);
  }
  return reported;
}

}  // namespace boragewharf::serving
