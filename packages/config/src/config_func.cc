/**
 * @file config_func.cc
 * Dispatch of events, and views of the state.
 */
#include "config/config_func.h"

#include <algorithm>

#include "config_step.h"

namespace boragewharf::config {

namespace {

/** Passes each kind of event to its handler. */
struct EventHandler {
  ConfigStep& step;

  void operator()(const TicketSubmitted& event) const {
    OnTicketSubmitted(this->step, event);
  }
  void operator()(const StoreRead& event) const {
    OnStoreRead(this->step, event);
  }
  void operator()(const StoreReadFailed& event) const {
    OnStoreReadFailed(this->step, event);
  }
  void operator()(const StoreWritten& event) const {
    OnStoreWritten(this->step, event);
  }
  void operator()(const StoreWriteFailed& event) const {
    OnStoreWriteFailed(this->step, event);
  }
  void operator()(const PeerDocument& event) const {
    OnPeerDocument(this->step, event);
  }
  void operator()(const MembersObserved& event) const {
    OnMembersObserved(this->step, event);
  }
  void operator()(const Tick&) const {}
};

}  // namespace

void Reduce(ConfigState& state,
            const ConfigEvent& event,
            TimePoint now,
            std::vector<ConfigEffect>& effects) {
  ConfigStep step{state, now, effects};
  std::visit(EventHandler{step}, event);
  AdvanceAcceptance(step);
  AdvanceTickets(step);
  AdvanceSync(step);
}

bool IsLoaded(const ConfigState& state) {
  return state.sync.store_read || Position(state.document) > 0;
}

std::string HeldBody(const ConfigState& state) {
  if (Position(state.document) == 0) {
    return {};
  }
  return SerializeDocument(state.document, "");
}

AcceptanceInputs MakeAcceptanceInputs(const ConfigState& state, TimePoint now) {
  const MemberView& members = state.members;
  AcceptanceInputs inputs;
  inputs.members_observed = members.observed;
  inputs.unheard = members.unheard.size();
  inputs.digests_agree = members.digests_agree;
  inputs.heard_all_hold = true;
  TimePoint last = state.held_since;
  for (const ObservedMember& member : members.live) {
    const auto held = members.held_since.find(member.id);
    if (held == members.held_since.end()) {
      inputs.heard_all_hold = false;
      continue;
    }
    last = std::max(last, held->second);
  }
  inputs.since_last_hold = now - last;
  inputs.since_departure = now - members.last_departure;
  return inputs;
}

std::vector<std::string> WaitingFor(const ConfigState& state) {
  std::vector<std::string> instances = state.members.unheard;
  for (const ObservedMember& member : state.members.live) {
    if (!state.members.held_since.contains(member.id)) {
      instances.push_back(member.instance);
    }
  }
  std::ranges::sort(instances);
  return instances;
}

Duration Jittered(ConfigState& state, Duration mean) {
  std::uniform_int_distribution<Duration::rep> spread(mean.count() * 3 / 4,
                                                      mean.count() * 5 / 4);
  return Duration(spread(state.random));
}

}  // namespace boragewharf::config
