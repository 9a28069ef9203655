/**
 * @file scaling_cmd.h
 * Server orders of the duty holder.
 */
#pragma once

#include <vector>

#include "fleet/fleet_type.h"

namespace boragewharf::fleet {

/** Delay before a failed call to the platform is repeated. */
inline constexpr std::chrono::milliseconds kRetryPeriod(700);

/** Applies the result of OrderServers. */
void ApplyOrderAnswer(FleetState& state,
                      const ServersOrdered& answer,
                      TimePoint now,
                      std::vector<Effect>& effects);

/**
 * Orders the servers that the demand requires, if this deployment orders
 * servers.
 * @param permit Proof that this node holds the duty lease.
 */
void OrderNeededServers(FleetState& state,
                        const lease::Permit& permit,
                        TimePoint now,
                        std::vector<Effect>& effects);

}  // namespace boragewharf::fleet
