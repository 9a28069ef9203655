/**
 * @file rollout_func.h
 * Encoding, bounds and merging of what nodes tell each other of roll-outs.
 */
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "rollout/rollout_type.h"

namespace boragewharf::rollout {

/** Longest name of a service or version, in bytes, and most roll-outs and
 * banned versions of one that nodes tell each other of, so that a message stays
 * below serving::kMaxExtensionBytes. */
inline constexpr size_t kMaxNameBytes = 64;
inline constexpr size_t kMaxRollouts = 8;
inline constexpr size_t kMaxBanned = 4;

/** Whether a name can be sent: 1 to kMaxNameBytes bytes. */
bool IsUsableName(std::string_view name);

/** Name of a phase in logs. */
const char* NameOf(Phase phase);

/** Encodes decisions with their ages at @p now. */
std::string EncodeDecisions(DecisionList decisions, TimePoint now);

/** Decodes and checks bytes from another node and sets the local times.
 * @return Empty if they are not valid. */
std::optional<DecisionList> DecodeDecisions(std::string_view bytes,
                                            TimePoint now);

/** Encodes evidence. Rows at the end of the lists are left out if there are too
 * many; a later message contains them. */
std::string EncodeEvidence(EvidenceList evidence);

/** Decodes and checks bytes from another node.
 * @return Empty if they are not valid. */
std::optional<EvidenceList> DecodeEvidence(std::string_view bytes);

/** Whether the status of the roll-out is written. */
bool IsFinal(Phase phase);

/** Adds a version that gets no requests; the oldest one is dropped if there are
 * too many. @return Whether it is new. */
bool Ban(RolloutDecision& decision, const std::string& version);

/**
 * Merges a decision that another node has told into a known one on the same
 * service: the later lease and sequence decide, bans are kept, and final phases
 * of a target are not left.
 * @param raise_limit Age above which a decision must not raise the share.
 * @return Whether the phase, target or bans changed.
 */
bool MergeDecision(RolloutDecision& known,
                   const RolloutDecision& told,
                   Duration raise_limit,
                   TimePoint now);

}  // namespace boragewharf::rollout
