/**
 * @file fetch_cmd.h
 * Fetches of newer state from other nodes.
 *
 * All functions run on the control thread.
 */
#pragma once

#include <vector>

#include "fleet/fleet_type.h"

namespace boragewharf::fleet {

/** Fetches newer state from another node if this node does not watch the store
 * or its watch is late. */
void FetchNewerState(FleetState& state,
                     TimePoint now,
                     std::vector<Effect>& effects);

/** Handles the end of a fetch. */
void EndFetch(FleetState& state, const FetchEnded& fetch, TimePoint now);

}  // namespace boragewharf::fleet
