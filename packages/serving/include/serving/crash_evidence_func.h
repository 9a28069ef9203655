/**
 * @file crash_evidence_func.h
 * Conversion between ages, which nodes tell each other, and local times.
 */
#pragma once

#include <string_view>

#include "serving/crash_evidence_type.h"

namespace boragewharf::serving {

/** Sets all ages from the local times. @note Thread-safe. */
void SetAges(CrashEvidence& evidence, TimePoint now);

/** Sets all local times from the ages. @note Thread-safe. */
void SetTimes(CrashEvidence& evidence, TimePoint now);

/** Identifies a crash by the lifetime of the server: its id and its start in
 * Unix milliseconds. @note Thread-safe. */
uint32_t MakeCrashIdentifier(std::string_view server, uint64_t started);

}  // namespace boragewharf::serving
