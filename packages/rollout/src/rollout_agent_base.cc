/**
 * @file rollout_agent_base.cc
 * Part of roll-outs in the data plane of a node.
 */
#include "rollout/rollout_agent_base.h"

#include <algorithm>
#include <utility>

#include "rollout/rollout_func.h"
#include "serving/peer_type.h"

namespace boragewharf::rollout {
namespace {

/** Added to the threshold of a node's own test: ln(300), since each of up to
 * 300 nodes runs one. */
constexpr double kOwnTestMargin = 5.7;

/** Process number of a node in its own sum. */
constexpr uint64_t kOwnProcess = 1;

bool IsFailure(serving::AttemptOutcome outcome) {
  return outcome == serving::AttemptOutcome::kServerError ||
         outcome == serving::AttemptOutcome::kConnectionLost ||
         outcome == serving::AttemptOutcome::kMalformed ||
         outcome == serving::AttemptOutcome::kTimedOut;
}

bool IsBanned(const RolloutDecision& decision, const std::string& version) {
  return std::ranges::find(decision.banned, version) != decision.banned.end();
}

}  // namespace

RolloutAgent::Rollout::Rollout(const RolloutDecision& known,
                               double share,
                               double offset)
    : decision(known), gate(share, offset), own_test(kOwnTestMargin) {}

RolloutAgent::RolloutAgent(const RolloutBounds& deployment_bounds,
                           uint64_t seed)
    : bounds(deployment_bounds), generator(seed) {}

RolloutAgent::Rollout* RolloutAgent::Find(std::string_view service) {
  const auto found = this->rollouts.find(service);
  return found == this->rollouts.end() ? nullptr : &found->second;
}

uint32_t RolloutAgent::Exposed(std::string_view service) const {
  const auto found = this->rollouts.find(service);
  return found == this->rollouts.end() ? 0 : found->second.gate.Exposed();
}

void RolloutAgent::SetServers(const serving::ServerSet& set) {
  for (auto& [service, known] : this->servers) {
    known.ids.clear();
  }
  for (const serving::BackendServer& server : set.servers) {
    this->servers[server.service].ids[server.version].push_back(server.id);
  }
  std::erase_if(this->servers, [](const auto& entry) {
    return entry.second.ids.empty() && entry.second.running.empty();
  });
  for (auto& [service, rollout] : this->rollouts) {
    const auto listed = this->servers.find(service);
    if (listed == this->servers.end()) {
      continue;
    }
    for (const auto& [version, ids] : listed->second.ids) {
      rollout.seen_other_version |= version != rollout.decision.target;
    }
  }
}

bool RolloutAgent::DrawTarget(const Rollout& rollout,
                              size_t target,
                              size_t others,
                              TimePoint now) {
  const RolloutDecision& decision = rollout.decision;
  const bool unheld = this->bounds.rollback > Duration::zero() &&
                      now - decision.confirmed > this->bounds.rollback / 2;
  if (unheld && others > 0 && decision.phase != Phase::kDone) {
    return false;  // Nobody would notice that the version is bad.
  }
  if (decision.phase != Phase::kDone &&
      (rollout.stopped || IsBanned(decision, decision.target))) {
    return false;
  }
  switch (decision.phase) {
    case Phase::kStopped:
    case Phase::kRolledBack:
      return false;
    case Phase::kShift:
    case Phase::kDone:
      return true;
    case Phase::kObserve:
    case Phase::kLoad:
      break;
  }
  if (others == 0 && !rollout.seen_other_version) {
    return true;  // There is no other version to prefer.
  }
  const size_t exposed =
      ExposedServers(this->bounds.expose_share, others, target);
  const double load_share =
      static_cast<double>(exposed) /
      static_cast<double>(std::max<size_t>(1, exposed + others));
  std::uniform_real_distribution<double> uniform(0.0, 1.0);
  return rollout.gate.Allows(decision.phase, load_share,
                             uniform(this->generator));
}

std::vector<bool> RolloutAgent::Select(
    std::string_view service,
    std::span<const serving::BackendServer* const> candidates,
    TimePoint now) {
  std::vector<bool> selected(candidates.size(), true);
  Rollout* rollout = this->Find(service);
  if (rollout == nullptr) {
    return selected;
  }
  const RolloutDecision& decision = rollout->decision;
  size_t target = 0;
  size_t others = 0;
  const auto listed = this->servers.find(service);
  if (listed != this->servers.end()) {
    for (const auto& [version, ids] : listed->second.ids) {
      (version == decision.target ? target : others) += ids.size();
    }
  }
  const bool to_target = this->DrawTarget(*rollout, target, others, now);
  std::vector<std::string> exposed;
  const bool limited =
      decision.phase == Phase::kObserve || decision.phase == Phase::kLoad;
  if (to_target && limited && others > 0) {
    exposed =
        SelectExposed(listed->second.ids[decision.target],
                      ExposedServers(this->bounds.expose_share, others, target),
                      now - decision.requested);
  }
  bool any_target = false;
  bool any_other = false;
  std::vector<bool> is_target(candidates.size(), false);
  for (size_t i = 0; i < candidates.size(); ++i) {
    const serving::BackendServer& server = *candidates[i];
    if (server.version == decision.target) {
      is_target[i] = true;
      selected[i] =
          to_target && (exposed.empty() ||
                        std::ranges::find(exposed, server.id) != exposed.end());
      any_target |= selected[i];
      continue;
    }
    selected[i] = !IsBanned(decision, server.version);
    any_other |= selected[i];
  }
  if (any_target && any_other) {
    for (size_t i = 0; i < candidates.size(); ++i) {
      selected[i] = selected[i] && is_target[i];
    }
  }
  return selected;
}

void RolloutAgent::CountAttempt(const serving::BackendServer& server,
                                bool first) {
  this->servers[server.service].running[server.version] += 1;
  Rollout* rollout = this->Find(server.service);
  if (rollout == nullptr) {
    return;
  }
  if (first) {
    rollout->gate.CountRequest();
  }
  if (server.version == rollout->decision.target) {
    rollout->gate.CountAttempt();
  }
}

void RolloutAgent::RecordTime(const serving::AttemptView& attempt,
                              Metric metric,
                              Duration time) {
  Rollout* rollout = this->Find(attempt.server.service);
  if (rollout == nullptr || attempt.resumes ||
      attempt.distance == serving::Distance::kOtherRegion) {
    return;
  }
  const bool target = attempt.server.version == rollout->decision.target;
  const Situation situation{
      metric, attempt.running_seen, attempt.server.slots,
      metric == Metric::kGap ? 0 : attempt.prefill_seen + attempt.read_tokens};
  rollout->recorder.RecordTime(
      {serving::HashName(attempt.route.name),
       target ? std::max(1U, serving::HashName(attempt.server.id)) : 0,
       SituationOf(situation)},
      time);
}

void RolloutAgent::OnFirstEvent(const serving::AttemptView& attempt,
                                Duration after,
                                TimePoint) {
  this->RecordTime(attempt, Metric::kFirst, after);
}

void RolloutAgent::OnEventGaps(const serving::AttemptView& attempt,
                               std::span<const Duration> gaps,
                               TimePoint) {
  if (gaps.empty()) {
    return;
  }
  Duration sum{};
  for (const Duration gap : gaps) {
    sum += gap;
  }
  this->RecordTime(attempt, Metric::kGap,
                   sum / static_cast<int64_t>(gaps.size()));
}

void RolloutAgent::OnEnded(const serving::AttemptView& attempt,
                           serving::AttemptOutcome outcome,
                           Duration after,
                           TimePoint) {
  const serving::BackendServer& server = attempt.server;
  const auto known = this->servers.find(server.service);
  if (known != this->servers.end()) {
    const auto running = known->second.running.find(server.version);
    if (running != known->second.running.end() && --running->second == 0) {
      known->second.running.erase(running);
    }
  }
  Rollout* rollout = this->Find(server.service);
  if (rollout == nullptr) {
    return;
  }
  const bool failed = IsFailure(outcome);
  if (failed || outcome == serving::AttemptOutcome::kServed) {
    const bool target = server.version == rollout->decision.target;
    rollout->recorder.RecordResult(
        {serving::HashName(attempt.route.name), serving::HashName(server.zone),
         target ? std::max(1U, serving::HashName(server.id)) : 0},
        failed);
  }
  // A response that did not begin within the objective says that its time is
  // longer.
  const bool late = outcome == serving::AttemptOutcome::kCancelled &&
                    after >= attempt.route.goal;
  if (!attempt.first_event &&
      (outcome == serving::AttemptOutcome::kServed || late)) {
    this->RecordTime(attempt, Metric::kFirst, after);
  }
}

void RolloutAgent::AppendExtensions(
    std::vector<serving::PeerExtension>& extensions,
    TimePoint) {
  EvidenceList list;
  for (auto& [service, rollout] : this->rollouts) {
    const RolloutDecision& decision = rollout.decision;
    if (decision.phase == Phase::kDone ||
        decision.phase == Phase::kRolledBack) {
      continue;
    }
    RolloutEvidence evidence;
    evidence.service = service;
    evidence.target = decision.target;
    evidence.requests = rollout.gate.Requests();
    evidence.exposed = rollout.gate.Exposed();
    rollout.recorder.Fill(evidence);
    size_t target_servers = 0;
    const auto known = this->servers.find(service);
    if (known != this->servers.end()) {
      const auto ids = known->second.ids.find(decision.target);
      target_servers = ids == known->second.ids.end() ? 0 : ids->second.size();
      for (const auto& [version, running] : known->second.running) {
        evidence.old_running += version == decision.target ? 0 : running;
      }
    }
    rollout.own_sum.Merge(kOwnProcess, evidence, {});
    rollout.own_test.Add(rollout.own_sum.TakeNew(), target_servers);
    if (rollout.own_test.IsBad() && !std::exchange(rollout.stopped, true)) {
      this->stop_reason =
          service + " to " + decision.target + ": " + rollout.own_test.Reason();
    }
    evidence.stopped = rollout.stopped;
    list.push_back(std::move(evidence));
  }
  if (!list.empty()) {
    extensions.push_back(
        {static_cast<uint16_t>(serving::ExtensionKind::kRolloutEvidence),
         EncodeEvidence(std::move(list)),
         serving::ExtensionScope::kAllRegions});
  }
}

void RolloutAgent::MergePeers(const serving::PeerSummary& summary,
                              TimePoint now) {
  for (auto extension = summary.extensions.rbegin();
       extension != summary.extensions.rend(); ++extension) {
    if (extension->kind !=
        static_cast<uint16_t>(serving::ExtensionKind::kRolloutState)) {
      continue;
    }
    if (const auto decisions = DecodeDecisions(extension->payload, now)) {
      this->SetDecisions(*decisions);
    }
    return;
  }
}

void RolloutAgent::SetDecisions(const DecisionList& next) {
  std::uniform_real_distribution<double> uniform(0.0, 1.0);
  std::erase_if(this->rollouts, [&](const auto& entry) {
    return std::ranges::none_of(next, [&](const RolloutDecision& decision) {
      return decision.service == entry.first;
    });
  });
  for (const RolloutDecision& decision : next) {
    Rollout* known = this->Find(decision.service);
    if (known != nullptr && known->decision.target == decision.target) {
      known->decision = decision;
      continue;
    }
    this->rollouts.erase(decision.service);
    Rollout& added = this->rollouts
                         .emplace(decision.service,
                                  Rollout(decision, this->bounds.expose_share,
                                          uniform(this->generator)))
                         .first->second;
    const auto listed = this->servers.find(decision.service);
    if (listed == this->servers.end()) {
      continue;
    }
    for (const auto& [version, ids] : listed->second.ids) {
      added.seen_other_version |= version != decision.target;
    }
  }
}

std::optional<std::string> RolloutAgent::TakeStopReason() {
  return std::exchange(this->stop_reason, std::nullopt);
}

}  // namespace boragewharf::rollout
