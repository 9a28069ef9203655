/**
 * @file crash_suspects_base.cc
 * Detection of requests that crash servers.
 */
#include "serving/crash_suspects_base.h"

#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <optional>
#include <utility>

namespace boragewharf::serving {
namespace {

/** A request with this many crashes is not sent again. */
constexpr size_t kMaxCrashes = 3;

/** Time for which a request is blocked at first, and at most. */
constexpr std::chrono::minutes kFirstBlockTime(2);
constexpr std::chrono::minutes kMaxBlockTime(60);

/** Time for which the crashes of a request that is not blocked are remembered
 * after the last one; clients may send it again after minutes. */
constexpr std::chrono::minutes kEvidenceLifetime(10);

/** Crashes kept of a request; with all of them it is blocked for the longest
 * time. */
constexpr size_t kMaxCrashesPerRequest = 8;

/** Suspects that are kept; the oldest that is not blocked is replaced. */
constexpr size_t kMaxSuspects = 512;

/** Suspects per report to nodes that read no SuspectReport, because datagrams
 * are limited. */
constexpr size_t kMaxReported = 16;

/** Bounds of a SuspectReport in a datagram. */
constexpr size_t kMaxToldCrashes = 24;
/** The rest is for the others, which new processes have to learn as well. */
constexpr size_t kMaxToldNewCrashes = kMaxToldCrashes / 2;
constexpr size_t kMaxToldAnswers = 8;

/** The node that has seen a crash tells it for this time; several message
 * periods. The same holds for responses. */
constexpr std::chrono::seconds kNewCrashTime(5);

/** Crashes from which on a request is told again to all nodes, and saved.
 * Losses of whole zones leave a single crash for thousands of sound requests.
 */
constexpr size_t kMinCrashesToKeep = 2;

/** Messages after which older crashes are told again. More often costs more
 * traffic between regions than all else that nodes tell each other. */
constexpr uint64_t kTurnsBetweenRepeats = 16;

/** Time for which a response is remembered, so that crashes before it that are
 * told late do not count. */
constexpr std::chrono::minutes kAnswerLifetime(1);

/** Bound of saved crashes. */
constexpr size_t kMaxSavedCrashes = 256;

/** The crashes of one request in a report. */
struct SuspectGroup {
  size_t begin = 0;
  size_t size = 0;
  TimePoint last;
  std::optional<TimePoint> last_own;  ///< Last crash that this node has seen.
};

std::vector<SuspectGroup> GroupsOf(const SuspectReport& report) {
  std::vector<SuspectGroup> groups;
  for (size_t i = 0; i < report.crashes.size(); ++i) {
    const RequestCrash& crash = report.crashes[i];
    if (i == 0 || report.crashes[i - 1].request != crash.request) {
      groups.push_back({i, 0, crash.crashed_at, std::nullopt});
    }
    SuspectGroup& group = groups.back();
    group.size += 1;
    group.last = std::max(group.last, crash.crashed_at);
    if (crash.own) {
      group.last_own =
          std::max(group.last_own.value_or(crash.crashed_at), crash.crashed_at);
    }
  }
  return groups;
}

/** Copies groups from @p first on, as long as they fit. */
void TakeGroups(const SuspectReport& report,
                std::vector<SuspectGroup>::const_iterator first,
                std::vector<SuspectGroup>::const_iterator last,
                size_t max_crashes,
                std::vector<RequestCrash>& taken) {
  while (first != last && taken.size() + first->size <= max_crashes) {
    const auto begin =
        report.crashes.begin() + static_cast<std::ptrdiff_t>(first->begin);
    taken.insert(taken.end(), begin,
                 begin + static_cast<std::ptrdiff_t>(first->size));
    ++first;
  }
}

uint32_t AgeMs(TimePoint at, TimePoint now) {
  const auto age =
      std::chrono::duration_cast<std::chrono::milliseconds>(now - at).count();
  return static_cast<uint32_t>(std::max<int64_t>(0, age));
}

}  // namespace

uint64_t RequestFingerprint(std::string_view customer,
                            std::string_view target,
                            std::string_view body) {
  const uint64_t customer_hash = XXH64(customer.data(), customer.size(), 0);
  const uint64_t target_hash =
      XXH64(target.data(), target.size(), customer_hash);
  return XXH64(body.data(), body.size(), target_hash);
}

CrashSuspects::CrashSuspects() : generator(std::random_device{}()) {}

Duration CrashSuspects::BlockTime(size_t crashes) {
  Duration time = kFirstBlockTime;
  for (size_t i = kMaxCrashes; i < crashes && time < kMaxBlockTime; ++i) {
    time *= 2;
  }
  return std::min<Duration>(time, kMaxBlockTime);
}

void CrashSuspects::CountCrash(uint64_t fingerprint, TimePoint now) {
  this->Expire(now);
  this->AddCrash(fingerprint,
                 {static_cast<uint32_t>(this->generator()), now, true});
}

void CrashSuspects::AddCrash(uint64_t fingerprint, const Crash& crash) {
  if (this->suspects.size() >= kMaxSuspects &&
      !this->suspects.contains(fingerprint)) {
    this->suspects.erase(
        std::ranges::min_element(this->suspects, {}, [](const auto& entry) {
          const Crashes& crashes = entry.second;
          return std::pair(crashes.size() >= kMaxCrashes, crashes.back().at);
        }));
  }
  Crashes& known = this->suspects[fingerprint];
  known.insert(std::ranges::upper_bound(known, crash.at, {}, &Crash::at),
               crash);
  if (known.size() > kMaxCrashesPerRequest) {
    known.erase(known.begin());
  }
}

void CrashSuspects::RemoveCrashesBefore(uint64_t fingerprint, TimePoint at) {
  const auto found = this->suspects.find(fingerprint);
  if (found == this->suspects.end()) {
    return;
  }
  std::erase_if(found->second,
                [&](const Crash& crash) { return crash.at <= at; });
  if (found->second.empty()) {
    this->suspects.erase(found);
  }
}

void CrashSuspects::ClearCrashes(uint64_t fingerprint, TimePoint now) {
  if (this->suspects.contains(fingerprint)) {
    this->RemoveCrashesBefore(fingerprint, now);
    this->answers[fingerprint] = now;
  }
}

std::vector<uint64_t> CrashSuspects::Merge(const SuspectReport& report,
                                           TimePoint now) {
  if (report.Empty()) {
    return {};
  }
  this->Expire(now);
  for (const RequestAnswer& answer : report.answers) {
    if (now - answer.answered_at <= kAnswerLifetime) {
      TimePoint& last = this->answers[answer.request];
      last = std::max(last, answer.answered_at);
      this->RemoveCrashesBefore(answer.request, answer.answered_at);
    }
  }
  std::vector<uint64_t> blocked;
  for (const RequestCrash& crash : report.crashes) {
    const auto answered = this->answers.find(crash.request);
    const bool cleared =
        answered != this->answers.end() && crash.crashed_at <= answered->second;
    if (cleared || now - crash.crashed_at > 2 * kMaxBlockTime) {
      continue;
    }
    const auto known = this->suspects.find(crash.request);
    if (known != this->suspects.end() &&
        std::ranges::find(known->second, crash.id, &Crash::id) !=
            known->second.end()) {
      continue;
    }
    const bool was_blocked = this->IsBlocked(crash.request, now);
    this->AddCrash(crash.request, {crash.id, crash.crashed_at, false});
    if (!was_blocked && this->IsBlocked(crash.request, now)) {
      blocked.push_back(crash.request);
    }
  }
  return blocked;
}

void CrashSuspects::SetRemote(std::map<uint64_t, uint32_t> counts) {
  this->remote = std::move(counts);
}

bool CrashSuspects::IsBlocked(uint64_t fingerprint, TimePoint now) const {
  size_t crashes = 0;
  bool recent = true;
  const auto known = this->suspects.find(fingerprint);
  if (known != this->suspects.end()) {
    crashes = known->second.size();
    recent = now - known->second.back().at < BlockTime(crashes);
  }
  const auto told = this->remote.find(fingerprint);
  if (told != this->remote.end()) {
    crashes += told->second;
  }
  return crashes >= kMaxCrashes && recent;
}

void CrashSuspects::Expire(TimePoint now) {
  std::erase_if(this->suspects, [&](const auto& entry) {
    const Crashes& crashes = entry.second;
    // A block that has ended is remembered for as long again.
    const Duration lifetime =
        std::max<Duration>(kEvidenceLifetime, 2 * BlockTime(crashes.size()));
    return now - crashes.back().at > lifetime;
  });
  std::erase_if(this->answers, [&](const auto& entry) {
    return now - entry.second > kAnswerLifetime;
  });
}

std::map<uint64_t, uint32_t> CrashSuspects::Report(TimePoint now) {
  this->Expire(now);
  std::map<uint64_t, uint32_t> own;
  for (const auto& [fingerprint, crashes] : this->suspects) {
    const auto seen = std::ranges::count_if(crashes, [&](const Crash& crash) {
      return crash.own && now - crash.at <= kFirstBlockTime;
    });
    if (seen > 0) {
      own[fingerprint] = static_cast<uint32_t>(seen);
    }
  }
  // Report suspects with more crashes first, because most have only one.
  std::map<uint64_t, uint32_t> report;
  for (uint32_t min_crashes = kMaxCrashes; min_crashes > 0; --min_crashes) {
    for (const auto& [fingerprint, count] : own) {
      if (report.size() >= kMaxReported) {
        return report;
      }
      if (count >= min_crashes) {
        report.emplace(fingerprint, count);
      }
    }
  }
  return report;
}

SuspectReport CrashSuspects::All(TimePoint now) {
  this->Expire(now);
  SuspectReport report;
  for (const auto& [fingerprint, crashes] : this->suspects) {
    for (const Crash& crash : crashes) {
      report.crashes.push_back({fingerprint, crash.id, 0, crash.at, crash.own});
    }
  }
  for (const auto& [fingerprint, answered] : this->answers) {
    report.answers.push_back({fingerprint, 0, answered});
  }
  return report;
}

SuspectReport SelectForMessage(const SuspectReport& all,
                               uint64_t turn,
                               bool to_newcomer,
                               TimePoint now) {
  std::vector<SuspectGroup> groups = GroupsOf(all);
  // Hashed, as some nodes only get each second message.
  const uint64_t start = XXH64(&turn, sizeof(turn), 0);
  const auto rotate = [&](std::vector<SuspectGroup>& list) {
    if (!list.empty()) {
      std::rotate(
          list.begin(),
          list.begin() + static_cast<std::ptrdiff_t>(start % list.size()),
          list.end());
    }
  };
  std::vector<SuspectGroup> seen_lately;
  std::vector<SuspectGroup> repeated;
  std::vector<SuspectGroup> single;
  for (const SuspectGroup& group : groups) {
    if (group.last_own && now - *group.last_own <= kNewCrashTime) {
      seen_lately.push_back(group);
    } else if (group.size >= kMinCrashesToKeep) {
      repeated.push_back(group);
    } else {
      single.push_back(group);
    }
  }
  rotate(seen_lately);
  rotate(repeated);
  rotate(single);
  SuspectReport selected;
  TakeGroups(all, seen_lately.begin(), seen_lately.end(), kMaxToldNewCrashes,
             selected.crashes);
  if (to_newcomer || turn % kTurnsBetweenRepeats == 0) {
    TakeGroups(all, repeated.begin(), repeated.end(), kMaxToldCrashes,
               selected.crashes);
  }
  if (to_newcomer) {
    TakeGroups(all, single.begin(), single.end(), kMaxToldCrashes,
               selected.crashes);
  }
  std::ranges::copy_if(all.answers, std::back_inserter(selected.answers),
                       [&](const RequestAnswer& answer) {
                         return now - answer.answered_at <= kNewCrashTime;
                       });
  std::ranges::sort(selected.answers, std::ranges::greater(),
                    &RequestAnswer::answered_at);
  selected.answers.resize(std::min(selected.answers.size(), kMaxToldAnswers));
  return selected;
}

SuspectReport SelectForSave(const SuspectReport& all) {
  std::vector<SuspectGroup> groups = GroupsOf(all);
  std::erase_if(groups, [](const SuspectGroup& group) {
    return group.size < kMinCrashesToKeep;
  });
  std::ranges::stable_sort(groups, std::ranges::greater(), &SuspectGroup::size);
  SuspectReport selected;
  TakeGroups(all, groups.begin(), groups.end(), kMaxSavedCrashes,
             selected.crashes);
  return selected;
}

void SetAges(SuspectReport& report, TimePoint now) {
  for (RequestCrash& crash : report.crashes) {
    crash.age_ms = AgeMs(crash.crashed_at, now);
  }
  for (RequestAnswer& answer : report.answers) {
    answer.age_ms = AgeMs(answer.answered_at, now);
  }
}

void SetTimes(SuspectReport& report, TimePoint now) {
  for (RequestCrash& crash : report.crashes) {
    crash.crashed_at = now - std::chrono::milliseconds(crash.age_ms);
  }
  for (RequestAnswer& answer : report.answers) {
    answer.answered_at = now - std::chrono::milliseconds(answer.age_ms);
  }
}

}  // namespace boragewharf::serving
