/**
 * @file spread_cmd.cc
 * Messages to the other nodes, and state fetched from them.
 */
#include "spread_cmd.h"

#include <algorithm>
#include <optional>
#include <set>
#include <tuple>

#include "duty_cmd.h"
#include "fleet/fleet_cmd.h"
#include "fleet/state_order_func.h"
#include "forward_cmd.h"
#include "list_confirmation_cmd.h"
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

/** Messages in a period at most, if there is something new to tell. With dozens
 * of nodes, a message for each change of a server would fill the links between
 * the regions, so that most datagrams are lost. */
constexpr int kEarlyPerPeriod = 2;

/** A restarted node counts as informed after this time, even if nodes are
 * still missing. */
constexpr milliseconds kInformedAfter(2000);

/** Largest number of addresses in a datagram, so that it fits into one
 * packet.
 */
constexpr size_t kMaxKnownIps = 16;

/** The same in a large deployment, where hundreds of messages arrive within
 * the time in which a node should be discovered. */
constexpr size_t kMaxKnownIpsOfLarge = 4;

/** Largest number of prefixes for a node of another zone of a large
 * deployment.
 */
constexpr size_t kMaxPrefixesForOtherZone = 16;

/** Number of message periods for which each prefix is repeated, because
 * datagrams get lost. */
constexpr double kPrefixRepeats = 1.5;

/** Time for which departures are announced: several message periods, and
 * longer than fetching the server list takes. */
constexpr milliseconds kDepartureAnnounceTime(2000);

/** Largest number of departures in a datagram, so that it fits into one
 * packet.
 */
constexpr size_t kMaxDepartures = 64;

/** The same in a large deployment, where a zone that is lost has hundreds of
 * servers. */
constexpr size_t kMaxDeparturesOfLarge = 256;

/** In a large deployment, nodes of other zones get a complete message in one
 * of this many periods, and a partial one in the others. */
constexpr uint64_t kPeriodsPerComplete = 2;

/** Shortest interval between urgent messages of a large deployment, and the
 * number of nodes of a region that forward each. Two, because one of them may
 * have failed unnoticed; together with the watch of the store, changes are in
 * force everywhere within a second. */
constexpr milliseconds kUrgentPeriod(250);
constexpr size_t kUrgentCopies = 2;

/** Largest number of prefixes in a datagram, so that it fits into one packet.
 */
constexpr size_t kMaxPrefixes = 48;

/** Time for which a new process, or a node that was silent, is told of
 * crashes that the others know; several message periods to other regions. */
constexpr std::chrono::seconds kNewcomerTime(10);

/** With at least this many ready nodes in its region, a client gets only
 * their addresses. */
constexpr size_t kEnoughNodesInRegion = 2;
/** Largest number of node addresses returned to a client. */
constexpr size_t kMaxNodesForClient = 64;

