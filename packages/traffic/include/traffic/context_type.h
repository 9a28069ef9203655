/**
 * @file context_type.h
 * What the parts of the front end share.
 */
#pragma once

#include <condition_variable>
#include <mutex>

#include "base/counter_base.h"
#include "traffic/connection_pool_base.h"
#include "traffic/option_type.h"
#include "traffic/policy_base.h"
#include "traffic/provider_base.h"

namespace boragewharf::traffic {

/** Everything the front end uses of others; all outlive it. */
struct FrontEndProviders {
  SnapshotSource& snapshots;
  ClaimClient& claims;
  ObservationSink& observations;
  HandoverClient& handovers;
  OperatorHandler& operators;
  AdmissionPolicy& admission;
  RoutingPolicy& routing;
  RetryPolicy& retries;
  CounterRegistry& registry;
};

/** Wakes threads that wait for a new snapshot. Thread-safe. */
class ChangeSignal {
 public:
  /** Wakes all waiting threads. */
  void Notify() {
    const std::lock_guard lock(this->mutex);
    ++this->count;
    this->changed.notify_all();
  }

  /** Waits for the next Notify(), at most for @p timeout. */
  void Wait(Duration timeout) {
    std::unique_lock lock(this->mutex);
    const uint64_t seen = this->count;
    this->changed.wait_for(lock, timeout, [&] { return this->count != seen; });
  }

 private:
  std::mutex mutex;
  std::condition_variable changed;
  uint64_t count = 0;
};

/** Counters on hot paths, looked up once. */
struct TrafficCounters {
  explicit TrafficCounters(CounterRegistry& registry);

  Counter& completions;          ///< Completion requests accepted.
  Counter& plain_requests;       ///< Plain requests accepted.
  Counter& keyed_requests;       ///< Of those, with an idempotency key.
  Counter& tokens;               ///< Tokens received from engines.
  Counter& attempts;             ///< Attempts at backend servers.
  Counter& resumes;              ///< Attempts that continue received text.
  Counter& recomputed_prompt;    ///< Prompt tokens computed again.
  Counter& recomputed_answer;    ///< Answer tokens computed again as prompt.
  Counter& moves;                ///< Streams moved off leaving servers.
  Counter& handed_over;          ///< Streams that a peer adopted.
  Counter& adopted;              ///< Streams adopted from peers.
  Counter& caller_gone;          ///< Callers that left before the end.
  Counter& connections_refused;  ///< Connections beyond the bound.
  Counter& open_streams;         ///< Gauge.
  Counter& outcome_unrecorded;   ///< Claims whose outcome was not recorded.
};

/** Shared state of the parts of the front end. */
struct TrafficContext {
  const FrontEndOptions& options;
  FrontEndProviders providers;
  TrafficCounters& counters;
  ConnectionPool& connections;
  InFlightTable& in_flight;
  ChangeSignal& snapshot_changed;
};

}  // namespace boragewharf::traffic
