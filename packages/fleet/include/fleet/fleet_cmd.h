/**
 * @file fleet_cmd.h
 * Reducer that applies events to a node's control state.
 */
#pragma once

#include <set>
#include <string>
#include <vector>

#include "fleet/fleet_type.h"
#include "fleet/incarnation_func.h"

namespace boragewharf::fleet {

/**
 * Applies one event to the control state.
 * @param now Current time on the boot clock; must not decrease between calls.
 * @param effects Receives the actions that the caller has to carry out; they
 * are appended.
 * @note Not thread-safe; only the control thread calls it.
 */
void Reduce(FleetState& state,
            const Event& event,
            TimePoint now,
            std::vector<Effect>& effects);

/** Interval between datagrams to peers. It grows with the number of nodes,
 * which bounds the cost of sending. */
Duration MessagePeriod(const FleetState& state);

/** Whether this node can serve requests: it has a configuration and a server
 * list, and has not been told to stop. */
bool IsReady(const FleetState& state);

/** Addresses of the ready nodes that a client in @p region should use. May
 * include this node. */
std::vector<std::string> NodesForClient(const FleetState& state,
                                        std::string_view region,
                                        TimePoint now);

/** The server list to be passed on to other nodes. A node that does not watch
 * the store passes on what it was given; its own decisions on servers that
 * lapsed or are withheld have no revision. */
std::vector<serving::BackendServer> ServersForPeers(const FleetState& state);

/** Ids of those of ServersForPeers() that are kept only in case they return. */
std::set<std::string> LapsedServersForPeers(const FleetState& state);

/**
 * Addresses of the nodes that a client should use while no node is ready: the
 * nodes that were told to stop last, because they keep serving for the longest
 * time.
 */
std::vector<std::string> LastNodesToStop(const FleetState& state,
                                         TimePoint now);

}  // namespace boragewharf::fleet
