/**
 * @file held_set_cmd.cc
 * Which members hold the highest configuration revision.
 */
#include "held_set_cmd.h"

#include <algorithm>

#include "table_cmd.h"
#include "update_cmd.h"

namespace boragewharf::membership {
namespace {

constexpr size_t kBitsPerByte = 8;

bool HasBit(const std::string& bits, size_t index) {
  const auto byte = static_cast<uint8_t>(bits[index / kBitsPerByte]);
  return ((byte >> (index % kBitsPerByte)) & 1) != 0;
}

void SetBit(std::string& bits, size_t index) {
  const auto byte = static_cast<uint8_t>(bits[index / kBitsPerByte]);
  bits[index / kBitsPerByte] =
      static_cast<char>(byte | (1U << (index % kBitsPerByte)));
}

bool Qualifies(const HeldSetUpdate& set, const MemberReport& report) {
  return report.set_digest == set.set_digest &&
         report.held_revision >= set.revision;
}

// Takes over what the set says of a member, as if it had reported it.
void RecordHolder(const Context& context, MemberId id) {
  const auto found = context.state.members.find(id);
  if (found == context.state.members.end()) {
    return;
  }
  Member& member = found->second.member;
  const HeldSetUpdate& set = context.state.held_set;
  if (Qualifies(set, member.report)) {
    return;
  }
  member.report.set_digest = set.set_digest;
  member.report.held_revision =
      std::max(member.report.held_revision, set.revision);
  context.Emit(MemberChanged{member, member.status});
}

// An empty set with the members whose reports qualify.
HeldSetUpdate MakeSet(const MembershipState& state,
                      ConfigRevision revision,
                      const std::vector<MemberId>& ids) {
  HeldSetUpdate set;
  set.set_digest = state.self.report.set_digest;
  set.revision = revision;
  set.bits.assign((ids.size() + kBitsPerByte - 1) / kBitsPerByte, '\0');
  for (size_t i = 0; i < ids.size(); ++i) {
    const MemberReport& report = ids[i] == state.self.id
                                     ? state.self.report
                                     : state.members.at(ids[i]).member.report;
    if (Qualifies(set, report)) {
      SetBit(set.bits, i);
    }
  }
  return set;
}

}  // namespace

std::vector<MemberId> KnownIds(const MembershipState& state) {
  std::vector<MemberId> ids;
  if (state.self.status != MemberStatus::kLeaving) {
    ids.push_back(state.self.id);
  }
  for (const auto& [id, entry] : state.members) {
    if (IsKnown(entry)) {
      ids.push_back(id);
    }
  }
  std::sort(ids.begin(), ids.end());
  return ids;
}

void RenewHeldSet(const Context& context) {
  MembershipState& state = context.state;
  ConfigRevision revision = state.self.report.held_revision;
  if (state.held_set.set_digest == state.self.report.set_digest) {
    revision = std::max(revision, state.held_set.revision);
  }
  const auto ids = KnownIds(state);
  if (ids.empty()) {
    return;
  }
  HeldSetUpdate renewed = MakeSet(state, revision, ids);
  if (renewed.set_digest == state.held_set.set_digest &&
      renewed.revision == state.held_set.revision) {
    for (size_t i = 0; i < ids.size(); ++i) {
      if (HasBit(state.held_set.bits, i)) {
        SetBit(renewed.bits, i);
      }
    }
  }
  state.held_set = std::move(renewed);
  QueueUpdate(context, state.held_set);
}

void AddToHeldSet(const Context& context,
                  MemberId id,
                  const MemberReport& report) {
  HeldSetUpdate& set = context.state.held_set;
  if (!Qualifies(set, report)) {
    return;
  }
  const auto ids = KnownIds(context.state);
  const auto found = std::lower_bound(ids.begin(), ids.end(), id);
  const auto index = static_cast<size_t>(found - ids.begin());
  if (found == ids.end() || *found != id || HasBit(set.bits, index)) {
    return;
  }
  SetBit(set.bits, index);
  QueueUpdate(context, set);
}

void MergeHeldSet(const Context& context, const HeldSetUpdate& update) {
  MembershipState& state = context.state;
  const auto ids = KnownIds(state);
  HeldSetUpdate& set = state.held_set;
  const size_t expected_bytes = (ids.size() + kBitsPerByte - 1) / kBitsPerByte;
  if (update.set_digest != state.self.report.set_digest ||
      update.bits.size() != expected_bytes ||
      set.set_digest != update.set_digest || update.revision < set.revision) {
    return;
  }
  if (update.revision > set.revision) {
    set = MakeSet(state, update.revision, ids);
  }
  const HeldSetUpdate before = set;
  for (size_t i = 0; i < ids.size(); ++i) {
    if (HasBit(update.bits, i) && !HasBit(set.bits, i) &&
        ids[i] != state.self.id) {
      SetBit(set.bits, i);
      RecordHolder(context, ids[i]);
    }
  }
  // Sent again if it tells more than the last one sent or the one received.
  if (set.bits != before.bits || set.bits != update.bits) {
    QueueUpdate(context, set);
  }
}

}  // namespace boragewharf::membership
