/**
 * @file traffic_core_base.cc
 * State that all client requests of a node share.
 */
#include "relay/traffic_core_base.h"

#include <algorithm>
#include <utility>

#include "exchange_base.h"
#include "serving/crash_evidence_func.h"

namespace boragewharf::relay {
namespace {

/** Share of quota_slack that covers the delay of reports between nodes. */
constexpr double kReportLagShare = 0.2;

/** Initial fill of the quotas after a restart, when their use is unknown. */
constexpr double kRestartQuotaFill = 0.02;

/** A server that is leaving but still listed as ready is asked again after this
 * multiple of the time for which draining servers run at least. */
constexpr int kLeavingCheckFactor = 4;

/** Number of usage windows kept; older ones have been reported. */
constexpr int64_t kMaxUsageWindows = 4;

/** Weight of the newest period in the moving average of the demand. Low, as
 * arrivals are bursty and a new server takes seconds to boot. */
constexpr double kDemandWeight = 0.2;

/** Period over which the demand is measured. */
constexpr std::chrono::milliseconds kDemandPeriod(500);

/** Message periods for which evidence against a prompt part is left open to
 * other nodes: messages to other regions go out each second period. */
constexpr int kSettlePeriods = 2;

/** Interval between evaluations of the evidence against prompt parts. */
constexpr std::chrono::milliseconds kCrashEvaluationPeriod(200);

/** Upper bound of that time. A part has to be blocked on all nodes before the
 * contact time after its fifth crash, which also takes two messages. */
constexpr std::chrono::milliseconds kMaxSettleTime(1000);

/** Time between two checks of timeouts above which the second one is late: the
 * loop has been blocked for a period or longer. */
constexpr Duration kLateCheck = 2 * TrafficCore::kTickPeriod;

/** Ids as decimal numbers, separated by commas, for log lines. */
std::string JoinIds(const std::vector<uint64_t>& ids) {
  std::string text;
  for (const uint64_t id : ids) {
    text.append(text.empty() ? "" : ",").append(std::to_string(id));
  }
  return text;
}

}  // namespace

TrafficCore::TrafficCore(boost::asio::io_context& event_loop,
                         const NodeLocation& place,
                         const TrafficBounds& limits,
                         const RequestCodec& request_codec,
                         EventLog& event_log,
                         CounterRegistry& registry)
    : loop(event_loop),
      bounds(limits),
      codec(request_codec),
      log(event_log),
      counters(registry),
      guard("traffic", event_log, registry),
      pool(event_loop,
           place.zone,
           place.region,
           place.zone_regions,
           kLeavingCheckFactor * limits.drain),
      quotas(limits.quota_slack * kReportLagShare,
             limits.first_start ? 1.0 : kRestartQuotaFill,
             !limits.first_start),
      budget(limits.retry_ratio, limits.retry_extra, limits.retry_window),
      engine_policy(serving::MakeExpectedDelayPolicy(std::random_device{}())),
      plain_policy(serving::MakeLeastRunningPolicy()),
      observers{&this->server_speeds},
      shared_states{&this->server_speeds, &this->pool.RateLimits(),
                    &this->stream_records},
      stream_records(limits.first_start, BootClock::now()),
      stream_lookups(this->stream_records, std::random_device{}()),
      generator(std::random_device{}()),
      demand_updated(BootClock::now()) {
  if (limits.rollout) {
    this->rollout_agent.emplace(*limits.rollout, std::random_device{}());
    this->pool.SetRolloutAgent(&*this->rollout_agent);
    this->observers.push_back(&*this->rollout_agent);
    this->shared_states.push_back(&*this->rollout_agent);
  }
}

TrafficCore::~TrafficCore() {
  // Requests in progress use the other members when they end.
  this->waiting_requests.clear();
  this->exchanges.clear();
}

void TrafficCore::SetConfig(
    std::shared_ptr<const serving::ServingConfig> next) {
  this->config = std::move(next);
  this->quotas.Configure(*this->config, BootClock::now());
  this->stream_records.SetConfig(*this->config);
  std::erase_if(this->route_durations, [&](const auto& known) {
    return std::ranges::none_of(this->config->routes, [&](const auto& route) {
      return route.name == known.first;
    });
  });
  this->StartWaitingRequests();
}

void TrafficCore::StartWaitingRequests() {
  // Requests that still have to wait add themselves to the list again.
  for (const auto& exchange : std::exchange(this->waiting_requests, {})) {
    if (!exchange->Done()) {
      exchange->Start();
    }
  }
}

void TrafficCore::SetServers(
    const std::shared_ptr<const serving::ServerSet>& next) {
  this->servers_known = true;
  this->servers_revision = next->revision;
  const TimePoint now = BootClock::now();
  this->pool.Update(*next, now);
  this->server_speeds.SetServers(*next, now);
  this->stream_records.SetServers(*next, now);
  this->ApplyServerSpeeds();
  if (this->rollout_agent) {
    this->rollout_agent->SetServers(*next);
  }
  this->RequestStopNotices(now);
  this->StartWaitingRequests();
}

void TrafficCore::OnStreamMessage(uint32_t sender,
                                  const serving::StreamMessage& message) {
  if (this->stream_lookups.OnMessage(sender, message, BootClock::now())) {
    this->StartWaitingRequests();
  }
}

void TrafficCore::OnListConfirmed(TimePoint asked) {
  if (this->stream_lookups.OnListConfirmed(asked, BootClock::now())) {
    this->StartWaitingRequests();
  }
}

void TrafficCore::SetPeers(const serving::PeerSummary& summary) {
  this->nodes = std::max<uint32_t>(1, summary.nodes);
  this->ready_nodes = summary.ready_nodes;
  this->wall_offset_ms = summary.wall_offset_ms;
  this->quotas.SetNodes(this->nodes);
  if (summary.informed) {
    this->quotas.SetInformed();
  }
  this->quotas.SetSilentShare(summary.silent_share);
  this->pool.UpdatePeerLoads(summary.loads, BootClock::now());
  this->pool.UpdatePeerPrefixes(summary.prefixes, BootClock::now());
  this->suspects.SetRemote(summary.crashes);
  this->MergeSuspects(summary.suspects, BootClock::now());
  this->crash_settle_time = std::min<Duration>(
      kSettlePeriods * summary.message_period, kMaxSettleTime);
  for (const serving::CrashEvidence& evidence : summary.crash_evidence) {
    this->MergeCrashEvidence(evidence);
  }
  this->prefill_speeds = summary.prefill_speeds;
  for (serving::SharedState* state : this->shared_states) {
    state->MergePeers(summary, BootClock::now());
  }
  this->stream_lookups.SetPeers(summary);
  this->ApplyServerSpeeds();
  bool any_leaves = false;
  for (const serving::LeavingServer& announced : summary.leaving) {
    any_leaves |= this->pool.Leaving().Merge(announced, BootClock::now());
  }
  if (any_leaves) {
    this->RequestStopNotices(BootClock::now());
  }
  if (!this->config) {
    return;
  }
  for (const serving::Customer& customer : this->config->customers) {
    const auto found = summary.admitted.find(serving::HashName(customer.name));
    if (found != summary.admitted.end()) {
      this->quotas.DeductRemote(customer.name, found->second);
    }
  }
}

void TrafficCore::ApplyServerSpeeds() {
  for (const auto& [id, pooled] : this->pool.All()) {
    const servermodel::ServerEstimate estimate =
        this->server_speeds.EstimateOf(pooled->server);
    pooled->speed = estimate.speed;
    pooled->shared_failures = estimate.failure_share;
    pooled->for_long_prompts = estimate.for_long;
  }
  constexpr double kPercent = 100;
  for (const servermodel::SpeedChange& change :
       this->server_speeds.TakeChanges()) {
    this->log.Write(
        EventLevel::kInfo, change.slow ? "server_slow" : "server_speed_normal",
        {{"server", change.server},
         {"service", change.service},
         {"speed_percent",
          static_cast<int64_t>(kPercent * change.estimate.speed)},
         {"sample_weight", static_cast<int64_t>(change.estimate.recent_weight)},
         {"failed_percent",
          static_cast<int64_t>(kPercent * change.estimate.failure_share)}});
  }
  for (const auto& [service, summary] : this->server_speeds.Summaries()) {
    const std::string label = "service=\"" + service + "\"";
    this->counters.Get("slow_servers", label, MetricKind::kGauge)
        .Set(summary.slow);
    Counter& set_aside = this->counters.Get("servers_for_long_prompts", label,
                                            MetricKind::kGauge);
    const bool was_separated = set_aside.Get() > 0;
    set_aside.Set(summary.for_long);
    if (was_separated != (summary.for_long > 0)) {
      this->log.Write(
          EventLevel::kInfo, "prompt_lengths_separated",
          {{"service", service},
           {"servers_for_long", summary.for_long},
           {"long_above_tokens", static_cast<int64_t>(summary.cut_tokens)}});
    }
  }
  this->counters.Get("limit_reports_invalid", {}, MetricKind::kGauge)
      .Set(static_cast<int64_t>(this->pool.RateLimits().InvalidReports()));
  this->counters.Get("speed_reports_invalid", {}, MetricKind::kGauge)
      .Set(static_cast<int64_t>(this->server_speeds.InvalidReports()));
  this->counters.Get("stream_reports_invalid", {}, MetricKind::kGauge)
      .Set(static_cast<int64_t>(this->stream_records.InvalidReports()));
  const serving::StreamLookupCounts& lookups = this->stream_lookups.Counts();
  for (const auto& [outcome, count] :
       {std::pair("recorded", lookups.recorded),
        std::pair("only_version", lookups.only_version),
        std::pair("unknown", lookups.unknown),
        std::pair("unverified", lookups.unverified)}) {
    this->counters
        .Get("stream_lookups_total", "outcome=\"" + std::string(outcome) + "\"")
        .Set(static_cast<int64_t>(count));
  }
  this->counters.Get("streams_remembered", {}, MetricKind::kGauge)
      .Set(static_cast<int64_t>(this->stream_records.Size()));
  this->counters.Get("stream_versions_complete", {}, MetricKind::kGauge)
      .Set(this->stream_records.Complete() ? 1 : 0);
}

int64_t TrafficCore::ClusterTimeMs(TimePoint now) const {
  if (!this->wall_offset_ms) {
    return WallNow().time_since_epoch().count();
  }
  return *this->wall_offset_ms +
         std::chrono::duration_cast<std::chrono::milliseconds>(
             now.time_since_epoch())
             .count();
}

void TrafficCore::SetShutdownTime(TimePoint end) {
  this->shutting_down = true;
  this->shutdown_at = std::min(this->shutdown_at.value_or(end), end);
}

void TrafficCore::EndRequests() {
  std::vector<std::shared_ptr<Exchange>> all;
  all.reserve(this->exchanges.size());
  for (const auto& [connection, exchange] : this->exchanges) {
    all.push_back(exchange);
  }
  for (const auto& exchange : all) {
    exchange->EndWithNode();
  }
}

std::optional<Duration> TrafficCore::ExpectedDuration(
    const serving::Route& route) const {
  const auto found = this->route_durations.find(route.name);
  return found == this->route_durations.end() ? route.goal
                                              : found->second.Bound();
}

void TrafficCore::CountUsage(const std::string& customer, TimePoint now) {
  const auto window_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                             this->bounds.usage_window)
                             .count();
  if (window_ms <= 0) {
    return;
  }
  const int64_t window = this->ClusterTimeMs(now) / window_ms;
  this->usage[window][customer] += 1;
  while (this->usage.size() > kMaxUsageWindows) {
    this->usage.erase(this->usage.begin());
  }
}

