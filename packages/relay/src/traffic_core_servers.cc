/**
 * @file traffic_core_servers.cc
 * What servers say of themselves: that they are leaving, when they stop, and
 * how many requests they take.
 */
#include "relay/traffic_core_base.h"

namespace boragewharf::relay {
namespace {

/** Time assumed until the cloud reclaims a server, before the server reports
 * the actual time. */
constexpr std::chrono::milliseconds kDefaultReclaimNotice(2000);

/** Timeout for the report of a stopping server. */
constexpr std::chrono::milliseconds kReportTimeout(400);

}  // namespace

void TrafficCore::RequestStopNotices(TimePoint now) {
  for (const auto& entry : this->pool.All()) {
    const std::shared_ptr<PooledServer>& pooled = entry.second;
    if (!this->pool.IsStopping(*pooled) || pooled->notice_requested ||
        pooled->own_load.running == 0) {
      continue;
    }
    pooled->notice_requested = true;
    pooled->stops_at =
        now + (pooled->server.reclaimable ? Duration(kDefaultReclaimNotice)
                                          : this->bounds.drain);
    this->RequestReport(pooled, now);
  }
}

void TrafficCore::RequestReport(const std::shared_ptr<PooledServer>& server,
                                TimePoint now) {
  if (now < server->no_requests_until) {
    return;
  }
  httpio::HttpCall call;
  call.method = "GET";
  call.target = this->codec.ReportTarget();
  call.timeout = kReportTimeout;
  // The channel belongs to the server.
  const auto on_report = [this, weak = std::weak_ptr(server)](
                             const httpio::HttpResult& result) {
    const std::shared_ptr<PooledServer> pooled = weak.lock();
    if (!pooled) {
      return;
    }
    if (!result.head) {
      if (!result.sent_at && pooled->unreached_at) {
        ServerPool::RecordUnreached(*pooled, BootClock::now());
      }
      return;  // Keep the assumed stop time.
    }
    const serving::ResponseFacts facts =
        this->codec.DecodeResponse(*result.head);
    // Plain services have no report; their refusal does not end a limit.
    const bool reports = facts.status == 200;
    this->RecordAnswer(*pooled, facts,
                       reports ? *result.sent_at : TimePoint::min(),
                       BootClock::now());
    if (!reports) {
      return;
    }
    const auto report = this->codec.DecodeReport(result.body);
    const bool was_outdated = ServerPool::IsOutdated(*pooled, BootClock::now());
    ServerPool::RecordStart(*pooled, report.started, *result.sent_at);
    if (report.ready && !facts.leaving) {
      this->pool.Leaving().Clear(ServerPool::LifetimeOf(*pooled),
                                 *result.sent_at);
    }
    if (report.leaves_in) {
      pooled->stops_at = BootClock::now() + *report.leaves_in;
    }
    this->log.Write(
        EventLevel::kInfo, "server_notice",
        {{"server", pooled->server.id},
         {"running", pooled->own_load.running},
         {"ready", report.ready},
         {"leaving", facts.leaving},
         {"was_outdated", was_outdated},
         {"outdated", ServerPool::IsOutdated(*pooled, BootClock::now())},
         {"leaves_ms", report.leaves_in ? report.leaves_in->count() : -1}});
  };
  this->pool.CountRequest(*server, now);
  this->pool.CallChannel(*server).Call(std::move(call), on_report);
}

void TrafficCore::RecordAnswer(PooledServer& pooled,
                               const serving::ResponseFacts& facts,
                               TimePoint sent,
                               TimePoint now) {
  const bool waits = facts.retry_after && now >= pooled.no_requests_until;
  const serving::ServerLifetime lifetime = ServerPool::LifetimeOf(pooled);
  const auto known_limit = this->pool.RateLimits().LimitOf(lifetime, now);
  const bool leaves = this->pool.RecordAnswer(pooled, facts, sent, now);
  const auto limit = this->pool.RateLimits().LimitOf(lifetime, now);
  if (limit != known_limit) {
    this->log.Write(EventLevel::kInfo, "server_limit",
                    {{"server", pooled.server.id},
                     {"per_second", limit.value_or(-1)},
                     {"running", pooled.own_load.running}});
  }
  if (waits) {
    this->log.Write(
        EventLevel::kInfo, "server_wants_no_requests",
        {{"server", pooled.server.id}, {"for_ms", facts.retry_after->count()}});
  }
  if (leaves) {
    this->log.Write(
        EventLevel::kInfo, "server_leaving",
        {{"server", pooled.server.id}, {"running", pooled.own_load.running}});
    this->RequestStopNotices(now);
  }
}

void TrafficCore::CheckLeavingServers(TimePoint now) {
  for (const serving::ServerLifetime& due :
       this->pool.Leaving().TakeDueChecks(now)) {
    for (const auto& [id, pooled] : this->pool.All()) {
      if (ServerPool::LifetimeOf(*pooled) == due && pooled->listed &&
          !pooled->server.draining) {
        this->RequestReport(pooled, now);
      }
    }
  }
}

void TrafficCore::CheckLifetimes(TimePoint now) {
  for (const auto& pooled : this->pool.TakeDueLifetimeChecks(now)) {
    const serving::Service* service =
        this->config
            ? serving::FindService(*this->config, pooled->server.service)
            : nullptr;
    if (service != nullptr && service->engine) {  // Others have no report.
      this->RequestReport(pooled, now);
    }
  }
}

void TrafficCore::CheckLimitedServers(TimePoint now) {
  for (const serving::ServerLifetime& due :
       this->pool.RateLimits().TakeDueChecks(now)) {
    for (const auto& [id, pooled] : this->pool.All()) {
      if (ServerPool::LifetimeOf(*pooled) == due && pooled->listed) {
        this->RequestReport(pooled, now);
      }
    }
  }
}

}  // namespace boragewharf::relay
