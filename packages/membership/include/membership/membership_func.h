/**
 * @file membership_func.h
 * The membership reducer and queries of its state.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/strong_id_type.h"
#include "base/time_type.h"
#include "membership/membership_event_type.h"
#include "membership/membership_state_type.h"

namespace boragewharf::membership {

/**
 * Creates the state of a process that knows of no other member.
 * @param self Record of this process; status, incarnation and report are set
 *     here.
 * @param seed For the random generator; must differ between processes.
 * @pre The names of @p self have at most 64 bytes.
 */
MembershipState MakeMembershipState(Member self,
                                    const MembershipOptions& options,
                                    uint64_t seed,
                                    TimePoint now);

/**
 * Applies one event. No clock, socket or random device is used. Any message is
 * accepted; one that is wrong changes nothing.
 * @pre @p now does not go back.
 * @param effects Receives what is to be done, in order.
 * @note Not thread-safe.
 */
void Reduce(MembershipState& state,
            const MembershipEvent& event,
            TimePoint now,
            std::vector<MembershipEffect>& effects);

/** Name of a status for operators. @note Thread-safe. */
std::string_view StatusName(MemberStatus status);

/** When the next Tick has work to do. */
TimePoint NextDeadline(const MembershipState& state);

/** Whether this process may serve requests at @p now. */
bool HoldsServingLease(const MembershipState& state, TimePoint now);

/**
 * Until when this process may serve requests if nothing else happens; the
 * maximum if it knows of no other member. Traffic threads compare it with the
 * clock, so that a paused process finds the lease lapsed.
 */
TimePoint ServingLeaseEnd(const MembershipState& state);

/** Members that are alive, this process included unless it leaves; by id. */
std::vector<Member> LiveMembers(const MembershipState& state);

/** Known members that are suspected or failed; by id. */
std::vector<Member> UnheardMembers(const MembershipState& state);

/** This process or another member, known or left but not forgotten. */
std::optional<Member> FindMember(const MembershipState& state, MemberId id);

/** The live member with the highest held revision, this process included. */
Member HighestHeldRevision(const MembershipState& state);

/**
 * Digest of the ids of all known members: this process and others that are
 * alive, suspected or failed, without those that left or were forgotten.
 */
uint64_t MemberSetDigest(const MembershipState& state);

/** Whether every live member reports this process's MemberSetDigest(). */
bool DigestsAgree(const MembershipState& state);

/**
 * When a member last left or was forgotten; at first the start of this
 * process, which does not know of earlier ones. Leases that the member granted
 * before can be valid for another 4 s.
 */
TimePoint LastDeparture(const MembershipState& state);

/**
 * Listed entry instances without a known member: they may run a process that
 * only unheard members know. Empty while no list was read.
 */
std::vector<std::string> ListedWithoutMember(const MembershipState& state);

/** Request to join, as FetchTable carries it. */
JoinRequest MakeJoinRequest(const MembershipState& state);

/** Answer to a JoinRequest. */
MemberTable MakeMemberTable(const MembershipState& state, TimePoint now);

}  // namespace boragewharf::membership
