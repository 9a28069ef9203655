/**
 * @file table_cmd.cc
 * Changes of the member table.
 */
#include "table_cmd.h"

#include <algorithm>

#include "held_set_cmd.h"
#include "membership/membership_func.h"
#include "update_cmd.h"

namespace boragewharf::membership {
namespace {

bool IsValidStatus(MemberStatus status) {
  return status <= MemberStatus::kLeaving;
}

bool IsValidRecord(const Member& member) {
  return member.id.value != 0 && IsValidStatus(member.status) &&
         !member.instance.empty() && member.instance.size() <= kMaxNameBytes &&
         member.zone.size() <= kMaxNameBytes &&
         member.region.size() <= kMaxNameBytes &&
         ParseEndpoint(ToString(member.caller_address)).has_value() &&
         ParseEndpoint(ToString(member.peer_address)).has_value();
}

// Whether news prevail over the state held; leaving is final.
bool Prevails(MemberStatus status, uint32_t incarnation, const Member& held) {
  if (held.status == MemberStatus::kLeaving) {
    return false;
  }
  if (status == MemberStatus::kLeaving || incarnation > held.incarnation) {
    return true;
  }
  return incarnation == held.incarnation && status > held.status;
}

void Refute(const Context& context, const StatusUpdate& claim) {
  Member& self = context.state.self;
  const bool is_harmless = claim.status == MemberStatus::kAlive ||
                           claim.incarnation < self.incarnation ||
                           self.status == MemberStatus::kLeaving;
  if (is_harmless || claim.incarnation == UINT32_MAX) {
    return;
  }
  self.incarnation = claim.incarnation + 1;
  QueueUpdate(context, StatusUpdate{self.id, self.status, self.incarnation});
}

void SetDeadlines(const Context& context, MemberEntry& entry) {
  const MembershipOptions& options = context.state.options;
  switch (entry.member.status) {
    case MemberStatus::kSuspect:
      entry.suspicion_end = context.now + options.suspicion;
      break;
    case MemberStatus::kFailed:
      entry.failed_since = context.now;
      break;
    case MemberStatus::kLeaving:
      entry.tombstone_end = context.now + options.tombstone_lifetime;
      break;
    case MemberStatus::kAlive:
      break;
  }
}

void AddMember(const Context& context, const Member& member, bool is_spread) {
  MembershipState& state = context.state;
  if (state.members.size() >= state.options.max_members) {
    context.Emit(MessageRefused{ResultCode::kPeerRefused});
    return;
  }
  const bool was_alone = !KnowsOthers(state);
  MemberEntry& entry = state.members[member.id];
  entry.member = member;
  entry.was_listed = state.listed.contains(member.instance);
  SetDeadlines(context, entry);
  if (was_alone) {
    // The right to serve alone has ended; a lease is asked for at once.
    state.next_probe = context.now;
  }
  context.Emit(MemberChanged{member, std::nullopt});
  if (is_spread) {
    QueueUpdate(context, JoinUpdate{member});
  }
  RefreshDigest(context);
}

// Whether another process has taken the place of a member.
bool IsReplaced(const MembershipState& state, const Member& member) {
  const auto takes_place = [&](const Member& other) {
    return other.peer_address == member.peer_address &&
           other.started_at > member.started_at;
  };
  if (takes_place(state.self)) {
    return true;
  }
  return std::any_of(state.members.begin(), state.members.end(),
                     [&](const auto& entry) {
                       const MemberStatus status = entry.second.member.status;
                       return !entry.second.is_forgotten &&
                              (status == MemberStatus::kAlive ||
                               status == MemberStatus::kSuspect) &&
                              takes_place(entry.second.member);
                     });
}

// Whether the instance list shows that a failed member is gone. A list that
// was read before the member failed says nothing.
bool IsUnlisted(const Context& context, const MemberEntry& entry) {
  const MembershipState& state = context.state;
  if (!state.listed_at || *state.listed_at < entry.failed_since ||
      state.listed.contains(entry.member.instance)) {
    return false;
  }
  return entry.was_listed ||
         context.now - entry.failed_since >= state.options.unlisted_grace;
}

}  // namespace

bool IsKnown(const MemberEntry& entry) {
  return !entry.is_forgotten && entry.member.status != MemberStatus::kLeaving;
}

bool KnowsOthers(const MembershipState& state) {
  return std::any_of(state.members.begin(), state.members.end(),
                     [](const auto& entry) { return IsKnown(entry.second); });
}

void PublishOwnReport(const Context& context) {
  ++context.state.self.report.number;
  context.state.report_due = context.now + context.state.options.report_delay;
  RenewHeldSet(context);
}

void SpreadOwnReport(const Context& context) {
  MembershipState& state = context.state;
  if (!state.report_due || context.now < *state.report_due) {
    return;
  }
  state.report_due.reset();
  if (!DigestsAgree(state)) {
    QueueUpdate(context, ReportUpdate{state.self.id, state.self.report});
  }
}

void RefreshDigest(const Context& context) {
  Member& self = context.state.self;
  const uint64_t digest = MemberSetDigest(context.state);
  if (digest == self.report.set_digest) {
    return;
  }
  self.report.set_digest = digest;
  context.state.digest_changed_at = context.now;
  PublishOwnReport(context);
}

void ApplyMember(const Context& context, const Member& member, bool is_spread) {
  const StatusUpdate status{member.id, member.status, member.incarnation};
  if (member.id == context.state.self.id) {
    ApplyStatus(context, status);
    return;
  }
  if (!IsValidRecord(member)) {
    context.Emit(MessageRefused{ResultCode::kInvalidField});
    return;
  }
  if (!context.state.members.contains(member.id)) {
    AddMember(context, member, is_spread);
    return;
  }
  ApplyStatus(context, status);
  // The digest in a record that others pass on is often older than the one
  // learnt from a HeldSetUpdate, so only the revision is taken.
  MemberEntry& entry = context.state.members.at(member.id);
  if (member.report.held_revision > entry.member.report.held_revision) {
    entry.member.report.held_revision = member.report.held_revision;
    context.Emit(MemberChanged{entry.member, entry.member.status});
  }
}

void ApplyStatus(const Context& context, const StatusUpdate& update) {
  if (!IsValidStatus(update.status)) {
    context.Emit(MessageRefused{ResultCode::kInvalidField});
    return;
  }
  MembershipState& state = context.state;
  if (update.member == state.self.id) {
    Refute(context, update);
    return;
  }
  const auto found = state.members.find(update.member);
  if (found == state.members.end()) {
    return;
  }
  MemberEntry& entry = found->second;
  if (!Prevails(update.status, update.incarnation, entry.member)) {
    return;
  }
  const bool was_known = IsKnown(entry);
  const MemberStatus previous = entry.member.status;
  entry.member.status = update.status;
  entry.member.incarnation = update.incarnation;
  if (update.status != previous) {
    SetDeadlines(context, entry);
  }
  if (update.status != MemberStatus::kFailed) {
    entry.is_forgotten = false;
  }
  if (was_known && !IsKnown(entry)) {
    state.last_departure = context.now;
  }
  QueueUpdate(context, update);
  if (update.status != previous) {
    context.Emit(MemberChanged{entry.member, previous});
  }
  RefreshDigest(context);
}

void ApplyReport(const Context& context,
                 const ReportUpdate& update,
                 bool is_spread) {
  const auto found = context.state.members.find(update.member);
  if (found == context.state.members.end()) {
    return;
  }
  Member& member = found->second.member;
  if (update.report.number <= member.report.number) {
    return;
  }
  const MemberReport before = member.report;
  member.report = update.report;
  // A HeldSetUpdate can have told of a higher revision already.
  member.report.held_revision =
      std::max(before.held_revision, update.report.held_revision);
  AddToHeldSet(context, update.member, update.report);
  if (is_spread) {
    QueueUpdate(context, update);
  }
  if (member.report.held_revision != before.held_revision ||
      member.report.set_digest != before.set_digest) {
    context.Emit(MemberChanged{member, member.status});
  }
}

void ApplyUpdates(const Context& context, const std::vector<Update>& updates) {
  const MembershipOptions& options = context.state.options;
  for (const Update& update : updates) {
    if (const auto* join = std::get_if<JoinUpdate>(&update)) {
      ApplyMember(context, join->member, true);
    } else if (const auto* status = std::get_if<StatusUpdate>(&update)) {
      ApplyStatus(context, *status);
    } else if (const auto* report = std::get_if<ReportUpdate>(&update)) {
      ApplyReport(context, *report, true);
    } else if (const auto* held = std::get_if<HeldSetUpdate>(&update)) {
      MergeHeldSet(context, *held);
    } else if (const auto* leaving =
                   std::get_if<BackendLeavingUpdate>(&update)) {
      if (RecordLeavingBackend(context, leaving->instance,
                               context.now + options.leaving_lifetime)) {
        context.Emit(BackendLeavingLearned{leaving->instance});
      }
    } else if (const auto* crash = std::get_if<CrashUpdate>(&update)) {
      if (RecordCrash(context, *crash, context.now + options.crash_lifetime)) {
        context.Emit(
            CrashLearned{crash->fingerprint,
                         TotalCrashes(context.state, crash->fingerprint)});
      }
    }
  }
}

void FailSuspects(const Context& context) {
  std::vector<StatusUpdate> failed;
  for (const auto& [id, entry] : context.state.members) {
    if (entry.member.status == MemberStatus::kSuspect &&
        context.now >= entry.suspicion_end) {
      failed.push_back(
          StatusUpdate{id, MemberStatus::kFailed, entry.member.incarnation});
    }
  }
  for (const StatusUpdate& update : failed) {
    ApplyStatus(context, update);
  }
}

void ForgetMembers(const Context& context) {
  MembershipState& state = context.state;
  bool has_changed = false;
  for (auto& [id, entry] : state.members) {
    if (entry.is_forgotten || entry.member.status != MemberStatus::kFailed) {
      continue;
    }
    if (!IsUnlisted(context, entry) && !IsReplaced(state, entry.member)) {
      continue;
    }
    entry.is_forgotten = true;
    entry.tombstone_end = context.now + state.options.tombstone_lifetime;
    state.last_departure = context.now;
    has_changed = true;
    context.Emit(MemberForgotten{entry.member});
  }
  std::erase_if(state.members, [&](const auto& entry) {
    return !IsKnown(entry.second) && context.now >= entry.second.tombstone_end;
  });
  if (has_changed) {
    RefreshDigest(context);
  }
}

}  // namespace boragewharf::membership
