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

/**
 * Sends the next message early and to all regions, if this node watches the
 * store. Used to pass on changes from the store without delay.
 * @param urgent Whether the change is one that other nodes need at once: a
 *     departure or a configuration. In a large deployment, other changes wait
 *     for the next periodic message.
 */
void ScheduleMessageNow(FleetState& state, bool urgent, TimePoint now);

/** Sends the next message as soon as the share of the links that messages may
 * take allows, in a deployment that is not large. */
void ScheduleEarlyMessage(FleetState& state, TimePoint now);

/** In a large deployment, announces departures and a new configuration before
 * the next periodic message. */
void SendUrgentMessage(FleetState& state,
                       TimePoint now,
                       std::vector<Effect>& effects);

/**
 * Decides whether this node watches the store. The nodes whose addresses have
 * the lowest hashes do so; a node also does so while it knows too few other
 * watchers.
 */
void UpdateStoreFollowing(FleetState& state,
                          TimePoint now,
                          std::vector<Effect>& effects);

}  // namespace boragewharf::fleet
