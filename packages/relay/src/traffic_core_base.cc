/**
 * @file traffic_core_base.cc
 * Shared state of the traffic.
 */
#include "relay/traffic_core_base.h"

#include <algorithm>
#include <utility>

#include "exchange_base.h"

namespace boragewharf::relay {
namespace {

/** Part of the quota's allowed excess that covers the lag of reports. */
constexpr double kOverdraftShare = 0.2;

/** Fill of the quotas of a restarted node; their use is unknown. */
constexpr double kRestartFill = 0.02;

/** Notice assumed of a server that the cloud takes back, until it tells. */
constexpr std::chrono::milliseconds kAssumedNotice(2000);

/** Time for asking a server that leaves. */
constexpr std::chrono::milliseconds kReportTimeout(400);

/** Usage windows kept; older ones have been reported. */
constexpr int64_t kKeptWindows = 4;

/** Weight of the newest period in the smoothed demand: arrivals come in
 * clumps, and a server takes seconds to boot. */
constexpr double kDemandWeight = 0.2;

/** Period over which demand is measured. */
constexpr std::chrono::milliseconds kDemandPeriod(500);

}  // namespace

TrafficCore::TrafficCore(boost::asio::io_context& event_loop,
                         const NodePlace& place,
                         const TrafficBounds& limits,
                         const RequestWire& request_wire,
                         EventLog& event_log,
                         CounterRegistry& registry)
    : loop(event_loop),
      bounds(limits),
      wire(request_wire),
      log(event_log),
      counters(registry),
      pool(event_loop, place.zone, place.region, place.zone_regions),
      quotas(limits.quota_slack * kOverdraftShare,
             limits.first_start ? 1.0 : kRestartFill,
             !limits.first_start),
      budget(limits.retry_ratio, limits.retry_extra, limits.retry_window),
      engine_policy(serving::MakeExpectedDelayPolicy(std::random_device{}())),
      plain_policy(serving::MakeLeastRunningPolicy()),
      generator(std::random_device{}()),
      demand_updated(BootClock::now()) {}

TrafficCore::~TrafficCore() = default;

void TrafficCore::SetConfig(
    std::shared_ptr<const serving::ServingConfig> next) {
  this->config = std::move(next);
  this->quotas.Configure(*this->config, BootClock::now());
  std::erase_if(this->lengths, [&](const auto& known) {
    return std::ranges::none_of(this->config->routes, [&](const auto& route) {
      return route.name == known.first;
    });
  });
  this->StartEarly();
}

void TrafficCore::StartEarly() {
  // Those that still have to wait join the list again.
  for (const auto& exchange : std::exchange(this->early, {})) {
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
  this->AskLeavingServers(now);
  this->StartEarly();
}

void TrafficCore::AskLeavingServers(TimePoint now) {
  for (const auto& entry : this->pool.All()) {
    const std::shared_ptr<PooledServer>& pooled = entry.second;
    const bool leaving_server = !pooled->listed || pooled->server.draining;
    if (!leaving_server || pooled->asked_when || pooled->own.running == 0) {
      continue;
    }
    pooled->asked_when = true;
    pooled->leaves_at =
        now + (pooled->server.reclaimable ? Duration(kAssumedNotice)
                                          : this->bounds.drain);
    httpio::HttpCall call;
    call.method = "GET";
    call.target = this->wire.ReportTarget();
    call.timeout = kReportTimeout;
    const auto take_report = [this, pooled](const httpio::HttpResult& result) {
      if (!result.head || result.head->status != 200) {
        return;  // The assumed notice stands.
      }
      const auto report = this->wire.DecodeReport(result.body);
      if (report.leaves_in) {
        pooled->leaves_at = BootClock::now() + *report.leaves_in;
      }
      this->log.Write(
          EventLevel::kInfo, "server_notice",
          {{"server", pooled->server.id},
           {"running", pooled->own.running},
           {"leaves_ms", report.leaves_in ? report.leaves_in->count() : -1}});
    };
    this->pool.CallChannel(*pooled).Call(std::move(call), take_report);
  }
}

void TrafficCore::SetPeers(const serving::PeerSummary& summary) {
  this->nodes = std::max<uint32_t>(1, summary.nodes);
  this->wall_offset_ms = summary.wall_offset_ms;
  this->quotas.SetNodes(this->nodes);
  if (summary.informed) {
    this->quotas.SetInformed();
  }
  this->quotas.SetSilentShare(summary.silent_share);
  this->pool.UpdatePeerLoads(summary.loads, BootClock::now());
  this->pool.TakePrefixes(summary.prefixes, BootClock::now());
  this->suspects.SetRemote(summary.crashes);
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

int64_t TrafficCore::WallMs(TimePoint now) const {
  if (!this->wall_offset_ms) {
    return WallNow().time_since_epoch().count();
  }
  return *this->wall_offset_ms +
         std::chrono::duration_cast<std::chrono::milliseconds>(
             now.time_since_epoch())
             .count();
}

void TrafficCore::SetLeaving(TimePoint end) {
  this->leaving = true;
  this->ends_at = std::min(this->ends_at.value_or(end), end);
}

std::optional<Duration> TrafficCore::ExpectedLength(
    const serving::Route& route) const {
  const auto found = this->lengths.find(route.name);
  if (found != this->lengths.end()) {
    return found->second.Bound();
  }
  if (route.kind == serving::RouteKind::kStream) {
    return std::nullopt;  // Its goal covers the first event only.
  }
  return route.goal;
}

void TrafficCore::CountRun(const std::string& customer, TimePoint now) {
  const auto window_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                             this->bounds.usage_window)
                             .count();
  if (window_ms <= 0) {
    return;
  }
  const int64_t window = this->WallMs(now) / window_ms;
  this->usage[window][customer] += 1;
  while (this->usage.size() > kKeptWindows) {
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
    if (pooled->own.running > 0) {
      report.loads[serving::HashName(id)] = pooled->own;
    }
  }
  const std::chrono::duration<double> passed = now - this->demand_updated;
  const bool measure = now - this->demand_updated >= kDemandPeriod;
  for (auto& [service, seen] : this->demand) {
    if (measure) {
      const double rate =
          static_cast<double>(seen.tokens_since) / passed.count();
      seen.prefill_per_second +=
          kDemandWeight * (rate - seen.prefill_per_second);
      seen.tokens_since = 0;
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
  report.prefixes.assign(this->pool.OwnPrefixes().begin(),
                         this->pool.OwnPrefixes().end());
  report.quota_levels = this->quotas.Levels(now);
  return report;
}

void TrafficCore::CheckTime(TimePoint now) {
  this->StartEarly();
  std::vector<std::shared_ptr<Exchange>> all;
  all.reserve(this->exchanges.size());
  for (const auto& [connection, exchange] : this->exchanges) {
    all.push_back(exchange);
  }
  for (const auto& exchange : all) {
    exchange->CheckTime(now);
  }
  this->pool.CheckTime(now);
  for (const uint64_t fingerprint : this->pool.TakeCrashers()) {
    this->suspects.NoteCrash(fingerprint, now);
    this->log.Write(EventLevel::kWarning, "crash_suspect",
                    {{"fingerprint", std::to_string(fingerprint)},
                     {"refused", this->suspects.Refused(fingerprint)}});
  }
}

void TrafficCore::OnRequest(
    const std::shared_ptr<httpio::ServerConnection>& connection,
    httpio::InboundRequest request) {
  serving::ClientRequest decoded;
  decoded.facts = this->wire.DecodeRequest(request.fields);
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
