/**
 * @file lease_cmd.cc
 * Acquisition, renewal, release and loss of duty leases.
 *
 * Why at most one member may act: a write entitles its holder until lease_time
 * after a moment before it was sent; a successor writes no earlier than
 * lease_time after it saw that write's version, hence later by the time of
 * any clock that runs at the same rate, and its conditional write succeeds
 * only if the holder has written nothing since. Wall clocks and differences
 * between the members' clocks play no part. A member that finds the record of
 * an earlier process of its own instance need not wait: an instance runs one
 * process at a time, so that holder has ended.
 *
 * Why holders do not alternate: a released lease is taken over at once, but an
 * instance that the record names as a former holder waits until lease_time has
 * passed since it can have acted. The record tells spans, which each holder
 * shortens by its own clock from when it saw them, hence never by too much.
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

/** Applies one event to one duty. */
class DutyCommand {
 public:
  DutyCommand(LeaseState& lease_state,
              const std::string& duty_name,
              Duty& duty_entry,
              TimePoint time,
              std::vector<LeaseEffect>& out)
      : state(lease_state),
        name(duty_name),
        duty(duty_entry),
        now(time),
        effects(out) {}

  void Want(bool wanted) {
    if (this->duty.wanted == wanted) {
      return;
    }
    this->duty.wanted = wanted;
    this->duty.next_call = this->now;
    if (!wanted && this->duty.holding) {
      // The member stops acting before the release is written.
      this->AnnounceLoss(ResultCode::kOk);
      this->duty.holding.reset();
    }
  }

  void Read(const ObjectVersion& version, const LeaseRecord& record) {
    this->EndCall(ResultCode::kOk);
    this->Observe(version, record);
    this->ResolvePending(version);
    this->DropHoldingIfSuperseded();
    this->ScheduleNext();
  }

  void ReadFailed(ResultCode code) {
    this->EndCall(code);
    if (code != ResultCode::kStoreNotFound) {
      this->BackOff();
      return;
    }
    this->Observe(std::nullopt, {});
    this->duty.pending.reset();
    this->ScheduleNext();
  }

  void Written(const ObjectVersion& version) {
    this->EndCall(ResultCode::kOk);
    if (!this->duty.pending) {
      return;
    }
    this->Observe(version, this->duty.pending->record);
    this->Confirm(*std::exchange(this->duty.pending, std::nullopt));
    this->ScheduleNext();
  }

  void WriteFailed(ResultCode code) {
    this->EndCall(code);
    if (code == ResultCode::kStoreUnknown && this->duty.pending) {
      this->duty.pending->unknown = true;
    } else {
      this->duty.pending.reset();
    }
    if (code == ResultCode::kStoreConflict ||
        code == ResultCode::kStoreNotFound) {
      // What was seen is out of date; the next call reads.
      this->duty.seen.reset();
    }
    this->BackOff();
  }

  /** Lets an expired holding lapse, and starts the next call if one is due. */
  void Advance() {
    if (this->duty.holding && this->now >= this->duty.holding->expires) {
      this->AnnounceLoss(ResultCode::kLeaseLost);
    }
    if (this->duty.call_in_flight || this->now < this->duty.next_call ||
        !this->HasBusiness()) {
      return;
    }
    const bool resolves = this->duty.pending.has_value();
    if (!resolves && this->duty.seen && this->MayWrite()) {
      this->Write();
      return;
    }
    this->duty.call_in_flight = true;
    this->effects.emplace_back(ReadLease{this->name});
  }

 private:
  bool SeenAsHolder() const {
    return this->duty.seen && this->duty.seen->version &&
           this->duty.seen->record.holder == this->state.self &&
           !this->duty.seen->record.released;
  }

  /** A duty that is not wanted still needs its release written. */
  bool HasBusiness() const {
    return this->duty.wanted || this->duty.pending || this->SeenAsHolder() ||
           (!this->duty.seen && this->duty.highest.value > 0);
  }

  /** No member removes the object; where there is none, nobody has held the
   * duty yet. @pre The object has been read. */
  bool NeverHeld() const {
    return !this->duty.seen->version && this->duty.highest.value == 0;
  }

  /** Whether the record is of an earlier process of this instance. */
  bool HolderHasEnded() const {
    const LeaseRecord& record = this->duty.seen->record;
    return this->duty.seen->version && !this->state.instance.empty() &&
           record.instance == this->state.instance &&
           record.holder != this->state.self;
  }

  bool MayWrite() const {
    if (this->SeenAsHolder()) {
      return true;
    }
    if (this->NeverHeld()) {
      return this->duty.wanted;
    }
    return this->duty.wanted &&
           (this->HolderHasEnded() || this->now >= this->FreeFrom());
  }

  /** When this member may take the lease over. @pre The object was read. */
  TimePoint FreeFrom() const {
    const Observation& seen = *this->duty.seen;
    if (!seen.record.released) {
      return seen.first_seen + this->state.timing.lease_time;
    }
    for (const FormerHolder& former : seen.record.former) {
      if (former.instance == this->state.instance) {
        return seen.first_seen + former.stays_out;
      }
    }
    return seen.first_seen;
  }

  /** Former holders as of now, with the one whose record is replaced. */
  std::vector<FormerHolder> FormerHolders() const {
    const Observation& seen = *this->duty.seen;
    const LeaseTiming& timing = this->state.timing;
    std::vector<FormerHolder> former;
    const auto keep = [&](const std::string& instance, TimePoint until) {
      if (until > this->now && !instance.empty() &&
          instance != this->state.instance) {
        // In the unit of the text form, so that the record reads back equal.
        former.push_back(
            {instance,
             std::chrono::ceil<std::chrono::milliseconds>(until - this->now)});
      }
    };
    for (const FormerHolder& holder : seen.record.former) {
      keep(holder.instance, seen.first_seen + holder.stays_out);
    }
    if (!this->SeenAsHolder()) {
      const TimePoint ended =
          seen.record.released
              ? seen.first_seen
              : seen.first_seen + timing.lease_time - timing.expiry_margin;
      keep(seen.record.instance, ended + timing.lease_time);
    }
    return former;
  }

