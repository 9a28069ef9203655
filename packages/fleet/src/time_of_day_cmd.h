/**
 * @file time_of_day_cmd.h
 * The time of day that the nodes agree on.
 */
#pragma once

#include <vector>

#include "fleet/fleet_type.h"

namespace boragewharf::fleet {

/**
 * Follows the time of day. The estimate is kept while the clock jumps. It gives
 * way at once to one that most nodes agreed on earlier, else only if most other
 * nodes disagree with it for a while.
 */
void FollowClock(FleetState& state,
                 int64_t clock_ms,
                 TimePoint now,
                 std::vector<Effect>& effects);

/**
 * A clock that is behind what a process saved earlier has stepped back. Goes
 * before what processes that started together agree on.
 */
void TakeSavedWall(FleetState& state,
                   const ProgressRead& read,
                   TimePoint now,
                   std::vector<Effect>& effects);

}  // namespace boragewharf::fleet
