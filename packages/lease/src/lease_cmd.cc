/**
 * @file lease_cmd.cc
 * Acquisition, renewal, release and loss of duty leases.
 *
 * Mutual exclusion: a write makes its holder's lease valid until lease_time
 * after a moment just before the write was sent. A successor writes no earlier
 * than lease_time after it first saw the version of that write, which is later
 * on any clock that runs at the same rate. Its write is conditional, so it
 * succeeds only if the holder has not written since. The protocol uses neither
 * wall clocks nor clock offsets between members. A member that finds the record
 * of an earlier process of its own instance need not wait: an instance runs one
 * process at a time, so that process has ended.
 *
 * Holders do not alternate: a released lease can be taken over at once, except
 * by an instance that the record lists as a former holder. Such an instance
 * waits until lease_time has passed since it can last have acted. The record
 * stores remaining durations instead of times. Each holder reduces them by the
 * time since it first saw them on its own clock, so never by too much.
 *
 * Eras: a store that comes back from a copy has lost its latest acknowledged
 * writes, and an object that it has may be from before them, or from a write
 * that was sent in an earlier era and executed late. Such a record is void: it
 * carries another era than the answer. Whoever held the duty in the lost
 * history confirmed its last write before the store came back, so its lease has
 * expired lease_time after anybody first saw the new era. Until then only that
 * holder may write, with its fencing number. A write is confirmed only in the
 * era that its record carries. New fencing numbers consist of the era and the
 * revision that the write replaces, so they rise without any memory of earlier
 * ones.
 */
#include "lease/lease_cmd.h"

#include <algorithm>
#include <utility>

#include "duty_rules_base.h"

namespace boragewharf::lease {

namespace {

constexpr uint32_t kMaxDoublings = 8;
constexpr double kJitterFloor = 0.5;

template <class... Handlers>
struct Overloaded : Handlers... {
  using Handlers::operator()...;
};
template <class... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

/** Applies events to the state of one duty. */
class DutyReducer {
 public:
  DutyReducer(LeaseState& lease_state,
              const std::string& duty_name,
              Duty& duty_entry,
              TimePoint time,
              std::vector<LeaseEffect>& out)
      : state(lease_state),
        name(duty_name),
        duty(duty_entry),
        now(time),
        effects(out),
        rules(lease_state, duty_entry, time) {}

  void SetWanted(bool wanted) {
    if (this->duty.wanted == wanted) {
      return;
    }
    this->duty.wanted = wanted;
    this->duty.next_call = this->now;
    if (!wanted && this->duty.held_lease) {
      // Drop the lease before the release is written, so that no permit is
      // issued in between.
      this->ReportLoss(ResultCode::kOk);
      this->duty.held_lease.reset();
    }
  }

  void OnRead(const LeaseRead& read) {
    if (this->IsOutdated(read.era)) {
      this->EndCall(ResultCode::kStoreUnavailable);
      this->BackOff();
      return;
    }
    this->EndCall(ResultCode::kOk);
    this->RecordObservation(
        {read.version, read.record, this->now, read.era, read.revision});
    this->ResolvePending(read.version);
    this->DropLeaseIfSuperseded();
    this->ScheduleNext();
  }

  void OnReadFailed(const LeaseReadFailed& failed) {
    this->EndCall(failed.code);
    if (failed.code != ResultCode::kStoreNotFound ||
        this->IsOutdated(failed.era)) {
      this->BackOff();
      return;
    }
    this->RecordObservation({std::nullopt, {}, this->now, failed.era});
    this->duty.pending.reset();
    this->ScheduleNext();
  }

  void OnWritten(const LeaseWritten& written) {
    this->EndCall(ResultCode::kOk);
    if (!this->duty.pending) {
      return;
    }
    const PendingWrite pending =
        *std::exchange(this->duty.pending, std::nullopt);
    if (this->IsOutdated(written.era) || written.era != pending.record.era) {
      this->duty.seen.reset();  // Read what the store has now.
      this->duty.next_call = this->now;
      return;
    }
    this->RecordObservation({written.version, pending.record, this->now,
                             written.era, written.revision});
    this->ConfirmWrite(pending);
    this->ScheduleNext();
  }

  void OnWriteFailed(ResultCode code) {
    this->EndCall(code);
    if (code == ResultCode::kStoreUnknown && this->duty.pending) {
      this->duty.pending->unknown = true;
    } else {
      this->duty.pending.reset();
    }
    if (code == ResultCode::kStoreConflict ||
        code == ResultCode::kStoreNotFound) {
      // The last seen version is outdated; the next call reads the object
      // again.
      this->duty.seen.reset();
    }
    this->BackOff();
  }

  void OnStoreRegained(const StoreRegained& regained) {
    if (this->duty.call_in_flight) {
      this->duty.regained_in_call = true;
      return;
    }
    const bool era_risen = regained.era > this->duty.era;
    if (era_risen) {
      this->duty.seen.reset();  // Read what the store has now.
    }
    if (era_risen || this->duty.failures > 0) {
      this->CallEarly();
    }
  }

