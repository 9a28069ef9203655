/**
 * @file lease_simulation.h
 * Several members with a simulated store, random pauses, lost responses and
 * crashes.
 */
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "lease/lease_cmd.h"
#include "lease/lease_func.h"
#include "permit_checks.h"
#include "simulated_member.h"

namespace boragewharf::lease {

/** Simulates the members, the store and a scheduler from one seed. */
class LeaseSimulation {
 public:
  /** @param times With a short order_lifetime, holders change quickly.
   * @param with_returns Whether the store comes back from copies. */
  LeaseSimulation(uint64_t seed, const LeaseTiming& times, bool with_returns)
      : timing(times), random(seed), checks(times), returns(with_returns) {
    this->era = with_returns ? 1 : 0;
    for (size_t i = 0; i < kMembers; ++i) {
      this->members.push_back(this->NewMember(i));
    }
  }

  void Run() {
    while (this->time < kEnd && !testing::Test::HasFailure()) {
      this->time += kStep;
      const bool faults_ended = this->time > kFaultsEnd;
      if (!faults_ended) {
        this->InjectFault();
        this->StopCurrentHolder();
      }
      this->RunActions();
      this->checks.Check(this->members, this->time);
      this->CheckHolderStays();
      for (const auto& member : std::vector(this->members)) {
        this->StepMember(member, faults_ended);
      }
    }
  }

  /** Changes of the holder with a permit. */
  int Takeovers() const { return this->checks.Takeovers(); }

  int lost_responses = 0;  ///< Applied writes whose response was lost.
  int conflicts = 0;       ///< Writes rejected by the version check.
  int store_returns = 0;   ///< Returns of the store from a copy.
  int late_matches = 0;    ///< Writes of an earlier era that took effect.

 private:
  static constexpr size_t kMembers = 4;
  static constexpr Duration kStep = std::chrono::milliseconds(50);
  static constexpr Duration kLongestLatency = std::chrono::seconds(3);
  /** A request and a response, each handled in the step after it arrives. */
  static constexpr Duration kLongestCall = 2 * kLongestLatency + 2 * kStep;

  /** From here on no fault is injected, but calls may be slow. */
  static constexpr Duration kFaultsEnd = std::chrono::seconds(400);
  /** From here on all calls are fast. Covers the longest pause, whose write is
   * sent when it ends, and the recovery from it. */
  static constexpr Duration kSlowEnd = kFaultsEnd + std::chrono::seconds(110);
  static constexpr Duration kEnd = kSlowEnd + std::chrono::seconds(60);
  static constexpr Duration kCallTimeout = std::chrono::seconds(2);

  static constexpr size_t kMaxCopies = 4;

  using MemberPtr = std::shared_ptr<SimulatedMember>;

  bool RandomChance(double probability) {
    return std::bernoulli_distribution(probability)(this->random);
  }

  Duration RandomDuration(Duration low, Duration high) {
    return Duration(std::uniform_int_distribution<int64_t>(
        low.count(), high.count())(this->random));
  }

  /** Starts a process on an instance, without any state of earlier ones. */
  MemberPtr NewMember(size_t instance) {
    auto member = std::make_shared<SimulatedMember>();
    member->state.instance = "instance-" + std::to_string(instance);
    member->state.timing = this->timing;
    member->state.self = MemberId{this->random()};
    member->state.generator.seed(this->random());
    member->offset = this->RandomDuration(std::chrono::seconds(0),
                                          std::chrono::seconds(1'000'000));
    member->rate = std::uniform_real_distribution<double>(
        1 - 1e-4, 1 + 1e-4)(this->random);
    member->state.first_start = this->time == Duration{};
    member->inbox.emplace_back(DutyWanted{kSimulatedDuty, true});
    return member;
  }

  /** Takes a copy of the store, or lets it go on from one; possibly several
   * times in a row, and with all members restarted in between. */
  void InjectReturn() {
    if (this->RandomChance(0.02)) {
      this->copies.push_back(this->revisions);
      if (this->copies.size() > kMaxCopies) {
        this->copies.erase(this->copies.begin());
      }
    }
    if (!this->RandomChance(0.003)) {
      return;
    }
    this->outage_until =
        this->time + this->RandomDuration(std::chrono::milliseconds(0),
                                          std::chrono::seconds(2));
    this->revisions = this->copies[this->random() % this->copies.size()];
    this->era += 1;
    ++this->store_returns;
    this->TellOfReturn();
    if (this->RandomChance(0.2)) {
      for (size_t i = 0; i < kMembers; ++i) {
        this->members[i]->alive = false;
        this->members[i] = this->NewMember(i);
      }
    }
  }

  void InjectFault() {
    if (this->returns) {
      this->InjectReturn();
    }
    const size_t instance = this->random() % kMembers;
    MemberPtr& member = this->members[instance];
    if (this->RandomChance(0.002)) {
      member->paused_until =
          this->time + this->RandomDuration(std::chrono::seconds(1),
                                            std::chrono::seconds(40));
    }
    if (this->RandomChance(0.0005)) {
      member->alive = false;
      member = this->NewMember(instance);
    }
    if (this->RandomChance(0.001)) {
      member->inbox.emplace_back(
          DutyWanted{kSimulatedDuty, this->RandomChance(0.7)});
    }
    if (this->RandomChance(0.0005)) {
      this->StartStoppingHolders();
    }
    if (this->RandomChance(0.001)) {
      this->outage_until =
          this->time + this->RandomDuration(std::chrono::seconds(1),
                                            std::chrono::seconds(30));
      this->TellOfReturn();
    }
  }

