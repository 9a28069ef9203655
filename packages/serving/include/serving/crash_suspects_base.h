/**
 * @file crash_suspects_base.h
 * Requests that crash the servers which run them.
 */
#pragma once

#include <cstdint>
#include <map>
#include <string_view>

#include "base/time_type.h"

namespace boragewharf::serving {

/** Fingerprint of a request that is the same when a client sends it again. */
uint64_t RequestFingerprint(std::string_view customer,
                            std::string_view target,
                            std::string_view body);

/**
 * Counts how often a request ended with the connection of its server, here
 * and at the other nodes. Not thread-safe.
 */
class CrashSuspects {
 public:
  /** A server's connection broke while it ran the request. */
  void CountCrash(uint64_t fingerprint, TimePoint now);

  /** The request got an answer; it is no suspect. */
  void ClearCrashes(uint64_t fingerprint);

  /** Takes over the counts of the other nodes. */
  void SetRemote(std::map<uint64_t, uint32_t> counts);

  /** Whether the request must not be sent to further servers. */
  bool IsBlocked(uint64_t fingerprint) const;

  /** Own counts of suspects, for the other nodes. */
  std::map<uint64_t, uint32_t> Report(TimePoint now);

 private:
  struct Suspect {
    uint32_t crashes = 0;
    TimePoint last;
  };

  std::map<uint64_t, Suspect> own;
  std::map<uint64_t, uint32_t> remote;
};

}  // namespace boragewharf::serving
