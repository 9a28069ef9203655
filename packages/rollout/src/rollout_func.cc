/**
 * @file rollout_func.cc
 * Encoding, bounds and merging of what nodes tell each other of roll-outs.
 */
#include "rollout/rollout_func.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <tuple>

#include "base/body_func.h"
#include "serving/peer_extension_type.h"

namespace boragewharf::rollout {
namespace {

using std::chrono::milliseconds;

/** Times longer than this are cut: 1 day, the longest `within_s`. */
constexpr uint32_t kMaxAgeMs = 86400000;

uint32_t AgeMs(TimePoint since, TimePoint now) {
  const auto age = std::chrono::duration_cast<milliseconds>(now - since);
  return static_cast<uint32_t>(std::clamp<int64_t>(age.count(), 0, kMaxAgeMs));
}

bool IsValid(const RolloutDecision& decision) {
  return IsUsableName(decision.service) && IsUsableName(decision.target) &&
         decision.phase <= Phase::kRolledBack &&
         decision.banned.size() <= kMaxBanned &&
         std::ranges::all_of(decision.banned, IsUsableName) &&
         decision.within_ms <= kMaxAgeMs &&
         decision.request_age_ms <= kMaxAgeMs &&
         decision.decision_age_ms <= kMaxAgeMs;
}

/** Logarithm of the longest time that is believed, in ms (1 day). */
constexpr float kMaxLog = 18.3F;

bool IsValid(const TimeRow& row) {
  const float most = kMaxLog * static_cast<float>(row.count) + 1;
  return std::isfinite(row.log_sum) && std::isfinite(row.square_sum) &&
         std::abs(row.log_sum) <= most && row.square_sum >= 0 &&
         row.square_sum <= kMaxLog * most;
}

bool IsValid(const RolloutEvidence& evidence) {
  return IsUsableName(evidence.service) && IsUsableName(evidence.target) &&
         std::ranges::all_of(evidence.failures,
                             [](const FailureRow& row) {
                               return row.failures <= row.attempts;
                             }) &&
         std::ranges::all_of(evidence.times,
                             [](const TimeRow& row) { return IsValid(row); });
}

/** Whether the target may get more requests in a phase than in another. */
bool Raises(Phase next, Phase known) {
  const auto rank = [](Phase phase) {
    switch (phase) {
      case Phase::kStopped:
      case Phase::kRolledBack:
        return 0;
      case Phase::kObserve:
        return 1;
      case Phase::kLoad:
        return 2;
      case Phase::kShift:
      case Phase::kDone:
        return 3;
    }
    return 0;
  };
  return rank(next) > rank(known);
}

}  // namespace

bool IsUsableName(std::string_view name) {
  return !name.empty() && name.size() <= kMaxNameBytes;
}

const char* NameOf(Phase phase) {
  switch (phase) {
    case Phase::kObserve:
      return "observe";
    case Phase::kLoad:
      return "load";
    case Phase::kShift:
      return "shift";
    case Phase::kStopped:
      return "stopped";
    case Phase::kDone:
      return "done";
    case Phase::kRolledBack:
      return "rolled_back";
  }
  return "unknown";
}

std::string EncodeDecisions(DecisionList decisions, TimePoint now) {
  if (decisions.size() > kMaxRollouts) {
    decisions.resize(kMaxRollouts);
  }
  for (RolloutDecision& decision : decisions) {
    decision.request_age_ms = AgeMs(decision.requested, now);
    decision.decision_age_ms = AgeMs(decision.confirmed, now);
  }
  return EncodeBody(decisions);
}

std::optional<DecisionList> DecodeDecisions(std::string_view bytes,
                                            TimePoint now) {
  auto decisions = DecodeBody<DecisionList>(bytes);
  if (!decisions || decisions->size() > kMaxRollouts ||
      !std::ranges::all_of(*decisions, [](const RolloutDecision& decision) {
        return IsValid(decision);
      })) {
    return std::nullopt;
  }
  for (RolloutDecision& decision : *decisions) {
    decision.requested = now - milliseconds(decision.request_age_ms);
    decision.confirmed = now - milliseconds(decision.decision_age_ms);
  }
  return decisions;
}

std::string EncodeEvidence(EvidenceList evidence) {
  if (evidence.size() > kMaxRollouts) {
    evidence.resize(kMaxRollouts);
  }
  std::string bytes = EncodeBody(evidence);
  while (bytes.size() > serving::kMaxExtensionBytes) {
    for (RolloutEvidence& entry : evidence) {
      entry.failures.resize(entry.failures.size() * 3 / 4);
      entry.times.resize(entry.times.size() * 3 / 4);
    }
    bytes = EncodeBody(evidence);
  }
  return bytes;
}

std::optional<EvidenceList> DecodeEvidence(std::string_view bytes) {
  if (bytes.size() > serving::kMaxExtensionBytes) {
    return std::nullopt;
  }
  auto evidence = DecodeBody<EvidenceList>(bytes);
  if (!evidence || evidence->size() > kMaxRollouts ||
      !std::ranges::all_of(*evidence, [](const RolloutEvidence& entry) {
        return IsValid(entry);
      })) {
    return std::nullopt;
  }
  return evidence;
}

bool IsFinal(Phase phase) {
  return phase == Phase::kDone || phase == Phase::kRolledBack;
}

bool Ban(RolloutDecision& decision, const std::string& version) {
  if (std::ranges::find(decision.banned, version) != decision.banned.end()) {
    return false;
  }
  if (decision.banned.size() >= kMaxBanned) {
    decision.banned.erase(decision.banned.begin());
  }
  decision.banned.push_back(version);
  return true;
}

bool MergeDecision(RolloutDecision& known,
                   const RolloutDecision& told,
                   Duration raise_limit,
                   TimePoint now) {
  bool changed = false;
  const bool same_target = known.target == told.target;
  // Nodes may first see the same target at different revisions.
  const auto order = [&](const RolloutDecision& decision) {
    return std::tuple(same_target ? 0 : decision.revision, decision.fencing,
                      decision.sequence);
  };
  const bool later = order(told) > order(known);
  if (same_target && order(told) == order(known)) {
    known.confirmed = std::max(known.confirmed, told.confirmed);
  }
  const bool leaves_final =
      same_target && IsFinal(known.phase) && told.phase != known.phase;
  const bool stale_raise = same_target && Raises(told.phase, known.phase) &&
                           !IsFinal(told.phase) &&
                           now - told.confirmed > raise_limit;
  if (later && !leaves_final && !stale_raise) {
    changed = !same_target || known.phase != told.phase;
    const std::vector<std::string> banned = known.banned;
    const uint64_t revision = std::max(known.revision, told.revision);
    const TimePoint requested = same_target
                                    ? std::min(known.requested, told.requested)
                                    : told.requested;
    known = told;
    known.requested = requested;
    known.revision = revision;
    known.banned = banned;
  }
  for (const std::string& version : told.banned) {
    changed |= Ban(known, version);
  }
  if (known.phase == Phase::kDone) {
    std::erase(known.banned, known.target);
  }
  return changed;
}

}  // namespace boragewharf::rollout
