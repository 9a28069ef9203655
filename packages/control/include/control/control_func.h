/**
 * @file control_func.h
 * The reducer over all events of a daemon, and queries of its state.
 */
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "control/control_type.h"

namespace boragewharf::control {

/** What distinguishes a daemon. */
struct ControlIdentity {
  membership::Member self;       ///< Record of this process.
  uint64_t seed = 0;             ///< For jitter; differs between processes.
  ledger::LedgerOptions ledger;  ///< Bounds of the ledger.
};

/** State of a process that has just started. */
ControlState MakeControlState(const ControlIdentity& identity, TimePoint now);

/**
 * Applies one event to the module that it concerns, and carries the
 * consequences to the other modules.
 * @pre @p now does not go back.
 * @param effects Receives what has to be done, in order.
 * @note Not thread-safe; only the control thread calls it. Uses no clock,
 *     socket, lock or random device.
 */
void Reduce(ControlState& state,
            const Event& event,
            TimePoint now,
            std::vector<Effect>& effects);

/**
 * The configuration in force here: that of the staged ticket, if one is held.
 * A staged ticket is never withdrawn, so a member that uses it at once never
 * goes back, and an accepted one is in force wherever it is held.
 * @return Null if no document is held yet.
 */
std::shared_ptr<const config::Configuration> ConfigurationInForce(
    const ControlState& state);

/** Short state for operators, as JSON text. */
std::string StatusJson(const ControlState& state, TimePoint now);

/** Whole state without secrets, as JSON text. */
std::string DumpJson(const ControlState& state, TimePoint now);

}  // namespace boragewharf::control
