/**
 * @file context_type.cc
 * Names of the traffic counters.
 */
#include "traffic/context_type.h"

namespace boragewharf::traffic {

TrafficCounters::TrafficCounters(CounterRegistry& registry)
    : completions(registry.Get("requests_total", "kind=\"completion\"")),
      plain_requests(registry.Get("requests_total", "kind=\"plain\"")),
      keyed_requests(registry.Get("requests_total", "kind=\"keyed\"")),
      tokens(registry.Get("tokens_received_total")),
      attempts(registry.Get("upstream_attempts_total")),
      resumes(registry.Get("stream_resumes_total")),
      recomputed_prompt(
          registry.Get("tokens_recomputed_total", "part=\"prompt\"")),
      recomputed_answer(
          registry.Get("tokens_recomputed_total", "part=\"answer\"")),
      moves(registry.Get("stream_moves_total")),
      handed_over(registry.Get("streams_handed_over_total")),
      adopted(registry.Get("streams_adopted_total")),
      caller_gone(registry.Get("callers_disconnected_total")),
      connections_refused(registry.Get("connections_refused_total")),
      open_streams(registry.Get("streams_open", {}, MetricKind::kGauge)),
      outcome_unrecorded(registry.Get("claim_outcomes_unrecorded_total")) {}

}  // namespace boragewharf::traffic
