/**
 * @file crash_suspects_base.cc
 * Detection of requests that crash servers.
 */
#include "serving/crash_suspects_base.h"

#include <xxhash.h>

#include <vector>

namespace boragewharf::serving {
namespace {

/** A request with this many crashes is not sent again. */
constexpr uint32_t kMaxCrashes = 3;

/** A suspect is removed after this time without a crash. */
constexpr std::chrono::minutes kSuspectLifetime(2);

/** Suspects that are kept; the oldest is replaced. */
constexpr size_t kMaxSuspects = 512;

/** Suspects per report to the other nodes, because datagrams are limited. */
constexpr size_t kMaxReported = 16;

}  // namespace

uint64_t RequestFingerprint(std::string_view customer,
                            std::string_view target,
                            std::string_view body) {
  const uint64_t customer_hash = XXH64(customer.data(), customer.size(), 0);
  const uint64_t target_hash =
      XXH64(target.data(), target.size(), customer_hash);
  return XXH64(body.data(), body.size(), target_hash);
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
  const auto own_entry = this->own.find(fingerprint);
  if (own_entry != this->own.end()) {
    crashes += own_entry->second.crashes;
  }
  const auto remote_entry = this->remote.find(fingerprint);
  if (remote_entry != this->remote.end()) {
    crashes += remote_entry->second;
  }
  return crashes >= kMaxCrashes;
}

std::map<uint64_t, uint32_t> CrashSuspects::Report(TimePoint now) {
  std::erase_if(this->own, [&](const auto& entry) {
    return now - entry.second.last > kSuspectLifetime;
  });
  // Report suspects with more crashes first, because most have only one.
  std::map<uint64_t, uint32_t> report;
  for (uint32_t min_crashes = kMaxCrashes; min_crashes > 0; --min_crashes) {
    for (const auto& [fingerprint, suspect] : this->own) {
      if (report.size() >= kMaxReported) {
        return report;
      }
      if (suspect.crashes >= min_crashes) {
        report.emplace(fingerprint, suspect.crashes);
      }
    }
  }
  return report;
}

}  // namespace boragewharf::serving
