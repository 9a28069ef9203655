/**
 * @file server_pool_base.cc
 * Backend servers with their connections, load and recent failures.
 */
#include "relay/server_pool_base.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

namespace boragewharf::relay {
namespace {

using serving::AttemptFailure;
using serving::Distance;

/** Weight of the newest result in the moving average of the failure rate. */
constexpr double kFailureWeight = 0.15;

/** Consecutive failures after which a server is avoided. */
constexpr uint32_t kAvoidAfter = 3;

/** Time for which a server is avoided; about as long as the last phase of an
 * outage. */
constexpr std::chrono::milliseconds kAvoidTime(2000);

/** Time for which a server is avoided after a single failure to reach it. */
constexpr std::chrono::milliseconds kUnreachableAvoidTime(1000);

/** Maximum idle time if the server sends no Keep-Alive timeout. */
constexpr std::chrono::seconds kDefaultMaxIdle(4);

/** Connections are closed this long before the announced idle timeout, which is
 * in whole seconds. */
constexpr std::chrono::milliseconds kKeepAliveMargin(500);

/** Maximum number of idle connections kept per server. */
constexpr size_t kMaxIdleConnections = 64;

/** Time for which a server is assumed to have a prefix cached after a request
 * with it was sent there. */
constexpr std::chrono::seconds kPrefixCacheTime(10);

/** Time for which a sent prefix is reported to the other nodes; more than two
 * message periods with 80 nodes. */
constexpr std::chrono::milliseconds kPrefixReportTime(1500);

/** Maximum time from a broken request to the confirmation of a crash: either
 * connections are refused, or the server's entry is removed after three missed
 * heartbeats. */
constexpr std::chrono::seconds kCrashConfirmTime(5);

/** Time for which an entry is taken to be outdated if the server does not
 * report when it started: several times the three heartbeats of silence after
 * which entries are removed, as the store may be away for some seconds of it.
 */
constexpr std::chrono::seconds kMaxOutdatedTime(30);

/** Interval at which a server that could not be reached is asked when it
 * started; servers that crash are back after some seconds. */
constexpr std::chrono::seconds kLifetimeCheckPeriod(1);

/** Time after which a client may come back to another node, if this one has no
 * share of the limit of a server. */
constexpr std::chrono::milliseconds kOtherNodeWait(400);

/** Timeout of the connection that probes for a crash; several round trips. */
constexpr std::chrono::milliseconds kCrashProbeTimeout(400);

/** Maximum number of broken requests kept per server; more than its slots. */
constexpr size_t kMaxBrokenRequests = 256;

/** Highest speed assumed of a server that still warms up: it gets work only
 * where the others have twice as much to do. */
constexpr double kColdSpeed = 0.5;

/** Number of prefixes per server above which expired ones are removed. */
constexpr size_t kMaxPrefixes = 1024;

/** Minimum time for which a removed server is kept. It is dropped afterwards,
 * once its requests have ended. */
constexpr std::chrono::seconds kRemovedServerRetention(30);

Duration MaxIdle(const UpstreamConnection& connection) {
  const auto announced = connection.KeepAlive();
  if (!announced) {
    return kDefaultMaxIdle;
  }
  return std::max<Duration>(Duration(0), *announced - kKeepAliveMargin);
}

}  // namespace

ServerPool::ServerPool(boost::asio::io_context& event_loop,
                       std::string own_zone,
                       std::string own_region,
                       std::map<std::string, std::string> regions,
                       Duration leaving_check_period)
    : loop(event_loop),
      zone(std::move(own_zone)),
      region(std::move(own_region)),
      zone_regions(std::move(regions)),
      leaving(leaving_check_period) {}

Distance ServerPool::DistanceTo(std::string_view other_zone) const {
  if (other_zone == this->zone) {
    return Distance::kSameZone;
  }
  const auto found = this->zone_regions.find(std::string(other_zone));
  if (found != this->zone_regions.end() && found->second == this->region) {
    return Distance::kSameRegion;
  }
  return Distance::kOtherRegion;
}

void ServerPool::Update(const serving::ServerSet& set, TimePoint now) {
  for (auto& [id, pooled] : this->servers) {
    if (pooled->listed) {
      pooled->unlisted_at = now;
    }
    pooled->listed = false;
  }
  for (const serving::BackendServer& listed : set.servers) {
    auto& pooled = this->servers[listed.id];
    // Without start times, another version is the sign of a restart.
    const bool upgraded = pooled && listed.started == 0 &&
                          pooled->server.version != listed.version;
    const bool replaced =
        upgraded || (pooled && (pooled->server.started != listed.started ||
                                pooled->server.address != listed.address));
    if (replaced) {
      this->ConfirmCrash(*pooled, now);
    }
    if (!pooled || replaced) {
      pooled = std::make_shared<PooledServer>();
      pooled->distance = this->DistanceTo(listed.zone);
    }
    if (pooled->server.cold_left_ms != listed.cold_left_ms) {
      // Stated as of the entry's last change.
      pooled->cold_until = now + std::chrono::milliseconds(listed.cold_left_ms);
    }
    pooled->server = listed;
    pooled->listed = true;
    if (!listed.draining && !this->IsLeaving(*pooled)) {
      // Not draining, so it is not (or no longer) about to stop: its entry may
      // only have expired for a while.
      pooled->notice_requested = false;
      pooled->stops_at.reset();
    }
  }
  for (const auto& [id, pooled] : this->servers) {
    if (!pooled->listed && !pooled->server.draining) {
      this->ConfirmCrash(*pooled, now);
    }
  }
  std::erase_if(this->servers, [&](const auto& entry) {
    const PooledServer& pooled = *entry.second;
    return !pooled.listed && pooled.own_load.running == 0 &&
           now - pooled.unlisted_at > kRemovedServerRetention;
  });
  this->by_hash.clear();
  this->versioned_services.clear();
  std::set<serving::ServerLifetime> present;
  for (const auto& [id, pooled] : this->servers) {
    this->by_hash[serving::HashName(id)] = pooled.get();
    present.insert(LifetimeOf(*pooled));
    if (!pooled->server.version.empty()) {
      this->versioned_services.insert(pooled->server.service);
    }
  }
  this->leaving.Retain(present);
  this->rate_limits.Retain(present);
}

serving::ServerLifetime ServerPool::LifetimeOf(const PooledServer& pooled) {
  return {serving::HashName(pooled.server.id), pooled.server.started};
}

bool ServerPool::IsLeaving(const PooledServer& pooled) const {
  return this->leaving.Contains(LifetimeOf(pooled));
}

bool ServerPool::RecordAnswer(PooledServer& pooled,
                              const serving::ResponseFacts& facts,
                              TimePoint sent,
                              TimePoint now) {
  constexpr uint32_t kStatusOtherServer = 421;
  const bool from_other_server =
      facts.status == kStatusOtherServer ||
      (!facts.server_id.empty() && facts.server_id != pooled.server.id);
  if (from_other_server) {
    return false;
  }
  this->rate_limits.RecordAnswer(LifetimeOf(pooled), facts.limit_per_second,
                                 sent, now);
  if (facts.retry_after) {
    pooled.no_requests_until =
        std::max(pooled.no_requests_until, now + *facts.retry_after);
  }
  return facts.leaving && this->leaving.Mark(LifetimeOf(pooled), now);
}

std::optional<Duration> ServerPool::TimeUntilCandidate(
    const ServerRequirements& required,
    TimePoint now) const {
  std::optional<Duration> least;
  for (const auto& [id, pooled] : this->servers) {
    if (!this->Meets(*pooled, required)) {
      continue;
    }
    const Duration limited =
        this->rate_limits.TimeUntilAllowed(LifetimeOf(*pooled), now)
            .value_or(kOtherNodeWait);
    const Duration left =
        std::max<Duration>(pooled->no_requests_until - now, limited);
    if (left <= Duration::zero()) {
      return std::nullopt;
    }
    least = std::min(least.value_or(left), left);
  }
  return least;
}

void ServerPool::UpdatePeerLoads(
    const std::map<serving::NameHash, serving::ServerLoad>& loads,
    TimePoint now) {
  this->peer_loads_at = now;
  for (auto& [id, pooled] : this->servers) {
    const auto found = loads.find(serving::HashName(id));
    pooled->peer_load =
        found == loads.end() ? serving::ServerLoad{} : found->second;
  }
}

void ServerPool::RecordPrefix(PooledServer& pooled,
                              uint64_t shared_part,
                              TimePoint now) {
  if (shared_part == 0) {
    return;
  }
  const uint32_t prefix = serving::HashPromptPart(shared_part);
  pooled.prefixes[prefix] = now;
  this->own_prefixes.push_back(
      {prefix, serving::HashName(pooled.server.id), now});
}

void ServerPool::UpdatePeerPrefixes(
    const std::vector<serving::PrefixSend>& sends,
    TimePoint now) {
  for (const serving::PrefixSend& send : sends) {
    const auto found = this->by_hash.find(send.server);
    if (found != this->by_hash.end()) {
      found->second->prefixes[send.prefix] = now;
    }
  }
}

std::shared_ptr<PooledServer> ServerPool::Find(std::string_view id) const {
  const auto found = this->servers.find(id);
  return found == this->servers.end() ? nullptr : found->second;
}

bool ServerPool::Meets(const PooledServer& pooled,
                       const ServerRequirements& required) const {
  const serving::BackendServer& server = pooled.server;
  // Servers that state no version may be of any once others state theirs.
  const bool unknown = required.version && required.version->empty() &&
                       this->versioned_services.contains(required.service);
  return server.service == required.service && !unknown &&
         (!required.version || server.version == *required.version) &&
         !this->IsStopping(pooled) &&
         std::find(required.excluded.begin(), required.excluded.end(),
                   server.id) == required.excluded.end();
}

bool ServerPool::Serves(const ServerRequirements& required) const {
  return std::any_of(
      this->servers.begin(), this->servers.end(),
      [&](const auto& entry) { return this->Meets(*entry.second, required); });
}

std::vector<std::shared_ptr<PooledServer>> ServerPool::Candidates(
    const ServerRequirements& required,
    TimePoint now) const {
  return this->FindCandidates(required, true, now);
}

std::vector<std::shared_ptr<PooledServer>> ServerPool::CandidatesBeyondLimits(
    const ServerRequirements& required,
    TimePoint now) const {
  return this->FindCandidates(required, false, now);
}

std::vector<std::shared_ptr<PooledServer>> ServerPool::FindCandidates(
    const ServerRequirements& required,
    bool within_limits,
    TimePoint now) const {
  std::vector<std::shared_ptr<PooledServer>> found;
  for (const auto& [id, pooled] : this->servers) {
    const bool outdated = required.version && IsOutdated(*pooled, now);
    if (this->Meets(*pooled, required) && !outdated &&
        now >= pooled->no_requests_until &&
        (!within_limits ||
         this->rate_limits.Allows(LifetimeOf(*pooled), now))) {
      found.push_back(pooled);
    }
  }
  // What began at a version can't go on at another one, whatever the phase of
  // a roll-out; to refuse it would only lose what its client already has.
  const bool selects =
      this->rollout_agent != nullptr && !required.version && !found.empty();
  if (selects) {
    std::vector<const serving::BackendServer*> listed;
    listed.reserve(found.size());
    for (const auto& pooled : found) {
      listed.push_back(&pooled->server);
    }
    const std::vector<bool> selected =
        this->rollout_agent->Select(required.service, listed, now);
    size_t index = 0;
    std::erase_if(found, [&](const auto&) { return !selected[index++]; });
  }
  return found;
}

serving::ServerView ServerPool::View(const PooledServer& pooled,
                                     uint64_t shared_part,
                                     TimePoint now) const {
  serving::ServerView view;
  view.server = &pooled.server;
  view.distance = pooled.distance;
  view.running = pooled.own_load.running + pooled.peer_load.running;
  view.prefill_tokens = uint64_t{pooled.own_load.prefill_tokens} +
                        pooled.peer_load.prefill_tokens;
  view.failure_rate = std::max(pooled.failure_rate, pooled.shared_failures);
  view.for_long_prompts = pooled.for_long_prompts;
  view.speed = now < pooled.cold_until ? std::min(pooled.speed, kColdSpeed)
                                       : pooled.speed;
  view.avoided = now < pooled.avoid_until;
  const auto sent = pooled.prefixes.find(serving::HashPromptPart(shared_part));
  view.prefix_cached = shared_part != 0 && sent != pooled.prefixes.end() &&
                       now - sent->second < kPrefixCacheTime;
  return view;
}

std::shared_ptr<UpstreamConnection> ServerPool::Acquire(PooledServer& pooled,
                                                        Duration max_idle,
                                                        TimePoint now) {
  while (!pooled.idle.empty()) {
    std::shared_ptr<UpstreamConnection> connection =
        std::move(pooled.idle.back());
    pooled.idle.pop_back();
    const Duration bound = std::min(max_idle, MaxIdle(*connection));
    if (connection->Reusable() && now - connection->LastActive() < bound) {
      return connection;
    }
    connection->Close();
  }
  return std::make_shared<UpstreamConnection>(this->loop,
                                              pooled.server.address);
}

void ServerPool::Release(PooledServer& pooled,
                         std::shared_ptr<UpstreamConnection> connection) {
  if (!connection->Reusable() || pooled.idle.size() >= kMaxIdleConnections ||
      !pooled.listed) {
    connection->Close();
    return;
  }
  pooled.idle.push_back(std::move(connection));
}

httpio::HttpChannel& ServerPool::CallChannel(PooledServer& pooled) {
  if (!pooled.call_channel) {
    pooled.call_channel = std::make_unique<httpio::HttpChannel>(
        this->loop, pooled.server.address);
  }
  return *pooled.call_channel;
}

void ServerPool::RecordSuccess(PooledServer& pooled) {
  pooled.failure_rate *= 1 - kFailureWeight;
  pooled.failures_in_row = 0;
}

void ServerPool::RecordFailure(PooledServer& pooled,
                               AttemptFailure failure,
                               TimePoint now) {
  pooled.failure_rate += kFailureWeight * (1 - pooled.failure_rate);
  if (failure == AttemptFailure::kRejected) {
    return;  // A full server is skipped for this request, but not avoided.
  }
  pooled.failures_in_row += 1;
  if (failure == AttemptFailure::kNotSent) {
    this->ConfirmCrash(pooled, now);
    pooled.avoid_until = now + kUnreachableAvoidTime;
    RecordUnreached(pooled, now);
  } else if (pooled.failures_in_row >= kAvoidAfter) {
    pooled.avoid_until = now + kAvoidTime;
  }
}

void ServerPool::RecordBrokenRequest(
    const std::shared_ptr<PooledServer>& pooled,
    BrokenRequest request) {
  pooled->broken_requests.push_back(std::move(request));
  if (pooled->broken_requests.size() > kMaxBrokenRequests) {
    pooled->broken_requests.pop_front();
  }
  this->ProbeForCrash(pooled);
}

void ServerPool::ProbeForCrash(const std::shared_ptr<PooledServer>& pooled) {
  if (pooled->crash_probe_pending ||
      BootClock::now() < pooled->no_requests_until) {
    return;
  }
  boost::system::error_code invalid;
  const auto host =
      boost::asio::ip::make_address(pooled->server.address.host, invalid);
  if (invalid) {
    return;
  }
  struct Probe {
    explicit Probe(boost::asio::io_context& event_loop)
        : socket(event_loop), timer(event_loop) {}
    boost::asio::ip::tcp::socket socket;
    boost::asio::steady_timer timer;
  };
  pooled->crash_probe_pending = true;
  const auto probe = std::make_shared<Probe>(this->loop);
  probe->timer.expires_after(kCrashProbeTimeout);
  probe->timer.async_wait([probe](const boost::system::error_code& error) {
    if (!error) {
      boost::system::error_code ignored;
      probe->socket.close(ignored);
    }
  });
  probe->socket.async_connect(
      {host, pooled->server.address.port},
      [this, probe, pooled](const boost::system::error_code& error) {
        probe->timer.cancel();
        pooled->crash_probe_pending = false;
        if (error == boost::asio::error::connection_refused ||
            error == boost::asio::error::connection_reset) {
          const TimePoint now = BootClock::now();
          this->ConfirmCrash(*pooled, now);
          pooled->avoid_until = now + kUnreachableAvoidTime;
          RecordUnreached(*pooled, now);
        }
      });
}

bool ServerPool::IsOutdated(const PooledServer& pooled, TimePoint now) {
  return pooled.restarted ||
         (pooled.unreached_at && now - *pooled.unreached_at < kMaxOutdatedTime);
}

void ServerPool::RecordUnreached(PooledServer& pooled, TimePoint now) {
  if (!pooled.unreached_at || pooled.next_lifetime_check == TimePoint::max()) {
    pooled.next_lifetime_check = now;
  }
  pooled.unreached_at = now;
}

std::vector<std::shared_ptr<PooledServer>> ServerPool::TakeDueLifetimeChecks(
    TimePoint now) {
  std::vector<std::shared_ptr<PooledServer>> due;
  for (const auto& [id, pooled] : this->servers) {
    if (IsOutdated(*pooled, now) && !pooled->restarted && pooled->listed &&
        now >= pooled->next_lifetime_check) {
      pooled->next_lifetime_check = now + kLifetimeCheckPeriod;
      due.push_back(pooled);
    }
  }
  return due;
}

void ServerPool::RecordStart(PooledServer& pooled,
                             std::optional<uint64_t> started,
                             TimePoint sent) {
  if (!started || pooled.server.started == 0) {
    // To ask again would tell nothing.
    pooled.next_lifetime_check = TimePoint::max();
    return;
  }
  if (*started != pooled.server.started) {
    pooled.restarted = true;
  } else if (pooled.unreached_at && sent > *pooled.unreached_at) {
    pooled.unreached_at.reset();
  }
}

void ServerPool::ConfirmCrash(PooledServer& pooled, TimePoint now) {
  for (BrokenRequest& request : pooled.broken_requests) {
    if (now - request.broken_at < kCrashConfirmTime) {
      this->crash_suspects.push_back({pooled.server.id, pooled.server.started,
                                      pooled.server.service,
                                      std::move(request)});
    }
  }
  pooled.broken_requests.clear();
}

std::vector<CrashSuspect> ServerPool::TakeCrashSuspects() {
  return std::exchange(this->crash_suspects, {});
}

void ServerPool::CheckTime(TimePoint now) {
  while (!this->own_prefixes.empty() &&
         now - this->own_prefixes.front().sent > kPrefixReportTime) {
    this->own_prefixes.pop_front();
  }
  for (auto& [id, pooled] : this->servers) {
    while (!pooled->idle.empty()) {
      const auto& oldest = pooled->idle.front();
      const bool usable = oldest->Reusable() && pooled->listed &&
                          now - oldest->LastActive() < MaxIdle(*oldest);
      if (usable) {
        break;
      }
      oldest->Close();
      pooled->idle.pop_front();
    }
    if (pooled->prefixes.size() > kMaxPrefixes) {
      std::erase_if(pooled->prefixes, [&](const auto& entry) {
        return now - entry.second > kPrefixCacheTime;
      });
    }
  }
}

}  // namespace boragewharf::relay
