/**
 * @file progress_read_cmd.h
 * Reading of the saved progress.
 */
#pragma once

#include <vector>

#include "fleet/fleet_type.h"

namespace boragewharf::fleet {

/** Has the saved progress read, now and until that succeeds. */
void WantProgress(FleetState& state,
                  TimePoint now,
                  std::vector<Effect>& effects);

/** Reads the progress if that is due. */
void AdvanceProgressRead(FleetState& state,
                         TimePoint now,
                         std::vector<Effect>& effects);

/** Ends a read that has yielded the progress. */
void EndProgressRead(FleetState& state, TimePoint now);

/** Ends a read that has failed. */
void ApplyProgressReadFailed(FleetState& state,
                             const ProgressReadFailed& failed,
                             TimePoint now,
                             std::vector<Effect>& effects);

}  // namespace boragewharf::fleet
