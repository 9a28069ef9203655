/**
 * @file config_sync_func.cc
 * Reads of the store, fetches from peers, and the held document.
 */
#include <algorithm>

#include "base/result_func.h"
#include "config/config_func.h"
#include "config_step.h"

namespace boragewharf::config {

namespace {

/** Between reads that returned an older document than the held one. */
constexpr Duration kStaleReadDelay = std::chrono::milliseconds(200);
/** Between reads while an outcome is unknown and the store is out. */
constexpr Duration kUnresolvedReadDelay = std::chrono::seconds(1);
/** Time for a peer to answer, then another one is asked. */
constexpr Duration kFetchBound = std::chrono::seconds(1);
/** Between fetches that brought nothing new. */
constexpr Duration kFetchDelay = std::chrono::milliseconds(200);

/** Notes which live members hold the held revision, and since when. */
void UpdateHolders(ConfigStep& step) {
  MemberView& members = step.state.members;
  const ConfigRevision held = HeldRevision(step.state.document);
  std::map<MemberId, TimePoint> holders;
  for (const ObservedMember& member : members.live) {
    if (member.held < held) {
      continue;
    }
    const auto known = members.held_since.find(member.id);
    const bool is_new = known == members.held_since.end();
    holders.emplace(member.id, is_new ? step.now : known->second);
  }
  members.held_since = std::move(holders);
}

void OnHeldRevisionRaised(ConfigStep& step) {
  step.state.held_since = step.now;
  step.state.takeover_at.reset();
  step.state.members.held_since.clear();
  UpdateHolders(step);
}

/** A document that cannot be used; what is held stays in force. */
void RejectDocument(ConfigStep& step, ResultCode code) {
  ConfigCounters& counters = step.state.counters;
  ++(code == ResultCode::kNewerFormat ? counters.newer_formats
                                      : counters.malformed_documents);
}

void OnMissingObject(ConfigStep& step) {
  if (Position(step.state.document) == 0) {
    step.state.sync.version = "";
    return;
  }
  ++step.state.counters.stale_documents;
}

void TakeUpRead(ConfigStep& step, const StoreRead& event) {
  SyncState& sync = step.state.sync;
  if (sync.version == event.version) {
    return;
  }
  if (event.version.empty()) {
    OnMissingObject(step);
    return;
  }
  std::optional<StoredDocument> stored = ParseDocument(event.body);
  if (!stored) {
    sync.unusable = LastReason().code;
    RejectDocument(step, sync.unusable);
    return;
  }
  Adopt(step, std::move(stored->document), event.version);
}

void MarkTicketsRead(ConfigState& state) {
  for (PendingTicket& pending : state.tickets) {
    pending.store_read |= pending.submitted <= state.sync.read_started;
  }
}

Duration BackOff(ConfigState& state) {
  if (TicketsUnresolved(state)) {
    return Jittered(state, kUnresolvedReadDelay);
  }
  const uint32_t doublings = std::min(state.sync.failures - 1, 8U);
  return Jittered(state,
                  std::min(kPollPeriod * (1U << doublings), kMaxBackOff));
}

/** Live members that are known to hold a newer document. */
std::vector<MemberId> PeersAhead(const ConfigState& state) {
  std::vector<MemberId> peers;
  for (const ObservedMember& member : state.members.live) {
    if (member.held > HeldRevision(state.document) ||
        member.accepted > state.document.accepted.revision) {
      peers.push_back(member.id);
    }
  }
  return peers;
}

/** Without the store, peers are the only source of news. */
bool DependsOnPeers(const ConfigState& state) {
  return state.sync.failures > 0 &&
         (!IsLoaded(state) || state.document.staged.has_value());
}

void FetchIfDue(ConfigStep& step) {
  ConfigState& state = step.state;
  if (step.now < state.sync.next_fetch) {
    return;
  }
  std::vector<MemberId> peers = PeersAhead(state);
  if (peers.empty() && DependsOnPeers(state)) {
    for (const ObservedMember& member : state.members.live) {
      peers.push_back(member.id);
    }
  }
  if (peers.empty()) {
    return;
  }
  std::uniform_int_distribution<size_t> choice(0, peers.size() - 1);
  step.effects.emplace_back(FetchFromPeer{peers[choice(state.random)]});
  state.sync.next_fetch = step.now + kFetchBound;
}

}  // namespace

void Adopt(ConfigStep& step,
           Document document,
           std::optional<std::string> version) {
  ConfigState& state = step.state;
  const uint64_t position = Position(document);
  if (position < Position(state.document)) {
    ++state.counters.stale_documents;
    return;
  }
  if (position == Position(state.document)) {
    if (version) {
      state.sync.version = std::move(version);
    }
    return;
  }
  const ConfigRevision held = HeldRevision(state.document);
  const ConfigRevision accepted = state.document.accepted.revision;
  state.document = std::move(document);
  state.sync.version = std::move(version);
  const ConfigRevision new_held = HeldRevision(state.document);
  if (new_held > held) {
    OnHeldRevisionRaised(step);
  }
  if (state.document.accepted.revision > accepted) {
    step.effects.emplace_back(PublishConfiguration{state.document.accepted});
  }
  step.effects.emplace_back(
      HeldRevisionChanged{new_held, state.document.accepted.revision});
}

void RequireRead(ConfigStep& step) {
  step.state.sync.version.reset();
  step.state.sync.next_read = step.now;
}

void WantVersion(ConfigStep& step) {
  SyncState& sync = step.state.sync;
  if (sync.version || sync.failures > 0) {
    return;
  }
  const TimePoint soon = sync.read_started + kStaleReadDelay;
  sync.next_read = std::min(sync.next_read, std::max(step.now, soon));
}

bool MayWrite(const ConfigStep& step) {
  const SyncState& sync = step.state.sync;
  return !step.state.write && sync.version && step.now >= sync.next_write &&
         sync.unusable == ResultCode::kOk;
}

void OnStoreRead(ConfigStep& step, const StoreRead& event) {
  ConfigState& state = step.state;
  SyncState& sync = state.sync;
  sync.reading = false;
  sync.store_read = true;
  sync.failures = 0;
  sync.unusable = ResultCode::kOk;
  TakeUpRead(step, event);
  MarkTicketsRead(state);
  sync.next_read = step.now + Jittered(state, kPollPeriod);
  if (TicketsNeedRead(state)) {
    sync.next_read = step.now;
  } else if (!sync.version && sync.unusable == ResultCode::kOk) {
    sync.next_read = step.now + Jittered(state, kStaleReadDelay);
  }
}

void OnStoreReadFailed(ConfigStep& step, const StoreReadFailed& event) {
  ConfigState& state = step.state;
  SyncState& sync = state.sync;
  if (event.code == ResultCode::kStoreNotFound) {
    OnStoreRead(step, StoreRead{});
    return;
  }
  sync.reading = false;
  ++sync.failures;
  ++state.counters.store_failures;
  sync.next_read = step.now + BackOff(state);
  if (event.code != ResultCode::kStoreBusy) {
    RefuseUnstaged(step, event.code);
  }
}

void OnPeerDocument(ConfigStep& step, const PeerDocument& event) {
  step.state.sync.next_fetch = step.now + kFetchDelay;
  if (event.body.empty()) {
    return;
  }
  std::optional<StoredDocument> stored = ParseDocument(event.body);
  if (!stored) {
    RejectDocument(step, LastReason().code);
    return;
  }
  Adopt(step, std::move(stored->document), std::nullopt);
}

void OnMembersObserved(ConfigStep& step, const MembersObserved& event) {
  MemberView& members = step.state.members;
  members.observed = true;
  members.live = event.live;
  members.unheard = event.unheard;
  members.digests_agree = event.digests_agree;
  members.last_departure = event.last_departure;
  UpdateHolders(step);
}

void AdvanceSync(ConfigStep& step) {
  SyncState& sync = step.state.sync;
  if (!sync.reading && step.now >= sync.next_read) {
    sync.reading = true;
    sync.read_started = step.now;
    step.effects.emplace_back(ReadDocument{});
  }
  FetchIfDue(step);
}

}  // namespace boragewharf::config
