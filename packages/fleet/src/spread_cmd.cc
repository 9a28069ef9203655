/**
 * @file spread_cmd.cc
 * Messages to the other nodes, and state fetched from them.
 */
#include "spread_cmd.h"

#include <algorithm>
#include <set>
#include <tuple>

#include "duty_cmd.h"
#include "fleet/fleet_cmd.h"
#include "rollout_cmd.h"
#include "serving/crash_evidence_func.h"
#include "serving/crash_suspects_base.h"

namespace boragewharf::fleet {
namespace {

using std::chrono::milliseconds;

/** Shortest interval between datagrams to the same node. */
constexpr milliseconds kMessagePeriod(200);

/** Increase of the interval per known node, which bounds the share of time
 * spent on sending. */
constexpr milliseconds kPeriodPerNode(6);

/** A restarted node counts as informed after this time, even if nodes are still
 * missing. */
constexpr milliseconds kInformedAfter(2000);

/** Time after a failed fetch during which the same node is not asked again. */
constexpr std::chrono::seconds kFailedFetchDelay(2);

/** Largest number of addresses in a datagram, so that it fits into one packet.
 */
constexpr size_t kMaxKnownIps = 16;

/** Delay before a node that watches the store fetches newer state from another
 * node: usually its own watch delivers the state in the meantime. */
constexpr milliseconds kFetchDelay(250);

/** Number of nodes that watch the store for changes; the others learn changes
 * from them. Each change costs each watcher one store call. */
constexpr size_t kStoreFollowers = 3;

/** A node stops watching the store once kStoreFollowers others have watched it
 * for this long. */
constexpr std::chrono::seconds kFollowerSettleTime(1);

/** Number of message periods for which each prefix is repeated, because
 * datagrams get lost. */
constexpr double kPrefixRepeats = 1.5;

/** Time for which departures are announced: several message periods, and longer
 * than fetching the server list takes. */
constexpr milliseconds kDepartureAnnounceTime(2000);

/** Largest number of departures in a datagram, so that it fits into one packet.
 */
constexpr size_t kMaxDepartures = 64;

/** Largest number of prefixes in a datagram, so that it fits into one packet.
 */
constexpr size_t kMaxPrefixes = 48;

/** Time for which a new process, or a node that was silent, is told of crashes
 * that the others know; several message periods to other regions. */
constexpr std::chrono::seconds kNewcomerTime(10);

/** Shortest interval between fetches. */
constexpr milliseconds kFetchPeriod(400);

/** With at least this many ready nodes in its region, a client gets only their
 * addresses. */
constexpr size_t kEnoughNodesInRegion = 2;
/** Largest number of node addresses returned to a client. */
constexpr size_t kMaxNodesForClient = 64;

/** Nodes that were told to stop within this time of each other keep serving for
 * about the same time. */
constexpr milliseconds kStopTimeTolerance(1000);

/** Builds the part of the message that all nodes get. */
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
  // 0 means that this node has no estimate that others should use.
  if (state.wall_offset_ms && !state.wall_in_doubt) {
    message.status.wall_ms = *state.wall_offset_ms + BootMs(now);
  }
  message.status.wall_age_ms = BootMs(now) - BootMs(state.wall_since);
  message.status.wall_confirmed = state.wall_confirmed && !state.wall_in_doubt;
  message.report.admitted = state.report.admitted;
  const bool all_read_suspects = std::ranges::all_of(
      state.peers.All(),
      [](const auto& peer) { return peer.second.report.suspects.has_value(); });
  if (!all_read_suspects) {
    message.report.crashes = state.report.crashes;
  }
  message.report.prefill_speeds = state.report.prefill_speeds;
  message.report.leaving = state.report.leaving;
  for (serving::LeavingServer& leaving : message.report.leaving) {
    leaving.age_ms =
        static_cast<uint32_t>(BootMs(now) - BootMs(leaving.answered));
  }
  message.report.crash_evidence = state.report.crash_evidence;
  serving::SetAges(message.report.crash_evidence, now);
  message.known_ips = state.peers.RecentIps(kMaxKnownIps, now);
  while (!state.departures.empty() &&
         (now - state.departures.front().seen > kDepartureAnnounceTime ||
          state.departures.size() > kMaxDepartures)) {
    state.departures.pop_front();
  }
  for (const Departure& departure : state.departures) {
    message.departures.push_back(departure.server);
  }
  return message;
}

/** The newest prefixes sent to servers since @p oldest, at most kMaxPrefixes.
 */
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

/** Extensions for the nodes of a group, at most kMaxExtensions. */
std::vector<serving::PeerExtension> ExtensionsFor(
    const std::vector<serving::PeerExtension>& all,
    bool same_region,
    bool has_duties) {
  std::vector<serving::PeerExtension> selected;
  for (const serving::PeerExtension& extension : all) {
    const bool wanted =
        extension.scope == serving::ExtensionScope::kAllRegions ||
        (extension.scope == serving::ExtensionScope::kSameRegion &&
         same_region) ||
        (extension.scope == serving::ExtensionScope::kDutyNodes && has_duties);
    if (wanted && selected.size() < serving::kMaxExtensions &&
        extension.payload.size() <= serving::kMaxExtensionBytes) {
      selected.push_back(extension);
    }
  }
  return selected;
}

/** Whether a node may lack what the others have been told before. */
bool IsNewcomer(const FleetState& state, const std::string& ip, TimePoint now) {
  const auto known = state.peers.All().find(ip);
  return known == state.peers.All().end() ||
         now - known->second.heard_since < kNewcomerTime;
}

/** Whether a node has newer state and a fetch from it will probably succeed. */
bool IsFetchSource(const FleetState& state,
                   const PeerEntry& entry,
                   TimePoint now) {
  const bool newer = entry.status.config_revision > state.config_revision ||
                     entry.status.servers_revision > state.servers_revision;
  const bool failed =
      entry.fetch_failed && now - *entry.fetch_failed < kFailedFetchDelay;
  return newer && !failed &&
         !IsSilent(entry.last_message_at, MessagePeriod(state), now);
}

/**
 * Selects the node to fetch from: one with the newest state, preferably in the
 * same region. Ties are broken by a hash that differs between nodes, so that
 * they do not all ask the same one.
 */
const PeerEntry* FindFetchSource(const FleetState& state, TimePoint now) {
  const PeerEntry* best = nullptr;
  const auto rank = [&](const PeerEntry& entry) {
    return std::tuple(entry.status.config_revision,
                      entry.status.servers_revision,
                      entry.status.region == state.settings.region,
                      serving::HashName(entry.status.ip + state.settings.ip));
  };
  for (const auto& [ip, entry] : state.peers.All()) {
    if (!IsFetchSource(state, entry, now)) {
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

std::map<serving::NameHash, double> PrefillSpeeds(const FleetState& state,
                                                  TimePoint now) {
  std::map<serving::NameHash, std::vector<serving::PrefillSpeed>> measured;
  const auto add = [&](const serving::TrafficReport& report) {
    for (const auto& [service, speed] : report.prefill_speeds) {
      measured[service].push_back(speed);
    }
  };
  add(state.report);
  for (const auto& [ip, entry] : state.peers.All()) {
    if (!IsSilent(entry.last_message_at, MessagePeriod(state), now)) {
      add(entry.report);
    }
  }
  std::map<serving::NameHash, double> speeds;
  for (const auto& [service, of_nodes] : measured) {
    if (const auto speed = serving::CombineSpeeds(of_nodes)) {
      speeds[service] = *speed;
    }
  }
  return speeds;
}

std::vector<std::string> NodesForClient(const FleetState& state,
                                        std::string_view region,
                                        TimePoint now) {
  std::vector<std::string> same_region;
  std::vector<std::string> other_regions;
  const auto add = [&](const std::string& ip, std::string_view node_region) {
    (node_region == region ? same_region : other_regions).push_back(ip);
  };
  if (IsReady(state)) {
    add(state.settings.ip, state.settings.region);
  }
  for (const PeerEntry* entry : state.peers.Ready(MessagePeriod(state), now)) {
    add(entry->status.ip, entry->status.region);
  }
  if (same_region.size() < kEnoughNodesInRegion) {
    same_region.insert(same_region.end(), other_regions.begin(),
                       other_regions.end());
  }
  if (same_region.size() > kMaxNodesForClient) {
    same_region.resize(kMaxNodesForClient);
  }
  return same_region;
}

std::vector<std::string> LastNodesToStop(const FleetState& state,
                                         TimePoint now) {
  std::vector<std::pair<std::string, Duration>> stopping_nodes;
  if (state.leaving && state.config && state.servers_known) {
    stopping_nodes.emplace_back(state.settings.ip, now - state.leaving_since);
  }
  for (const auto& [ip, entry] : state.peers.All()) {
    if (entry.status.leaving && entry.status.config_revision > 0 &&
        !IsSilent(entry.last_message_at, MessagePeriod(state), now)) {
      stopping_nodes.emplace_back(
          ip,
          now - entry.last_message_at + milliseconds(entry.status.leaving_ms));
    }
  }
  std::vector<std::string> last;
  if (stopping_nodes.empty()) {
    return last;
  }
  const Duration least =
      std::ranges::min(stopping_nodes, {},
                       &decltype(stopping_nodes)::value_type::second)
          .second;
  for (const auto& [ip, since] : stopping_nodes) {
    if (since <= least + kStopTimeTolerance &&
        last.size() < kMaxNodesForClient) {
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
  const bool to_all_regions = state.next_message_to_all || state.leaving;
  state.next_message_to_all = !state.next_message_to_all;
  const serving::PeerMessage base = MakeMessage(state, now);
  struct Group {
    bool same_region = false;
    bool has_duties = false;  ///< Holds or may take over the duty lease.
    bool newcomer = false;

    auto operator<=>(const Group&) const = default;
  };
  std::map<Group, std::vector<std::string>> groups;
  const std::set<std::string> duty_nodes = DutyHoldersAndCandidates(state, now);
  serving::PeerSummary summary =
      state.peers.TakeSummary(MessagePeriod(state), now);
  std::vector<serving::PeerExtension> extensions = state.report.extensions;
  AddRolloutDecisions(state, now, extensions, summary);
  for (const std::string& ip : state.peers.Targets()) {
    const auto known = state.peers.All().find(ip);
    const bool same_region =
        known == state.peers.All().end() ||
        known->second.status.region == state.settings.region;
    if (same_region || to_all_regions) {
      groups[{same_region, duty_nodes.contains(ip), IsNewcomer(state, ip, now)}]
          .push_back(ip);
    }
  }
  for (auto& [group, ips] : groups) {
    SendToPeers send{std::move(ips), base};
    const auto since = std::chrono::duration_cast<Duration>(
        kPrefixRepeats * MessagePeriod(state));
    send.message.report.prefixes =
        RecentPrefixes(state, now - (group.same_region ? since : 2 * since));
    if (state.report.suspects) {
      send.message.report.suspects = serving::SelectForMessage(
          *state.report.suspects, state.sequence, group.newcomer, now);
      serving::SetAges(*send.message.report.suspects, now);
    }
    if (group.same_region) {
      send.message.report.loads = state.report.loads;
    }
    send.message.report.extensions =
        ExtensionsFor(extensions, group.same_region, group.has_duties);
    if (group.has_duties) {
      send.message.report.usage = state.report.usage;
      send.message.report.demand = state.report.demand;
    }
    effects.emplace_back(std::move(send));
  }
  summary.prefill_speeds = PrefillSpeeds(state, now);
  summary.wall_offset_ms = state.wall_offset_ms.value_or(0);
  summary.informed =
      state.peers.HasFullView(now) || now - state.started > kInformedAfter;
  effects.emplace_back(PublishPeers{std::move(summary)});
}

void ScheduleMessageNow(FleetState& state, TimePoint now) {
  if (state.following) {
    state.next_message = now;
    state.next_message_to_all = true;
  }
}

void UpdateStoreFollowing(FleetState& state,
                          TimePoint now,
                          std::vector<Effect>& effects) {
  const uint32_t own_rank = serving::HashName(state.settings.ip);
  size_t lower_ranked = 0;
  bool other_is_eager = false;
  for (const auto& [ip, entry] : state.peers.All()) {
    const bool follows =
        entry.status.follows_store && !entry.status.leaving &&
        !IsSilent(entry.last_message_at, MessagePeriod(state), now);
    lower_ranked += follows && serving::HashName(ip) < own_rank ? 1 : 0;
    other_is_eager |= follows && entry.status.holds_duties;
  }
  if (lower_ranked < kStoreFollowers) {
    state.enough_followers_since.reset();
  } else if (!state.enough_followers_since) {
    state.enough_followers_since = now;
  }
  const bool settled =
      state.enough_followers_since &&
      now - *state.enough_followers_since >= kFollowerSettleTime;
  // The duty holder watches the store so that it replaces lost servers sooner.
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

void FetchNewerState(FleetState& state,
                     TimePoint now,
                     std::vector<Effect>& effects) {
  const PeerEntry* source = FindFetchSource(state, now);
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
