/**
 * @file rollout_cmd.h
 * Roll-outs: requests from the store, messages between nodes, and the duty
 * holder's decisions. Without bounds in the settings nothing is done.
 */
#pragma once

#include <vector>

#include "fleet/fleet_type.h"

namespace boragewharf::fleet {

/** Applies the requests in the store. */
void ApplyRolloutsRead(FleetState& state,
                       const RolloutsRead& read,
                       TimePoint now,
                       std::vector<Effect>& effects);

/** Applies one changed request. */
void ApplyRolloutChanged(FleetState& state,
                         const RolloutChanged& change,
                         TimePoint now,
                         std::vector<Effect>& effects);

/** Applies the result of WriteRolloutStatus. */
void ApplyRolloutStatusWritten(FleetState& state,
                               const RolloutStatusWritten& written,
                               TimePoint now,
                               std::vector<Effect>& effects);

/** Merges decisions and evidence of a node, or of this one. Bytes that can't be
 * read are ignored. */
void MergeRolloutExtensions(
    FleetState& state,
    const std::string& ip,
    uint64_t incarnation,
    const std::vector<serving::PeerExtension>& extensions,
    TimePoint now,
    std::vector<Effect>& effects);

/** Makes the decisions that are due if this node holds the duties. */
void AdvanceRollouts(FleetState& state,
                     TimePoint now,
                     std::vector<Effect>& effects);

/** Adds the latest decisions to a message to other nodes and to the summary for
 * the data plane. Decisions that other nodes sent are removed from the summary,
 * since they are merged already. */
void AddRolloutDecisions(const FleetState& state,
                         TimePoint now,
                         std::vector<serving::PeerExtension>& extensions,
                         serving::PeerSummary& summary);

}  // namespace boragewharf::fleet
