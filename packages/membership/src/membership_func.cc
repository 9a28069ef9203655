/**
 * @file membership_func.cc
 * The membership reducer.
 */
#include "membership/membership_func.h"

#include <algorithm>

#include "context.h"
#include "held_set_cmd.h"
#include "probe_cmd.h"
#include "table_cmd.h"
#include "update_cmd.h"

namespace boragewharf::membership {
namespace {

void Apply(const Context& context, const SeedsListed& event) {
  context.state.seeds = event.addresses;
}

void Apply(const Context& context, const InstancesListed& event) {
  MembershipState& state = context.state;
  state.listed = {event.names.begin(), event.names.end()};
  state.listed_at = context.now;
  for (auto& [id, entry] : state.members) {
    if (state.listed.contains(entry.member.instance)) {
      entry.was_listed = true;
    }
  }
  ForgetMembers(context);
}

void Apply(const Context& context, const PingReceived& event) {
  HandlePing(context, event);
}

void Apply(const Context& context, const AckReceived& event) {
  HandleAck(context, event);
}

void Apply(const Context& context, const PingRequestReceived& event) {
  HandlePingRequest(context, event);
}

void Apply(const Context& context, const JoinReceived& event) {
  if (event.sender != event.request.member.id) {
    context.Emit(MessageRefused{ResultCode::kPeerNotMember});
    return;
  }
  ApplyMember(context, event.request.member, true);
}

void ApplyTimed(const Context& context, const TimedUpdate& timed) {
  const MembershipOptions& options = context.state.options;
  const Duration remaining =
      std::chrono::milliseconds(timed.remaining_milliseconds);
  if (const auto* leaving = std::get_if<BackendLeavingUpdate>(&timed.update)) {
    const Duration lifetime = std::min(remaining, options.leaving_lifetime);
    if (RecordLeavingBackend(context, leaving->instance,
                             context.now + lifetime)) {
      context.Emit(BackendLeavingLearned{leaving->instance});
    }
  } else if (const auto* crash = std::get_if<CrashUpdate>(&timed.update)) {
    const Duration lifetime = std::min(remaining, options.crash_lifetime);
    if (RecordCrash(context, *crash, context.now + lifetime)) {
      context.Emit(CrashLearned{
          crash->fingerprint, TotalCrashes(context.state, crash->fingerprint)});
    }
  }
}

void Apply(const Context& context, const TableReceived& event) {
  context.state.has_joined = true;
  for (const Member& member : event.table.members) {
    // The member that was asked spreads the news of this process; the others
    // of the table are known already.
    ApplyMember(context, member, false);
  }
  for (const TimedUpdate& timed : event.table.updates) {
    ApplyTimed(context, timed);
  }
}

void Apply(const Context& context, const LocalChanged& event) {
  Member& self = context.state.self;
  self.report.open_streams = event.open_streams;
  if (event.held_revision > self.report.held_revision) {
    self.report.held_revision = event.held_revision;
    PublishOwnReport(context);
  } else {
    ++self.report.number;
  }
  if (event.is_leaving && self.status != MemberStatus::kLeaving) {
    self.status = MemberStatus::kLeaving;
    ++self.incarnation;
    QueueUpdate(context, StatusUpdate{self.id, self.status, self.incarnation});
    RefreshDigest(context);
  }
}

void Apply(const Context& context, const BackendLeavingSeen& event) {
  RecordLeavingBackend(context, event.instance,
                       context.now + context.state.options.leaving_lifetime);
}

void Apply(const Context& context, const CrashSeen& event) {
  MembershipState& state = context.state;
  const auto key = std::make_pair(event.fingerprint, state.self.id);
  const auto found = state.crashes.find(key);
  const uint32_t before =
      found == state.crashes.end() ? 0 : found->second.count;
  const CrashUpdate crash{event.fingerprint, state.self.id, before + 1};
  RecordCrash(context, crash, context.now + state.options.crash_lifetime);
  context.Emit(
      CrashLearned{event.fingerprint, TotalCrashes(state, event.fingerprint)});
}

void Apply(const Context& context, const Tick&) {
  MembershipState& state = context.state;
  const Duration gap = context.now - state.last_tick;
  if (state.last_tick != TimePoint() && gap > state.options.max_tick_gap) {
    PostponeTimers(context, gap);
  }
  state.last_tick = context.now;
  if (context.now >= state.next_sweep) {
    state.next_sweep = context.now + state.options.sweep_interval;
    FailSuspects(context);
    ForgetMembers(context);
    DropExpiredUpdates(context);
    SpreadOwnReport(context);
  }
  JoinSeeds(context);
  RunProbes(context);
}

}  // namespace

MembershipState MakeMembershipState(Member self,
                                    const MembershipOptions& options,
                                    uint64_t seed,
                                    TimePoint now) {
  MembershipState state;
  state.options = options;
  state.self = std::move(self);
  state.self.status = MemberStatus::kAlive;
  state.self.incarnation = 0;
  state.self.report = {};
  state.random.seed(seed);
  const auto period = static_cast<uint64_t>(options.probe_period.count());
  const auto phase = static_cast<int64_t>(state.random() % period);
  state.next_probe = now + Duration(phase);
  state.digest_changed_at = now;
  state.last_departure = now;
  state.self.report.set_digest = MemberSetDigest(state);
  std::vector<MembershipEffect> effects;
  RenewHeldSet(Context{state, now, effects});
  return state;
}

void Reduce(MembershipState& state,
            const MembershipEvent& event,
            TimePoint now,
            std::vector<MembershipEffect>& effects) {
  const Context context{state, now, effects};
  std::visit([&](const auto& typed) { Apply(context, typed); }, event);
}

}  // namespace boragewharf::membership
