/**
 * @file table_cmd.h
 * Changes of the member table, internal to the package.
 */
#pragma once

#include "context.h"

namespace boragewharf::membership {

/** Whether a member counts as known: not left, not forgotten. */
bool IsKnown(const MemberEntry& entry);

/** Whether this process knows of another member. */
bool KnowsOthers(const MembershipState& state);

/** Recomputes the own digest and reports it if it changed. */
void RefreshDigest(const Context& context);

/** Reports a change of this process to the other members. */
void PublishOwnReport(const Context& context);

/**
 * Adds a member or merges news of it.
 * @param is_spread Whether a new member is told to others.
 */
void ApplyMember(const Context& context, const Member& member, bool is_spread);

/** Merges a status; a claim that this process is gone is refuted. */
void ApplyStatus(const Context& context, const StatusUpdate& update);

/**
 * Merges a report.
 * @param is_spread Whether it is told to others.
 */
void ApplyReport(const Context& context,
                 const ReportUpdate& update,
                 bool is_spread);

/** Spreads the own report if it is due and digests differ. */
void SpreadOwnReport(const Context& context);

/** Applies the updates of a datagram. */
void ApplyUpdates(const Context& context, const std::vector<Update>& updates);

/** Marks suspected members failed whose time to refute is over. */
void FailSuspects(const Context& context);

/** Forgets failed members whose instance is gone, and drops tombstones. */
void ForgetMembers(const Context& context);

}  // namespace boragewharf::membership
