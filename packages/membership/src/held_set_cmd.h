/**
 * @file held_set_cmd.h
 * Which members hold the highest configuration revision, internal to the
 * package.
 */
#pragma once

#include <vector>

#include "context.h"

namespace boragewharf::membership {

/** Ids that make up the member-set digest, this process included; sorted. */
std::vector<MemberId> KnownIds(const MembershipState& state);

/** Starts the set anew after the own digest or held revision changed. */
void RenewHeldSet(const Context& context);

/** Adds a member to the set if its report qualifies. */
void AddToHeldSet(const Context& context,
                  MemberId id,
                  const MemberReport& report);

/** Merges the set of another member. */
void MergeHeldSet(const Context& context, const HeldSetUpdate& update);

}  // namespace boragewharf::membership
