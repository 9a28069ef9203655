/**
 * @file rollout_agent_base.h
 * Part of roll-outs in the data plane of a node.
 */
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "rollout/evidence_base.h"
#include "rollout/exposure_base.h"
#include "rollout/rollout_type.h"
#include "rollout/version_test_base.h"
#include "serving/attempt_observer_base.h"
#include "serving/server_type.h"
#include "serving/shared_state_base.h"

namespace boragewharf::rollout {

/**
 * Restricts the servers of requests as the decisions say, counts what the
 * versions do, and stops a version that this node alone finds bad. Without a
 * decision on a service it changes nothing. Not thread-safe; used on the
 * traffic loop.
 */
class RolloutAgent : public serving::AttemptObserver,
                     public serving::SharedState {
 public:
  RolloutAgent(const RolloutBounds& deployment_bounds, uint64_t seed);

  /** Applies the list of servers. */
  void SetServers(const serving::ServerSet& set);

  /**
   * Selects the servers that the next attempt may go to.
   * @return For each candidate whether it may.
   */
  std::vector<bool> Select(
      std::string_view service,
      std::span<const serving::BackendServer* const> candidates,
      TimePoint now);

  /** Counts an attempt that is about to be sent.
   * @param first The first attempt of its request. */
  void CountAttempt(const serving::BackendServer& server, bool first);

  void OnFirstEvent(const serving::AttemptView& attempt,
                    Duration after,
                    TimePoint now) override;
  void OnEventGaps(const serving::AttemptView& attempt,
                   std::span<const Duration> gaps,
                   TimePoint now) override;
  void OnEnded(const serving::AttemptView& attempt,
               serving::AttemptOutcome outcome,
               Duration after,
               TimePoint now) override;

  void AppendExtensions(std::vector<serving::PeerExtension>& extensions,
                        TimePoint now) override;
  /** Takes the decisions from the last kRolloutState extension. */
  void MergePeers(const serving::PeerSummary& summary, TimePoint now) override;

  /** Applies the decisions of this node's control state. */
  void SetDecisions(const DecisionList& next);

  /** Reason of this node's own stop since the last call, for the log. */
  std::optional<std::string> TakeStopReason();

  /** Attempts at the target of a service that were counted; 0 without a
   * roll-out. */
  uint32_t Exposed(std::string_view service) const;

 private:
  struct Rollout {
    Rollout(const RolloutDecision& known, double share, double offset);

    RolloutDecision decision;
    ExposureGate gate;
    EvidenceRecorder recorder;
    EvidenceSum own_sum;
    VersionTest own_test;
    bool stopped = false;
    bool seen_other_version = false;
  };

  /** Listed servers of a service. */
  struct ServiceServers {
    std::map<std::string, std::vector<std::string>> ids;  ///< By version.
    std::map<std::string, uint32_t> running;  ///< Attempts, by version.
  };

  Rollout* Find(std::string_view service);
  /** Whether the rollout's target may be used for the next attempt. A decision
   * that no holder has confirmed for half of the rollback time allows none,
   * since only the holder sees the evidence of all nodes. */
  bool DrawTarget(const Rollout& rollout,
                  size_t target,
                  size_t others,
                  TimePoint now);
  void RecordTime(const serving::AttemptView& attempt,
                  Metric metric,
                  Duration time);

  RolloutBounds bounds;
  std::mt19937_64 generator;
  std::map<std::string, Rollout, std::less<>> rollouts;
  std::map<std::string, ServiceServers, std::less<>> servers;
  std::optional<std::string> stop_reason;
};

}  // namespace boragewharf::rollout