/** Nodes that were told to stop within this time of each other keep serving
 * for about the same time. */
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
  message.status.follows_store = WatchesStore(state, now);
  message.status.holds_duties = HoldsDuties(state, now);
  message.status.config_revision = state.config_revision;
  message.status.servers_revision = state.servers_revision;
  message.status.has_eras = true;
  message.status.config_version = OrderOfConfig(state).version;
  message.status.config_era = state.config_era;
  message.status.servers_era = state.servers_era;
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
  message.known_ips = state.peers.RecentIps(
      IsLarge(state) ? kMaxKnownIpsOfLarge : kMaxKnownIps, now);
  const size_t max_departures =
      IsLarge(state) ? kMaxDeparturesOfLarge : kMaxDepartures;
  while (!state.departures.empty() &&
         (now - state.departures.front().seen > kDepartureAnnounceTime ||
          state.departures.size() > max_departures)) {
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

/** Nodes that get the same message. */
struct TargetGroup {
  bool forward = false;  ///< Forwards it to the other nodes of its region.
  bool same_region = false;
  bool has_duties = false;  ///< Holds or may take over the duty lease.
  bool newcomer = false;
  bool unheard = false;       ///< Only its address is known.
  bool every_period = false;  ///< Gets a complete message in each period.
  bool partial = false;
  bool compressed = false;

  auto operator<=>(const TargetGroup& other) const {
    // Those that forward come first; see SendMessage().
    return std::tuple(!this->forward, this->same_region, this->has_duties,
                      this->newcomer, this->unheard, this->every_period,
                      this->partial, this->compressed) <=>
           std::tuple(!other.forward, other.same_region, other.has_duties,
                      other.newcomer, other.unheard, other.every_period,
                      other.partial, other.compressed);
  }
};

/** Whether a node that can be heard, or this one, holds the duties. */
bool IsHolderKnown(const FleetState& state, TimePoint now) {
  return HoldsDuties(state, now) ||
         std::ranges::any_of(state.peers.All(), [&](const auto& peer) {
           return peer.second.status.holds_duties &&
                  !IsSilent(peer.second.last_message_at, MessagePeriod(state),
                            now);
         });
}

/** The group of a node that gets its message directly.
 * @param duty_nodes Nodes that hold or may take over the duty lease, if a
 *     holder is known. */
TargetGroup GroupOf(const FleetState& state,
                    const std::string& ip,
                    const std::optional<std::set<std::string>>& duty_nodes,
                    TimePoint now) {
  const auto known = state.peers.All().find(ip);
  const bool is_known = known != state.peers.All().end();
  TargetGroup group;
  group.same_region =
      !is_known || known->second.status.region == state.settings.region;
  group.has_duties = !duty_nodes || duty_nodes->contains(ip);
  group.newcomer = IsNewcomer(state, ip, now);
  group.unheard = !is_known;
  group.every_period = group.same_region;
  if (!IsLarge(state) || !is_known || !known->second.forwards) {
    return group;
  }
  group.compressed = true;
  group.every_period =
      group.same_region && known->second.status.zone == state.settings.zone;
  group.partial = group.same_region && !group.every_period &&
                  !group.has_duties &&
                  state.message_rounds % kPeriodsPerComplete != 0;
  return group;
}

/** The nodes that the periodic message is sent to. */
std::map<TargetGroup, std::vector<std::string>>
GroupTargets(const FleetState& state, bool to_all_regions, TimePoint now) {
  std::map<TargetGroup, std::vector<std::string>> groups;
  std::map<std::string, std::vector<std::string>> forwarders;
  if (IsLarge(state)) {
    forwarders = SelectForwarders(state, 1, now);
  }
  std::optional<std::set<std::string>> duty_nodes;
  if (IsLarge(state) || IsHolderKnown(state, now)) {
    duty_nodes = DutyHoldersAndCandidates(state, now);
  }
  std::map<std::string, bool> regions_with_newcomers;
  for (const std::string& ip : state.peers.Targets()) {
    const TargetGroup group = GroupOf(state, ip, duty_nodes, now);
    const auto known = state.peers.All().find(ip);
    const bool is_forwarded_to =
        !group.same_region && group.compressed &&
        forwarders.contains(known->second.status.region);
    if (is_forwarded_to) {
      regions_with_newcomers[known->second.status.region] |= group.newcomer;
    }
    const bool is_due = group.same_region || to_all_regions;
    if (is_due && (!is_forwarded_to || group.has_duties)) {
      groups[group].push_back(ip);
    }
  }
  for (const auto& [region, newcomer] : regions_with_newcomers) {
    TargetGroup group;
    group.forward = true;
    group.newcomer = newcomer;
    // With a message in each period, a node counts as silent only after
    // several losses in a row; units admitted by a silent node may not be
    // counted.
    group.partial = !to_all_regions;
    group.compressed = true;
    auto& ips = groups[group];
    ips.insert(ips.end(), forwarders[region].begin(), forwarders[region].end());
  }
  return groups;
}

/** Addresses of the nodes that are heard and watch the store. */
std::vector<uint32_t> HeardStoreWatchers(const FleetState& state,
                                         TimePoint now) {
  std::vector<uint32_t> ips;
  for (const auto& [ip, entry] : state.peers.All()) {
    if (entry.status.follows_store &&
        !IsSilent(entry.last_message_at, MessagePeriod(state), now)) {
      ips.push_back(serving::PackIp(ip));
    }
  }
  return ips;
}

/** Whether the store's changes reach this node. */
bool IsStoreFollowed(const FleetState& state, TimePoint now) {
  return (WatchesStore(state, now) && !state.store_uncertain_since) ||
         !HeardStoreWatchers(state, now).empty();
}

/** Adds what a group of nodes gets to the message for all. */
void FillReport(const FleetState& state,
                const TargetGroup& group,
                const std::vector<serving::PeerExtension>& extensions,
                TimePoint now,
                serving::PeerMessage& message) {
  const bool is_large = IsLarge(state);
  const auto flags =
      static_cast<uint8_t>((group.forward ? serving::kForward : 0) |
                           (group.partial ? serving::kPartial : 0));
  if (group.partial) {
    MakePartial(message);
  }
  if (group.partial || (is_large && group.unheard)) {
    // Hundreds of nodes that start together are unheard at first, also those
    // of other regions.
    SetForwardingFlags(message, flags);
    return;
  }
  const auto since = std::chrono::duration_cast<Duration>(kPrefixRepeats *
                                                          MessagePeriod(state));
  message.report.prefixes =
      RecentPrefixes(state, now - (group.every_period ? since : 2 * since));
  if (is_large && !group.every_period) {
    const size_t bound = group.same_region ? kMaxPrefixesForOtherZone : 0;
    message.report.prefixes.resize(
        std::min(message.report.prefixes.size(), bound));
  }
  if (state.report.suspects) {
    message.report.suspects = serving::SelectForMessage(
        *state.report.suspects,
        is_large ? state.message_rounds : state.sequence, group.newcomer, now);
    serving::SetAges(*message.report.suspects, now);
  }
  if (group.same_region) {
    message.report.loads = state.report.loads;
  }
  message.report.extensions =
      ExtensionsFor(extensions, group.same_region, group.has_duties);
  if (is_large) {
    SetForwardingFlags(message, flags);
  }
  if (group.has_duties) {
    message.report.usage = state.report.usage;
    message.report.demand = state.report.demand;
  }
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
  state.last_message = now;
  state.message_rounds += 1;
  state.peers.Expire(now);
  const bool to_all_regions = state.next_message_to_all || state.leaving;
  state.next_message_to_all = !state.next_message_to_all;
  if (to_all_regions) {
    state.last_message_to_all = now;
  }
  const serving::PeerMessage base = MakeMessage(state, now);
  serving::PeerSummary summary =
      state.peers.TakeSummary(MessagePeriod(state), now);
  std::vector<serving::PeerExtension> extensions = state.report.extensions;
  AddRolloutDecisions(state, now, extensions, summary);
  const bool is_large = IsLarge(state);
  if (is_large) {
    // Nodes that get a message both directly and forwarded accept the direct
    // one after the other, because it may contain more.
    state.sequence += 1;
  }
  for (auto& [group, ips] : GroupTargets(state, to_all_regions, now)) {
    SendToPeers send{std::move(ips), base, group.compressed};
    if (is_large && !group.forward) {
      send.message.status.sequence = state.sequence;
    }
    FillReport(state, group, extensions, now, send.message);
    effects.emplace_back(std::move(send));
  }
  summary.store_followed = IsStoreFollowed(state, now);
  summary.watches_store = WatchesStore(state, now);
  summary.store_watchers = HeardStoreWatchers(state, now);
  summary.prefill_speeds = PrefillSpeeds(state, now);
  summary.wall_offset_ms = state.wall_offset_ms.value_or(0);
  summary.informed =
      state.peers.HasFullView(now) || now - state.started > kInformedAfter;
  effects.emplace_back(PublishPeers{std::move(summary)});
}

void ScheduleMessageNow(FleetState& state, bool urgent, TimePoint now) {
  if (!state.following) {
    return;
  }
  if (IsLarge(state)) {
    state.urgent_pending |= urgent;
    return;
  }
  ScheduleEarlyMessage(state, now);
}

void ScheduleEarlyMessage(FleetState& state, TimePoint now) {
  const Duration period = MessagePeriod(state);
  state.next_message =
      std::min(state.next_message,
               std::max(now, state.last_message + period / kEarlyPerPeriod));
  state.next_message_to_all |= now - state.last_message_to_all >= period;
}

void SendUrgentMessage(FleetState& state,
                       TimePoint now,
                       std::vector<Effect>& effects) {
  if (!state.urgent_pending || now < state.next_urgent) {
    return;
  }
  state.urgent_pending = false;
  state.next_urgent = now + kUrgentPeriod;
  SendToPeers send{{}, MakeMessage(state, now), true};
  MakePartial(send.message);
  SetForwardingFlags(send.message, serving::kForward | serving::kPartial);
  const auto forwarders = SelectForwarders(state, kUrgentCopies, now);
  for (const auto& [region, ips] : forwarders) {
    send.ips.insert(send.ips.end(), ips.begin(), ips.end());
  }
  if (!send.ips.empty()) {
    effects.emplace_back(std::move(send));
  }
  // Nodes of earlier versions, and those that are silent, learn it from a
  // complete message.
  const bool all_forward = std::ranges::all_of(
      state.peers.All(), [](const auto& peer) { return peer.second.forwards; });
  if (!all_forward || forwarders.empty()) {
    state.next_message = now;
    state.next_message_to_all = true;
  }
}

}  // namespace boragewharf::fleet
