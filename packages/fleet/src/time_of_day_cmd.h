/**
 * @file time_of_day_cmd.h
 * Estimate of the time of day that the nodes agree on.
 */
#pragma once

#include <vector>

#include "fleet/fleet_type.h"

namespace boragewharf::fleet {

/**
 * Updates the estimate of the time of day. Steps of this node's clock do not
 * change it. It is replaced at once by an older estimate that a majority of the
 * nodes has confirmed, and otherwise only after the majority has disagreed with
 * it for a while.
 */
void FollowClock(FleetState& state,
                 int64_t clock_ms,
                 TimePoint now,
                 std::vector<Effect>& effects);

/**
 * Compares the estimate with the time of the last save. If the estimate is
 * earlier, the clock has stepped back, and the estimate is replaced by the
 * saved time. This takes precedence over what nodes that started together agree
 * on.
 */
void ApplySavedWallTime(FleetState& state,
                        const ProgressRead& read,
                        TimePoint now,
                        std::vector<Effect>& effects);

}  // namespace boragewharf::fleet
