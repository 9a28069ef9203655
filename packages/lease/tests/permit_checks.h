/**
 * @file permit_checks.h
 * Checks of the permits that the members of the lease simulation get.
 */
#pragma once

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "lease/lease_func.h"
#include "simulated_member.h"

namespace boragewharf::lease {

/** Checks the permits of all members at each moment of a run. */
class PermitChecks {
 public:
  /** @param times Timing of the members. */
  explicit PermitChecks(const LeaseTiming& times) : timing(times) {}

  /** Checks that at most one member gets a permit. Includes paused members,
   * because they must not send orders when they resume. */
  void Check(std::span<const std::shared_ptr<SimulatedMember>> members,
             Duration now) {
    this->time = now;
    for (ServerFencing kind : kFencingModes) {
      std::set<MemberId> holders;
      for (const auto& member : members) {
        const auto permit =
            IssuePermit(member->state, kSimulatedDuty, kind, member->Now(now));
        if (permit) {
          holders.insert(member->state.self);
          this->CheckFencing(member->state.self, permit->Fencing(), kind);
          if (kind == ServerFencing::kIgnored) {
            this->last_unfenced_time = now;
            this->CheckNoAlternation(member->state.instance);
          }
        }
      }
      EXPECT_LE(holders.size(), 1U) << "more than one member gets a permit";
    }
  }

  /**
   * Checks that the same member has had permits for all servers since the first
   * call of this function, with no more than @p longest_gap between them.
   * @pre Check() was called for this moment.
   */
  void CheckHolderStays(Duration longest_gap) {
    EXPECT_LE(this->time - this->last_unfenced_time, longest_gap)
        << "no holder after all faults have ended, at " << this->time;
    if (!this->settled_holder) {
      this->settled_holder = this->last_holder;
    }
    EXPECT_EQ(this->last_holder, *this->settled_holder)
        << "a holder that renews its lease was overtaken, at " << this->time;
  }

  /** Changes of the holder with a permit. */
  int Takeovers() const { return this->takeovers; }

 private:
  static constexpr ServerFencing kFencingModes[] = {ServerFencing::kChecked,
                                                    ServerFencing::kIgnored};

  void CheckFencing(MemberId member,
                    FencingNumber fencing,
                    ServerFencing kind) {
    if (member != this->last_holder) {
      if (kind == ServerFencing::kIgnored) {
        ADD_FAILURE() << "new holder gets a permit for servers that ignore "
                         "fencing numbers before one for servers that check "
                         "them";
      }
      EXPECT_GT(fencing, this->last_fencing)
          << "new holder has no higher fencing number";
      this->previous_holder_end = this->last_permit_time;
      this->last_holder = member;
      ++this->takeovers;
    }
    EXPECT_GE(fencing, this->last_fencing) << "fencing number decreased";
    EXPECT_EQ(this->fencing_users.try_emplace(fencing, member).first->second,
              member)
        << "fencing number used by two members";
    this->last_fencing = fencing;
    this->last_permit_time = this->time;
    if (kind == ServerFencing::kIgnored && this->takeovers > 1) {
      EXPECT_GE(this->time - this->previous_holder_end,
                this->timing.order_lifetime)
          << "orders of the previous holder can be outstanding";
    }
  }

  /** Checks that an instance does not get a permit again within a lease time
   * after its last one if another instance had one in between. */
  void CheckNoAlternation(const std::string& instance) {
    if (!this->holder_history.empty() &&
        this->holder_history.back().first == instance) {
      this->holder_history.back().second = this->time;
      return;
    }
    for (const auto& [past_holder, last_permit] : this->holder_history) {
      if (past_holder == instance && this->time - last_permit < kLeaseTime) {
        ADD_FAILURE() << instance << " gets a permit again "
                      << (this->time - last_permit) /
                             std::chrono::milliseconds(1)
                      << " ms after its last one";
      }
    }
    this->holder_history.emplace_back(instance, this->time);
  }

  const LeaseTiming timing;
  Duration time{};
  int takeovers = 0;
  std::map<FencingNumber, MemberId> fencing_users;
  MemberId last_holder;
  FencingNumber last_fencing;
  Duration last_permit_time{};
  Duration previous_holder_end{};
  Duration last_unfenced_time{};           ///< Of a permit with kIgnored.
  std::optional<MemberId> settled_holder;  ///< See CheckHolderStays().
  /** Instances that had a permit, with the time of the last one, in order. */
  std::vector<std::pair<std::string, Duration>> holder_history;
};

}  // namespace boragewharf::lease
