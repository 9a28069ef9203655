/**
 * @file crash_evidence_func.cc
 * Conversion between ages and local times.
 */
#include "serving/crash_evidence_func.h"

#include <xxhash.h>

#include <algorithm>
#include <chrono>

namespace boragewharf::serving {
namespace {

using std::chrono::milliseconds;

/** Calls @p convert with the age and the time of each entry. */
template <class Convert>
void ForEachTime(CrashEvidence& evidence, Convert convert) {
  for (CrashedRequest& crash : evidence.crashes) {
    convert(crash.age_ms, crash.crashed_at);
  }
  for (PartSuccess& success : evidence.successes) {
    convert(success.age_ms, success.answered_at);
  }
  for (BlockedPart& blocked : evidence.blocked) {
    convert(blocked.age_ms, blocked.blocked_at);
  }
  for (ServerCrash& crash : evidence.other_crashes) {
    convert(crash.age_ms, crash.crashed_at);
  }
}

}  // namespace

void SetAges(CrashEvidence& evidence, TimePoint now) {
  ForEachTime(evidence, [&](uint32_t& age_ms, TimePoint at) {
    const auto age = std::chrono::duration_cast<milliseconds>(now - at);
    age_ms = static_cast<uint32_t>(std::max<int64_t>(0, age.count()));
  });
}

void SetTimes(CrashEvidence& evidence, TimePoint now) {
  ForEachTime(evidence, [&](uint32_t age_ms, TimePoint& at) {
    at = now - milliseconds(age_ms);
  });
}

uint32_t MakeCrashIdentifier(std::string_view server, uint64_t started) {
  return static_cast<uint32_t>(XXH64(server.data(), server.size(), started));
}

}  // namespace boragewharf::serving