serving::TrafficReport TrafficCore::Report(TimePoint now) {
  serving::TrafficReport report;
  for (const auto& [customer, total] : this->quotas.Admitted()) {
    report.admitted[serving::HashName(customer)] =
        static_cast<uint64_t>(std::max(0.0, total));
  }
  for (const auto& [id, pooled] : this->pool.All()) {
    if (pooled->own_load.running > 0) {
      report.loads[serving::HashName(id)] = pooled->own_load;
    }
  }
  const std::chrono::duration<double> passed = now - this->demand_updated;
  const bool measure = now - this->demand_updated >= kDemandPeriod;
  for (auto& [service, seen] : this->demand) {
    if (measure) {
      const double rate =
          static_cast<double>(seen.tokens_in_period) / passed.count();
      seen.prefill_per_second +=
          kDemandWeight * (rate - seen.prefill_per_second);
      seen.tokens_in_period = 0;
    }
    report.demand[serving::HashName(service)] = serving::ServiceDemand{
        seen.running, static_cast<uint32_t>(seen.prefill_per_second),
        seen.refused};
  }
  if (measure) {
    this->demand_updated = now;
  }
  for (const auto& [window, counts] : this->usage) {
    for (const auto& [customer, count] : counts) {
      report.usage[window][serving::HashName(customer)] = count;
    }
  }
  report.crashes = this->suspects.Report(now);
  report.suspects = this->suspects.All(now);
  report.crash_evidence = this->crash_attribution.Report(now);
  report.prefixes.assign(this->pool.OwnPrefixes().begin(),
                         this->pool.OwnPrefixes().end());
  report.quota_levels = this->quotas.Levels(now);
  report.leaving = this->pool.Leaving().Announce();
  for (auto& [service, estimate] : this->prefill_estimates) {
    if (const auto speed = estimate.Current(now)) {
      report.prefill_speeds[serving::HashName(service)] = *speed;
    }
  }
  for (serving::SharedState* state : this->shared_states) {
    state->AppendExtensions(report.extensions, now);
  }
  if (this->rollout_agent) {
    if (const auto reason = this->rollout_agent->TakeStopReason()) {
      this->counters.Get("rollouts_stopped_here_total").Add();
      this->log.Write(EventLevel::kWarning, "rollout_stopped_here",
                      {{"reason", *reason}});
    }
  }
  return report;
}