  /** Some members learn from other calls that the store answers again, or of
   * its era; perhaps too early or late. */
  void TellOfReturn() {
    for (const MemberPtr& member : this->members) {
      if (this->RandomChance(0.3)) {
        continue;
      }
      const uint64_t known = this->RandomChance(0.5) ? this->era : 0;
      this->Deliver(member, StoreRegained{known},
                    this->outage_until - this->time +
                        this->RandomDuration(-std::chrono::seconds(1),
                                             std::chrono::seconds(2)));
    }
  }

  /** For the next seconds, each holder is stopped soon after it gets a permit,
   * and its instance is restarted. */
  void StartStoppingHolders() {
    this->stopping_until = this->time + std::chrono::seconds(12);
  }

  void StopCurrentHolder() {
    if (this->time >= this->stopping_until || !this->RandomChance(0.1)) {
      return;
    }
    for (size_t i = 0; i < kMembers; ++i) {
      MemberPtr& member = this->members[i];
      if (!IssuePermit(member->state, kSimulatedDuty, ServerFencing::kIgnored,
                       member->Now(this->time))) {
        continue;
      }
      member->inbox.emplace_back(DutyWanted{kSimulatedDuty, false});
      this->Schedule(std::chrono::seconds(1), [this, i, stopped = member] {
        if (this->members[i] == stopped) {
          stopped->alive = false;
          this->members[i] = this->NewMember(i);
          this->last_disturbance = std::max(this->last_disturbance, this->time);
        }
      });
    }
  }

  void RunActions() {
    while (!this->actions.empty() &&
           this->actions.begin()->first <= this->time) {
      const auto action = std::move(this->actions.begin()->second);
      this->actions.erase(this->actions.begin());
      action();
    }
  }

  void StepMember(const MemberPtr& member, bool faults_ended) {
    if (this->time < member->paused_until && !faults_ended) {
      return;
    }
    std::vector<LeaseEvent> events;
    events.swap(member->inbox);
    if (faults_ended) {
      events.emplace_back(DutyWanted{kSimulatedDuty, true});
    }
    events.emplace_back(Tick{});
    for (const LeaseEvent& event : events) {
      std::vector<LeaseEffect> effects;
      Reduce(member->state, event, member->Now(this->time), effects);
      // A Tick never changes a permit; only time and responses do.
      if (!std::holds_alternative<Tick>(event)) {
        this->checks.Check(this->members, this->time);
      }
      for (const LeaseEffect& effect : effects) {
        if (const auto* write = std::get_if<WriteLease>(&effect)) {
          this->Schedule(this->Latency(),
                         [=, this, copy = *write] { SendWrite(member, copy); });
        } else if (std::holds_alternative<ReadLease>(effect)) {
          this->Schedule(this->Latency(), [=, this] { AnswerRead(member); });
        }
      }
    }
  }

  /** Half of the calls are slow after the faults, so that slow renewals follow
   * each other often. */
  double ChanceOfSlowness() const {
    if (this->time >= kSlowEnd) {
      return 0;
    }
    return this->time > kFaultsEnd ? 0.5 : 0.1;
  }

  Duration Latency() {
    return this->RandomChance(this->ChanceOfSlowness())
               ? this->RandomDuration(std::chrono::milliseconds(100),
                                      kLongestLatency)
               : this->RandomDuration(std::chrono::milliseconds(1), kStep);
  }

  void Schedule(Duration delay, std::function<void()> action) {
    this->actions.emplace(this->time + delay, std::move(action));
  }

  void Deliver(const MemberPtr& member,
               const LeaseEvent& event,
               Duration delay) {
    this->Schedule(delay, [member, event] { member->inbox.push_back(event); });
  }

