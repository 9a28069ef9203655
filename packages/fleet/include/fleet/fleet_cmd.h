/**
 * @file fleet_cmd.h
 * The reducer of a node's control state.
 */
#pragma once

#include <vector>

#include "fleet/fleet_type.h"
#include "fleet/incarnation_func.h"

namespace boragewharf::fleet {

/**
 * Applies one event.
 * @param now Reading of the boot clock; does not decrease.
 * @param effects Effects are appended.
 * @note Not thread-safe; only the control thread calls it.
 */
void Reduce(FleetState& state,
            const Event& event,
            TimePoint now,
            std::vector<Effect>& effects);

/** Time between datagrams; grows with the fleet to bound their cost. */
Duration MessagePeriod(const FleetState& state);

/** Whether this node can serve requests. */
bool IsReady(const FleetState& state);

/** The nodes that a client in @p region should use, this one included. */
std::vector<std::string> NodesForClient(const FleetState& state,
                                        std::string_view region,
                                        TimePoint now);

/**
 * The nodes that a client should use while none is ready: those that were told
 * to stop last, as they go on serving for longest.
 */
std::vector<std::string> LastNodesToStop(const FleetState& state,
                                         TimePoint now);

}  // namespace boragewharf::fleet
