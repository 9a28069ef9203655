/**
 * @file ledger_func.h
 * The ledger reducer: group commit of claims and their recovery.
 */
#pragma once

#include <optional>
#include <vector>

#include "ledger/ledger_state.h"

namespace boragewharf::ledger {

/**
 * State of a member that owns no shard yet.
 * @param self Id of this process; no other process may ever have had it.
 * @param seed Seed of the jitter.
 * @pre options.shard_count is not 0.
 */
LedgerState MakeLedgerState(MemberId self,
                            const LedgerOptions& options,
                            uint64_t seed);

/**
 * When the next Tick is due, so that paced writes and backoffs end in time.
 * @return Empty optional if nothing is waiting.
 * @note Not thread-safe.
 */
std::optional<TimePoint> NextWake(const LedgerState& state);

/**
 * Applies one event.
 * @param now Present time; never earlier than in the call before.
 * @param effects Effects to execute are appended, in order. Every call is
 *     answered exactly once.
 * @note Not thread-safe; uses no clock, socket, lock or random device.
 */
void Reduce(LedgerState& state,
            const LedgerEvent& event,
            TimePoint now,
            std::vector<LedgerEffect>& effects);

}  // namespace boragewharf::ledger
