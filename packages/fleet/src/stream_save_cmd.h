/**
 * @file stream_save_cmd.h
 * Saves of begun streams, and their restoration after a restart.
 */
#pragma once

#include <vector>

#include "fleet/fleet_type.h"

namespace boragewharf::fleet {

/** Applies an event of the saves. */
void ReduceStreamEvent(FleetState& state,
                       const StreamEvent& event,
                       TimePoint now,
                       std::vector<Effect>& effects);

/** Reads the saves if that is due. */
void AdvanceStreamRestore(FleetState& state,
                          TimePoint now,
                          std::vector<Effect>& effects);

}  // namespace boragewharf::fleet