void TrafficCore::CheckTime(TimePoint now) {
  const bool late = this->last_check && now - *this->last_check > kLateCheck;
  // Only one check is passed over, as a busy loop may be late for all of them.
  this->finds_silence = !late || !this->finds_silence;
  this->last_check = now;
  this->stream_lookups.CheckTime(now);
  this->StartWaitingRequests();
  std::vector<std::shared_ptr<Exchange>> all;
  all.reserve(this->exchanges.size());
  for (const auto& [connection, exchange] : this->exchanges) {
    all.push_back(exchange);
  }
  for (const auto& exchange : all) {
    exchange->CheckTime(now);
  }
  this->pool.CheckTime(now);
  this->CheckLeavingServers(now);
  this->CheckLimitedServers(now);
  this->CheckLifetimes(now);
  this->CountCrashes(now);
  if (now >= this->next_crash_evaluation) {
    this->next_crash_evaluation = now + kCrashEvaluationPeriod;
    this->BlockCrashingParts(now);
  }
}

void TrafficCore::CountCrashes(TimePoint now) {
  for (const CrashSuspect& suspect : this->pool.TakeCrashSuspects()) {
    const BrokenRequest& request = suspect.request;
    this->suspects.CountCrash(request.fingerprint, now);
    this->crash_attribution.RecordCrash(
        {serving::MakeCrashIdentifier(suspect.server_id,
                                      suspect.server_started),
         static_cast<uint32_t>(request.fingerprint),
         serving::HashName(suspect.service), request.shared_parts, 0,
         request.broken_at},
        now);
    this->log.Write(
        EventLevel::kWarning, "crash_suspect",
        {{"id", request.attempt_id},
         {"server", suspect.server_id},
         {"service", suspect.service},
         {"fingerprint", std::to_string(request.fingerprint)},
         {"shared_parts", JoinIds(request.shared_parts)},
         {"confirmed_after_ms", Millis(now - request.broken_at)},
         {"refused", this->suspects.IsBlocked(request.fingerprint, now)}});
  }
}

