/**
 * @file crash_attribution_base.h
 * Finds the parts of prompts that crash the servers that run them.
 */
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <tuple>
#include <utility>
#include <vector>

#include "base/time_type.h"
#include "serving/crash_evidence_type.h"

namespace boragewharf::serving {

/** Time of the last response by part. Bounded: parts that were not used for
 * long are forgotten. Not thread-safe. */
class PartSuccessTable {
 public:
  /** Records a response; an earlier time than the known one has no effect. */
  void Record(const PartKey& key, TimePoint at);

  /** Time of the last response, or empty if none is known. */
  std::optional<TimePoint> Last(const PartKey& key) const;

 private:
  /** Parts since the last change of generation, and those of the one before. */
  std::map<PartKey, TimePoint> recent;
  std::map<PartKey, TimePoint> previous;
};

/** A part that was found to crash servers, with what decided. */
struct PartVerdict {
  BlockedPart blocked;
  size_t crashes = 0;   ///< Since the last response to a request with it.
  size_t requests = 0;  ///< Distinct requests in these crashes.
  bool answered_before = false;  ///< A request with it was answered once.
};

/** Parts that are blocked, or no longer blocked, since a call. */
struct BlockChanges {
  std::vector<BlockedPart> blocked;
  std::vector<PartKey> unblocked;
};

/**
 * Attributes crashes of servers to parts of prompts. The requests that a server
 * ran when it crashed are all suspect. What exonerates a part is a response to
 * any request with it; what convicts it is that servers crash under different
 * requests with it while requests without it are answered. A crash that one
 * part explains is no evidence against the others that were running.
 *
 * The evidence and the verdicts of all nodes are merged, so that nodes which
 * have not met a part know it, also after a restart. A verdict expires; the
 * first crash after that renews it for twice as long.
 *
 * Pure state, without any I/O. Not thread-safe.
 */
class CrashAttribution {
 public:
  /** Records a request that ran on a server when this crashed.
   * @param now When the crash became known. */
  void RecordCrash(const CrashedRequest& request, TimePoint now);

  /** Records that a server began to respond to a request of the service. */
  void RecordFirstEvent(NameHash service, TimePoint now);

  /** Records that a server responded to a request with these parts and did not
   * crash.
   * @return Parts that are no longer blocked. */
  std::vector<PartKey> RecordSuccess(NameHash service,
                                     std::span<const uint64_t> parts,
                                     TimePoint now);

  /** Merges the evidence of other nodes, with its local times set. */
  BlockChanges Merge(const CrashEvidence& evidence, TimePoint now);

  /**
   * Blocks the parts that explain the crashes.
   * @param settle_time How long evidence has to be known, so that other nodes
   *     can report responses.
   */
  std::vector<PartVerdict> Evaluate(Duration settle_time, TimePoint now);

  /** Time until a request with these parts may be sent again; empty if it may
   * be sent now. */
  std::optional<Duration> BlockedFor(NameHash service,
                                     std::span<const uint64_t> parts,
                                     TimePoint now) const;

  /** Evidence for the other nodes, with local times. */
  CrashEvidence Report(TimePoint now) const;

 private:
  /** A request of a crash. */
  struct Exposure {
    uint32_t request = 0;
    NameHash service = 0;
    std::vector<uint64_t> parts;
    bool own = false;  ///< Of this node.
  };

  struct Crash {
    TimePoint at;
    TimePoint known_at;
    NameHash service = 0;
    bool own = false;  ///< A request of this node ran on the server.
    std::vector<Exposure> exposures;
  };

  struct Block {
    TimePoint since;
    uint32_t times = 0;
  };

  /** When a crash became known, and when it took place. */
  using CrashTimes = std::pair<TimePoint, TimePoint>;

  /** Crashes that speak against a part. */
  struct Candidate {
    std::vector<CrashTimes> crashes;
    std::set<uint32_t> identifiers;  ///< Of the crashes.
    /** Crashes, by the request with the part that ran in them. */
    std::map<uint32_t, std::set<uint32_t>> requests;
    size_t position = 0;  ///< In the prompt; later parts are more specific.
    bool answered_before = false;

    /** Crashes in which the request that ran in most of them did not run. */
    size_t IndependentCrashes() const;

    /** Orders parts by how well they explain crashes: those that were never
     * answered, that ran in most crashes, that are most specific. */
    std::tuple<bool, size_t, size_t> Rank() const;
  };

  static Duration BlockTime(uint32_t times);
  /** Whether a part of a higher rank ran in all crashes of @p candidate, and so
   * has to be judged first. */
  static bool HasBetterExplanation(
      const Candidate& candidate,
      const std::map<PartKey, Candidate>& candidates);
  bool IsBlocked(const PartKey& key, TimePoint now) const;
  bool IsExplained(const Crash& crash) const;
  std::map<PartKey, Candidate> Candidates(TimePoint now) const;
  /** Unexplained crashes of a part, whatever was answered since. */
  struct CrashCount {
    size_t crashes = 0;
    TimePoint last;
  };

  std::map<PartKey, CrashCount> CrashCounts() const;
  std::vector<CrashedRequest> ReportedCrashes(TimePoint now) const;
  std::vector<ServerCrash> ReportedOtherCrashes(
      std::span<const CrashedRequest> told,
      TimePoint now) const;
  std::vector<PartSuccess> ReportedSuccesses() const;
  /** @param suspects Number of parts that could be convicted by chance. */
  bool IsConvicted(const PartKey& key,
                   const Candidate& candidate,
                   size_t suspects,
                   Duration settle_time,
                   TimePoint now) const;
  /** Number of distinct moments of crashes. */
  static size_t CountMoments(std::span<const CrashTimes> known);
  /** The crashes of a part without those at moments when most servers that
   * crashed did not run it, such as in a reclaim. */
  std::vector<CrashTimes> WithoutMassCrashes(const PartKey& key,
                                             const Candidate& candidate) const;
  /** Share of this node's other requests that have failed since then, which is
   * that of a sound part too. */
  double FailureRate(const PartKey& key,
                     const Candidate& candidate,
                     TimePoint since) const;
  void Exonerate(const PartKey& key,
                 TimePoint at,
                 std::vector<PartKey>& unblocked);
  /** @return The crash, also if it was known before. */
  Crash& AddCrash(const ServerCrash& crash, TimePoint now);
  void AddExposure(const CrashedRequest& request, bool own, TimePoint now);
  void Expire(TimePoint now);

  std::map<uint32_t, Crash> crashes;  ///< By identifier.
  PartSuccessTable successes;
  PartSuccessTable told_successes;  ///< Those that other nodes have told.
  std::map<PartKey, Block> blocks;
  /** Time of the response that ended a block, until all nodes know it. */
  std::map<PartKey, TimePoint> ended_blocks;
  /** Times of the last first events of each service, oldest first. */
  std::map<NameHash, std::deque<TimePoint>> first_events;
};

}  // namespace boragewharf::serving
