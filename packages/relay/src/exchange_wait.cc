/**
 * @file exchange_wait.cc
 * Waiting of a request for a server, and its refusal for lack of servers.
 */
#include <algorithm>

#include "admission/admission_base.h"
#include "exchange_base.h"

namespace boragewharf::relay {

using serving::Milliseconds;

void Exchange::MakeProfile() {
  this->profile.service = this->service_name;
  this->profile.urgency = this->route->priority;
  if (this->customer != nullptr) {
    this->profile.customer = this->customer->name;
    this->profile.urgency =
        this->customer->priority.value_or(this->route->priority);
  }
  const bool engine = this->service != nullptr && this->service->engine;
  this->profile.tokens = engine ? this->request.facts.prompt_tokens : 0;
  this->profile.bytes = this->body->size() + sizeof(Exchange);
  this->profile.fingerprint = this->fingerprint;
  this->profile.arrived = this->arrived;
  this->profile.objective = this->route->goal;
  this->profile.deadline = this->EffectiveDeadline();
}

void Exchange::TakeBackStart() {
  if (this->counts_as_started) {
    this->counts_as_started = false;
    this->core.admission->TakeBackStart(this->profile, BootClock::now());
  }
}

void Exchange::WaitForServer(bool tried) {
  const auto self = this->shared_from_this();
  const TimePoint now = BootClock::now();
  this->TakeBackStart();
  this->profile.deadline = this->EffectiveDeadline();
  admission::ServiceCapacity capacity =
      this->core.CapacityOf(this->service_name, now);
  capacity.any_free = capacity.any_free && !tried;
  const admission::RequestId id = ++this->core.last_waiting_id;
  const admission::Decision decision =
      this->core.admission->Offer(id, this->profile, capacity, now);
  if (!decision.waits) {
    this->RefuseForCapacity(decision.refusal);
    return;
  }
  this->waiting_id = id;
  this->waiting_since = now;
  this->core.waiting_for_server.emplace(id, self);
  this->core.EndRefused(decision.displaced);
  if (!tried) {
    this->core.StartAdmitted(this->service_name);
  }
}

Exchange::QueueStart Exchange::StartFromQueue() {
  const auto self = this->shared_from_this();
  const TimePoint now = BootClock::now();
  if (this->CancelIfClientGone() || !this->CheckPlannedStop()) {
    return QueueStart::kEnded;
  }
  if (this->CrashesServers(now)) {
    const auto wait = this->PartsBlockedFor(now);
    this->Refuse(503,
                 wait ? std::optional(std::chrono::ceil<Milliseconds>(*wait))
                      : std::nullopt,
                 "crashes_servers");
    return QueueStart::kEnded;
  }
  // Servers at which it failed before have had time to recover.
  this->excluded_servers = this->core.ServersAtLimit(this->service_name, now);
  this->counts_as_started = true;  // Admission::Start() counts it.
  const SendResult result = this->TryServer(this->sends > 0);
  this->excluded_servers.clear();
  if (result == SendResult::kSent) {
    this->waited += now - this->waiting_since;
    this->core.admission->Start(*this->waiting_id, now);
    this->core.waiting_for_server.erase(*this->waiting_id);
    this->waiting_id.reset();
    return QueueStart::kSent;
  }
  this->counts_as_started = false;
  if (result == SendResult::kNoServer) {
    return QueueStart::kNoServer;
  }
  this->RefuseForCapacity(this->core.admission->Refuse(
      *this->waiting_id, admission::RefusalReason::kTooLate,
      this->core.CapacityOf(this->service_name, now), now));
  return QueueStart::kEnded;
}

void Exchange::RefuseForCapacity(const admission::Refusal& refusal) {
  TrafficCore::Demand& demand = this->core.demand[this->service_name];
  if (this->sends == 0) {
    demand.refused += 1;
    demand.tokens_in_period += this->request.facts.prompt_tokens;
  }
  const TimePoint now = BootClock::now();
  std::string_view reason = admission::RefusalReasonName(refusal.reason);
  if (refusal.reason == admission::RefusalReason::kTooLate &&
      this->core.pool.TimeUntilCandidate(this->service_name, now)) {
    reason = "servers_want_no_requests";
  }
  const bool stops = refusal.reason == admission::RefusalReason::kDeadline &&
                     now < this->Deadline();
  this->core.counters
      .Get("admission_refusals_total",
           "reason=\"" + std::string(reason) + "\",customer=\"" +
               this->profile.customer + "\",route=\"" + this->route->name +
               "\"")
      .Add();
  const auto retry_after = std::chrono::ceil<Milliseconds>(refusal.retry_after);
  this->Refuse(503,
               retry_after > Milliseconds::zero() ? std::optional(retry_after)
                                                  : std::nullopt,
               stops ? "leaving" : reason);
}

void Exchange::RefuseAfterAttempt(std::string_view reason) {
  this->TakeBackStart();
  const TimePoint now = BootClock::now();
  const admission::Refusal refusal = this->core.admission->RefuseNow(
      this->profile, admission::RefusalReason::kTooLate,
      this->core.CapacityOf(this->service_name, now), now);
  this->Refuse(503, std::chrono::ceil<Milliseconds>(refusal.retry_after),
               reason);
}

void Exchange::CheckWaitingTime(TimePoint now) {
  const auto self = this->shared_from_this();
  if (now >= this->EffectiveDeadline()) {
    this->Refuse(503, std::nullopt,
                 now < this->Deadline() ? "leaving" : "timeout");
    return;
  }
  this->CheckPlannedStop();
}

}  // namespace boragewharf::relay
