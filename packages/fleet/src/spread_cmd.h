/**
 * @file spread_cmd.h
 * What the nodes tell each other, and who learns from the store.
 *
 * All functions run on the control thread.
 */
#pragma once

#include <vector>

#include "fleet/fleet_type.h"

namespace boragewharf::fleet {

/** Milliseconds of the boot clock. */
int64_t BootMs(TimePoint now);

/**
 * Tells the other nodes. Loads are of use in the own region only, usage and
 * demand to the nodes that may hold the duties: bytes between regions are
 * dear.
 */
void SendMessage(FleetState& state,
                 TimePoint now,
                 std::vector<Effect>& effects);

/** A change that the store told is passed on without delay. */
void HastenMessage(FleetState& state, TimePoint now);

/**
 * Lets the nodes with the lowest ranks follow the store. A node that hears of
 * too few others which do so follows it itself.
 */
void DecideFollowing(FleetState& state,
                     TimePoint now,
                     std::vector<Effect>& effects);

/** Fetches newer state from another node, where the own watch lags. */
void CatchUp(FleetState& state, TimePoint now, std::vector<Effect>& effects);

}  // namespace boragewharf::fleet
