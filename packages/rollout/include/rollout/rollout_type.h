/**
 * @file rollout_type.h
 * Roll-outs of a version: requests, decisions of the duty holder, and evidence.
 */
#pragma once

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/time_type.h"

namespace boragewharf::rollout {

/** State in the status of a request in the store. */
enum class StatusState : uint8_t { kRunning, kDone, kRolledBack };

/** Status of a request in the store. */
struct RolloutStatus {
  StatusState state = StatusState::kRunning;
  std::string target;

  bool operator==(const RolloutStatus&) const = default;
};

/** An operator's request, as read from the store. */
struct RolloutRequest {
  std::string service;  ///< Name of the object.
  uint64_t revision = 0;
  /** Empty if the object cannot be read. */
  std::string target;
  Duration within{};  ///< Time in which the roll-out is to end.
  std::optional<RolloutStatus> status;

  bool Readable() const { return !this->target.empty(); }
};

/** Bounds of a deployment; see docs/CONFIG.md. */
struct RolloutBounds {
  double expose_share = 0.1;  ///< Of the service's requests.
  double expose_slack = 50;   ///< Requests in addition.
  Duration rollback{};        ///< From the 50th bad response to the last send.
};

/** Step of a roll-out. The numbers are part of the message format. */
enum class Phase : uint8_t {
  kObserve = 0,     ///< A small share, spread over time.
  kLoad = 1,        ///< The saved rest of the share at once, as under load.
  kShift = 2,       ///< Proved: all requests, so that the old servers empty.
  kStopped = 3,     ///< No requests; the status is not written yet.
  kDone = 4,        ///< The status in the store is done.
  kRolledBack = 5,  ///< The status in the store is rolled_back.
};

/** Decision of the duty holder on one service. */
struct RolloutDecision {
  std::string service;
  std::string target;
  /** Store revision at which the holder first saw this target. */
  uint64_t revision = 0;
  /** Number of the lease under which it was made; 0 if the node that read the
   * request has not heard from a holder. */
  uint64_t fencing = 0;
  uint64_t sequence = 0;  ///< Increases with each decision under a lease.
  Phase phase = Phase::kObserve;
  uint32_t within_ms = 0;
  uint32_t request_age_ms = 0;   ///< Since the holder first read the request.
  uint32_t decision_age_ms = 0;  ///< Since the holder last confirmed it.
  /** Versions that get no requests. */
  std::vector<std::string> banned;
  TimePoint requested;  ///< Local boot clock; not sent.
  TimePoint confirmed;  ///< Local boot clock; not sent.

  template <class Archive>
  void serialize(Archive& archive) {
    uint8_t number = static_cast<uint8_t>(this->phase);
    archive(this->service, this->target, this->revision, this->fencing,
            this->sequence, number, this->within_ms, this->request_age_ms,
            this->decision_age_ms, this->banned);
    this->phase = static_cast<Phase>(number);
  }
};

/** Number of failed attempts at the servers of one version. */
struct FailureRow {
  uint32_t route = 0;   ///< Hash of its name.
  uint32_t zone = 0;    ///< Hash of the server's zone.
  uint32_t server = 0;  ///< Hash of its id; 0 for all servers of old versions.
  uint32_t attempts = 0;
  uint32_t failures = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->route, this->zone, this->server, this->attempts,
            this->failures);
  }
};

/** Times of attempts at the servers of one version under similar load. */
struct TimeRow {
  uint32_t route = 0;
  uint32_t server = 0;     ///< As in FailureRow.
  uint16_t situation = 0;  ///< Measured time, load and size; see SituationOf().
  uint32_t count = 0;
  float log_sum = 0;     ///< Of the natural logarithms of milliseconds.
  float square_sum = 0;  ///< Of their squares.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->route, this->server, this->situation, this->count,
            this->log_sum, this->square_sum);
  }
};

/** What one process has seen of a roll-out. All counts only grow. */
struct RolloutEvidence {
  std::string service;
  std::string target;
  uint32_t requests = 0;     ///< Of the service since the roll-out was known.
  uint32_t exposed = 0;      ///< Attempts at servers of the target.
  uint32_t old_running = 0;  ///< Attempts in progress at other servers.
  bool stopped = false;      ///< This process has stopped the target.
  std::vector<FailureRow> failures;
  std::vector<TimeRow> times;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->service, this->target, this->requests, this->exposed,
            this->old_running, this->stopped, this->failures, this->times);
  }
};

/** Content of a kRolloutState extension. */
using DecisionList = std::vector<RolloutDecision>;

/** Content of a kRolloutEvidence extension. */
using EvidenceList = std::vector<RolloutEvidence>;

}  // namespace boragewharf::rollout
