/**
 * @file backend_state.h
 * State of the table of backend servers.
 */
#pragma once

#include <chrono>
#include <cstdint>
#include <cstring>
#include <deque>
#include <map>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "backend/backend_event.h"

namespace boragewharf::backend {

/** Bounds and periods of the table. */
struct BackendOptions {
  Duration ejection_min = std::chrono::seconds(1);     ///< First ejection.
  Duration ejection_max = std::chrono::seconds(60);    ///< Longest ejection.
  Duration ejection_memory = std::chrono::minutes(5);  ///< Until it restarts.
  uint32_t silences = 2;  ///< In a row, until a server is ejected.
  uint32_t refusals = 5;  ///< In a row, until a server is ejected.
  Duration crash_decision = std::chrono::seconds(3);  ///< From a failure on.
  Duration wave_window = std::chrono::seconds(5);     ///< See IsWave().
  uint32_t wave_servers = 2;  ///< Failed without the request, at least.
  Duration suspect_time = std::chrono::minutes(10);  ///< Of suspicion.
  uint32_t ambiguous_crashes = 3;  ///< That convict without a decisive one.
  size_t suspects = 4096;          ///< Remembered fingerprints.
  size_t failures = 1024;          ///< Remembered failures.
  size_t zone_probes = 4;  ///< Other servers of a zone tried after a crash.
  size_t running = 256;    ///< Fingerprints per failure.
  size_t leaving = 8192;   ///< Remembered leaving instances.
  Duration leaving_memory = std::chrono::minutes(30);  ///< Once unlisted.
};

/** A server with what is known of its health. */
struct ServerState {
  BackendServer server;     ///< As published.
  uint32_t silences = 0;    ///< In a row.
  uint32_t refusals = 0;    ///< In a row.
  uint32_t ejections = 0;   ///< Recent ones; sets the next time.
  bool failing = false;     ///< Last observation was a failure.
  TimePoint ejected_until;  ///< For kEjected.
  TimePoint ejected_last;   ///< When ejections last rose.
};

/** A server that failed, kept until it is known why. */
struct Failure {
  std::string instance;              ///< Failed server.
  std::string zone;                  ///< Its zone.
  TimePoint at;                      ///< First observation.
  std::vector<Fingerprint> running;  ///< Requests of this daemon there.
  bool connect_refused = false;      ///< First attempt to connect failed.
  bool connected = false;            ///< First attempt to connect succeeded.
  bool decided = false;              ///< Suspects were named, or not.
};

/** What is known against a request. */
struct Suspect {
  std::vector<uint64_t> instances;  ///< Hash of each crashed instance.
  bool decisive = false;            ///< It was the only suspect in one.
  TimePoint last;                   ///< Latest crash.
};

/** Hash of a fingerprint, which is a cryptographic digest already. */
struct FingerprintHash {
  size_t operator()(const Fingerprint& fingerprint) const noexcept {
    size_t hash = 0;
    std::memcpy(&hash, fingerprint.data(), sizeof(hash));
    return hash;
  }
};

/** When an instance was known to be leaving. */
struct LeavingRecord {
  TimePoint at;        ///< Of the news.
  TimePoint deadline;  ///< When it ends; epoch if unknown.
};

/** Counts since the start; the daemon exports them. */
struct BackendTotals {
  uint64_t ejections = 0;          ///< Servers ejected.
  uint64_t ejections_refused = 0;  ///< Not ejected to keep half of the pool.
  uint64_t crashes = 0;            ///< Failures decided to be crashes.
  uint64_t not_crashes = 0;        ///< Failures on reachable servers.
  uint64_t leaving_failures = 0;   ///< Failures of leaving servers.
  uint64_t wave_acquittals = 0;    ///< Requests not blamed for a wave.
  uint64_t convictions = 0;        ///< Requests that became refused.
};

/** State of the table of one daemon. */
struct BackendState {
  BackendOptions options;                        ///< Bounds and periods.
  std::mt19937_64 random;                        ///< Source of all jitter.
  std::map<std::string, ServerState> servers;    ///< By instance name.
  std::map<std::string, LeavingRecord> leaving;  ///< By instance name.
  std::deque<Failure> failures;                  ///< Oldest first.
  std::unordered_map<Fingerprint, Suspect, FingerprintHash> suspects;
  BackendTotals totals;  ///< Counts.
};

}  // namespace boragewharf::backend
