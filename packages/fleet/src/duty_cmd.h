/**
 * @file duty_cmd.h
 * Work that only the holder of the duty lease does: usage reports, server
 * orders and saving of progress.
 */
#pragma once

#include <set>
#include <string>
#include <vector>

#include "fleet/fleet_type.h"

namespace boragewharf::fleet {

/** Whether this node holds the duty lease. */
bool HoldsDuties(const FleetState& state, TimePoint now);

/** Addresses of the other nodes that hold the duty lease or are candidates for
 * it. */
std::set<std::string> DutyHoldersAndCandidates(const FleetState& state,
                                               TimePoint now);

/** Applies the result of a call for the duty lease, or what is known of the
 * store from other calls. */
void ReduceLease(FleetState& state,
                 const lease::LeaseEvent& event,
                 TimePoint now,
                 std::vector<Effect>& effects);

/** Applies the result of FixUsage. */
void ApplyUsageFixed(FleetState& state,
                     const UsageFixed& fixed,
                     TimePoint now,
                     std::vector<Effect>& effects);

/** Applies the result of SendUsage. */
void ApplyUsageSent(FleetState& state,
                    const UsageSent& sent,
                    TimePoint now,
                    std::vector<Effect>& effects);

/** Updates this node's candidacy for the duty lease and, while it holds the
 * lease, makes the reports, saves and orders that are due. */
void AdvanceDuties(FleetState& state,
                   TimePoint now,
                   std::vector<Effect>& effects);

}  // namespace boragewharf::fleet
