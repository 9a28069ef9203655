/**
 * @file rollout_table_base.h
 * Requests, decisions and evidence of all roll-outs, and the decisions of the
 * duty holder.
 */
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "base/result_type.h"
#include "rollout/evidence_base.h"
#include "rollout/rollout_type.h"
#include "rollout/version_test_base.h"

namespace boragewharf::rollout {

/** Replace the status of a request on condition of its revision. Completes with
 * RolloutTable::ApplyWritten(). */
struct WriteStatus {
  std::string service;
  uint64_t revision = 0;
  RolloutStatus status;
  uint64_t era = 0;  ///< Of the store for the revision.
};

/** Write a line to the event log. */
struct LogRollout {
  std::string event;
  std::string detail;
  uint64_t revision = 0;
};

using Action = std::variant<WriteStatus, LogRollout>;

/** Numbers of listed servers of a service by version. */
using VersionCounts = std::map<std::string, size_t>;

/** What the decisions depend on. */
struct HolderFacts {
  /** Number of the duty lease if this node holds it. */
  std::optional<uint64_t> fencing;
  bool store_reachable = false;
  Duration message_period{};
  /** By service; contains every service that is configured or has servers. */
  std::map<std::string, VersionCounts> versions;
};

/**
 * Requests, decisions and evidence of all roll-outs. Every node keeps the
 * latest decisions; only the holder of the duty lease makes them and writes the
 * status. Pure state without I/O. Not thread-safe.
 */
class RolloutTable {
 public:
  /**
   * Applies all requests in the store; others are withdrawn.
   * @param list_era Era of the store. Lists of an earlier era than a known one
   *     are ignored. In a later era the store may have lost requests: those
   *     stay for some time, in which the operator writes them again.
   */
  void ApplyList(const std::vector<RolloutRequest>& requests,
                 TimePoint now,
                 std::vector<Action>& actions,
                 uint64_t list_era = 0);

  /** Era of the store of the last list. */
  uint64_t Era() const { return this->era; }

  /** Applies a request that was created or changed in the era of the last list.
   * Earlier revisions than the known one are ignored. */
  void ApplyRequest(const RolloutRequest& request,
                    TimePoint now,
                    std::vector<Action>& actions);

  /** Applies the removal of a request. */
  void ApplyRemoval(const std::string& service,
                    uint64_t revision,
                    std::vector<Action>& actions);

  /**
   * Applies the result of WriteStatus.
   * @param current The object after the call, if the response contained it.
   */
  void ApplyWritten(const WriteStatus& write,
                    ResultCode code,
                    const std::optional<RolloutRequest>& current,
                    TimePoint now,
                    std::vector<Action>& actions);

  /** Merges decisions that another node told. @return Whether any changed. */
  bool MergeDecisions(const DecisionList& told,
                      Duration message_period,
                      TimePoint now);

  /** Merges the evidence of a process; this node's own as well. A stop of its
   * own is a decision on this node. */
  void MergeEvidence(uint64_t process,
                     const EvidenceList& evidence,
                     TimePoint now,
                     std::vector<Action>& actions);

  /** Makes the decisions that are due.
   * @return Whether a decision changed and should be told immediately. */
  bool Advance(const HolderFacts& facts,
               TimePoint now,
               std::vector<Action>& actions);

  /** The latest decisions, to be told to the other nodes and to the data plane.
   */
  DecisionList Decisions() const;

  /** Whether there is neither a request nor a decision. */
  bool Empty() const { return this->entries.empty(); }

 private:
  struct Entry {
    std::optional<RolloutRequest> request;
    std::optional<RolloutDecision> decision;
    uint64_t last_revision = 0;
    uint64_t era = 0;  ///< Of the store for the request's revision.
    /** Since when the store has been without the request that is known. */
    std::optional<TimePoint> lost_since;
    /** The request that the store has had since then. */
    std::optional<RolloutRequest> stored;
    /** Added to revisions in decisions, which would otherwise be lower than
     * those of an earlier era. */
    uint64_t revision_base = 0;
    /** Since when decisions of other nodes have had another target. */
    std::optional<TimePoint> overruled_since;
    EvidenceSum evidence;
    VersionTest test;
    bool call_pending = false;
    TimePoint next_write;
    TimePoint phase_since;
    std::optional<StatusState> wanted;  ///< Status to be written.
    bool seen_other_version = false;
    std::string logged;  ///< Last condition that was logged.
  };

  /** Facts of one service. */
  struct Context {
    const HolderFacts& facts;
    size_t target_servers = 0;
    size_t other_servers = 0;
    TimePoint now;
  };

  /** Begins a roll-out of the request's target. */
  static void Begin(Entry& entry, TimePoint now, std::vector<Action>& actions);
  static void ApplyStatus(Entry& entry, std::vector<Action>& actions);
  /** Stops the target because of what was seen. */
  static void Stop(Entry& entry,
                   const std::string& reason,
                   TimePoint now,
                   std::vector<Action>& actions);
  static void SetPhase(Entry& entry,
                       Phase phase,
                       const std::string& reason,
                       TimePoint now,
                       std::vector<Action>& actions);
  static void LogOnce(Entry& entry,
                      const std::string& event,
                      const std::string& detail,
                      std::vector<Action>& actions);
  static void AdvanceEntry(Entry& entry,
                           const Context& context,
                           std::vector<Action>& actions);
  static void AdvancePhase(Entry& entry,
                           const Context& context,
                           std::vector<Action>& actions);
  static void EndShift(Entry& entry,
                       const Context& context,
                       std::vector<Action>& actions);
  static void WriteIfDue(Entry& entry,
                         const Context& context,
                         std::vector<Action>& actions);
  /** Prepares for the requests of a later era of the store. */
  void BeginEra(const std::vector<RolloutRequest>& requests, TimePoint now);
  /** Gives up requests that the store has lost and nobody has written again. */
  void EndWaits(TimePoint now, std::vector<Action>& actions);
  /** Begins a roll-out of the request's target if an earlier decision of
   * another node has replaced it. */
  static void BeginIfOverruled(Entry& entry,
                               const HolderFacts& facts,
                               TimePoint now,
                               std::vector<Action>& actions);
  /** Drops what no request and no listed server needs. */
  void DropUnused(const HolderFacts& facts);

  std::map<std::string, Entry> entries;
  uint64_t era = 0;  ///< Of the store for all revisions of requests.
  bool overflow_logged = false;
};

}  // namespace boragewharf::rollout
