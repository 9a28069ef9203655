/**
 * @file spread_cmd.cc
 * Datagrams to the other nodes, and what is learned through them.
 */
#include "spread_cmd.h"

#include <algorithm>
#include <set>
#include <tuple>

#include "duty_cmd.h"
#include "fleet/fleet_cmd.h"

namespace boragewharf::fleet {
namespace {

using std::chrono::milliseconds;

/** Least time between datagrams to the same node. */
constexpr milliseconds kMessagePeriod(200);

/** Further time for each node, so that sending costs a bounded share. */
constexpr milliseconds kPeriodPerNode(6);

/** A restarted node counts as informed after this at the latest. */
constexpr milliseconds kInformedAfter(2000);

/** A node is not asked again for this long after a failed fetch. */
constexpr std::chrono::seconds kFetchForgiveness(2);

/** Addresses told in a datagram, so that it fits one packet. */
constexpr size_t kMaxKnownIps = 16;

/** Others may be ahead for this long before their state is fetched: the own
 * watch usually delivers it meanwhile. */
constexpr milliseconds kFetchDelay(250);

/** Nodes that learn changes from the store; the others learn from them. Each
 * change costs each of them a call. */
constexpr size_t kStoreFollowers = 3;

/** A node stops following the store after this many others have done so for
 * this time. */
constexpr std::chrono::seconds kFollowerSettle(1);

/** Each prefix is told for so many periods, as datagrams are lost. */
constexpr double kPrefixRepeats = 1.5;

/** Departures are told for this long: several periods, and longer than a fetch
 * of the list of servers takes. */
constexpr milliseconds kDepartureNews(2000);

/** Departures told in a datagram, so that it fits one packet. */
constexpr size_t kMaxDepartures = 64;

/** Prefixes told in a datagram, so that it fits one packet. */
constexpr size_t kMaxPrefixes = 48;

/** Time between fetches. */
constexpr milliseconds kFetchPeriod(400);

/** Nodes named to a client; the nearest of them if there are enough. */
constexpr size_t kEnoughEntries = 2;
constexpr size_t kMaxEntries = 64;

/** Nodes that were told to stop within this time of each other serve for about
 * as long. */
constexpr milliseconds kLastLeavers(1000);

/** What all nodes are told. */
serving::PeerMessage MakeMessage(FleetState& state, TimePoint now) {
  serving::PeerMessage message;
  message.format = serving::kPeerFormat;
  message.status.name = state.settings.node_name;
  message.status.ip = state.settings.ip;
  message.status.zone = state.settings.zone;
  message.status.region = state.settings.region;
  message.status.incarnation = state.settings.incarnation;
  message.status.uptime_ms = BootMs(now) - BootMs(state.started);
  message.status.sequence = ++state.sequence;
  message.status.ready = IsReady(state);
  message.status.leaving = state.leaving;
  message.status.leaving_ms =
      state.leaving ? BootMs(now) - BootMs(state.leaving_since) : 0;
  message.status.follows_store = state.following && state.store_reachable;
  message.status.holds_duties = HoldsDuties(state, now);
  message.status.config_revision = state.config_revision;
  message.status.servers_revision = state.servers_revision;
  // 0 tells the others that there is no estimate to count.
  if (state.wall_offset_ms && !state.doubts_wall) {
    message.status.wall_ms = *state.wall_offset_ms + BootMs(now);
  }
  message.status.wall_age_ms = BootMs(now) - BootMs(state.wall_since);
  message.status.wall_confirmed = state.wall_confirmed && !state.doubts_wall;
  message.report.admitted = state.report.admitted;
  message.report.crashes = state.report.crashes;
  message.known_ips = state.peers.RecentIps(kMaxKnownIps, now);
  while (!state.departures.empty() &&
         (now - state.departures.front().seen > kDepartureNews ||
          state.departures.size() > kMaxDepartures)) {
    state.departures.pop_front();
  }
  for (const Departure& departure : state.departures) {
    message.departures.push_back(departure.server);
  }
  return message;
}

/** The prefixes sent to servers since @p oldest, the newest ones. */
std::vector<serving::PrefixSend> RecentPrefixes(const FleetState& state,
                                                TimePoint oldest) {
  std::vector<serving::PrefixSend> recent;
  for (auto send = state.report.prefixes.rbegin();
       send != state.report.prefixes.rend() && send->sent >= oldest &&
       recent.size() < kMaxPrefixes;
       ++send) {
    recent.push_back(*send);
  }
  return recent;
}

/** Whether a node has something newer and can probably be asked for it. */
bool IsSource(const FleetState& state, const PeerEntry& entry, TimePoint now) {
  const bool newer = entry.status.config_revision > state.config_revision ||
                     entry.status.servers_revision > state.servers_revision;
  const bool failed =
      entry.fetch_failed && now - *entry.fetch_failed < kFetchForgiveness;
  return newer && !failed && !IsSilent(entry.heard, MessagePeriod(state), now);
}

/**
 * The node to ask: one of the newest, in the own region if one there is as
 * new. Which one differs from node to node, so that none is asked by all.
 */
const PeerEntry* FindSource(const FleetState& state, TimePoint now) {
  const PeerEntry* best = nullptr;
  const auto rank = [&](const PeerEntry& entry) {
    return std::tuple(entry.status.config_revision,
                      entry.status.servers_revision,
                      entry.status.region == state.settings.region,
                      serving::HashName(entry.status.ip + state.settings.ip));
  };
  for (const auto& [ip, entry] : state.peers.All()) {
    if (!IsSource(state, entry, now)) {
      continue;
    }
    if (best == nullptr || rank(entry) > rank(*best)) {
      best = &entry;
    }
  }
  return best;
}

}  // namespace

int64_t BootMs(TimePoint now) {
  return std::chrono::duration_cast<milliseconds>(now.time_since_epoch())
      .count();
}

Duration MessagePeriod(const FleetState& state) {
  const auto nodes = static_cast<int64_t>(state.peers.All().size());
  return std::max<Duration>(kMessagePeriod, nodes * kPeriodPerNode);
}

std::vector<std::string> NodesForClient(const FleetState& state,
                                        std::string_view region,
                                        TimePoint now) {
  std::vector<std::string> near;
  std::vector<std::string> far;
  const auto add = [&](const std::string& ip, std::string_view node_region) {
    (node_region == region ? near : far).push_back(ip);
  };
  if (IsReady(state)) {
    add(state.settings.ip, state.settings.region);
  }
  for (const PeerEntry* entry : state.peers.Ready(MessagePeriod(state), now)) {
    add(entry->status.ip, entry->status.region);
  }
  if (near.size() < kEnoughEntries) {
    near.insert(near.end(), far.begin(), far.end());
  }
  if (near.size() > kMaxEntries) {
    near.resize(kMaxEntries);
  }
  return near;
}

std::vector<std::string> LastNodesToStop(const FleetState& state,
                                         TimePoint now) {
  std::vector<std::pair<std::string, Duration>> leavers;
  if (state.leaving && state.config && state.servers_known) {
    leavers.emplace_back(state.settings.ip, now - state.leaving_since);
  }
  for (const auto& [ip, entry] : state.peers.All()) {
    if (entry.status.leaving && entry.status.config_revision > 0 &&
        !IsSilent(entry.heard, MessagePeriod(state), now)) {
      leavers.emplace_back(
          ip, now - entry.heard + milliseconds(entry.status.leaving_ms));
    }
  }
  std::vector<std::string> last;
  if (leavers.empty()) {
    return last;
  }
  const Duration least =
      std::ranges::min(leavers, {}, &decltype(leavers)::value_type::second)
          .second;
  for (const auto& [ip, since] : leavers) {
    if (since <= least + kLastLeavers && last.size() < kMaxEntries) {
      last.push_back(ip);
    }
  }
  return last;
}

void SendMessage(FleetState& state,
                 TimePoint now,
                 std::vector<Effect>& effects) {
  if (now < state.next_message) {
    return;
  }
  state.next_message = now + MessagePeriod(state);
  state.peers.Expire(now);
  const bool to_all = state.far_turn || state.leaving;
  state.far_turn = !state.far_turn;
  const serving::PeerMessage base = MakeMessage(state, now);
  std::map<std::pair<bool, bool>, std::vector<std::string>> groups;
  const std::set<std::string> duty_nodes = DutyNodes(state, now);
  for (const std::string& ip : state.peers.Targets()) {
    const auto known = state.peers.All().find(ip);
    const bool near = known == state.peers.All().end() ||
                      known->second.status.region == state.settings.region;
    if (near || to_all) {
      groups[{near, duty_nodes.contains(ip)}].push_back(ip);
    }
  }
  for (auto& [group, ips] : groups) {
    SendToPeers send{std::move(ips), base};
    const auto since = std::chrono::duration_cast<Duration>(
        kPrefixRepeats * MessagePeriod(state));
    send.message.report.prefixes =
        RecentPrefixes(state, now - (group.first ? since : 2 * since));
    if (group.first) {
      send.message.report.loads = state.report.loads;
    }
    if (group.second) {
      send.message.report.usage = state.report.usage;
      send.message.report.demand = state.report.demand;
    }
    effects.emplace_back(std::move(send));
  }
  serving::PeerSummary summary =
      state.peers.TakeSummary(MessagePeriod(state), now);
  summary.wall_offset_ms = state.wall_offset_ms.value_or(0);
  summary.informed =
      state.peers.Informed(now) || now - state.started > kInformedAfter;
  effects.emplace_back(PublishPeers{std::move(summary)});
}

void HastenMessage(FleetState& state, TimePoint now) {
  if (state.following) {
    state.next_message = now;
    state.far_turn = true;
  }
}

void DecideFollowing(FleetState& state,
                     TimePoint now,
                     std::vector<Effect>& effects) {
  const uint32_t own_rank = serving::HashName(state.settings.ip);
  size_t others = 0;
  bool other_is_eager = false;
  for (const auto& [ip, entry] : state.peers.All()) {
    const bool follows = entry.status.follows_store && !entry.status.leaving &&
                         !IsSilent(entry.heard, MessagePeriod(state), now);
    others += follows && serving::HashName(ip) < own_rank ? 1 : 0;
    other_is_eager |= follows && entry.status.holds_duties;
  }
  if (others < kStoreFollowers) {
    state.enough_followers_since.reset();
  } else if (!state.enough_followers_since) {
    state.enough_followers_since = now;
  }
  const bool settled = state.enough_followers_since &&
                       now - *state.enough_followers_since >= kFollowerSettle;
  // The holder of the duties replaces servers the sooner it hears of a loss.
  const bool follow = !settled || !state.config || !state.servers_known ||
                      HoldsDuties(state, now);
  const bool eager = HoldsDuties(state, now) || !other_is_eager;
  if (follow == state.following && eager == state.eager) {
    return;
  }
  if (follow != state.following) {
    effects.emplace_back(LogChange{follow ? "store_followed" : "store_left", "",
                                   state.servers_revision});
  }
  state.following = follow;
  state.eager = eager;
  effects.emplace_back(FollowStore{follow, eager});
}

void CatchUp(FleetState& state, TimePoint now, std::vector<Effect>& effects) {
  const PeerEntry* source = FindSource(state, now);
  if (source == nullptr) {
    state.behind_since.reset();
    return;
  }
  if (!state.behind_since) {
    state.behind_since = now;
  }
  const bool due = !state.following ||
                   now - *state.behind_since >= kFetchDelay ||
                   !state.servers_known || !state.config;
  if (!due || state.fetching || now < state.next_fetch) {
    return;
  }
  state.fetching = true;
  state.next_fetch = now + kFetchPeriod;
  effects.emplace_back(FetchState{source->status.ip, state.config_revision,
                                  state.servers_revision});
}

}  // namespace boragewharf::fleet
