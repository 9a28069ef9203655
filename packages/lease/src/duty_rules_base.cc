/**
 * @file duty_rules_base.cc
 * Who may write the lease of a duty, and with which record.
 */
#include "duty_rules_base.h"

#include <algorithm>

namespace boragewharf::lease {
namespace {

/** Era of a store that has never come back from a copy, if it has eras. */
constexpr uint64_t kFirstEra = 1;

/** Bits of a fencing number below the era; they hold a revision. */
constexpr uint32_t kEraShift = 32;

}  // namespace

bool DutyRules::IsRecordedHolder() const {
  return this->duty.seen && this->duty.seen->version &&
         this->duty.seen->record.holder == this->state.self &&
         !this->duty.seen->record.released && !this->IsVoid();
}

bool DutyRules::IsVoid() const {
  return this->duty.seen->version &&
         this->duty.seen->record.era != this->duty.seen->era;
}

bool DutyRules::NeverHeld() const {
  return !this->duty.seen->version && this->duty.highest.value == 0 &&
         this->state.first_start && !this->duty.seen_earlier_era &&
         this->duty.seen->era <= kFirstEra;
}

bool DutyRules::MayWriteAgain() const {
  if (!this->duty.wanted || !this->duty.held_lease ||
      this->now >= this->duty.held_lease->expires) {
    return false;
  }
  return this->duty.seen->version ? this->IsVoid() && !this->IsSuperseded()
                                  : this->duty.seen->era > 0;
}

bool DutyRules::IsSuperseded() const {
  const LeaseRecord& record = this->duty.seen->record;
  if (this->IsRecordedHolder() ||
      record.fencing < this->duty.held_lease->fencing) {
    return false;
  }
  if (!this->IsVoid()) {
    return true;
  }
  return record.era == 0 && record.holder != this->state.self;
}

bool DutyRules::HolderProcessEnded() const {
  const LeaseRecord& record = this->duty.seen->record;
  return this->duty.seen->version && !this->IsVoid() &&
         !this->state.instance.empty() &&
         record.instance == this->state.instance &&
         record.holder != this->state.self;
}

bool DutyRules::CanWrite() const {
  if (this->IsRecordedHolder() || this->MayWriteAgain()) {
    return true;
  }
  if (this->NeverHeld()) {
    return this->duty.wanted;
  }
  return this->duty.wanted &&
         (this->HolderProcessEnded() || this->now >= this->AvailableFrom());
}

TimePoint DutyRules::AvailableFrom() const {
  const Observation& seen = *this->duty.seen;
  if (!seen.record.released || this->IsVoid()) {
    return seen.first_seen + this->state.timing.lease_time;
  }
  Duration excluded_for{};
  for (const FormerHolder& former : seen.record.former) {
    if (former.instance == this->state.instance ||
        (former.instance == kAnyInstance &&
         seen.record.instance != this->state.instance)) {
      excluded_for = std::max(excluded_for, former.excluded_for);
    }
  }
  return seen.first_seen + excluded_for;
}

std::map<std::string, TimePoint> DutyRules::CollectFormerHolders(
    bool continues) const {
  const Observation& seen = *this->duty.seen;
  const LeaseTiming& timing = this->state.timing;
  std::map<std::string, TimePoint> former;
  const auto add_if_recent = [&](const std::string& instance, TimePoint until) {
    if (until > this->now && !instance.empty() &&
        instance != this->state.instance) {
      TimePoint& latest = former.try_emplace(instance, until).first->second;
      latest = std::max(latest, until);
    }
  };
  for (const FormerHolder& holder : seen.record.former) {
    add_if_recent(holder.instance, seen.first_seen + holder.excluded_for);
  }
  if (!this->IsRecordedHolder()) {
    const TimePoint ended =
        seen.record.released && !this->IsVoid()
            ? seen.first_seen
            : seen.first_seen + timing.lease_time - timing.expiry_margin;
    add_if_recent(seen.record.instance, ended + timing.lease_time);
  }
  if (continues) {
    for (const auto& [instance, until] : this->duty.excluded) {
      add_if_recent(instance, until);
    }
  } else if (seen.era > 0 && !this->NeverHeld() &&
             (this->IsVoid() || !seen.version)) {
    // Whoever held the duty in the lost history has stopped by now.
    add_if_recent(kAnyInstance, this->now + timing.lease_time);
  }
  return former;
}

FencingNumber DutyRules::NextFencing() const {
  const Observation& seen = *this->duty.seen;
  uint64_t next = std::max(seen.record.fencing, this->duty.highest).value + 1;
  if (seen.era > 0) {
    next = std::max(next, (seen.era << kEraShift) + seen.revision + 1);
  }
  return FencingNumber{next};
}

}  // namespace boragewharf::lease
