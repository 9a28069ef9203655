/**
 * @file lease_cmd.h
 * The reducer of the duty leases.
 */
#pragma once

#include <vector>

#include "lease/lease_type.h"

namespace boragewharf::lease {

/**
 * Applies one event.
 * @param now Reading of the boot clock; does not decrease.
 * @param effects Effects are appended.
 * @pre Each ReadLease and WriteLease is answered by exactly one event.
 * @note Not thread-safe.
 */
void Reduce(LeaseState& state,
            const LeaseEvent& event,
            TimePoint now,
            std::vector<LeaseEffect>& effects);

}  // namespace boragewharf::lease