  /** Reports an expired lease, and starts the next call if it is due. */
  void Advance() {
    if (this->duty.held_lease && this->now >= this->duty.held_lease->expires) {
      this->ReportLoss(ResultCode::kLeaseLost);
    }
    if (this->duty.call_in_flight || this->now < this->duty.next_call ||
        !this->NeedsCall()) {
      return;
    }
    const bool needs_read_back = this->duty.pending.has_value();
    if (!needs_read_back && this->duty.seen && this->rules.CanWrite()) {
      this->SendWrite();
      return;
    }
    this->duty.call_in_flight = true;
    this->effects.emplace_back(ReadLease{this->name});
  }

 private:
  /** Whether the duty needs calls to the store. One that is no longer wanted
   * does until its release is written. */
  bool NeedsCall() const {
    return this->duty.wanted || this->duty.pending ||
           this->rules.IsRecordedHolder() ||
           (!this->duty.seen && this->duty.highest.value > 0);
  }

  /** Whether the store has come back since @p era. */
  bool IsOutdated(uint64_t era) const { return era < this->duty.era; }

  void SendWrite() {
    const Observation& seen = *this->duty.seen;
    const bool again = this->rules.MayWriteAgain();
    const bool continues = again || this->rules.IsRecordedHolder();
    LeaseRecord record;
    record.holder = this->state.self;
    record.write = ++this->state.last_write;
    record.released = !this->duty.wanted;
    record.instance = this->state.instance;
    record.era = seen.era;
    if (again) {
      record.fencing = this->duty.held_lease->fencing;
    } else {
      record.fencing =
          continues ? seen.record.fencing : this->rules.NextFencing();
    }
    this->duty.excluded = this->rules.CollectFormerHolders(continues);
    for (const auto& [instance, until] : this->duty.excluded) {
      // Round to the unit of the JSON text, so that the record compares equal
      // when it is read back.
      record.former.push_back(
          {instance,
           std::chrono::ceil<std::chrono::milliseconds>(until - this->now)});
    }
    this->duty.pending = PendingWrite{record, this->now};
    this->duty.pending->first = this->rules.NeverHeld();
    if (seen.version) {
      this->duty.pending->replaced = seen.record;
    }
    this->duty.call_in_flight = true;
    this->effects.emplace_back(WriteLease{this->name, seen.version, record});
  }

  void EndCall(ResultCode code) {
    this->duty.call_in_flight = false;
    this->duty.last_code = code;
    // A conflict or a missing object is an answer of a store that works.
    if (code == ResultCode::kOk || code == ResultCode::kStoreNotFound ||
        code == ResultCode::kStoreConflict) {
      this->duty.failures = 0;
      this->duty.regained_in_call = false;
    }
  }

  void RecordObservation(Observation observed) {
    if (observed.era > this->duty.era) {
      this->duty.seen_earlier_era = this->duty.answered;
      this->duty.era = observed.era;
    }
    this->duty.answered = true;
    this->duty.highest = std::max(this->duty.highest, observed.record.fencing);
    const bool unchanged = this->duty.seen &&
                           this->duty.seen->version == observed.version &&
                           this->duty.seen->era == observed.era;
    if (!unchanged) {
      this->duty.seen = std::move(observed);
    }
  }

  /**
   * Determines the outcome of a write whose response was lost by comparing it
   * with the object that was read back. If the write has not taken effect, it
   * may still arrive later. It then either fails the version check, or a later
   * read finds a record of this member, which is renewed as usual.
   */
  void ResolvePending(const ObjectVersion& version) {
    if (!this->duty.pending) {
      return;
    }
    const PendingWrite pending =
        *std::exchange(this->duty.pending, std::nullopt);
    if (this->duty.seen->version == version &&
        this->duty.seen->record == pending.record && !this->rules.IsVoid()) {
      this->ConfirmWrite(pending);
    }
  }

  /** Updates the held lease after a write that has taken effect. */
  void ConfirmWrite(const PendingWrite& write) {
    if (write.first) {
      this->duty.first_fencing = write.record.fencing;
    }
    if (write.record.released || !this->duty.wanted) {
      return;
    }
    const TimePoint expires = write.sent_at + this->state.timing.lease_time -
                              this->state.timing.expiry_margin;
    const bool continued =
        this->duty.held_lease &&
        this->duty.held_lease->fencing == write.record.fencing;
    if (continued) {
      this->duty.held_lease->expires = expires;
    } else {
      // Without an earlier holder, no orders can be outstanding.
      const bool first = write.record.fencing == this->duty.first_fencing;
      this->duty.held_lease =
          HeldLease{write.record.fencing, expires,
                    first ? write.sent_at
                          : write.sent_at + this->state.timing.order_lifetime,
                    first};
    }
    if (this->now < expires && !this->duty.reported_held) {
      this->duty.reported_held = true;
      this->effects.emplace_back(DutyChanged{this->name, write.record.fencing,
                                             true, ResultCode::kOk,
                                             write.replaced, write.record.era});
    }
  }

  /** Drops the held lease if the object names another holder. */
  void DropLeaseIfSuperseded() {
    if (!this->duty.held_lease || !this->rules.IsSuperseded()) {
      return;
    }
    this->ReportLoss(ResultCode::kLeaseLost);
    this->duty.held_lease.reset();
  }

