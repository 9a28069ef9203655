/**
 * @file list_confirmation_cmd.cc
 * Whether the server list is that of the store.
 */
#include "list_confirmation_cmd.h"

#include <algorithm>
#include <utility>

#include "fleet/fleet_cmd.h"
#include "server_list_cmd.h"
#include "spread_cmd.h"

namespace boragewharf::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Shortest time between two calls. All nodes that watch the store together
 * make at most a tenth of the calls that the store allows. */
constexpr milliseconds kMinCallPeriod(20);

/** Interval of the calls while most nodes are not heard, and the time for which
 * an answer counts then: two calls may get lost. */
constexpr milliseconds kFewHeardPeriod(500);
constexpr milliseconds kMaxListAge(1500);

/** Time for which a node watches the store because no other one that does has
 * answered it: until their silence is noticed. */
constexpr seconds kWatchTime(3);

void StartCall(FleetState& state, TimePoint now, std::vector<Effect>& effects) {
  ListConfirmationState& confirmation = state.list_confirmation;
  if (!state.following || (state.store_state_known && !state.store_reachable)) {
    confirmation.wanted = false;  // Nothing would answer; it is asked again.
    return;
  }
  if (!confirmation.wanted || confirmation.calling ||
      now - confirmation.asked < kMinCallPeriod) {
    return;
  }
  confirmation.wanted = false;
  confirmation.calling = true;
  confirmation.asked = now;
  effects.emplace_back(std::in_place_type<StreamEffect>);
  std::get<StreamEffect>(effects.back()).effect = ConfirmList{};
}

}  // namespace

bool HearsMostNodes(const FleetState& state, TimePoint now) {
  const auto heard =
      std::ranges::count_if(state.peers.All(), [&](const auto& peer) {
        return !IsSilent(peer.second.last_message_at, MessagePeriod(state),
                         now);
      });
  return 2 * (static_cast<size_t>(heard) + 1) > state.peers.All().size() + 1;
}

bool WatchesStore(const FleetState& state, TimePoint now) {
  const ListConfirmationState& confirmation = state.list_confirmation;
  const bool recent =
      !confirmation.few_heard_since ||
      now - *confirmation.few_heard_since < kMaxListAge ||
      (confirmation.confirmed && now - *confirmation.confirmed < kMaxListAge);
  return state.following && state.store_reachable && recent;
}

void WantListConfirmation(FleetState& state,
                          const ListConfirmationWanted& wanted,
                          TimePoint now,
                          std::vector<Effect>& effects) {
  if (wanted.begin_to_watch && !state.following) {
    state.list_confirmation.watch_until = now + kWatchTime;
    UpdateStoreFollowing(state, now, effects);
  }
  state.list_confirmation.wanted = true;
  StartCall(state, now, effects);
}

void ApplyListConfirmed(FleetState& state,
                        const ListConfirmed& answer,
                        TimePoint now,
                        std::vector<Effect>& effects) {
  ListConfirmationState& confirmation = state.list_confirmation;
  confirmation.calling = false;
  if (answer.confirmed && !EntriesMayBeMissing(state, now)) {
    confirmation.confirmed = confirmation.asked;
    PublishPendingList(state, now, effects);
    effects.emplace_back(std::in_place_type<StreamEffect>);
    std::get<StreamEffect>(effects.back()).effect =
        ReportListConfirmed{confirmation.asked};
  }
  StartCall(state, now, effects);
}

void AdvanceListConfirmation(FleetState& state,
                             TimePoint now,
                             std::vector<Effect>& effects) {
  ListConfirmationState& confirmation = state.list_confirmation;
  if (HearsMostNodes(state, now)) {
    confirmation.few_heard_since.reset();
  } else {
    confirmation.few_heard_since = confirmation.few_heard_since.value_or(now);
    confirmation.wanted |= now - confirmation.asked >= kFewHeardPeriod;
  }
  StartCall(state, now, effects);
}

}  // namespace boragewharf::fleet
