/**
 * @file duty_cmd.h
 * The duties of the node that holds the lease.
 */
#pragma once

#include <set>
#include <string>
#include <vector>

#include "fleet/fleet_type.h"

namespace boragewharf::fleet {

/** Whether this node holds the lease of the duties. */
bool HoldsDuties(const FleetState& state, TimePoint now);

/** The other nodes that hold the duties or may take them over. */
std::set<std::string> DutyNodes(const FleetState& state, TimePoint now);

/** Applies a result for the lease. */
void ReduceLease(FleetState& state,
                 const lease::LeaseEvent& event,
                 TimePoint now,
                 std::vector<Effect>& effects);

/** Applies the result of FixUsage. */
void TakeUsageFixed(FleetState& state,
                    const UsageFixed& fixed,
                    TimePoint now,
                    std::vector<Effect>& effects);

/** Applies the result of SendUsage. */
void TakeUsageSent(FleetState& state,
                   const UsageSent& sent,
                   TimePoint now,
                   std::vector<Effect>& effects);

/** Candidacy, renewals, due reports and orders. */
void AdvanceDuties(FleetState& state,
                   TimePoint now,
                   std::vector<Effect>& effects);

}  // namespace boragewharf::fleet