void TrafficCore::BlockCrashingParts(TimePoint now) {
  const auto verdicts =
      this->crash_attribution.Evaluate(this->crash_settle_time, now);
  for (const serving::PartVerdict& verdict : verdicts) {
    this->log.Write(EventLevel::kWarning, "prompt_part_blocked",
                    {{"part", verdict.blocked.key.part},
                     {"times", verdict.blocked.times},
                     {"crashes", verdict.crashes},
                     {"requests", verdict.requests},
                     {"answered_before", verdict.answered_before}});
    this->counters.Get("prompt_parts_blocked_total").Add();
  }
  if (!verdicts.empty()) {
    this->AbandonBlockedRequests();
  }
}

void TrafficCore::MergeSuspects(const serving::SuspectReport& told,
                                TimePoint now) {
  for (const uint64_t fingerprint : this->suspects.Merge(told, now)) {
    this->log.Write(EventLevel::kWarning, "request_block_adopted",
                    {{"fingerprint", std::to_string(fingerprint)}});
  }
}

void TrafficCore::MergeCrashEvidence(const serving::CrashEvidence& evidence) {
  const auto changes =
      this->crash_attribution.Merge(evidence, BootClock::now());
  for (const serving::BlockedPart& blocked : changes.blocked) {
    this->log.Write(EventLevel::kWarning, "prompt_part_block_adopted",
                    {{"part", blocked.key.part},
                     {"times", blocked.times},
                     {"age_ms", blocked.age_ms}});
  }
  this->LogUnblocked(changes.unblocked);
  if (!changes.blocked.empty()) {
    this->AbandonBlockedRequests();
  }
}

