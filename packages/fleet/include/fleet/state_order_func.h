/**
 * @file state_order_func.h
 * Order of configurations and server lists of this node and of others.
 *
 * Revisions of the store are given out again when it comes back from a copy, so
 * that they are compared within an era of the store only. All functions are
 * thread-safe.
 */
#pragma once

#include "fleet/fleet_type.h"
#include "fleet/list_order_type.h"
#include "serving/peer_type.h"

namespace boragewharf::fleet {

/** Position of this node's server list. */
ListOrder ServersOrder(const FleetState& state);

/** Position of this node's configuration. */
ConfigOrder OrderOfConfig(const FleetState& state);

/** Position of another node's server list. */
ListOrder ServersOrderOf(const serving::NodeStatus& status);

/** Position of another node's configuration. */
ConfigOrder ConfigOrderOf(const serving::NodeStatus& status);

/** Whether another node has a newer server list. That of a node of an earlier
 * version, which does not know of eras, is newer than none only, unless the
 * store has no eras. */
bool HasNewerServers(const FleetState& state,
                     const serving::NodeStatus& status);

/** Whether another node has a newer configuration; as in HasNewerServers(). */
bool HasNewerConfig(const FleetState& state, const serving::NodeStatus& status);

/** Whether the store is known to have eras. */
bool KnowsEras(const FleetState& state);

}  // namespace boragewharf::fleet
