/**
 * @file decide_func.cc
 * Decides a claim or an outcome report against the entry of its key.
 */
#include "decide_func.h"

#include <algorithm>

namespace boragewharf::ledger {

namespace {

constexpr size_t kContentTypeBytes = 256;

ClaimDecision Grant(const LedgerState& state,
                    const Entry* entry,
                    const ClaimRequest& request) {
  Entry claimed;
  claimed.key = request.key;
  claimed.claim = request.claim;
  claimed.request = request.request;
  claimed.claimant = request.claimant;
  claimed.state = EntryState::kClaimed;
  claimed.changed = entry ? std::max(entry->changed, state.wall) : state.wall;
  return {ClaimVerdict::kGranted, {}, claimed};
}

ClaimDecision DecideHeld(const LedgerState& state,
                         const Entry& entry,
                         const ClaimRequest& request) {
  if (entry.request != request.request) {
    return {ClaimVerdict::kReused, {}, {}};
  }
  if (entry.state == EntryState::kFinished) {
    return {ClaimVerdict::kReplay, entry.answer, {}};
  }
  const bool same_claim =
      entry.claim == request.claim && entry.claimant == request.claimant;
  if (same_claim && !entry.unresolved) {
    return {ClaimVerdict::kGranted, {}, {}};
  }
  if (entry.unresolved || !state.live.contains(entry.claimant)) {
    return {ClaimVerdict::kUnresolved, {}, {}};
  }
  return {ClaimVerdict::kInFlight, {}, {}};
}

Entry WithAnswer(const LedgerState& state,
                 const Entry& entry,
                 const StoredAnswer& answer) {
  Entry finished = entry;
  finished.state = EntryState::kFinished;
  finished.unresolved = false;
  finished.answer = answer;
  finished.answer.content_type.resize(
      std::min(answer.content_type.size(), kContentTypeBytes));
  if (!answer.body_kept || answer.body.size() > state.options.body_bytes) {
    finished.answer.body_kept = false;
    finished.answer.body.clear();
  }
  return finished;
}

/**
 * New entry after a report by the claim that holds or last held the key. The
 * first of several differing reports stands, except that a report of having
 * run replaces a release: the key must not be granted again then.
 */
std::optional<Entry> ApplyReport(const LedgerState& state,
                                 const Entry& entry,
                                 const OutcomeReport& report) {
  if (entry.state == EntryState::kFinished) {
    return std::nullopt;
  }
  if (report.outcome == Outcome::kFinished) {
    return WithAnswer(state, entry, report.answer);
  }
  Entry changed = entry;
  if (report.outcome == Outcome::kReleased) {
    if (entry.state == EntryState::kReleased || entry.unresolved) {
      return std::nullopt;
    }
    changed.state = EntryState::kReleased;
    return changed;
  }
  changed.state = EntryState::kClaimed;
  changed.unresolved = true;
  return changed == entry ? std::nullopt : std::optional(changed);
}

}  // namespace

bool IsExpired(const Entry& entry, const LedgerState& state) {
  return entry.changed + state.options.retention <= state.wall;
}

ClaimDecision DecideClaim(const LedgerState& state,
                          const RecentReleases& releases,
                          const Entry* entry,
                          const ClaimRequest& request) {
  if (releases.keys.contains(request.claim)) {
    return {ClaimVerdict::kUnavailable, {}, {}};
  }
  if (!entry) {
    return Grant(state, entry, request);
  }
  if (entry->state != EntryState::kReleased) {
    return DecideHeld(state, *entry, request);
  }
  if (entry->claim == request.claim) {
    return {ClaimVerdict::kUnavailable, {}, {}};
  }
  return Grant(state, entry, request);
}

OutcomeDecision DecideOutcome(const LedgerState& state,
                              const Entry* entry,
                              const OutcomeReport& report) {
  if (!entry || entry->claim != report.claim) {
    return {OutcomeVerdict::kNotHeld, std::nullopt};
  }
  std::optional<Entry> changed = ApplyReport(state, *entry, report);
  if (changed) {
    changed->changed = std::max(entry->changed, state.wall);
  }
  return {OutcomeVerdict::kRecorded, std::move(changed)};
}

}  // namespace boragewharf::ledger