  void Write() {
    const Observation& seen = *this->duty.seen;
    LeaseRecord record{this->state.self,         seen.record.fencing,
                       ++this->state.last_write, !this->duty.wanted,
                       this->state.instance,     this->FormerHolders()};
    if (!this->SeenAsHolder()) {
      // The highest number seen counts if the object was removed.
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

  void Observe(std::optional<ObjectVersion> version,
               const LeaseRecord& record) {
    this->duty.highest = std::max(this->duty.highest, record.fencing);
    const bool unchanged =
        this->duty.seen && this->duty.seen->version == version;
    if (!unchanged) {
      this->duty.seen = Observation{std::move(version), record, this->now};
    }
  }

  /**
   * Compares a read-back with the write whose answer was lost. If the write
   * is not there, it may still arrive: it then either fails on the version
   * check or is seen later as a record of this member, which is renewed like
   * any other.
   */
  void ResolvePending(const ObjectVersion& version) {
    if (!this->duty.pending) {
      return;
    }
    const PendingWrite pending =
        *std::exchange(this->duty.pending, std::nullopt);
    if (this->duty.seen->version == version &&
        this->duty.seen->record == pending.record) {
      this->Confirm(pending);
    }
  }

  /** A write is known to have taken effect. */
  void Confirm(const PendingWrite& write) {
    if (write.record.released || !this->duty.wanted) {
      return;
    }
    const TimePoint expires = write.sent_at + this->state.timing.lease_time -
                              this->state.timing.expiry_margin;
    const bool continued = this->duty.holding &&
                           this->duty.holding->fencing == write.record.fencing;
    if (continued) {
      this->duty.holding->expires = expires;
    } else {
      // The first holder follows nobody whose orders could be outstanding.
      const bool first = write.record.fencing == kFirstFencing;
      this->duty.holding =
          Holding{write.record.fencing, expires,
                  first ? write.sent_at
                        : write.sent_at + this->state.timing.order_lifetime};
    }
    if (this->now < expires && !this->duty.announced) {
      this->duty.announced = true;
      this->effects.emplace_back(
          DutyChanged{this->name, write.record.fencing, true, ResultCode::kOk});
    }
  }

  /** A lower number than the own one comes from a stale read. */
  void DropHoldingIfSuperseded() {
    const LeaseRecord& record = this->duty.seen->record;
    if (!this->duty.holding || this->SeenAsHolder() ||
        record.fencing < this->duty.holding->fencing) {
      return;
    }
    this->AnnounceLoss(ResultCode::kLeaseLost);
    this->duty.holding.reset();
  }

  /** @pre There is a holding, possibly expired. */
  void AnnounceLoss(ResultCode code) {
    if (!this->duty.announced) {
      return;
    }
    this->duty.announced = false;
    this->effects.emplace_back(
        DutyChanged{this->name, this->duty.holding->fencing, false, code});
  }

  /** A random share of @p longest, so that members do not call in step. */
  Duration Jitter(Duration longest) {
    std::uniform_real_distribution<double> share(kJitterFloor, 1.0);
    return std::chrono::duration_cast<Duration>(longest *
                                                share(this->state.generator));
  }

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
        this->duty.holding && this->now < this->duty.holding->expires;
    if (holds && this->SeenAsHolder()) {
      this->duty.next_call =
          this->now + this->Jitter(this->state.timing.renew_period);
      return;
    }
    if (this->SeenAsHolder() || this->NeverHeld() || this->HolderHasEnded()) {
      this->duty.next_call = this->now;
      return;
    }
    const TimePoint due = this->FreeFrom();
    const TimePoint poll =
        this->now + this->Jitter(this->state.timing.watch_period);
    this->duty.next_call = due > this->now ? std::min(due, poll) : this->now;
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
  const auto with_duty = [&](const std::string& name, const auto& apply) {
    const auto entry = state.duties.find(name);
    if (entry == state.duties.end()) {
      return;
    }
    DutyCommand command(state, entry->first, entry->second, now, effects);
    apply(command);
  };
  std::visit(Overloaded{
                 [&](const DutyWanted& wanted) {
                   state.duties.try_emplace(wanted.duty);
                   with_duty(wanted.duty, [&wanted](DutyCommand& command) {
                     command.Want(wanted.wanted);
                   });
                 },
                 [&](const LeaseRead& read) {
                   with_duty(read.duty, [&read](DutyCommand& command) {
                     command.Read(read.version, read.record);
                   });
                 },
                 [&](const LeaseReadFailed& failed) {
                   with_duty(failed.duty, [&failed](DutyCommand& command) {
                     command.ReadFailed(failed.code);
                   });
                 },
                 [&](const LeaseWritten& written) {
                   with_duty(written.duty, [&written](DutyCommand& command) {
                     command.Written(written.version);
                   });
                 },
                 [&](const LeaseWriteFailed& failed) {
                   with_duty(failed.duty, [&failed](DutyCommand& command) {
                     command.WriteFailed(failed.code);
                   });
                 },
                 [](const Tick&) {},
             },
             event);
  for (auto& [name, duty] : state.duties) {
    DutyCommand(state, name, duty, now, effects).Advance();
  }
}

}  // namespace boragewharf::lease
