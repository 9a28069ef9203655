/**
 * @file lease_cmd.h
 * Who may grant serving leases, internal to the package.
 */
#pragma once

#include <cstdint>

#include "context.h"

namespace boragewharf::membership {

/** Whether enough members are known to know this process. */
bool IsConfirmed(const MembershipState& state, TimePoint now);

/**
 * Notes that a member knows this process; confirms it if that is enough.
 * @param sent_at When the ping that the member acknowledged was sent.
 */
void AddWitness(const Context& context, MemberId witness, TimePoint sent_at);

/** Lease that a ping of a known member is answered with; 0 for none. */
uint32_t LeaseToGrant(const MembershipState& state,
                      const Ping& ping,
                      TimePoint now);

}  // namespace boragewharf::membership