void TrafficCore::LogUnblocked(const std::vector<serving::PartKey>& parts) {
  for (const serving::PartKey& key : parts) {
    this->log.Write(EventLevel::kInfo, "prompt_part_unblocked",
                    {{"part", key.part}});
  }
}

void TrafficCore::EnforceBufferLimit() {
  while (this->buffered_bytes > kMaxBufferedBytes) {
    const auto held = [](const auto& entry) {
      return entry.second->HeldBytes();
    };
    const auto largest = std::ranges::max_element(this->exchanges, {}, held);
    if (largest == this->exchanges.end() || held(*largest) == 0) {
      return;
    }
    const std::shared_ptr<Exchange> exchange = largest->second;
    exchange->FailForBufferLimit();
  }
}

void TrafficCore::AbandonBlockedRequests() {
  std::vector<std::shared_ptr<Exchange>> all;
  all.reserve(this->exchanges.size());
  for (const auto& [connection, exchange] : this->exchanges) {
    all.push_back(exchange);
  }
  for (const auto& exchange : all) {
    exchange->AbandonIfBlocked();
  }
}

void TrafficCore::OnRequest(
    const std::shared_ptr<httpio::ServerConnection>& connection,
    httpio::InboundRequest request) {
  serving::ClientRequest decoded;
  decoded.facts = this->codec.DecodeRequest(request.fields);
  decoded.host = httpio::FindField(request.fields, "Host");
  decoded.method = std::move(request.method);
  decoded.target = std::move(request.target);
  decoded.body_bytes = request.body.size();
  const auto exchange = std::make_shared<Exchange>(
      *this, connection, std::move(decoded), std::move(request.body));
  this->exchanges[connection.get()] = exchange;
  exchange->Start();
}

void TrafficCore::OnClientDisconnected(httpio::ServerConnection& connection) {
  const auto found = this->exchanges.find(&connection);
  if (found != this->exchanges.end()) {
    const std::shared_ptr<Exchange> exchange = found->second;
    exchange->OnClientDisconnected();
  }
}

}  // namespace boragewharf::relay