  /** Reports that the duty was lost, once for each gain.
   * @pre There is a held lease, possibly expired. */
  void ReportLoss(ResultCode code) {
    if (!this->duty.reported_held) {
      return;
    }
    this->duty.reported_held = false;
    this->effects.emplace_back(
        DutyChanged{this->name, this->duty.held_lease->fencing, false, code});
  }

  /** Random duration up to @p longest, so that members do not call at the same
   * time. */
  Duration Jitter(Duration longest) {
    std::uniform_real_distribution<double> share(kJitterFloor, 1.0);
    return std::chrono::duration_cast<Duration>(longest *
                                                share(this->state.generator));
  }

  /** Delays the next call after a failure. */
  void BackOff() {
    const uint32_t doublings = std::min(this->duty.failures, kMaxDoublings);
    ++this->duty.failures;
    const Duration longest =
        std::min(kBackoffFirst * (1 << doublings), kBackoffLongest);
    this->duty.next_call = this->now + this->Jitter(longest);
    const bool regained = std::exchange(this->duty.regained_in_call, false);
    // A store that refuses calls beyond its rate would be called even more.
    if (regained && this->duty.last_code != ResultCode::kStoreBusy) {
      this->CallEarly();
    }
  }

  /** Moves the next call to a random time soon after now, or after
   * kRegainedPeriod if that has been done shortly before. */
  void CallEarly() {
    const TimePoint from = std::max(this->now, this->duty.next_regained);
    std::uniform_int_distribution<int64_t> spread(0, kRegainedSpread.count());
    const TimePoint call = from + Duration(spread(this->state.generator));
    if (call < this->duty.next_call) {
      this->duty.next_call = call;
      this->duty.next_regained = from + kRegainedPeriod;
    }
  }

  /** Sets the time of the next call after a successful one. */
  void ScheduleNext() {
    const bool holds =
        this->duty.held_lease && this->now < this->duty.held_lease->expires;
    if (holds && this->rules.IsRecordedHolder()) {
      // Counted from the sending of the last renewal, as the lease is; a slow
      // response leaves less time for the next one.
      const TimePoint sent_at = this->duty.held_lease->expires +
                                this->state.timing.expiry_margin -
                                this->state.timing.lease_time;
      this->duty.next_call = std::max(
          this->now, sent_at + this->Jitter(this->state.timing.renew_period));
      return;
    }
    if (this->rules.IsRecordedHolder() || this->rules.NeverHeld() ||
        this->rules.MayWriteAgain() || this->rules.HolderProcessEnded()) {
      this->duty.next_call = this->now;
      return;
    }
    const TimePoint available_from = this->rules.AvailableFrom();
    const TimePoint next_poll =
        this->now + this->Jitter(this->state.timing.watch_period);
    this->duty.next_call = available_from > this->now
                               ? std::min(available_from, next_poll)
                               : this->now;
  }

  LeaseState& state;
  const std::string& name;
  Duty& duty;
  const TimePoint now;
  std::vector<LeaseEffect>& effects;
  const DutyRules rules;
};

}  // namespace

void Reduce(LeaseState& state,
            const LeaseEvent& event,
            TimePoint now,
            std::vector<LeaseEffect>& effects) {
  const auto apply_to_duty = [&](const std::string& name, const auto& apply) {
    const auto entry = state.duties.find(name);
    if (entry == state.duties.end()) {
      return;
    }
    DutyReducer reducer(state, entry->first, entry->second, now, effects);
    apply(reducer);
  };
  std::visit(Overloaded{
                 [&](const DutyWanted& wanted) {
                   state.duties.try_emplace(wanted.duty);
                   apply_to_duty(wanted.duty, [&wanted](DutyReducer& reducer) {
                     reducer.SetWanted(wanted.wanted);
                   });
                 },
                 [&](const LeaseRead& read) {
                   apply_to_duty(read.duty, [&read](DutyReducer& reducer) {
                     reducer.OnRead(read);
                   });
                 },
                 [&](const LeaseReadFailed& failed) {
                   apply_to_duty(failed.duty, [&failed](DutyReducer& reducer) {
                     reducer.OnReadFailed(failed);
                   });
                 },
                 [&](const LeaseWritten& written) {
                   apply_to_duty(written.duty,
                                 [&written](DutyReducer& reducer) {
                                   reducer.OnWritten(written);
                                 });
                 },
                 [&](const LeaseWriteFailed& failed) {
                   apply_to_duty(failed.duty, [&failed](DutyReducer& reducer) {
                     reducer.OnWriteFailed(failed.code);
                   });
                 },
                 [&](const StoreRegained& regained) {
                   for (auto& [name, duty] : state.duties) {
                     DutyReducer(state, name, duty, now, effects)
                         .OnStoreRegained(regained);
                   }
                 },
                 [](const Tick&) {},
             },
             event);
  for (auto& [name, duty] : state.duties) {
    DutyReducer(state, name, duty, now, effects).Advance();
  }
}

}  // namespace boragewharf::lease
