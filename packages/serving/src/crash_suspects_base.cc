/**
 * @file crash_suspects_base.cc
 * Requests that crash servers.
 */
#include "serving/crash_suspects_base.h"

#include <xxhash.h>

#include <vector>

namespace boragewharf::serving {
namespace {

/** Crashes after which a request is not sent any more. */
constexpr uint32_t kMaxCrashes = 3;

/** A suspect is forgotten after this time without a crash. */
constexpr std::chrono::minutes kSuspectMemory(2);

/** Suspects kept; the oldest yield. */
constexpr size_t kMaxSuspects = 512;

/** Suspects told to the other nodes at once; a datagram is bounded. */
constexpr size_t kMaxReported = 16;

}  // namespace

uint64_t RequestFingerprint(std::string_view customer,
                            std::string_view target,
                            std::string_view body) {
  const uint64_t who = XXH64(customer.data(), customer.size(), 0);
  const uint64_t what = XXH64(target.data(), target.size(), who);
  return XXH64(body.data(), body.size(), what);
}

void CrashSuspects::CountCrash(uint64_t fingerprint, TimePoint now) {
  if (this->own.size() >= kMaxSuspects && !this->own.contains(fingerprint)) {
    auto oldest = this->own.begin();
    for (auto entry = this->own.begin(); entry != this->own.end(); ++entry) {
      if (entry->second.last < oldest->second.last) {
        oldest = entry;
      }
    }
    this->own.erase(oldest);
  }
  Suspect& suspect = this->own[fingerprint];
  suspect.crashes += 1;
  suspect.last = now;
}

void CrashSuspects::ClearCrashes(uint64_t fingerprint) {
  if (!this->own.empty()) {
    this->own.erase(fingerprint);
  }
}

void CrashSuspects::SetRemote(std::map<uint64_t, uint32_t> counts) {
  this->remote = std::move(counts);
}

bool CrashSuspects::IsBlocked(uint64_t fingerprint) const {
  uint32_t crashes = 0;
  const auto here = this->own.find(fingerprint);
  if (here != this->own.end()) {
    crashes += here->second.crashes;
  }
  const auto there = this->remote.find(fingerprint);
  if (there != this->remote.end()) {
    crashes += there->second;
  }
  return crashes >= kMaxCrashes;
}

std::map<uint64_t, uint32_t> CrashSuspects::Report(TimePoint now) {
  std::erase_if(this->own, [&](const auto& entry) {
    return now - entry.second.last > kSuspectMemory;
  });
  // The most frequent suspects first; most entries have one crash.
  std::map<uint64_t, uint32_t> report;
  for (uint32_t least = kMaxCrashes; least > 0; --least) {
    for (const auto& [fingerprint, suspect] : this->own) {
      if (report.size() >= kMaxReported) {
        return report;
      }
      if (suspect.crashes >= least) {
        report.emplace(fingerprint, suspect.crashes);
      }
    }
  }
  return report;
}

}  // namespace boragewharf::serving
