/**
 * @file admission_base.cc
 * The queue of waiting requests: entry, order, start and expiry.
 */
#include "admission/admission_base.h"

#include <algorithm>
#include <cmath>
#include <tuple>

#include "base/body_func.h"

namespace boragewharf::admission {
namespace {

/** Share of its objective for which a request may be held in vain. A caller
 * that is refused late has less time left to try elsewhere. */
constexpr int kHoldFraction = 8;

/** Steps of the factor on the expected wait after a request that waited in vain
 * and after one that was started. Nine starts make up for one vain wait, so
 * that about one in ten requests waits in vain. */
constexpr double kVainStep = 1.2;
constexpr double kStartStep = 0.98;
constexpr double kMaxWaitFactor = 32;

}  // namespace

/** The members are compared in their order. */
struct Admission::Rank {
  bool late = false;        ///< Its objective cannot be met any more.
  bool surging = false;     ///< Its customer sends far more than usual.
  bool not_behind = false;  ///< Its kind has got its least share.
  uint32_t urgency = 0;
  bool not_returned = false;  ///< It was not told to return now.
  double used = 0;            ///< What its customer has got lately.
  TimePoint start_by;
  RequestId id = 0;

  auto Key() const {
    return std::tie(this->late, this->surging, this->not_behind, this->urgency,
                    this->not_returned, this->used, this->start_by, this->id);
  }
  bool operator<(const Rank& other) const { return this->Key() < other.Key(); }
};

Admission::Admission(const AdmissionOptions& bounds, uint64_t seed)
    : options(bounds), generator(seed) {}

Admission::ServiceState& Admission::StateOf(const std::string& service) {
  return this->services[service];
}

void Admission::CountArrival(const RequestProfile& request, TimePoint now) {
  this->StateOf(request.service).shares.CountArrival(request);
  if (this->told.contains(request.fingerprint) && now >= request.arrived) {
    this->totals.returned += 1;
  }
}

bool Admission::HasWaiting(std::string_view service) const {
  const auto found = this->services.find(service);
  return found != this->services.end() && !found->second.waiting.empty();
}

void Admission::CountStart(const RequestProfile& request, TimePoint now) {
  this->StateOf(request.service).shares.CountStart(request, now);
}

void Admission::TakeBackStart(const RequestProfile& request, TimePoint now) {
  this->StateOf(request.service).shares.TakeBackStart(request, now);
}

Admission::Rank Admission::RankOf(const ServiceState& state,
                                  const Waiting& waiting,
                                  TimePoint now) const {
  const RequestProfile& request = waiting.request;
  Rank rank;
  rank.late = now > waiting.start_by;
  rank.surging = state.shares.IsSurging(request);
  rank.not_behind = !state.shares.IsBehind(request);
  rank.urgency = request.urgency;
  rank.not_returned = !waiting.returned;
  rank.used = state.shares.UsedBy(request.customer, now);
  rank.start_by = waiting.start_by;
  rank.id = waiting.id;
  return rank;
}

double Admission::SlotsOf(std::string_view service,
                          const ServiceState& state,
                          const ServiceCapacity& capacity,
                          uint32_t more) const {
  const auto need =
      static_cast<uint32_t>(capacity.own_running + state.waiting.size() + more);
  return capacity.limit * this->peers.ShareOf(service, need);
}

std::optional<Duration> Admission::ExpectedWait(
    std::string_view service,
    const ServiceState& state,
    const ServiceCapacity& capacity,
    size_t ahead,
    const RequestProfile& request) const {
  Duration wait{};
  if (capacity.servers == 0) {
    if (!capacity.blocked_for) {
      return std::nullopt;
    }
    wait = *capacity.blocked_for;
  }
  const double slots = this->SlotsOf(service, state, capacity, 1);
  const double open =
      capacity.any_free ? std::max(0.0, slots - capacity.own_running) : 0.0;
  const double behind = static_cast<double>(ahead) + 1 - open;
  if (behind <= 0 || capacity.servers == 0) {
    return wait;
  }
  // By Little's law, one of the node's slots is freed every duration / slots.
  const Duration duration = state.durations.Total(request.objective);
  return wait + Duration(static_cast<Duration::rep>(
                    behind * static_cast<double>(duration.count()) /
                    std::max(slots, 1.0 / 64)));
}

Decision Admission::Offer(RequestId id,
                          const RequestProfile& request,
                          const ServiceCapacity& capacity,
                          TimePoint now) {
  ServiceState& state = this->StateOf(request.service);
  state.shares.Update(now);
  Waiting entry{id, request, now, {}, false};
  if (entry.request.objective <= Duration::zero()) {
    entry.request.objective = request.deadline - request.arrived;
  }
  const TimePoint useful =
      std::min(request.arrived + entry.request.objective, request.deadline);
  entry.start_by = useful - state.durations.Response(request.tokens);
  const auto told_entry = this->told.find(request.fingerprint);
  entry.returned = told_entry != this->told.end() &&
                   told_entry->second.returns != TimePoint{} &&
                   request.arrived >= told_entry->second.told;

  const Rank rank = this->RankOf(state, entry, now);
  size_t ahead = 0;
  const Waiting* last = nullptr;
  Rank last_rank;
  for (const auto& [other_id, other] : state.waiting) {
    const Rank other_rank = this->RankOf(state, other, now);
    ahead += other_rank < rank ? 1 : 0;
    if (last == nullptr || last_rank < other_rank) {
      last = &other;
      last_rank = other_rank;
    }
  }
  Decision decision;
  const auto refuse = [&](RefusalReason reason) {
    decision.refusal = this->MakeRefusal(entry, reason, capacity, now);
    return decision;
  };
  const auto wait = this->ExpectedWait(request.service, state, capacity, ahead,
                                       entry.request);
  if (!wait) {
    return refuse(RefusalReason::kNoServer);
  }
  const Duration likely(static_cast<Duration::rep>(
      static_cast<double>(wait->count()) * WaitFactor(state, request.urgency)));
  if (!this->options.enabled || now + likely > entry.start_by) {
    return refuse(RefusalReason::kTooLate);
  }
  const bool full =
      this->service_of.size() >= this->options.max_waiting ||
      this->waiting_bytes + request.bytes > this->options.max_bytes;
  if (full) {
    const bool yields =
        last != nullptr && rank < last_rank &&
        this->waiting_bytes - last->request.bytes + request.bytes <=
            this->options.max_bytes;
    if (!yields) {
      return refuse(RefusalReason::kQueueFull);
    }
    const Waiting yielding = *last;
    this->Erase(yielding.id);
    decision.displaced.push_back(
        this->MakeRefusal(yielding, RefusalReason::kQueueFull, capacity, now));
  }
  this->waiting_bytes += request.bytes;
  this->service_of.emplace(id, request.service);
  state.waiting.emplace(id, std::move(entry));
  this->totals.waited += 1;
  decision.waits = true;
  return decision;
}

std::optional<RequestId> Admission::Next(std::string_view service,
                                         const ServiceCapacity& capacity,
                                         TimePoint now) {
  const auto found = this->services.find(service);
  if (found == this->services.end() || found->second.waiting.empty() ||
      !capacity.any_free) {
    return std::nullopt;
  }
  ServiceState& state = found->second;
  const double slots = this->SlotsOf(service, state, capacity, 0);
  if (capacity.own_running >= std::floor(slots + state.rounding)) {
    return std::nullopt;
  }
  state.shares.Update(now);
  std::optional<Rank> best;
  for (const auto& [id, waiting] : state.waiting) {
    const Rank rank = this->RankOf(state, waiting, now);
    if (!best || rank < *best) {
      best = rank;
    }
  }
  return best->id;
}

void Admission::Erase(RequestId id) {
  const auto found = this->service_of.find(id);
  if (found == this->service_of.end()) {
    return;
  }
  ServiceState& state = this->StateOf(found->second);
  const auto waiting = state.waiting.find(id);
  this->waiting_bytes -= waiting->second.request.bytes;
  state.waiting.erase(waiting);
  this->service_of.erase(found);
}

void Admission::Start(RequestId id, TimePoint now) {
  const auto found = this->service_of.find(id);
  if (found == this->service_of.end()) {
    return;
  }
  ServiceState& state = this->StateOf(found->second);
  const Waiting& waiting = state.waiting.at(id);
  state.shares.CountStart(waiting.request, now);
  LearnWait(state, waiting.request.urgency, now > waiting.start_by);
  this->totals.started += 1;
  this->Erase(id);
}

void Admission::Remove(RequestId id) {
  this->Erase(id);
}

void Admission::Clear() {
  for (auto& [name, state] : this->services) {
    state.waiting.clear();
  }
  this->service_of.clear();
  this->waiting_bytes = 0;
}

Refusal Admission::RefuseNow(const RequestProfile& request,
                             RefusalReason reason,
                             const ServiceCapacity& capacity,
                             TimePoint now) {
  return this->MakeRefusal({0, request, now, {}, false}, reason, capacity, now);
}

Refusal Admission::Refuse(RequestId id,
                          RefusalReason reason,
                          const ServiceCapacity& capacity,
                          TimePoint now) {
  const auto found = this->service_of.find(id);
  if (found == this->service_of.end()) {
    return {id, reason, {}, {}};
  }
  const Waiting waiting = this->StateOf(found->second).waiting.at(id);
  this->Erase(id);
  return this->MakeRefusal(waiting, reason, capacity, now);
}

std::vector<Refusal> Admission::TakeExpired(std::string_view service,
                                            const ServiceCapacity& capacity,
                                            TimePoint now) {
  std::vector<Refusal> refusals;
  const auto found = this->services.find(service);
  if (found == this->services.end() || found->second.waiting.empty()) {
    return refusals;
  }
  ServiceState& state = found->second;
  state.shares.Update(now);
  std::vector<Rank> order;
  order.reserve(state.waiting.size());
  for (const auto& [id, waiting] : state.waiting) {
    order.push_back(this->RankOf(state, waiting, now));
  }
  std::sort(order.begin(), order.end());
  std::vector<std::pair<Waiting, RefusalReason>> expired;
  size_t ahead = 0;
  for (const Rank& rank : order) {
    const Waiting& waiting = state.waiting.at(rank.id);
    if (now >= waiting.request.deadline) {
      expired.emplace_back(waiting, RefusalReason::kDeadline);
      continue;
    }
    const auto wait =
        this->ExpectedWait(service, state, capacity, ahead, waiting.request);
    const bool in_time = wait && now + *wait <= waiting.start_by;
    const bool held =
        now - waiting.since >= waiting.request.objective / kHoldFraction;
    if (!in_time && held) {
      expired.emplace_back(
          waiting, wait ? RefusalReason::kTooLate : RefusalReason::kNoServer);
      continue;
    }
    ahead += 1;
  }
  for (const auto& [waiting, reason] : expired) {
    this->Erase(waiting.id);
    LearnWait(state, waiting.request.urgency, true);
  }
  for (const auto& [waiting, reason] : expired) {
    refusals.push_back(this->MakeRefusal(waiting, reason, capacity, now));
  }
  return refusals;
}

double Admission::WaitFactor(const ServiceState& state, uint32_t urgency) {
  const auto found = state.wait_factors.find(urgency);
  return found == state.wait_factors.end() ? 1 : found->second;
}

void Admission::LearnWait(ServiceState& state, uint32_t urgency, bool in_vain) {
  double& factor = state.wait_factors.try_emplace(urgency, 1.0).first->second;
  factor = std::clamp(factor * (in_vain ? kVainStep : kStartStep), 1.0,
                      kMaxWaitFactor);
}

std::vector<std::string> Admission::WaitingServices() const {
  std::vector<std::string> names;
  for (const auto& [name, state] : this->services) {
    if (!state.waiting.empty()) {
      names.push_back(name);
    }
  }
  return names;
}

void Admission::SetRunning(const std::string& service, uint32_t running) {
  this->StateOf(service).running = running;
}

void Admission::OnFirstEvent(const serving::AttemptView& attempt,
                             Duration after,
                             TimePoint) {
  if (attempt.resumes) {
    return;
  }
  this->StateOf(attempt.server.service)
      .durations.AddResponse(attempt.read_tokens, after);
}

void Admission::OnEventGaps(const serving::AttemptView&,
                            std::span<const Duration>,
                            TimePoint) {}

void Admission::OnEnded(const serving::AttemptView& attempt,
                        serving::AttemptOutcome outcome,
                        Duration after,
                        TimePoint now) {
  if (outcome == serving::AttemptOutcome::kRejected) {
    this->limits.RecordRejection(serving::HashName(attempt.server.id),
                                 attempt.running_seen, now);
    return;
  }
  if (outcome != serving::AttemptOutcome::kServed) {
    return;
  }
  AttemptDurations& durations = this->StateOf(attempt.server.service).durations;
  durations.AddTotal(after);
  if (attempt.route.kind != serving::RouteKind::kStream) {
    durations.AddResponse(attempt.read_tokens, after);
  }
}

}  // namespace boragewharf::admission
