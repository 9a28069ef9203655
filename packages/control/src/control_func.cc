/**
 * @file control_func.cc
 * Dispatch of events to the modules and of consequences between them.
 */
#include "control/control_func.h"

#include <algorithm>
#include <type_traits>
#include <utility>

#include "backend/backend_func.h"
#include "config/config_func.h"
#include "lease/lease_cmd.h"
#include "ledger/ledger_func.h"
#include "ledger/shard_func.h"
#include "membership/membership_func.h"

namespace boragewharf::control {

namespace {

/** One call of Reduce() with what it passes around. */
struct Step {
  ControlState& state;
  TimePoint now;
  std::vector<Effect>& effects;
};

void ApplyMembership(const Step& step,
                     const membership::MembershipEvent& event);
void ApplyBackend(const Step& step, const backend::BackendEvent& event);

void ReportLocalState(const Step& step) {
  ApplyMembership(step, membership::LocalChanged{
                            config::HeldRevision(step.state.config.document),
                            step.state.draining, step.state.open_streams});
}

void ApplyConfig(const Step& step, const config::ConfigEvent& event) {
  std::vector<config::ConfigEffect> effects;
  config::Reduce(step.state.config, event, step.now, effects);
  for (config::ConfigEffect& effect : effects) {
    if (std::holds_alternative<config::HeldRevisionChanged>(effect)) {
      ReportLocalState(step);
      step.effects.emplace_back(SnapshotChanged{});
    }
    step.effects.emplace_back(std::move(effect));
  }
}

void ApplyLedger(const Step& step, const ledger::LedgerEvent& event) {
  std::vector<ledger::LedgerEffect> effects;
  ledger::Reduce(step.state.ledger, event, step.now, effects);
  for (ledger::LedgerEffect& effect : effects) {
    step.effects.emplace_back(std::move(effect));
  }
}

void ApplyLease(const Step& step, const lease::LeaseEvent& event) {
  std::vector<lease::LeaseEffect> effects;
  lease::Reduce(step.state.lease, event, step.now, effects);
  for (lease::LeaseEffect& effect : effects) {
    step.effects.emplace_back(std::move(effect));
  }
}

/** Tells the ledger about live members, if they changed. */
void UpdateOwnership(const Step& step) {
  std::vector<MemberId> live;
  for (const membership::Member& member :
       membership::LiveMembers(step.state.membership)) {
    live.push_back(member.id);
  }
  if (live == step.state.live) {
    return;
  }
  step.state.live = live;
  ledger::OwnershipChanged change;
  change.owned = ledger::OwnedShards(step.state.membership.self.id, live,
                                     step.state.ledger.options.shard_count);
  change.live = std::move(live);
  ApplyLedger(step, change);
}

config::MembersObserved ObserveMembers(const ControlState& state) {
  config::MembersObserved observed;
  for (const membership::Member& member :
       membership::LiveMembers(state.membership)) {
    if (member.id == state.membership.self.id) {
      continue;
    }
    observed.live.push_back({member.id, member.instance,
                             member.report.held_revision, ConfigRevision{}});
  }
  for (const membership::Member& member :
       membership::UnheardMembers(state.membership)) {
    observed.unheard.push_back(member.instance);
  }
  // An instance that is listed but not known may run a process that only the
  // unheard members know, and that exchanges leases with them.
  if (!observed.unheard.empty()) {
    for (const std::string& instance :
         membership::ListedWithoutMember(state.membership)) {
      observed.unheard.push_back(instance);
    }
  }
  observed.digests_agree = membership::DigestsAgree(state.membership);
  observed.last_departure = membership::LastDeparture(state.membership);
  return observed;
}

void CarryMemberChange(const Step& step) {
  UpdateOwnership(step);
  ApplyConfig(step, ObserveMembers(step.state));
  step.effects.emplace_back(SnapshotChanged{});
}

void ApplyMembership(const Step& step,
                     const membership::MembershipEvent& event) {
  const TimePoint lease_before =
      membership::ServingLeaseEnd(step.state.membership);
  std::vector<membership::MembershipEffect> effects;
  membership::Reduce(step.state.membership, event, step.now, effects);
  bool members_changed = false;
  for (membership::MembershipEffect& effect : effects) {
    members_changed |=
        std::holds_alternative<membership::MemberChanged>(effect) ||
        std::holds_alternative<membership::MemberForgotten>(effect);
    if (const auto* news =
            std::get_if<membership::BackendLeavingLearned>(&effect)) {
      ApplyBackend(step, backend::LeavingNews{news->instance, TimePoint{}});
    }
    step.effects.emplace_back(std::move(effect));
  }
  if (members_changed) {
    CarryMemberChange(step);
  }
  if (membership::ServingLeaseEnd(step.state.membership) != lease_before) {
    step.effects.emplace_back(SnapshotChanged{});
  }
}

void ApplyBackend(const Step& step, const backend::BackendEvent& event) {
  std::vector<backend::BackendEffect> effects;
  backend::Reduce(step.state.backend, event, step.now, effects);
  for (backend::BackendEffect& effect : effects) {
    if (const auto* news = std::get_if<backend::LeavingNews>(&effect)) {
      ApplyMembership(step, membership::BackendLeavingSeen{news->instance});
    }
    if (std::holds_alternative<backend::StatusChanged>(effect) ||
        std::holds_alternative<backend::SuspectsChanged>(effect)) {
      step.effects.emplace_back(SnapshotChanged{});
    }
    step.effects.emplace_back(std::move(effect));
  }
}

backend::ListedServer ToListedServer(const InstanceRecord& record) {
  backend::ListedServer listed;
  listed.server.instance = record.name;
  listed.server.service = record.service;
  listed.server.address = record.address;
  listed.server.zone = record.zone;
  listed.server.region = record.region;
  listed.server.machine_class = record.machine_class;
  listed.server.price_per_hour = record.price_per_hour;
  listed.server.reclaimable = record.reclaimable;
  listed.server.checks_fencing = record.checks_fencing;
  listed.leaving = record.leaving;
  return listed;
}

/** An unreadable record still exists: keeps what was known of it. */
void KeepUnreadable(const ControlState& state,
                    const InstanceRecord& record,
                    backend::InstancesListed& backends) {
  const auto known = state.backend.servers.find(record.name);
  if (known == state.backend.servers.end()) {
    return;
  }
  const backend::BackendServer& server = known->second.server;
  backends.servers.push_back(
      {server, server.status == backend::BackendStatus::kLeaving});
}

void Apply(const Step& step, const InstancesRead& event) {
  membership::InstancesListed names;
  membership::SeedsListed seeds;
  backend::InstancesListed backends;
  step.state.entries.clear();
  for (const InstanceRecord& record : event.records) {
    if (!record.readable) {
      names.names.push_back(record.name);
      KeepUnreadable(step.state, record, backends);
      continue;
    }
    if (record.role == InstanceRole::kBackend) {
      backends.servers.push_back(ToListedServer(record));
      continue;
    }
    names.names.push_back(record.name);
    seeds.addresses.push_back(record.peer_address);
    step.state.entries.push_back({record.name, record.leaving});
  }
  ApplyMembership(step, seeds);
  ApplyMembership(step, names);
  ApplyBackend(step, backends);
  step.effects.emplace_back(SnapshotChanged{});
}

void Apply(const Step& step, const NoticesRead& event) {
  for (const Notice& notice : event.notices) {
    if (notice.instance != step.state.membership.self.instance) {
      ApplyBackend(step,
                   backend::ReclaimNoticed{notice.instance, notice.deadline});
      continue;
    }
    if (std::exchange(step.state.reclaim_noticed, true)) {
      continue;
    }
    step.effects.emplace_back(OwnReclaimNoticed{notice.deadline});
  }
}

void Apply(const Step& step, const OpenStreamsChanged& event) {
  step.state.open_streams = event.count;
  ReportLocalState(step);
}

void Apply(const Step& step, const DrainStarted&) {
  if (std::exchange(step.state.draining, true)) {
    return;
  }
  ReportLocalState(step);
  CarryMemberChange(step);
}

void Apply(const Step& step, const Tick& event) {
  ApplyMembership(step, membership::Tick{});
  ApplyConfig(step, config::Tick{});
  ApplyLedger(step, ledger::Tick{event.wall});
  ApplyLease(step, lease::Tick{});
  ApplyBackend(step, backend::Tick{});
}

void Apply(const Step& step, const membership::MembershipEvent& event) {
  ApplyMembership(step, event);
}

void Apply(const Step& step, const config::ConfigEvent& event) {
  ApplyConfig(step, event);
}

void Apply(const Step& step, const ledger::LedgerEvent& event) {
  ApplyLedger(step, event);
}

void Apply(const Step& step, const lease::LeaseEvent& event) {
  ApplyLease(step, event);
}

void Apply(const Step& step, const backend::BackendEvent& event) {
  ApplyBackend(step, event);
}

}  // namespace

ControlState MakeControlState(const ControlIdentity& identity, TimePoint now) {
  const MemberId self = identity.self.id;
  membership::MembershipOptions membership_options;
  membership_options.needs_list_to_serve_alone = true;
  return ControlState{
      membership::MakeMembershipState(identity.self, membership_options,
                                      identity.seed, now),
      config::ConfigState(self, identity.seed + 1),
      ledger::MakeLedgerState(self, identity.ledger, identity.seed + 2),
      lease::LeaseState{self, {}, std::mt19937_64(identity.seed + 3), 0, {}},
      backend::MakeBackendState({}, identity.seed + 4),
      {},
      {},
      0,
      false,
      false,
  };
}

void Reduce(ControlState& state,
            const Event& event,
            TimePoint now,
            std::vector<Effect>& effects) {
  const Step step{state, now, effects};
  std::visit([&](const auto& concrete) { Apply(step, concrete); }, event);
}

std::shared_ptr<const config::Configuration> ConfigurationInForce(
    const ControlState& state) {
  const config::Document& document = state.config.document;
  if (config::HeldRevision(document) == ConfigRevision{}) {
    return nullptr;
  }
  return std::make_shared<const config::Configuration>(
      document.staged ? document.staged->configuration : document.accepted);
}

}  // namespace boragewharf::control
