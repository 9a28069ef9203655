/**
 * @file query_func.cc
 * Queries of the membership state.
 */
#include <algorithm>
#include <string_view>

#include "base/digest_func.h"
#include "held_set_cmd.h"
#include "membership/membership_func.h"
#include "table_cmd.h"

namespace boragewharf::membership {
namespace {

bool MayServeAlone(const MembershipState& state) {
  if (KnowsOthers(state)) {
    return false;
  }
  if (!state.options.needs_list_to_serve_alone) {
    return true;
  }
  return state.listed_at &&
         std::all_of(state.listed.begin(), state.listed.end(),
                     [&](const std::string& name) {
                       return name == state.self.instance;
                     });
}

uint32_t Milliseconds(Duration duration) {
  const auto count =
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
  return static_cast<uint32_t>(std::clamp<int64_t>(count, 0, UINT32_MAX));
}

}  // namespace

std::string_view StatusName(MemberStatus status) {
  switch (status) {
    case MemberStatus::kAlive:
      return "alive";
    case MemberStatus::kSuspect:
      return "suspect";
    case MemberStatus::kFailed:
      return "failed";
    case MemberStatus::kLeaving:
      return "leaving";
  }
  return "unknown";
}

TimePoint NextDeadline(const MembershipState& state) {
  TimePoint next = std::min(state.next_probe, state.next_join);
  if (state.probe && !state.probe->asked_others) {
    next = std::min(next, state.probe->sent_at + state.options.probe_timeout);
  }
  for (const auto& [id, entry] : state.members) {
    if (entry.member.status == MemberStatus::kSuspect) {
      next = std::min(next, entry.suspicion_end);
    }
  }
  const TimePoint renewal =
      std::max(state.next_renewal, state.lease_end - state.options.lease / 2);
  return KnowsOthers(state) ? std::min(next, renewal) : next;
}

bool HoldsServingLease(const MembershipState& state, TimePoint now) {
  return now < ServingLeaseEnd(state);
}

TimePoint ServingLeaseEnd(const MembershipState& state) {
  return MayServeAlone(state) ? TimePoint::max() : state.lease_end;
}

std::vector<Member> LiveMembers(const MembershipState& state) {
  std::vector<Member> live;
  if (state.self.status == MemberStatus::kAlive) {
    live.push_back(state.self);
  }
  for (const auto& [id, entry] : state.members) {
    if (!entry.is_forgotten && entry.member.status == MemberStatus::kAlive) {
      live.push_back(entry.member);
    }
  }
  std::sort(live.begin(), live.end(),
            [](const Member& a, const Member& b) { return a.id < b.id; });
  return live;
}

std::vector<Member> UnheardMembers(const MembershipState& state) {
  std::vector<Member> unheard;
  for (const auto& [id, entry] : state.members) {
    if (IsKnown(entry) && entry.member.status != MemberStatus::kAlive) {
      unheard.push_back(entry.member);
    }
  }
  return unheard;
}

std::optional<Member> FindMember(const MembershipState& state, MemberId id) {
  if (id == state.self.id) {
    return state.self;
  }
  const auto found = state.members.find(id);
  if (found == state.members.end() || found->second.is_forgotten) {
    return std::nullopt;
  }
  return found->second.member;
}

Member HighestHeldRevision(const MembershipState& state) {
  Member highest = state.self;
  for (const auto& [id, entry] : state.members) {
    if (!entry.is_forgotten && entry.member.status == MemberStatus::kAlive &&
        entry.member.report.held_revision > highest.report.held_revision) {
      highest = entry.member;
    }
  }
  return highest;
}

uint64_t MemberSetDigest(const MembershipState& state) {
  const std::vector<MemberId> ids = KnownIds(state);
  return Hash64(std::string_view(reinterpret_cast<const char*>(ids.data()),
                                 ids.size() * sizeof(MemberId)));
}

bool DigestsAgree(const MembershipState& state) {
  const uint64_t own = state.self.report.set_digest;
  return std::all_of(
      state.members.begin(), state.members.end(), [&](const auto& entry) {
        return entry.second.is_forgotten ||
               entry.second.member.status != MemberStatus::kAlive ||
               entry.second.member.report.set_digest == own;
      });
}

TimePoint LastDeparture(const MembershipState& state) {
  return state.last_departure;
}

std::vector<std::string> ListedWithoutMember(const MembershipState& state) {
  std::set<std::string> missing = state.listed;
  missing.erase(state.self.instance);
  for (const auto& [id, entry] : state.members) {
    if (!entry.is_forgotten) {
      missing.erase(entry.member.instance);
    }
  }
  return {missing.begin(), missing.end()};
}

JoinRequest MakeJoinRequest(const MembershipState& state) {
  return JoinRequest{state.self};
}

MemberTable MakeMemberTable(const MembershipState& state, TimePoint now) {
  MemberTable table;
  table.members.push_back(state.self);
  for (const auto& [id, entry] : state.members) {
    if (!entry.is_forgotten) {
      table.members.push_back(entry.member);
    }
  }
  for (const auto& [instance, end] : state.leaving_backends) {
    table.updates.push_back(
        TimedUpdate{BackendLeavingUpdate{instance}, Milliseconds(end - now)});
  }
  for (const auto& [key, entry] : state.crashes) {
    table.updates.push_back(
        TimedUpdate{CrashUpdate{key.first, key.second, entry.count},
                    Milliseconds(entry.end - now)});
  }
  return table;
}

}  // namespace boragewharf::membership
