/**
 * @file rollout_cmd.cc
 * Roll-outs: requests from the store, messages between nodes, and the duty
 * holder's decisions.
 */
#include "rollout_cmd.h"

#include <string>
#include <utility>

#include "duty_cmd.h"
#include "fleet/fleet_cmd.h"
#include "lease/lease_func.h"
#include "rollout/rollout_func.h"

namespace boragewharf::fleet {
namespace {

constexpr auto kStateKind =
    static_cast<uint16_t>(serving::ExtensionKind::kRolloutState);
constexpr auto kEvidenceKind =
    static_cast<uint16_t>(serving::ExtensionKind::kRolloutEvidence);

std::optional<lease::Permit> PermitOf(const FleetState& state, TimePoint now) {
  return lease::IssuePermit(state.lease, kDutyLease,
                            lease::ServerFencing::kIgnored, now);
}

/** Turns the table's actions into effects. Without a permit nothing is written.
 */
void AddEffects(const FleetState& state,
                std::vector<rollout::Action> actions,
                TimePoint now,
                std::vector<Effect>& effects) {
  for (rollout::Action& action : actions) {
    if (const auto* log = std::get_if<rollout::LogRollout>(&action)) {
      effects.emplace_back(LogChange{log->event, log->detail, log->revision,
                                     state.rollouts.Era()});
      continue;
    }
    if (const auto permit = PermitOf(state, now)) {
      effects.emplace_back(WriteRolloutStatus{
          std::move(std::get<rollout::WriteStatus>(action)), *permit});
    }
  }
}

/** Services that are configured or have servers, with their versions. */
std::map<std::string, rollout::VersionCounts> CountVersions(
    const FleetState& state) {
  std::map<std::string, rollout::VersionCounts> counts;
  if (state.config) {
    for (const serving::Service& service : state.config->services) {
      counts[service.name];
    }
  }
  for (const auto& [id, server] : state.servers) {
    counts[server.service][server.version] += 1;
  }
  return counts;
}

}  // namespace

void ApplyRolloutsRead(FleetState& state,
                       const RolloutsRead& read,
                       TimePoint now,
                       std::vector<Effect>& effects) {
  std::vector<rollout::Action> actions;
  state.rollouts.ApplyList(read.requests, now, actions, read.era);
  AddEffects(state, std::move(actions), now, effects);
}

void ApplyRolloutChanged(FleetState& state,
                         const RolloutChanged& change,
                         TimePoint now,
                         std::vector<Effect>& effects) {
  if (change.era != state.rollouts.Era()) {
    return;  // It does not follow the list.
  }
  std::vector<rollout::Action> actions;
  if (change.removed) {
    state.rollouts.ApplyRemoval(change.request.service, change.request.revision,
                                actions);
  } else {
    state.rollouts.ApplyRequest(change.request, now, actions);
  }
  AddEffects(state, std::move(actions), now, effects);
}

void ApplyRolloutStatusWritten(FleetState& state,
                               const RolloutStatusWritten& written,
                               TimePoint now,
                               std::vector<Effect>& effects) {
  std::vector<rollout::Action> actions;
  state.rollouts.ApplyWritten(written.write, written.code, written.current, now,
                              actions);
  AddEffects(state, std::move(actions), now, effects);
}

void MergeRolloutExtensions(
    FleetState& state,
    const std::string& ip,
    uint64_t incarnation,
    const std::vector<serving::PeerExtension>& extensions,
    TimePoint now,
    std::vector<Effect>& effects) {
  if (!state.settings.rollout_bounds) {
    return;
  }
  std::vector<rollout::Action> actions;
  for (const serving::PeerExtension& extension : extensions) {
    if (extension.kind == kStateKind) {
      if (const auto told = rollout::DecodeDecisions(extension.payload, now)) {
        state.rollouts.MergeDecisions(*told, MessagePeriod(state), now);
      }
    } else if (extension.kind == kEvidenceKind) {
      if (const auto told = rollout::DecodeEvidence(extension.payload)) {
        state.rollouts.MergeEvidence(incarnation ^ serving::HashName(ip), *told,
                                     now, actions);
      }
    }
  }
  AddEffects(state, std::move(actions), now, effects);
}

void AdvanceRollouts(FleetState& state,
                     TimePoint now,
                     std::vector<Effect>& effects) {
  if (!state.settings.rollout_bounds || !state.servers_known ||
      state.rollouts.Empty()) {
    return;
  }
  rollout::HolderFacts facts;
  if (const auto permit = PermitOf(state, now)) {
    facts.fencing = permit->Fencing().value;
  }
  facts.store_reachable = state.store_reachable;
  facts.message_period = MessagePeriod(state);
  facts.versions = CountVersions(state);
  std::vector<rollout::Action> actions;
  if (state.rollouts.Advance(facts, now, actions)) {
    state.next_message = now;
    state.next_message_to_all = true;
  }
  AddEffects(state, std::move(actions), now, effects);
}

void AddRolloutDecisions(const FleetState& state,
                         TimePoint now,
                         std::vector<serving::PeerExtension>& extensions,
                         serving::PeerSummary& summary) {
  if (!state.settings.rollout_bounds) {
    return;
  }
  std::erase_if(summary.extensions, [](const auto& extension) {
    return extension.kind == kStateKind;
  });
  const rollout::DecisionList decisions = state.rollouts.Decisions();
  serving::PeerExtension own{kStateKind,
                             rollout::EncodeDecisions(decisions, now),
                             serving::ExtensionScope::kAllRegions};
  if (!decisions.empty()) {
    extensions.push_back(own);
  }
  // The data plane is told of an empty list as well: it ends a roll-out.
  summary.extensions.push_back({serving::PackIp(state.settings.ip),
                                state.settings.incarnation, now, own.kind,
                                std::move(own.payload)});
}

}  // namespace boragewharf::fleet
