/**
 * @file server_list_cmd.h
 * The server list: changes from the store and from other nodes, and what a node
 * knows better than a store that has come back from a copy.
 *
 * All functions run on the control thread.
 */
#pragma once

#include <vector>

#include "fleet/fleet_type.h"

namespace boragewharf::fleet {

/** Applies a complete list unless it is older than the known one. */
void ApplyServerList(FleetState& state,
                     const ServersRead& read,
                     TimePoint now,
                     std::vector<Effect>& effects);

/** Applies a change of one server. Changes of another era of the store than
 * that of the list are ignored, because they don't follow it. */
void ApplyServerChange(FleetState& state,
                       const ServerChanged& change,
                       TimePoint now,
                       std::vector<Effect>& effects);

/** Applies changes that were fetched from another node, of the same era only.
 */
void ApplyServersPatch(FleetState& state,
                       const ServersPatched& patch,
                       TimePoint now,
                       std::vector<Effect>& effects);

/** Marks servers as draining that a node with a newer server list announces
 * as departed. */
void ApplyDepartures(FleetState& state,
                     const serving::PeerMessage& message,
                     TimePoint now,
                     std::vector<Effect>& effects);

/** Removes servers whose entries lapsed and did not return, and uses listed
 * servers that were taken for removed but are still listed. */
void AdvanceServerList(FleetState& state,
                       TimePoint now,
                       std::vector<Effect>& effects);

/** Whether a server may be missing from the list only because its entry lapsed
 * during a store outage, or was lost when the store came back. */
bool EntriesMayBeMissing(const FleetState& state, TimePoint now);

/** Publishes changes that wait for the next tick. */
void PublishPendingList(FleetState& state,
                        TimePoint now,
                        std::vector<Effect>& effects);

}  // namespace boragewharf::fleet