  /** Sends a write; a pause or a crash of the process can come before it.
   * @param late The write was held back by a pause. */
  void SendWrite(const MemberPtr& member,
                 const WriteLease& write,
                 bool late = false) {
    if (!member->alive) {
      return;
    }
    const bool faults_active = this->time < kFaultsEnd;
    if (faults_active && this->time < member->paused_until) {
      this->Schedule(member->paused_until - this->time,
                     [=, this] { SendWrite(member, write, true); });
      return;
    }
    const LeaseWriteFailed unknown{kSimulatedDuty, ResultCode::kStoreUnknown};
    if (faults_active && this->time < this->outage_until &&
        this->RandomChance(0.9)) {
      this->Deliver(
          member,
          LeaseWriteFailed{kSimulatedDuty, ResultCode::kStoreUnavailable},
          this->Latency());
    } else if (faults_active && this->RandomChance(0.05)) {
      this->Deliver(member,
                    LeaseWriteFailed{kSimulatedDuty, ResultCode::kStoreBusy},
                    this->Latency());
    } else if (faults_active && this->RandomChance(0.05)) {
      this->Deliver(member, unknown, kCallTimeout);
    } else if (faults_active && this->RandomChance(0.1)) {
      // The write takes effect after the caller has timed out, perhaps much
      // later.
      this->Deliver(member, unknown, kCallTimeout);
      this->Schedule(this->RandomDuration(std::chrono::seconds(1),
                                          std::chrono::seconds(25)),
                     [=, this] {
                       this->lost_responses +=
                           ApplyWrite(write, true).has_value();
                     });
    } else if (faults_active && this->RandomChance(0.1)) {
      this->lost_responses += this->ApplyWrite(write).has_value();
      this->Deliver(member, unknown, kCallTimeout);
    } else if (const auto version = this->ApplyWrite(write, late)) {
      this->Deliver(member,
                    LeaseWritten{kSimulatedDuty, *version, this->era,
                                 this->revisions.back().revision},
                    this->Latency());
    } else {
      this->Deliver(
          member, LeaseWriteFailed{kSimulatedDuty, ResultCode::kStoreConflict},
          this->Latency());
    }
  }

  /** @param late The write arrives later than any latency allows. */
  std::optional<ObjectVersion> ApplyWrite(const WriteLease& write,
                                          bool late = false) {
    const uint64_t current =
        this->revisions.empty() ? 0 : this->revisions.back().revision;
    if (current != this->RevisionOf(write.expected)) {
      ++this->conflicts;
      return std::nullopt;
    }
    this->late_matches += write.record.era != this->era;
    if (late) {
      this->last_disturbance = std::max(this->last_disturbance, this->time);
    }
    this->revisions.push_back({current + 1, write.record});
    return this->VersionOf(current + 1);
  }

  ObjectVersion VersionOf(uint64_t revision) const {
    return {std::to_string(this->era) + ":" + std::to_string(revision)};
  }

  /** Revision on which a write depends. The store does not compare eras, so a
   * write that is executed in a later era may match by chance. */
  static uint64_t RevisionOf(const std::optional<ObjectVersion>& version) {
    return version
               ? std::stoull(version->text.substr(version->text.find(':') + 1))
               : 0;
  }

  void AnswerRead(const MemberPtr& member) {
    const bool faults_active = this->time < kFaultsEnd;
    if (faults_active &&
        (this->time < this->outage_until || this->RandomChance(0.05))) {
      this->Deliver(
          member,
          LeaseReadFailed{kSimulatedDuty, ResultCode::kStoreUnavailable},
          this->Latency());
      return;
    }
    size_t age =
        faults_active && this->RandomChance(0.1) ? this->random() % 4 : 0;
    if (this->revisions.size() <= age) {
      this->Deliver(member,
                    LeaseReadFailed{kSimulatedDuty, ResultCode::kStoreNotFound,
                                    this->era},
                    this->Latency());
      return;
    }
    const auto& [revision, record] =
        this->revisions[this->revisions.size() - 1 - age];
    this->Deliver(member,
                  LeaseRead{kSimulatedDuty, this->VersionOf(revision), record,
                            this->era, revision},
                  this->Latency());
  }

  /** Checks that there is a holder in time after the last fault, and
   * that it stays. A call that is under way, a backoff and a read come before a
   * member sees the record; a lease time follows, then a read that is under way
   * at its end, and the write or the order lifetime, whichever is longer. */
  void CheckHolderStays() {
    const Duration recovery =
        3 * kLongestCall + kBackoffLongest + this->timing.lease_time +
        std::max(kLongestCall, this->timing.order_lifetime) +
        this->LongestGap();
    if (this->time < this->last_disturbance + recovery) {
      return;
    }
    const bool calls_are_fast = this->time >= kSlowEnd + kLongestCall;
    this->checks.CheckHolderStays(calls_are_fast ? Duration{}
                                                 : this->LongestGap());
  }

  /** Longest time without a permit while calls may take kLongestCall: a lease
   * counts from the sending of a renewal, and the next one is sent no later
   * than the response, so that two calls pass until it is confirmed. Clocks at
   * different rates and checks once a step add one step each. */
  Duration LongestGap() const {
    static_assert(kRenewPeriod <= kLongestCall);
    return 2 * kLongestCall + 2 * kStep -
           (this->timing.lease_time - this->timing.expiry_margin);
  }

  const LeaseTiming timing;
  std::mt19937_64 random;
  PermitChecks checks;
  Duration time{};
  /** Latest fault, late write or planned restart. */
  Duration last_disturbance = kFaultsEnd;
  Duration stopping_until{};
  Duration outage_until{};
  std::vector<MemberPtr> members;
  struct Revision {
    uint64_t revision = 0;
    LeaseRecord record;
  };
  std::vector<Revision> revisions;
  const bool returns;  ///< The store comes back from copies.
  uint64_t era = 0;
  std::vector<std::vector<Revision>> copies{{}};  ///< Earlier ones.
  std::multimap<Duration, std::function<void()>> actions;
};

}  // namespace boragewharf::lease
