/**
 * @file server_speeds_base.cc
 * Samples from attempts.
 */
#include "servermodel/server_speeds_base.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <set>
#include <span>
#include <utility>

#include "sample_bounds.h"
#include "serving/peer_type.h"

namespace boragewharf::servermodel {
namespace {

using serving::AttemptOutcome;
using serving::Distance;

/** Factor by which the samples of a server vary together, since its streams
 * share their steps. */
constexpr double kSampleCorrelation = 4;

/** Least variance of a sample; a smaller one would be a coincidence. */
constexpr double kMinVariance = 0.01;

/** Most routes of a service that are told apart. */
constexpr size_t kMaxRoutes = 64;

/** Least gaps for a sample; a median of fewer is one coincidence. */
constexpr size_t kMinGaps = 3;

/** Prompt tokens being read at a server with which half of its steps include
 * a part of a prompt; about the chunk that engines read in one step. */
constexpr double kHalfEffectTokens = 2048;

double ToMs(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

double MedianMs(std::span<const Duration> gaps) {
  std::vector<Duration> sorted(gaps.begin(), gaps.end());
  const auto middle =
      sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 2);
  std::nth_element(sorted.begin(), middle, sorted.end());
  return ToMs(*middle);
}

/** Whether an outcome tells that the server is faulty. A full one is not. */
bool IsFailure(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::kServerError ||
         outcome == AttemptOutcome::kConnectionLost ||
         outcome == AttemptOutcome::kMalformed ||
         outcome == AttemptOutcome::kTimedOut;
}

}  // namespace

serving::NameHash LifetimeKey(const serving::BackendServer& server) {
  return serving::HashName(server.id + '/' + std::to_string(server.started));
}

void ServerSpeeds::Samples::Scale(double factor) {
  this->log_sum *= factor;
  this->weight *= factor;
  this->ended *= factor;
  this->failed *= factor;
}

void ServerSpeeds::Samples::Add(const Samples& other) {
  this->log_sum += other.log_sum;
  this->weight += other.weight;
  this->ended += other.ended;
  this->failed += other.failed;
}

void ServerSpeeds::SetServers(const serving::ServerSet& set, TimePoint now) {
  std::unordered_map<serving::NameHash, Server> next;
  std::set<std::string, std::less<>> names;
  for (const serving::BackendServer& listed : set.servers) {
    const serving::NameHash key = LifetimeKey(listed);
    const auto known = this->servers.find(key);
    Server& server = next[key];
    if (known != this->servers.end()) {
      server = std::move(known->second);
    } else {
      server.own_updated = now;
    }
    server.id = listed.id;
    server.service = listed.service;
    server.zone = listed.zone;
    server.slots = std::max<uint32_t>(1, listed.slots);
    names.insert(listed.service);
  }
  this->servers = std::move(next);
  std::erase_if(this->services, [&](const auto& entry) {
    return !names.contains(entry.first);
  });
}

ServerSpeeds::Server* ServerSpeeds::Find(const serving::BackendServer& server) {
  const auto found = this->servers.find(LifetimeKey(server));
  return found == this->servers.end() ? nullptr : &found->second;
}

void ServerSpeeds::DecayOwn(Server& server, TimePoint now) {
  const double passed = Seconds(now - server.own_updated);
  if (passed > 0) {
    server.own.Scale(std::exp(-passed / kRecentSeconds));
    server.own_updated = now;
  }
}

void ServerSpeeds::AddSample(Server& server,
                             LoadFit& fit,
                             const LoadPoint& load,
                             double ms,
                             TimePoint now) {
  if (!(ms > 0)) {
    return;
  }
  const auto expected = fit.Expect(load);
  // The fit describes a server of speed 1, whatever servers this node uses.
  fit.Add(load, ms * std::exp(server.log_speed));
  if (!expected) {
    return;
  }
  const double log_speed = BoundLog(std::log(*expected / ms));
  fit.AddError(log_speed - server.log_speed);
  const double weight =
      1 / (kSampleCorrelation * std::max(fit.Variance(), kMinVariance));
  DecayOwn(server, now);
  server.own.log_sum += weight * log_speed;
  server.own.weight += weight;
  if (server.own.weight > kMaxNodeWeight) {
    const double factor = kMaxNodeWeight / server.own.weight;
    server.own.log_sum *= factor;
    server.own.weight *= factor;
  }
  server.last_sample = now;
}

void ServerSpeeds::OnFirstEvent(const serving::AttemptView& attempt,
                                Duration after,
                                TimePoint now) {
  Server* server = this->Find(attempt.server);
  if (server != nullptr && attempt.engine && !attempt.resumes) {
    this->services[server->service].lengths.AddPrompt(
        attempt.read_tokens, static_cast<double>(attempt.route.goal.count()),
        now);
  }
  // The time to the first event of a distant server includes the way.
  if (server == nullptr || !attempt.engine || attempt.resumes ||
      attempt.copies_prefix || attempt.distance == Distance::kOtherRegion) {
    return;
  }
  auto& fits = this->services[server->service].first_events;
  if (fits.size() >= kMaxRoutes && !fits.contains(attempt.route.name)) {
    return;
  }
  const LoadPoint load{
      static_cast<double>(attempt.running_seen),
      static_cast<double>(attempt.prefill_seen + attempt.read_tokens)};
  this->AddSample(*server, fits[attempt.route.name], load, ToMs(after), now);
}

void ServerSpeeds::OnEventGaps(const serving::AttemptView& attempt,
                               std::span<const Duration> gaps,
                               TimePoint now) {
  Server* server = this->Find(attempt.server);
  if (server == nullptr || !attempt.engine) {
    return;
  }
  this->services[server->service].lengths.AddEvents(gaps.size(), now);
  if (gaps.size() < kMinGaps) {
    return;
  }
  const auto reading = static_cast<double>(attempt.prefill_now);
  const LoadPoint load{static_cast<double>(attempt.running_now),
                       reading / (reading + kHalfEffectTokens)};
  this->AddSample(*server, this->services[server->service].gaps, load,
                  MedianMs(gaps), now);
}

void ServerSpeeds::OnEnded(const serving::AttemptView& attempt,
                           AttemptOutcome outcome,
                           Duration after,
                           TimePoint now) {
  Server* server = this->Find(attempt.server);
  const bool served = outcome == AttemptOutcome::kServed;
  if (server == nullptr || (!served && !IsFailure(outcome))) {
    return;
  }
  DecayOwn(*server, now);
  server->own.ended += 1;
  server->own.failed += served ? 0 : 1;
  server->last_sample = now;
  const bool stream = attempt.route.kind == serving::RouteKind::kStream;
  if (!served || attempt.engine || stream ||
      attempt.distance == Distance::kOtherRegion) {
    return;
  }
  auto& fits = this->services[server->service].responses;
  if (fits.size() >= kMaxRoutes && !fits.contains(attempt.route.name)) {
    return;
  }
  this->AddSample(*server, fits[attempt.route.name],
                  {static_cast<double>(attempt.running_seen), 0}, ToMs(after),
                  now);
}

}  // namespace boragewharf::servermodel
