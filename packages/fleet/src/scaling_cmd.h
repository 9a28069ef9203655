/**
 * @file scaling_cmd.h
 * Orders of servers by the holder of the duties.
 */
#pragma once

#include <vector>

#include "fleet/fleet_type.h"

namespace boragewharf::fleet {

/** Time between tries of a call to the platform. */
inline constexpr std::chrono::milliseconds kRetryPeriod(700);

/** Applies the result of OrderServers. */
void TakeOrderAnswer(FleetState& state,
                     const ServersOrdered& answer,
                     TimePoint now,
                     std::vector<Effect>& effects);

/**
 * Orders the servers that the demand needs, if that is a duty here.
 * @param permit The right of this node to give orders.
 */
void OrderNeededServers(FleetState& state,
                        const lease::Permit& permit,
                        TimePoint now,
                        std::vector<Effect>& effects);

}  // namespace boragewharf::fleet
