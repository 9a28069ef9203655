/**
 * @file crash_suspects_base.h
 * Detection of requests that crash the servers that run them.
 */
#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <string_view>
#include <vector>

#include "base/time_type.h"
#include "serving/crash_suspects_type.h"

namespace boragewharf::serving {

/** Hash of a request; equal when a client sends the same request again. */
uint64_t RequestFingerprint(std::string_view customer,
                            std::string_view target,
                            std::string_view body);

/**
 * Counts how often servers crashed while they ran a request. Each node holds
 * the crashes that any node has seen, so that the count outlasts the processes
 * that have seen them. A request with three crashes is blocked for two minutes
 * after the last one; each further crash doubles that time. A response clears
 * its crashes on all nodes.
 *
 * Pure state, without any I/O. Not thread-safe.
 */
class CrashSuspects {
 public:
  CrashSuspects();

  /** Counts a connection that was lost while the server ran the request. */
  void CountCrash(uint64_t fingerprint, TimePoint now);

  /** Clears the crashes of a request that got a response. */
  void ClearCrashes(uint64_t fingerprint, TimePoint now);

  /**
   * Adds what other nodes know, with its local times set.
   * @return Requests that are blocked since this call.
   */
  std::vector<uint64_t> Merge(const SuspectReport& report, TimePoint now);

  /** Replaces the counts of nodes that send no SuspectReport. */
  void SetRemote(std::map<uint64_t, uint32_t> counts);

  /** Whether the request must not be sent to any more servers. */
  bool IsBlocked(uint64_t fingerprint, TimePoint now) const;

  /** Crashes that this node has seen itself, for nodes that read no
   * SuspectReport; bounded in size. Drops what is too old. */
  std::map<uint64_t, uint32_t> Report(TimePoint now);

  /** All that this node knows, with local times. Drops what is too old. */
  SuspectReport All(TimePoint now);

 private:
  struct Crash {
    uint32_t id = 0;
    TimePoint at;
    bool own = false;  ///< Seen by this node.
  };
  using Crashes = std::vector<Crash>;  ///< Oldest first.

  /** Time for which a request is blocked after the last of its crashes. */
  static Duration BlockTime(size_t crashes);
  /** @pre The crash is not known yet. */
  void AddCrash(uint64_t fingerprint, const Crash& crash);
  void RemoveCrashesBefore(uint64_t fingerprint, TimePoint at);
  void Expire(TimePoint now);

  std::mt19937 generator;
  std::map<uint64_t, Crashes> suspects;   ///< None without a crash.
  std::map<uint64_t, TimePoint> answers;  ///< Last responses to suspects.
  std::map<uint64_t, uint32_t> remote;
};

/**
 * Part of @p all that fits into a datagram: what this node has seen lately, and
 * of the rest another part in each turn.
 * @param to_newcomer Whether the receiver may lack what was told before.
 *     Others get the rest only now and then, to make up for lost messages.
 * @note Thread-safe.
 */
SuspectReport SelectForMessage(const SuspectReport& all,
                               uint64_t turn,
                               bool to_newcomer,
                               TimePoint now);

/** The requests with the most crashes, at least two, for the store; bounded in
 * size.
 * @note Thread-safe. */
SuspectReport SelectForSave(const SuspectReport& all);

/** Sets the ages that are sent, from the local times. @note Thread-safe. */
void SetAges(SuspectReport& report, TimePoint now);

/** Sets local times from the ages received. @note Thread-safe. */
void SetTimes(SuspectReport& report, TimePoint now);

}  // namespace boragewharf::serving
