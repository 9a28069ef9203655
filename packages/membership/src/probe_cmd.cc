/**
 * @file probe_cmd.cc
 * Probes of members and the serving lease.
 */
#include "probe_cmd.h"

#include <algorithm>

#include "lease_cmd.h"
#include "membership/membership_func.h"
#include "table_cmd.h"
#include "update_cmd.h"

namespace boragewharf::membership {
namespace {

bool IsProbed(const MemberEntry& entry) {
  return !entry.is_forgotten && (entry.member.status == MemberStatus::kAlive ||
                                 entry.member.status == MemberStatus::kSuspect);
}

MemberEntry* FindEntry(MembershipState& state, MemberId id) {
  const auto found = state.members.find(id);
  return found == state.members.end() ? nullptr : &found->second;
}

size_t RandomIndex(MembershipState& state, size_t count) {
  return static_cast<size_t>(state.random() % count);
}

// What a member must hear of itself: a claim that it is gone, to refute.
void AddClaim(std::vector<Update>& updates, const MemberEntry& entry) {
  if (entry.member.status == MemberStatus::kAlive) {
    return;
  }
  updates.emplace_back(StatusUpdate{entry.member.id, entry.member.status,
                                    entry.member.incarnation});
}

// Sends a ping without recording who waits for its answer.
uint64_t SendPing(const Context& context, MemberEntry& target) {
  MembershipState& state = context.state;
  std::vector<Update> first;
  AddClaim(first, target);
  if (!target.knows_self) {
    first.emplace_back(JoinUpdate{state.self});
  }
  Ping ping;
  ping.number = state.random();
  ping.target = target.member.id;
  ping.is_confirmed = IsConfirmed(state, context.now);
  ping.report = state.self.report;
  ping.updates = TakeUpdates(context, std::move(first));
  const uint64_t number = ping.number;
  context.Emit(SendDatagram{target.member.peer_address, std::move(ping)});
  return number;
}

uint64_t SendOwnPing(const Context& context, MemberEntry& target) {
  const uint64_t number = SendPing(context, target);
  context.state.pending[number] = PendingPing{target.member.id, context.now};
  return number;
}

// The next member in a shuffled round, so that each one is probed within a
// bounded number of periods.
MemberEntry* NextTarget(MembershipState& state) {
  for (int round = 0; round < 2; ++round) {
    while (!state.probe_order.empty()) {
      MemberEntry* entry = FindEntry(state, state.probe_order.back());
      state.probe_order.pop_back();
      if (entry != nullptr && IsProbed(*entry)) {
        return entry;
      }
    }
    for (const auto& [id, entry] : state.members) {
      if (IsProbed(entry)) {
        state.probe_order.push_back(id);
      }
    }
    std::shuffle(state.probe_order.begin(), state.probe_order.end(),
                 state.random);
  }
  return nullptr;
}

std::vector<MemberEntry*> MembersWith(MembershipState& state,
                                      MemberStatus status,
                                      MemberId except) {
  std::vector<MemberEntry*> found;
  for (auto& [id, entry] : state.members) {
    if (!entry.is_forgotten && entry.member.status == status && id != except) {
      found.push_back(&entry);
    }
  }
  return found;
}

void AskOthers(const Context& context, CurrentProbe& probe) {
  MembershipState& state = context.state;
  probe.asked_others = true;
  auto helpers = MembersWith(state, MemberStatus::kAlive, probe.target);
  std::shuffle(helpers.begin(), helpers.end(), state.random);
  if (helpers.size() > state.options.indirect_probes) {
    helpers.resize(state.options.indirect_probes);
  }
  for (const MemberEntry* helper : helpers) {
    PingRequest request;
    request.number = probe.number;
    request.target = probe.target;
    request.report = state.self.report;
    request.updates = TakeUpdates(context, {});
    context.Emit(SendDatagram{helper->member.peer_address, std::move(request)});
  }
}

void FinishProbe(const Context& context) {
  MembershipState& state = context.state;
  if (!state.probe) {
    return;
  }
  const MemberId target = state.probe->target;
  state.probe.reset();
  const MemberEntry* entry = FindEntry(state, target);
  if (entry != nullptr && entry->member.status == MemberStatus::kAlive) {
    ApplyStatus(context, StatusUpdate{target, MemberStatus::kSuspect,
                                      entry->member.incarnation});
  }
}

void StartProbe(const Context& context) {
  MembershipState& state = context.state;
  state.next_probe += state.options.probe_period;
  if (state.next_probe <= context.now) {
    state.next_probe = context.now + state.options.probe_period;
  }
  if (MemberEntry* target = NextTarget(state)) {
    const uint64_t number = SendOwnPing(context, *target);
    state.probe = CurrentProbe{target->member.id, number, context.now, false};
  }
  const auto failed = MembersWith(state, MemberStatus::kFailed, state.self.id);
  if (!failed.empty() &&
      RandomIndex(state, state.options.failed_probe_rarity) == 0) {
    SendOwnPing(context, *failed[RandomIndex(state, failed.size())]);
  }
}

// Pings the member that answered last, which is the most likely to be
// reachable when a part of the members is cut off.
void RenewLease(const Context& context) {
  MembershipState& state = context.state;
  const bool has_time =
      state.lease_end - context.now >= state.options.lease / 2;
  if (has_time || context.now < state.next_renewal) {
    return;
  }
  const MemberId probed = state.probe ? state.probe->target : MemberId{};
  const auto candidates = MembersWith(state, MemberStatus::kAlive, probed);
  if (candidates.empty()) {
    return;
  }
  state.next_renewal = context.now + state.options.renewal_interval;
  MemberEntry* best = candidates[RandomIndex(state, candidates.size())];
  MemberEntry* other = candidates[RandomIndex(state, candidates.size())];
  if (other->last_heard > best->last_heard) {
    best = other;
  }
  SendOwnPing(context, *best);
}

void DropExpiredPings(const Context& context) {
  const Duration lifetime = context.state.options.lease;
  std::erase_if(context.state.pending, [&](const auto& entry) {
    return context.now - entry.second.sent_at > lifetime;
  });
  std::erase_if(context.state.relays, [&](const auto& entry) {
    return context.now - entry.second.sent_at > lifetime;
  });
}

// Fetches the table of a member whose digest differs for some time: updates
// are sent a bounded number of times and can miss a member.
void CompareDigest(const Context& context, const MemberEntry& sender) {
  MembershipState& state = context.state;
  const bool is_due =
      sender.member.report.set_digest != state.self.report.set_digest &&
      context.now - state.digest_changed_at >= state.options.sync_grace &&
      context.now >= state.next_sync;
  if (!is_due) {
    return;
  }
  // The table grows with the members; the rate falls accordingly.
  constexpr size_t kMembersPerInterval = 100;
  const auto intervals =
      static_cast<int64_t>(1 + state.members.size() / kMembersPerInterval);
  state.next_sync = context.now + state.options.sync_interval * intervals;
  context.Emit(FetchTable{sender.member.peer_address, MakeJoinRequest(state)});
}

// What each datagram says of its sender.
void HearSender(const Context& context,
                MemberId sender,
                uint32_t incarnation,
                const MemberReport& report) {
  const MemberEntry* entry = FindEntry(context.state, sender);
  if (entry == nullptr || entry->is_forgotten) {
    return;
  }
  if (incarnation > entry->member.incarnation) {
    ApplyStatus(context,
                StatusUpdate{sender, MemberStatus::kAlive, incarnation});
  }
  ApplyReport(context, ReportUpdate{sender, report}, false);
  CompareDigest(context, *entry);
}

// Whether a sender is a member, after what its message says of itself. Other
// updates of a sender that is no member are not applied.
bool AdmitSender(const Context& context,
                 MemberId sender,
                 const std::vector<Update>& updates) {
  const auto is_admitted = [&] {
    const MemberEntry* entry = FindEntry(context.state, sender);
    return entry != nullptr && !entry->is_forgotten;
  };
  if (is_admitted()) {
    return true;
  }
  for (const Update& update : updates) {
    const auto* join = std::get_if<JoinUpdate>(&update);
    if (join != nullptr && join->member.id == sender) {
      ApplyMember(context, join->member, true);
    }
    const auto* status = std::get_if<StatusUpdate>(&update);
    if (status != nullptr && status->member == sender) {
      ApplyStatus(context, *status);
    }
  }
  if (!is_admitted()) {
    context.Emit(MessageRefused{ResultCode::kPeerNotMember});
    return false;
  }
  return true;
}

// Pings enough members at once for a confirmation.
void SeekConfirmation(const Context& context) {
  MembershipState& state = context.state;
  if (IsConfirmed(state, context.now) ||
      context.now < state.next_confirmation) {
    return;
  }
  state.next_confirmation = context.now + state.options.witness_lifetime;
  std::vector<MemberEntry*> candidates;
  for (auto& [id, entry] : state.members) {
    if (IsKnown(entry)) {
      candidates.push_back(&entry);
    }
  }
  std::shuffle(candidates.begin(), candidates.end(), state.random);
  // Twice as many as needed, because some do not answer.
  const size_t limit = 2 * state.options.max_witnesses;
  if (candidates.size() > limit) {
    candidates.resize(limit);
  }
  for (MemberEntry* candidate : candidates) {
    SendOwnPing(context, *candidate);
  }
}

void ForwardAck(const Context& context, const RelayedPing& relay) {
  MembershipState& state = context.state;
  const MemberEntry* origin = FindEntry(state, relay.origin);
  if (origin == nullptr) {
    return;
  }
  Ack ack;
  ack.number = relay.origin_number;
  ack.responder = relay.target;
  ack.report = state.self.report;
  ack.updates = TakeUpdates(context, {});
  context.Emit(SendDatagram{origin->member.peer_address, std::move(ack)});
}

}  // namespace

void HandlePing(const Context& context, const PingReceived& event) {
  MembershipState& state = context.state;
  if (event.ping.target != state.self.id) {
    context.Emit(MessageRefused{ResultCode::kPeerNotMember});
    return;
  }
  const bool is_admitted =
      AdmitSender(context, event.sender, event.ping.updates);
  if (is_admitted) {
    ApplyUpdates(context, event.ping.updates);
    HearSender(context, event.sender, event.incarnation, event.ping.report);
  }
  const MemberEntry* sender = FindEntry(state, event.sender);
  const bool is_member = is_admitted && sender != nullptr;
  std::vector<Update> first;
  if (sender != nullptr) {
    AddClaim(first, *sender);
  }
  Ack ack;
  ack.number = event.ping.number;
  ack.responder = state.self.id;
  if (is_member && IsKnown(*sender)) {
    ack.lease_milliseconds = LeaseToGrant(state, event.ping, context.now);
  }
  ack.wants_introduction = sender == nullptr;
  ack.report = state.self.report;
  first.emplace_back(
      StatusUpdate{state.self.id, state.self.status, state.self.incarnation});
  ack.updates = TakeUpdates(context, std::move(first));
  const Endpoint to = is_member ? sender->member.peer_address : event.from;
  context.Emit(SendDatagram{to, std::move(ack)});
}

void HandleAck(const Context& context, const AckReceived& event) {
  MembershipState& state = context.state;
  const Ack& ack = event.ack;
  const auto relay = state.relays.find(ack.number);
  if (relay != state.relays.end() && relay->second.target == event.sender &&
      ack.responder == event.sender) {
    const RelayedPing relayed = relay->second;
    state.relays.erase(relay);
    ForwardAck(context, relayed);
  }
  const auto pending = state.pending.find(ack.number);
  const bool is_awaited =
      pending != state.pending.end() && pending->second.target == ack.responder;
  if (is_awaited && state.probe && state.probe->number == ack.number) {
    state.probe.reset();
  }
  bool is_witness = false;
  TimePoint sent_at;
  if (is_awaited && ack.responder == event.sender) {
    // Before the lease is extended, so that one that lapsed is noticed.
    const bool was_confirmed = IsConfirmed(state, context.now);
    state.is_confirmed = was_confirmed;
    is_witness = !was_confirmed && !ack.wants_introduction;
    MemberEntry* entry = FindEntry(state, event.sender);
    if (entry != nullptr) {
      entry->last_heard = context.now;
      entry->knows_self = !ack.wants_introduction;
    }
    sent_at = pending->second.sent_at;
    const Duration lease = std::min<Duration>(
        std::chrono::milliseconds(ack.lease_milliseconds), state.options.lease);
    if (lease > Duration::zero()) {
      state.lease_end = std::max(state.lease_end, sent_at + lease);
    }
    state.pending.erase(pending);
  }
  if (!AdmitSender(context, event.sender, ack.updates)) {
    return;
  }
  ApplyUpdates(context, ack.updates);
  HearSender(context, event.sender, event.incarnation, ack.report);
  if (is_witness) {
    AddWitness(context, event.sender, sent_at);
  }
}

void HandlePingRequest(const Context& context,
                       const PingRequestReceived& event) {
  MembershipState& state = context.state;
  if (!AdmitSender(context, event.sender, event.request.updates)) {
    return;
  }
  ApplyUpdates(context, event.request.updates);
  HearSender(context, event.sender, event.incarnation, event.request.report);
  MemberEntry* target = FindEntry(state, event.request.target);
  if (target == nullptr || state.relays.size() >= state.options.max_relays) {
    return;
  }
  const uint64_t number = SendPing(context, *target);
  state.relays[number] = RelayedPing{event.request.target, event.sender,
                                     event.request.number, context.now};
}

void RunProbes(const Context& context) {
  MembershipState& state = context.state;
  DropExpiredPings(context);
  if (context.now >= state.next_probe) {
    FinishProbe(context);
    StartProbe(context);
  }
  if (state.probe && !state.probe->asked_others &&
      context.now - state.probe->sent_at >= state.options.probe_timeout) {
    AskOthers(context, *state.probe);
  }
  RenewLease(context);
  SeekConfirmation(context);
}

void PostponeTimers(const Context& context, Duration pause) {
  MembershipState& state = context.state;
  state.next_probe += pause;
  if (state.probe) {
    state.probe->sent_at += pause;
  }
  for (auto& [id, entry] : state.members) {
    if (entry.member.status == MemberStatus::kSuspect) {
      entry.suspicion_end += pause;
    }
  }
}

void JoinSeeds(const Context& context) {
  MembershipState& state = context.state;
  if (context.now < state.next_join ||
      state.self.status == MemberStatus::kLeaving) {
    return;
  }
  state.next_join = context.now + state.options.join_interval;
  std::set<Endpoint> covered{state.self.peer_address};
  for (const auto& [id, entry] : state.members) {
    if (IsKnown(entry)) {
      covered.insert(entry.member.peer_address);
    }
  }
  std::vector<Endpoint> missing;
  for (const Endpoint& seed : state.seeds) {
    if (!covered.contains(seed)) {
      missing.push_back(seed);
    }
  }
  if (!state.has_joined) {
    // Known only from their requests to this process.
    for (const MemberEntry* entry :
         MembersWith(state, MemberStatus::kAlive, state.self.id)) {
      missing.push_back(entry->member.peer_address);
    }
  }
  std::shuffle(missing.begin(), missing.end(), state.random);
  constexpr size_t kFirstSeeds = 3;  // In case some of them are gone.
  const size_t count = state.has_joined ? 1 : kFirstSeeds;
  if (missing.size() > count) {
    missing.resize(count);
  }
  for (const Endpoint& seed : missing) {
    context.Emit(FetchTable{seed, MakeJoinRequest(state)});
  }
}

}  // namespace boragewharf::membership
