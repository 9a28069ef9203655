/**
 * @file lease_func.h
 * The right to act on a duty, and the text form of the lease record.
 */
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "lease/lease_type.h"
#include "lease/permit_base.h"

namespace boragewharf::lease {

/**
 * Whether this member may give orders for a duty.
 * @param fencing Whether the addressed server checks the number.
 * @param now Fresh reading of the boot clock; the process may have been paused
 *     since the last event.
 * @return The right to give orders; empty optional with kLeaseLost and the
 *     reason as detail.
 * @note Not thread-safe with Reduce().
 */
std::optional<Permit> IssuePermit(const LeaseState& state,
                                  std::string_view duty,
                                  ServerFencing fencing,
                                  TimePoint now);

/** JSON text of a record. @note Thread-safe. */
std::string EncodeLease(const LeaseRecord& record);

/**
 * Inverse of EncodeLease().
 * @return Empty optional with kNewerFormat or kStoreMalformed; the object is
 *     then left unchanged.
 * @note Thread-safe.
 */
std::optional<LeaseRecord> DecodeLease(std::string_view text);

}  // namespace boragewharf::lease
