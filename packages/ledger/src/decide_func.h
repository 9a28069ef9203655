/**
 * @file decide_func.h
 * Decides a claim or an outcome report against the entry of its key.
 */
#pragma once

#include <optional>

#include "ledger/ledger_state.h"

namespace boragewharf::ledger {

/** What a claim gets, and what has to be committed for it. */
struct ClaimDecision {
  ClaimVerdict verdict = ClaimVerdict::kUnavailable;  ///< The answer.
  StoredAnswer answer;                                ///< For kReplay.
  std::optional<Entry> change;  ///< New entry, if it differs.

  /**
   * A grant is answered only after a write, also one of an earlier commit:
   * the entry may be a stale copy of a former owner.
   */
  bool NeedsWrite() const { return this->verdict == ClaimVerdict::kGranted; }
};

/** What an outcome report gets, and what has to be committed for it. */
struct OutcomeDecision {
  OutcomeVerdict verdict = OutcomeVerdict::kNotHeld;  ///< The answer.
  std::optional<Entry> change;                        ///< New entry, if any.
};

/**
 * Whether the entry has passed the retention.
 */
bool IsExpired(const Entry& entry, const LedgerState& state);

/**
 * Decides a claim.
 * @param entry Unexpired entry of the key, or null.
 */
ClaimDecision DecideClaim(const LedgerState& state,
                          const RecentReleases& releases,
                          const Entry* entry,
                          const ClaimRequest& request);

/**
 * Decides an outcome report.
 * @param entry Unexpired entry of the key, or null.
 */
OutcomeDecision DecideOutcome(const LedgerState& state,
                              const Entry* entry,
                              const OutcomeReport& report);

}  // namespace boragewharf::ledger
