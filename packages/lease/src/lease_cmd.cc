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
 */
#include "lease/lease_cmd.h"

#include <algorithm>
#include <utility>

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
        effects(out) {}

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

  void OnRead(const ObjectVersion& version, const LeaseRecord& record) {
    this->EndCall(ResultCode::kOk);
    this->RecordObservation(version, record);
    this->ResolvePending(version);
    this->DropLeaseIfSuperseded();
    this->ScheduleNext();
  }

  void OnReadFailed(ResultCode code) {
    this->EndCall(code);
    if (code != ResultCode::kStoreNotFound) {
      this->BackOff();
      return;
    }
    this->RecordObservation(std::nullopt, {});
    this->duty.pending.reset();
    this->ScheduleNext();
  }

  void OnWritten(const ObjectVersion& version) {
    this->EndCall(ResultCode::kOk);
    if (!this->duty.pending) {
      return;
    }
    this->RecordObservation(version, this->duty.pending->record);
    this->ConfirmWrite(*std::exchange(this->duty.pending, std::nullopt));
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
    if (!needs_read_back && this->duty.seen && this->CanWrite()) {
      this->SendWrite();
      return;
    }
    this->duty.call_in_flight = true;
    this->effects.emplace_back(ReadLease{this->name});
  }

 private:
  /** Whether the last seen record names this member as the holder. */
  bool IsRecordedHolder() const {
    return this->duty.seen && this->duty.seen->version &&
           this->duty.seen->record.holder == this->state.self &&
           !this->duty.seen->record.released;
  }

  /** Whether the duty needs calls to the store. One that is no longer wanted
   * does until its release is written. */
  bool NeedsCall() const {
    return this->duty.wanted || this->duty.pending ||
           this->IsRecordedHolder() ||
           (!this->duty.seen && this->duty.highest.value > 0);
  }

  /** Whether no member has held the duty so far. Members never remove the
   * object, so this is the case if it does not exist and this member has never
   * seen it. @pre The object has been read. */
  bool NeverHeld() const {
    return !this->duty.seen->version && this->duty.highest.value == 0;
  }

  /** Whether the holder was an earlier process of this instance, which has
   * therefore ended. */
  bool HolderProcessEnded() const {
    const LeaseRecord& record = this->duty.seen->record;
    return this->duty.seen->version && !this->state.instance.empty() &&
           record.instance == this->state.instance &&
           record.holder != this->state.self;
  }

  bool CanWrite() const {
    if (this->IsRecordedHolder()) {
      return true;
    }
    if (this->NeverHeld()) {
      return this->duty.wanted;
    }
    return this->duty.wanted &&
           (this->HolderProcessEnded() || this->now >= this->AvailableFrom());
  }

  /** Earliest time at which this member may take over the lease.
   * @pre The object has been read. */
  TimePoint AvailableFrom() const {
    const Observation& seen = *this->duty.seen;
    if (!seen.record.released) {
      return seen.first_seen + this->state.timing.lease_time;
    }
    for (const FormerHolder& former : seen.record.former) {
      if (former.instance == this->state.instance) {
        return seen.first_seen + former.excluded_for;
      }
    }
    return seen.first_seen;
  }

  /** Former holders that are still excluded now, including the holder whose
   * record is being replaced. */
  std::vector<FormerHolder> CollectFormerHolders() const {
    const Observation& seen = *this->duty.seen;
    const LeaseTiming& timing = this->state.timing;
    std::vector<FormerHolder> former;
    const auto add_if_recent = [&](const std::string& instance,
                                   TimePoint until) {
      if (until > this->now && !instance.empty() &&
          instance != this->state.instance) {
        // Round to the unit of the JSON text, so that the record compares equal
        // when it is read back.
        former.push_back(
            {instance,
             std::chrono::ceil<std::chrono::milliseconds>(until - this->now)});
      }
    };
    for (const FormerHolder& holder : seen.record.former) {
      add_if_recent(holder.instance, seen.first_seen + holder.excluded_for);
    }
    if (!this->IsRecordedHolder()) {
      const TimePoint ended =
          seen.record.released
              ? seen.first_seen
              : seen.first_seen + timing.lease_time - timing.expiry_margin;
      add_if_recent(seen.record.instance, ended + timing.lease_time);
    }
    return former;
  }

  void SendWrite() {
    const Observation& seen = *this->duty.seen;
    LeaseRecord record{this->state.self,         seen.record.fencing,
                       ++this->state.last_write, !this->duty.wanted,
                       this->state.instance,     this->CollectFormerHolders()};
    if (!this->IsRecordedHolder()) {
      // If the object was removed, continue from the highest number seen.
      record.fencing.value =
          std::max(seen.record.fencing, this->duty.highest).value + 1;
    }
    this->duty.pending = PendingWrite{record, this->now};
    this->duty.call_in_flight = true;
    this->effects.emplace_back(WriteLease{this->name, seen.version, record});
  }

  void EndCall(ResultCode code) {
    this->duty.call_in_flight = false;
    this->duty.last_code = code;
    if (code == ResultCode::kOk) {
      this->duty.failures = 0;
    }
  }

  void RecordObservation(std::optional<ObjectVersion> version,
                         const LeaseRecord& record) {
    this->duty.highest = std::max(this->duty.highest, record.fencing);
    const bool unchanged =
        this->duty.seen && this->duty.seen->version == version;
    if (!unchanged) {
      this->duty.seen = Observation{std::move(version), record, this->now};
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
        this->duty.seen->record == pending.record) {
      this->ConfirmWrite(pending);
    }
  }

  /** Updates the held lease after a write that has taken effect. */
  void ConfirmWrite(const PendingWrite& write) {
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
      // There is no earlier holder whose orders could be outstanding.
      const bool first = write.record.fencing == kFirstFencing;
      this->duty.held_lease =
          HeldLease{write.record.fencing, expires,
                    first ? write.sent_at
                          : write.sent_at + this->state.timing.order_lifetime};
    }
    if (this->now < expires && !this->duty.reported_held) {
      this->duty.reported_held = true;
      this->effects.emplace_back(
          DutyChanged{this->name, write.record.fencing, true, ResultCode::kOk});
    }
  }

  /** Drops the held lease if the object names another holder. A lower fencing
   * number than that of the held lease comes from a stale read. */
  void DropLeaseIfSuperseded() {
    const LeaseRecord& record = this->duty.seen->record;
    if (!this->duty.held_lease || this->IsRecordedHolder() ||
        record.fencing < this->duty.held_lease->fencing) {
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
  }

  /** Sets the time of the next call after a successful one. */
  void ScheduleNext() {
    const bool holds =
        this->duty.held_lease && this->now < this->duty.held_lease->expires;
    if (holds && this->IsRecordedHolder()) {
      this->duty.next_call =
          this->now + this->Jitter(this->state.timing.renew_period);
      return;
    }
    if (this->IsRecordedHolder() || this->NeverHeld() ||
        this->HolderProcessEnded()) {
      this->duty.next_call = this->now;
      return;
    }
    const TimePoint available_from = this->AvailableFrom();
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
                     reducer.OnRead(read.version, read.record);
                   });
                 },
                 [&](const LeaseReadFailed& failed) {
                   apply_to_duty(failed.duty, [&failed](DutyReducer& reducer) {
                     reducer.OnReadFailed(failed.code);
                   });
                 },
                 [&](const LeaseWritten& written) {
                   apply_to_duty(written.duty,
                                 [&written](DutyReducer& reducer) {
                                   reducer.OnWritten(written.version);
                                 });
                 },
                 [&](const LeaseWriteFailed& failed) {
                   apply_to_duty(failed.duty, [&failed](DutyReducer& reducer) {
                     reducer.OnWriteFailed(failed.code);
                   });
                 },
                 [](const Tick&) {},
             },
             event);
  for (auto& [name, duty] : state.duties) {
    DutyReducer(state, name, duty, now, effects).Advance();
  }
}

}  // namespace boragewharf::lease
