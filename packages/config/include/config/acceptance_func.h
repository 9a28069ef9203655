/**
 * @file acceptance_func.h
 * The rule that decides when a staged ticket may be accepted.
 */
#pragma once

#include <cstddef>
#include <cstdint>

#include "base/time_type.h"

namespace boragewharf::config {

/**
 * A serving lease (4 s) plus a margin for the clocks' rates and for the time
 * between the grant and its observation. Once it has passed since a member was
 * seen to hold a revision, no lease is left that it granted to a member
 * without that revision.
 */
inline constexpr Duration kLeaseRunOut = std::chrono::seconds(5);

/**
 * As kLeaseRunOut, with 5 s in which a holder that has meanwhile died is
 * noticed: a holder that restarts without the revision could otherwise exchange
 * leases with the one unheard member.
 */
inline constexpr Duration kUnheardRunOut = std::chrono::seconds(10);

/**
 * What a member knows about the distribution of the staged revision. Required
 * members are all known ones that have not left and that the instance list
 * still contains; unheard ones are those of them that are suspected or failed.
 */
struct AcceptanceInputs {
  bool members_observed = false;  ///< Whether the member table is known.
  size_t unheard = 0;             ///< Number of unheard members.
  bool heard_all_hold = false;    ///< All other required members hold it.
  bool digests_agree = false;     ///< All report the same member set.
  Duration since_last_hold{0};    ///< Since the last was observed to hold it.
  /** Since a member left or was forgotten, or this process started. */
  Duration since_departure{0};
};

enum class AcceptanceDecision : uint8_t {
  kAccept,          ///< The ticket may be accepted.
  kWaitForHolders,  ///< A heard member does not hold the revision.
  kWaitForLeases,   ///< Leases granted before may still be valid.
  kWaitForUnheard,  ///< Two or more unheard members may serve each other.
};

/**
 * Decides whether the staged ticket may be accepted. Acceptance means that
 * every member that may serve holds the revision.
 * @note Thread-safe; pure.
 */
AcceptanceDecision DecideAcceptance(const AcceptanceInputs& inputs);

}  // namespace boragewharf::config
