/**
 * @file list_confirmation_cmd.h
 * Whether the server list is that of the store, as the store itself says.
 */
#pragma once

#include <vector>

#include "fleet/fleet_type.h"

namespace boragewharf::fleet {

/** Whether this node hears most of the nodes that it knows, itself included. */
bool HearsMostNodes(const FleetState& state, TimePoint now);

/** Whether this node watches the store and still may rely on that. Its watch
 * waits for seconds, and does not notice at once that it is cut off. While most
 * nodes are not heard either, only a recent confirmation counts. */
bool WatchesStore(const FleetState& state, TimePoint now);

/** Applies the wish of the data plane. */
void WantListConfirmation(FleetState& state,
                          const ListConfirmationWanted& wanted,
                          TimePoint now,
                          std::vector<Effect>& effects);

/** Applies the answer of the store. */
void ApplyListConfirmed(FleetState& state,
                        const ListConfirmed& answer,
                        TimePoint now,
                        std::vector<Effect>& effects);

/** Makes the calls that are due. Called with each tick. */
void AdvanceListConfirmation(FleetState& state,
                             TimePoint now,
                             std::vector<Effect>& effects);

}  // namespace boragewharf::fleet
