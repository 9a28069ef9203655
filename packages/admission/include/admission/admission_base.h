/**
 * @file admission_base.h
 * Decides which requests wait for a server, which are started, and which are
 * refused with which Retry-After.
 */
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "admission/admission_type.h"
#include "admission/capacity_base.h"
#include "admission/fair_share_base.h"
#include "serving/attempt_observer_base.h"
#include "serving/shared_state_base.h"

namespace boragewharf::admission {

/** Bounds of the queue. */
struct AdmissionOptions {
  size_t max_waiting = 512;                ///< Requests in the queue.
  uint64_t max_bytes = uint64_t{8} << 20;  ///< Their bytes.
  bool enabled = true;                     ///< If false, no request waits.
  /** Whether a client gets a Retry-After although no capacity is expected in
   * the third of its remaining time for which it would wait. */
  bool invites_without_slot = true;
};

/**
 * Admission of the requests of a node. Requests for which a server is found on
 * arrival are only counted; the others wait in one queue or are refused. Times
 * are passed in. Not thread-safe.
 */
class Admission : public serving::AttemptObserver, public serving::SharedState {
 public:
  /** @param seed For rounding and spreading; must differ between nodes. */
  Admission(const AdmissionOptions& bounds, uint64_t seed);

  /** Counts a request that has passed all other checks. */
  void CountArrival(const RequestProfile& request, TimePoint now);

  /** Whether requests of a service wait. New ones then join the queue, and are
   * started from it in its order. */
  bool HasWaiting(std::string_view service) const;

  /** Counts a request that was sent to a server for the first time, or again
   * after TakeBackStart(). */
  void CountStart(const RequestProfile& request, TimePoint now);

  /** Takes back CountStart(): the request did not run and is offered again or
   * refused. */
  void TakeBackStart(const RequestProfile& request, TimePoint now);

  /**
   * Takes a request for which there is no server now, or that arrives while
   * others wait.
   * @param id Must not be in the queue.
   */
  Decision Offer(RequestId id,
                 const RequestProfile& request,
                 const ServiceCapacity& capacity,
                 TimePoint now);

  /** The waiting request of a service to start now; empty if none may start. It
   * stays in the queue until Start() or Remove() is called. */
  std::optional<RequestId> Next(std::string_view service,
                                const ServiceCapacity& capacity,
                                TimePoint now);

  /** Removes a waiting request that was sent to a server. */
  void Start(RequestId id, TimePoint now);

  /** Removes a waiting request that has ended otherwise; does nothing if it
   * does not wait. */
  void Remove(RequestId id);

  /** Refuses a request that does not wait and must not. */
  Refusal RefuseNow(const RequestProfile& request,
                    RefusalReason reason,
                    const ServiceCapacity& capacity,
                    TimePoint now);

  /** Refuses a waiting request, e.g. because its retry is not allowed. */
  Refusal Refuse(RequestId id,
                 RefusalReason reason,
                 const ServiceCapacity& capacity,
                 TimePoint now);

  /** Removes and returns the requests of a service that cannot be started while
   * their response would help. */
  std::vector<Refusal> TakeExpired(std::string_view service,
                                   const ServiceCapacity& capacity,
                                   TimePoint now);

  /** Periodic work; called every few dozen ms. */
  void CheckTime(TimePoint now);

  /** Sets the number of requests that this node has sent to servers. */
  void SetRunning(const std::string& service, uint32_t running);

  /** Limits of the servers, for ServiceCapacity. */
  const ServerLimits& Limits() const { return this->limits; }

  /** Services with waiting requests. */
  std::vector<std::string> WaitingServices() const;

  /** Number of waiting requests of all services, and their bytes. */
  size_t WaitingCount() const { return this->service_of.size(); }
  uint64_t WaitingBytes() const { return this->waiting_bytes; }

  const AdmissionTotals& Totals() const { return this->totals; }

  /** Removes all waiting requests. */
  void Clear();

  // AttemptObserver:
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

  // SharedState:
  void AppendExtensions(std::vector<serving::PeerExtension>& extensions,
                        TimePoint now) override;
  void MergePeers(const serving::PeerSummary& summary, TimePoint now) override;

 private:
  struct Waiting {
    RequestId id = 0;
    RequestProfile request;
    TimePoint since;
    TimePoint start_by;     ///< Start after which the objective is not met.
    bool returned = false;  ///< Sent again as it was told to.
  };

  /** Order of the waiting requests of a service; lower ones start first. */
  struct Rank;

  struct ServiceState {
    std::map<RequestId, Waiting> waiting;
    FairShares shares;
    AttemptDurations durations;
    uint32_t running = 0;   ///< See SetRunning().
    double rounding = 0.5;  ///< Redrawn in CheckTime().
    /** By urgency: the first return time that no client was told. */
    std::map<uint32_t, TimePoint> next_return;
    bool refused_in_period = false;
    /** By urgency: how much longer requests wait than ExpectedWait() says, e.g.
     * because more urgent ones arrive meanwhile. */
    std::map<uint32_t, double> wait_factors;
  };

  /** A client that was told to send its request again. */
  struct Told {
    TimePoint told;
    TimePoint returns;
  };

  ServiceState& StateOf(const std::string& service);
  Rank RankOf(const ServiceState& state,
              const Waiting& waiting,
              TimePoint now) const;
  double SlotsOf(std::string_view service,
                 const ServiceState& state,
                 const ServiceCapacity& capacity,
                 uint32_t more) const;
  std::optional<Duration> ExpectedWait(std::string_view service,
                                       const ServiceState& state,
                                       const ServiceCapacity& capacity,
                                       size_t ahead,
                                       const RequestProfile& request) const;
  Refusal MakeRefusal(const Waiting& waiting,
                      RefusalReason reason,
                      const ServiceCapacity& capacity,
                      TimePoint now);
  Duration RetryAfter(ServiceState& state,
                      const RequestProfile& request,
                      const ServiceCapacity& capacity,
                      TimePoint now);
  void Erase(RequestId id);
  static double WaitFactor(const ServiceState& state, uint32_t urgency);
  static void LearnWait(ServiceState& state, uint32_t urgency, bool in_vain);
  void Remember(uint64_t fingerprint, TimePoint returns, TimePoint now);

  AdmissionOptions options;
  std::mt19937_64 generator;
  std::map<std::string, ServiceState, std::less<>> services;
  std::unordered_map<RequestId, std::string> service_of;
  uint64_t waiting_bytes = 0;
  ServerLimits limits;
  PeerNeeds peers;
  std::unordered_map<uint64_t, Told> told;  ///< By fingerprint.
  std::deque<std::pair<TimePoint, uint64_t>> told_order;
  TimePoint period_began;
  AdmissionTotals totals;
};

}  // namespace boragewharf::admission
