/**
 * @file exchange_crash.cc
 * Requests and prompt parts that crash servers.
 */
#include "exchange_base.h"

namespace boragewharf::relay {

using serving::Milliseconds;

bool Exchange::CheckCrashes() {
  this->fingerprint = serving::RequestFingerprint(
      this->customer == nullptr ? "" : this->customer->name,
      this->request.target, *this->body);
  this->shared_parts = serving::SharedPartIds(this->request.facts);
  if (!this->CrashesServers(this->arrived)) {
    return true;
  }
  const auto wait = this->PartsBlockedFor(this->arrived);
  this->Refuse(503,
               wait ? std::optional(std::chrono::ceil<Milliseconds>(*wait))
                    : std::nullopt,
               "crashes_servers");
  return false;
}

std::optional<Duration> Exchange::PartsBlockedFor(TimePoint now) const {
  return this->core.crash_attribution.BlockedFor(
      serving::HashName(this->service_name), this->shared_parts, now);
}

bool Exchange::CrashesServers(TimePoint now) const {
  return this->core.suspects.IsBlocked(this->fingerprint, now) ||
         this->PartsBlockedFor(now);
}

void Exchange::ExonerateParts(TimePoint now) {
  if (this->parts_exonerated) {
    return;
  }
  this->parts_exonerated = true;
  this->core.LogUnblocked(this->core.crash_attribution.RecordSuccess(
      serving::HashName(this->service_name), this->shared_parts, now));
}

void Exchange::AbandonIfBlocked() {
  if (this->done || !this->attempt || this->attempt->first_event ||
      this->answer_started || !this->PartsBlockedFor(BootClock::now())) {
    return;
  }
  const bool may_run = this->attempt->sent || this->may_have_run;
  this->Refuse(may_run ? 502 : 503, std::nullopt, "crashes_servers");
}

}  // namespace boragewharf::relay
