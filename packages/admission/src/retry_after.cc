/**
 * @file retry_after.cc
 * Refusals and their Retry-After, periodic work, and the messages to other
 * nodes.
 */
#include <algorithm>
#include <cmath>

#include "admission/admission_base.h"
#include "base/body_func.h"

namespace boragewharf::admission {
namespace {

/** Clients honour a Retry-After up to this part of their remaining time. */
constexpr int kRetryFraction = 3;

/** Part of the capacity that is promised to clients that were refused; new
 * requests get the rest. */
constexpr double kReturnShare = 0.5;

/** Least Retry-After; slots are given out at least this often. */
constexpr std::chrono::milliseconds kMinRetryAfter(20);

/** Retry-After while a service has no server and none is expected. */
constexpr std::chrono::milliseconds kRetryAfterNoServer(1000);

/** Time for which it is remembered that a client was refused; longer than any
 * Retry-After of a request with a deadline of 15 s. */
constexpr std::chrono::seconds kToldTime(5);

/** Most refused clients that are remembered. */
constexpr size_t kMaxTold = 8192;

}  // namespace

void Admission::Remember(uint64_t fingerprint,
                         TimePoint returns,
                         TimePoint now) {
  this->told[fingerprint] = {now, returns};
  this->told_order.emplace_back(now, fingerprint);
  while (this->told_order.size() > kMaxTold ||
         (!this->told_order.empty() &&
          now - this->told_order.front().first > kToldTime)) {
    const auto [at, oldest] = this->told_order.front();
    this->told_order.pop_front();
    const auto found = this->told.find(oldest);
    if (found != this->told.end() && found->second.told <= at) {
      this->told.erase(found);
    }
  }
}

Duration Admission::RetryAfter(ServiceState& state,
                               const RequestProfile& request,
                               const ServiceCapacity& capacity,
                               TimePoint now) {
  if (capacity.servers == 0 && capacity.blocked_for) {
    return *capacity.blocked_for;  // As the servers have said.
  }
  const Duration most = std::chrono::floor<std::chrono::milliseconds>(
      std::max(Duration::zero(), (request.deadline - now) / kRetryFraction));
  const auto wait = this->ExpectedWait(request.service, state, capacity,
                                       state.waiting.size(), request);
  if (!wait) {
    return std::min<Duration>(kRetryAfterNoServer, most);
  }
  TimePoint returns = now + std::max<Duration>(*wait, kMinRetryAfter);
  for (const auto& [urgency, next] : state.next_return) {
    if (urgency <= request.urgency) {
      returns = std::max(returns, next);
    }
  }
  if (returns - now <= most) {
    const double slots =
        std::max(this->SlotsOf(request.service, state, capacity, 1), 1.0 / 64);
    const Duration duration = state.durations.Total(request.objective);
    state.next_return[request.urgency] =
        returns +
        Duration(static_cast<Duration::rep>(
            static_cast<double>(duration.count()) / (slots * kReturnShare)));
    this->Remember(request.fingerprint, returns, now);
    return returns - now;
  }
  // No capacity is expected in time. The retries are spread so that they don't
  // come at once if some becomes free nevertheless.
  std::uniform_real_distribution<double> part(0.5, 1.0);
  this->Remember(request.fingerprint, TimePoint{}, now);
  if (!this->options.invites_without_slot) {
    return Duration::zero();
  }
  return Duration(static_cast<Duration::rep>(static_cast<double>(most.count()) *
                                             part(this->generator)));
}

Refusal Admission::MakeRefusal(const Waiting& waiting,
                               RefusalReason reason,
                               const ServiceCapacity& capacity,
                               TimePoint now) {
  ServiceState& state = this->StateOf(waiting.request.service);
  state.shares.CountRefusal(waiting.request, now);
  state.refused_in_period = true;
  this->totals.refused += 1;
  const auto known = this->told.find(waiting.request.fingerprint);
  if (known != this->told.end() &&
      waiting.request.arrived >= known->second.told) {
    this->totals.refused_again += 1;
  }
  return {waiting.id, reason,
          this->RetryAfter(state, waiting.request, capacity, now),
          now - waiting.since};
}

void Admission::CheckTime(TimePoint now) {
  std::uniform_real_distribution<double> uniform(0.0, 1.0);
  for (auto& [name, state] : this->services) {
    state.rounding = uniform(this->generator);
  }
  if (now - this->period_began < FairShares::kPeriod) {
    return;
  }
  const std::chrono::duration<double> passed = now - this->period_began;
  const bool first = this->period_began == TimePoint{};
  this->period_began = now;
  this->limits.Expire(now);
  for (auto& [name, state] : this->services) {
    const bool overloaded = state.refused_in_period || !state.waiting.empty();
    state.refused_in_period = false;
    state.shares.EndPeriod(passed.count(), overloaded || first);
    std::erase_if(state.next_return,
                  [&](const auto& entry) { return entry.second < now; });
  }
}

void Admission::AppendExtensions(
    std::vector<serving::PeerExtension>& extensions,
    TimePoint) {
  ServiceRoom room;
  for (const auto& [name, state] : this->services) {
    if (state.running == 0 && state.waiting.empty()) {
      continue;
    }
    ServiceNeed need;
    need.service = serving::HashName(name);
    need.running = state.running;
    need.waiting = static_cast<uint32_t>(state.waiting.size());
    uint64_t tokens = 0;
    uint32_t urgency = std::numeric_limits<uint8_t>::max();
    for (const auto& [id, waiting] : state.waiting) {
      tokens += waiting.request.tokens;
      urgency = std::min(urgency, waiting.request.urgency);
    }
    need.tokens = static_cast<uint32_t>(
        std::min<uint64_t>(tokens, std::numeric_limits<uint32_t>::max()));
    need.urgency = static_cast<uint8_t>(urgency);
    room.needs.push_back(need);
  }
  const auto size = [](const ServiceNeed& need) {
    return uint64_t{need.running} + need.waiting;
  };
  std::ranges::sort(room.needs, std::ranges::greater(), size);
  room.needs.resize(std::min(room.needs.size(), kMaxServices));
  extensions.push_back(
      {static_cast<uint16_t>(serving::ExtensionKind::kServiceRoom),
       EncodeBody(room), serving::ExtensionScope::kSameRegion});
}

void Admission::MergePeers(const serving::PeerSummary& summary, TimePoint now) {
  for (const serving::ReceivedExtension& extension : summary.extensions) {
    if (extension.kind !=
        static_cast<uint16_t>(serving::ExtensionKind::kServiceRoom)) {
      continue;
    }
    if (!this->peers.Merge(extension)) {
      this->totals.invalid_messages += 1;
    }
  }
  this->peers.SetNodes(summary.nodes, now);
}

}  // namespace boragewharf::admission
