/**
 * @file spread_cmd.h
 * Messages between the nodes, and the choice of the nodes that watch the store.
 *
 * All functions run on the control thread.
 */
#pragma once

#include <map>
#include <vector>

#include "fleet/fleet_type.h"

namespace boragewharf::fleet {

/** Converts a time to milliseconds of the boot clock. */
int64_t BootMs(TimePoint now);

/**
 * Sends this node's state to the other nodes if a message is due. Server loads
 * go only to nodes in the same region, usage and demand only to nodes that hold
 * or may take over the duty lease, because traffic between regions is
 * expensive.
 */
void SendMessage(FleetState& state,
                 TimePoint now,
                 std::vector<Effect>& effects);

/** Prompt tokens per millisecond of a server, by service, as measured by this
 * node and all that are not silent. */
std::map<serving::NameHash, double> PrefillSpeeds(const FleetState& state,
                                                  TimePoint now);

/** Makes the next message due now and send it to all regions, if this node
 * watches the store. Used to pass on changes from the store without delay. */
void ScheduleMessageNow(FleetState& state, TimePoint now);

/**
 * Decides whether this node watches the store. The nodes whose addresses have
 * the lowest hashes do so; a node also does so while it knows too few other
 * watchers.
 */
void UpdateStoreFollowing(FleetState& state,
                          TimePoint now,
                          std::vector<Effect>& effects);

/** Fetches newer state from another node if this node does not watch the store
 * or its watch is late. */
void FetchNewerState(FleetState& state,
                     TimePoint now,
                     std::vector<Effect>& effects);

}  // namespace boragewharf::fleet
