/**
 * @file speed_estimates.cc
 * Estimates of the speeds from the samples of all nodes, and the servers that
 * are set aside for long prompts.
 */
#include <algorithm>
#include <cmath>
#include <map>
#include <span>
#include <tuple>
#include <utility>

#include "sample_bounds.h"
#include "servermodel/server_speeds_base.h"
#include "serving/peer_type.h"

namespace boragewharf::servermodel {
namespace {

/** Time after which the lasting level of a server has lost 63% of its weight;
 * it remains known over pauses of its requests of some seconds. */
constexpr double kLastingSeconds = 20;

/** Standard deviation of a server's recent speed around its lasting level, as a
 * logarithm. */
constexpr double kRecentDeviation = 0.2;

/** Standard deviation of the lasting level of equal servers, as a logarithm;
 * their loads are known with some delay. */
constexpr double kLastingDeviation = 0.05;

/** Standard deviation of the estimates of equal servers, as a logarithm. In a
 * run of 67 nodes and 90 servers it was 0.055 to 0.072. */
constexpr double kEstimateNoise = 0.07;

/** Attempts without failure that are assumed of each server in addition; a
 * single failure is a coincidence. */
constexpr double kAssumedSuccesses = 4;

/** Price of a server for prompts of another length, relative to the objective:
 * it is used where the others would take so much longer. With 0.25, 0.5 and 1,
 * 0.851, 0.865 and 0.884 of the first events of a loaded service were in time;
 * more than the objective would let requests miss it while servers are idle. */
constexpr double kOtherLengthShare = 1.0;

/** A server is logged as slow below the first speed, and as normal again above
 * the second. */
constexpr double kSlowBelow = 0.7;
constexpr double kNormalAbove = 0.85;

/** Most changes kept for the log between two calls of TakeChanges(). */
constexpr size_t kMaxChanges = 8;

/** Fewest servers of each length. A smaller group does not balance its load: a
 * request that meets two long ones finds no other server. */
constexpr size_t kMinGroupServers = 8;

}  // namespace

ServerEstimate ServerSpeeds::EstimateOf(
    const serving::BackendServer& server) const {
  ServerEstimate estimate;
  const auto found = this->servers.find(LifetimeKey(server));
  if (found == this->servers.end()) {
    return estimate;
  }
  const Samples& recent = found->second.recent;
  estimate.speed = std::exp(found->second.log_speed);
  estimate.recent_weight = recent.weight;
  estimate.failure_share = recent.failed / (recent.ended + kAssumedSuccesses);
  estimate.for_long = found->second.for_long;
  return estimate;
}

void ServerSpeeds::SumRecent(TimePoint now) {
  for (auto& [key, server] : this->servers) {
    DecayOwn(server, now);
    server.recent = server.own;
  }
  for (const auto& [sender, entries] : this->peers) {
    for (const auto& [received, entry] : entries) {
      const auto found = this->servers.find(entry.lifetime);
      if (found == this->servers.end()) {
        continue;
      }
      Samples told;
      told.weight = std::min(entry.weight / kWeightScale, kMaxNodeWeight);
      told.log_sum = told.weight * BoundLog(entry.log_speed / kLogScale);
      told.ended = entry.ended / kCountScale;
      told.failed = std::min(entry.failed, entry.ended) / kCountScale;
      const double age = std::max(0.0, Seconds(now - received));
      told.Scale(std::exp(-age / kRecentSeconds));
      found->second.recent.Add(told);
    }
  }
}

void ServerSpeeds::Update(TimePoint now) {
  this->SumRecent(now);
  const double passed =
      std::clamp(Seconds(now - this->updated), 0.0, kRecentSeconds);
  this->updated = now;
  std::map<std::string_view, std::vector<Server*>> by_service;
  for (auto& [key, server] : this->servers) {
    server.lasting.Scale(std::exp(-passed / kLastingSeconds));
    Samples added = server.recent;
    added.Scale(passed / kRecentSeconds);
    server.lasting.Add(added);
    by_service[server.service].push_back(&server);
  }
  for (auto& [service, members] : by_service) {
    this->EstimateService(members);
    this->SeparateLengths(std::string(service), members, now);
  }
}

void ServerSpeeds::EstimateService(std::vector<Server*>& members) {
  // The lasting levels are shrunk to their mean. The variance between servers
  // is what exceeds that of the estimates themselves (method of moments).
  constexpr double kMinLastingWeight = 1;
  std::vector<Server*> known;
  for (Server* server : members) {
    if (server->lasting.weight >= kMinLastingWeight) {
      known.push_back(server);
    } else {
      server->log_speed = 0;
    }
  }
  if (known.empty()) {
    return;
  }
  const auto noise = [](const Server& server) {
    return kLastingDeviation * kLastingDeviation + 1 / server.lasting.weight;
  };
  const auto count = static_cast<double>(known.size());
  double mean = 0;
  double mean_noise = 0;
  for (const Server* server : known) {
    mean += server->lasting.Mean() / count;
    mean_noise += noise(*server) / count;
  }
  double spread = 0;
  for (const Server* server : known) {
    const double off = server->lasting.Mean() - mean;
    spread += off * off / std::max(1.0, count - 1);
  }
  const double between = std::max(0.0, spread - mean_noise);

  constexpr double kLevelWeight = 1 / (kRecentDeviation * kRecentDeviation);
  double centre = 0;
  for (Server* server : known) {
    const double level = mean + between / (between + noise(*server)) *
                                    (server->lasting.Mean() - mean);
    server->log_speed = (server->recent.log_sum + kLevelWeight * level) /
                        (server->recent.weight + kLevelWeight);
    centre += server->log_speed / count;
  }
  // Estimates that differ no more than those of equal servers do are noise;
  // following it would make all nodes prefer the same servers.
  double variance = 0;
  for (const Server* server : known) {
    const double off = server->log_speed - centre;
    variance += off * off / count;
  }
  constexpr double kNoise = kEstimateNoise * kEstimateNoise;
  const double kept = variance > kNoise ? 1 - kNoise / variance : 0;
  for (Server* server : known) {
    server->log_speed = BoundLog(kept * (server->log_speed - centre));
    this->RecordChange(*server);
  }
}

void ServerSpeeds::SeparateLengths(const std::string& service,
                                   std::vector<Server*>& members,
                                   TimePoint now) {
  const auto known = this->services.find(service);
  if (known == this->services.end()) {
    return;
  }
  ServiceFits& fits = known->second;
  EngineCosts costs;
  costs.tokens_per_ms = fits.tokens_per_ms;
  const auto one = fits.gaps.Expect({1, 0});
  const auto two = fits.gaps.Expect({2, 0});
  costs.event_ms = one && two ? *two - *one : 0;
  fits.lengths.Update(costs, now);
  // By hash, so that all nodes set aside the same servers, and those of a
  // smaller share are among those of a larger one; each zone has its part.
  std::map<std::string_view, std::vector<Server*>> by_zone;
  for (Server* server : members) {
    by_zone[server->zone].push_back(server);
  }
  std::vector<std::tuple<double, serving::NameHash, Server*>> ranked;
  for (auto& [zone, present] : by_zone) {
    std::ranges::sort(present, {}, [](const Server* server) {
      return serving::HashName(server->id);
    });
    for (size_t i = 0; i < present.size(); ++i) {
      ranked.emplace_back(
          (static_cast<double>(i) + 0.5) / static_cast<double>(present.size()),
          serving::HashName(present[i]->id), present[i]);
    }
  }
  std::ranges::sort(ranked);
  double capacity = 0;
  for (const Server* server : members) {
    capacity += std::exp(server->log_speed);
  }
  double taken = 0;
  size_t set_aside = 0;
  for (const auto& [part, hash, server] : ranked) {
    const double speed = std::exp(server->log_speed);
    server->for_long = fits.lengths.Active() &&
                       taken + speed / 2 < fits.lengths.LongShare() * capacity;
    set_aside += server->for_long ? 1 : 0;
    taken += speed;
  }
  if (set_aside < kMinGroupServers ||
      ranked.size() - set_aside < kMinGroupServers) {
    for (Server* server : members) {
      server->for_long = false;
    }
    set_aside = 0;
  }
  fits.separated = set_aside > 0 && set_aside < ranked.size();
}

void ServerSpeeds::ClassifyLength(std::string_view service,
                                  serving::RouteRequest& request) const {
  const auto found = this->services.find(service);
  if (found == this->services.end() || !found->second.separated) {
    return;
  }
  const LengthSeparation& lengths = found->second.lengths;
  // The shared parts are usually cached.
  request.long_prompt =
      lengths.IsLong(request.prompt_tokens -
                     std::min(request.prompt_tokens, request.shared_tokens));
  request.other_length_ms = kOtherLengthShare * lengths.GoalMs();
}

void ServerSpeeds::RecordChange(Server& server) {
  const double speed = std::exp(server.log_speed);
  const bool slow = server.slow ? speed < kNormalAbove : speed < kSlowBelow;
  if (slow == server.slow) {
    return;
  }
  server.slow = slow;
  if (this->changes.size() >= kMaxChanges) {
    return;
  }
  SpeedChange change;
  change.server = server.id;
  change.service = server.service;
  change.slow = slow;
  change.estimate.speed = speed;
  change.estimate.recent_weight = server.recent.weight;
  change.estimate.failure_share =
      server.recent.failed / (server.recent.ended + kAssumedSuccesses);
  this->changes.push_back(std::move(change));
}

std::vector<SpeedChange> ServerSpeeds::TakeChanges() {
  return std::exchange(this->changes, {});
}

std::map<std::string, ServiceSummary> ServerSpeeds::Summaries() const {
  std::map<std::string, ServiceSummary> summaries;
  for (const auto& [key, server] : this->servers) {
    ServiceSummary& summary = summaries[server.service];
    summary.slow += server.slow ? 1 : 0;
    summary.for_long += server.for_long ? 1 : 0;
  }
  for (const auto& [service, fits] : this->services) {
    summaries[service].separated = fits.separated;
    summaries[service].cut_tokens = fits.lengths.CutTokens();
  }
  return summaries;
}

}  // namespace boragewharf::servermodel
