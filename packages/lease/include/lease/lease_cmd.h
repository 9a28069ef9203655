/**
 * @file lease_cmd.h
 * State transitions of the duty leases.
 */
#pragma once

#include <vector>

#include "lease/lease_type.h"

namespace boragewharf::lease {

/**
 * Applies one event to the state and collects the resulting effects.
 * @param now Current boot clock time; must not decrease between calls.
 * @param effects Output; new effects are appended.
 * @pre The caller answers each ReadLease and WriteLease with exactly one event.
 * @note Not thread-safe.
 */
void Reduce(LeaseState& state,
            const LeaseEvent& event,
            TimePoint now,
            std::vector<LeaseEffect>& effects);

}  // namespace boragewharf::lease
