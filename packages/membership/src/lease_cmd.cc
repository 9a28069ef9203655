/**
 * @file lease_cmd.cc
 * Who may grant serving leases.
 */
#include "lease_cmd.h"

#include <algorithm>

#include "table_cmd.h"

namespace boragewharf::membership {
namespace {

// How many members must have acknowledged this process: all but one, because
// an acceptance disregards one unheard member.
size_t NeededWitnesses(const MembershipState& state) {
  const auto known = static_cast<size_t>(
      std::count_if(state.members.begin(), state.members.end(),
                    [](const auto& entry) { return IsKnown(entry.second); }));
  return std::min(known == 0 ? 0 : known - 1, state.options.max_witnesses);
}

}  // namespace

// Confirmation lasts as long as the lease, and at first one lease period.
bool IsConfirmed(const MembershipState& state, TimePoint now) {
  return state.is_confirmed &&
         now < std::max(state.lease_end, state.confirmed_until);
}

// A process that just started, or whose lease lapsed, may be unknown to the
// member that accepts a configuration, or be the one that it disregards. It
// grants no leases until enough members have confirmed within a short time
// that they know it, and then only once it holds what they held. Otherwise two
// such processes that are cut off together would keep up each other's leases
// with an earlier configuration.
void AddWitness(const Context& context, MemberId witness, TimePoint sent_at) {
  MembershipState& state = context.state;
  state.witnesses[witness] = sent_at;
  std::erase_if(state.witnesses, [&](const auto& entry) {
    return context.now - entry.second > state.options.witness_lifetime;
  });
  // Without a table it is not known how many members there are.
  if (!state.has_joined || state.witnesses.size() < NeededWitnesses(state)) {
    return;
  }
  state.witnesses.clear();
  state.is_confirmed = true;
  state.confirmed_until = sent_at + state.options.lease;
  for (const auto& [id, entry] : state.members) {
    if (IsKnown(entry)) {
      state.grant_revision =
          std::max(state.grant_revision, entry.member.report.held_revision);
    }
  }
}

// A leaving member is not waited for when a configuration is accepted, so it
// must not vouch for others either.
uint32_t LeaseToGrant(const MembershipState& state,
                      const Ping& ping,
                      TimePoint now) {
  const ConfigRevision needed =
      std::max(state.self.report.held_revision, state.grant_revision);
  if (state.self.status == MemberStatus::kLeaving || !IsConfirmed(state, now) ||
      state.self.report.held_revision < state.grant_revision ||
      ping.report.held_revision < needed) {
    return 0;
  }
  // A process that is not confirmed may be unknown to the others; its lease
  // must not outlast that of a member that they know.
  const TimePoint own_end = std::max(state.lease_end, state.confirmed_until);
  const Duration lease = ping.is_confirmed
                             ? state.options.lease
                             : std::min(state.options.lease, own_end - now);
  return static_cast<uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(lease).count());
}

}  // namespace boragewharf::membership
