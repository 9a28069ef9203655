/**
 * @file lease_func.h
 * Permission checks for a duty, and JSON encoding of the lease record.
 */
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "lease/lease_type.h"
#include "lease/permit_base.h"

namespace boragewharf::lease {

/**
 * Issues a permit to send orders for a duty, if this member holds its lease.
 * @param fencing Whether the receiving server checks fencing numbers.
 * @param now Current boot clock time, read just before the call, because the
 *     process may have been paused since the last event.
 * @return The permit; otherwise an empty optional with kLeaseLost and the
 *     reason as detail.
 * @note Must not run concurrently with Reduce().
 */
std::optional<Permit> IssuePermit(const LeaseState& state,
                                  std::string_view duty,
                                  ServerFencing fencing,
                                  TimePoint now);

/** Encodes a record as JSON. @note Thread-safe. */
std::string EncodeLease(const LeaseRecord& record);

/**
 * Decodes the output of EncodeLease().
 * @return The record, or an empty optional with kNewerFormat or
 *     kStoreMalformed. After a failure the caller must not overwrite the stored
 *     object.
 * @note Thread-safe.
 */
std::optional<LeaseRecord> DecodeLease(std::string_view text);

}  // namespace boragewharf::lease
