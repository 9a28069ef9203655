/**
 * @file store_following_cmd.cc
 * Choice of the nodes that watch the store.
 */
#include <algorithm>

#include "duty_cmd.h"
#include "fleet/fleet_cmd.h"
#include "fleet/state_order_func.h"
#include "spread_cmd.h"

namespace boragewharf::fleet {
namespace {

/** Number of nodes that watch the store for changes; the others learn changes
 * from them. Each change costs each watcher one store call. */
constexpr size_t kStoreFollowers = 3;

/** A node stops watching the store once kStoreFollowers others have watched it
 * for this long. */
constexpr std::chrono::seconds kFollowerSettleTime(1);

/** With more known addresses than this, only some of the nodes read the lists
 * of the store when they start, and the others fetch them from those: hundreds
 * of lists with thousands of servers would take the store many seconds. */
constexpr size_t kMaxNodesThatAllRead = 150;

/** Number of those nodes. Enough that some are up and have answered fetches of
 * all others within about a second; see FetchBudget. */
constexpr size_t kFirstReaders = 16;

/** A node that has fetched no state by this time after its start reads it from
 * the store. */
constexpr std::chrono::seconds kMaxWaitForPeers(3);

/** Whether this node has just started and leaves it to others to read the
 * store. */
bool WaitsForPeers(const FleetState& state, TimePoint now) {
  if ((state.config && state.servers_known) ||
      now - state.started >= kMaxWaitForPeers ||
      state.peers.KnownAddresses() <= kMaxNodesThatAllRead) {
    return false;
  }
  const uint32_t own_rank = serving::HashName(state.settings.ip);
  const auto lower_ranked = std::ranges::count_if(
      state.peers.Targets(),
      [&](const std::string& ip) { return serving::HashName(ip) < own_rank; });
  return static_cast<size_t>(lower_ranked) >= kFirstReaders;
}

}  // namespace

void UpdateStoreFollowing(FleetState& state,
                          TimePoint now,
                          std::vector<Effect>& effects) {
  const uint32_t own_rank = serving::HashName(state.settings.ip);
  size_t lower_ranked = 0;
  bool other_is_eager = false;
  const bool store_has_eras = KnowsEras(state);
  for (const auto& [ip, entry] : state.peers.All()) {
    // Nodes of earlier versions keep older state after the store has come back
    // from a copy.
    const bool is_usable = entry.status.has_eras || !store_has_eras;
    const bool follows =
        is_usable && entry.status.follows_store && !entry.status.leaving &&
        !IsSilent(entry.last_message_at, MessagePeriod(state), now);
    lower_ranked += follows && serving::HashName(ip) < own_rank ? 1 : 0;
    other_is_eager |= follows && entry.status.holds_duties;
  }
  if (lower_ranked < kStoreFollowers) {
    state.enough_followers_since.reset();
  } else if (!state.enough_followers_since) {
    state.enough_followers_since = now;
  }
  // A node that does not watch the store has nothing to hand over.
  const bool settled =
      state.enough_followers_since &&
      (!state.following ||
       now - *state.enough_followers_since >= kFollowerSettleTime);
  // The duty holder watches the store so that it replaces lost servers sooner.
  const bool follow =
      !WaitsForPeers(state, now) &&
      (!settled || !state.config || !state.servers_known ||
       HoldsDuties(state, now) || now < state.list_confirmation.watch_until);
  const bool eager = HoldsDuties(state, now) || !other_is_eager;
  if (follow == state.following && eager == state.eager) {
    return;
  }
  if (follow != state.following) {
    effects.emplace_back(LogChange{follow ? "store_followed" : "store_left", "",
                                   state.servers_revision, state.servers_era});
    // Whether the store is reachable was last known when it was watched before.
    state.store_uncertain_since = now;
  }
  state.following = follow;
  state.eager = eager;
  effects.emplace_back(FollowStore{follow, eager});
}

}  // namespace boragewharf::fleet
