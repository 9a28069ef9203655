/**
 * @file crash_suspects_base.h
 * Detection of requests that crash the servers that run them.
 */
#pragma once

#include <cstdint>
#include <map>
#include <string_view>

#include "base/time_type.h"

namespace boragewharf::serving {

/** Hash of a request; equal when a client sends the same request again. */
uint64_t RequestFingerprint(std::string_view customer,
                            std::string_view target,
                            std::string_view body);

/**
 * Counts how often the connection to a server was lost while the server ran a
 * request, at this node and at the other nodes. Not thread-safe.
 */
class CrashSuspects {
 public:
  /** Counts a connection that was lost while the server ran the request. */
  void CountCrash(uint64_t fingerprint, TimePoint now);

  /** Clears this node's count for a request that got a response. */
  void ClearCrashes(uint64_t fingerprint);

  /** Replaces the counts reported by the other nodes. */
  void SetRemote(std::map<uint64_t, uint32_t> counts);

  /** Whether the request must not be sent to any more servers. */
  bool IsBlocked(uint64_t fingerprint) const;

  /** Counts of this node, to be sent to the other nodes; bounded in size.
   * Drops counts that are too old. */
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
