/**
 * @file fleet_cmd.cc
 * Configuration, servers, other nodes and the time of day.
 */
#include "fleet/fleet_cmd.h"

#include <algorithm>
#include <cstdlib>
#include <set>
#include <tuple>

#include "duty_cmd.h"
#include "lease/lease_cmd.h"

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

/** Changes of servers kept for nodes that are behind. */
constexpr size_t kKeptChanges = 256;

/** Time between fetches. */
constexpr milliseconds kFetchPeriod(400);

/** After an outage of the store, servers that it lost are back within two
 * seconds if they live. */
constexpr milliseconds kReturnTime(1900);

/** Clocks that agree this closely are taken as equal. */
constexpr int64_t kClockTolerance = 300;

/** The own estimate follows the others after disagreeing for this long. */
constexpr std::chrono::seconds kClockPatience(1);

/** Saved quota levels that are older say nothing of the quotas' windows. */
constexpr milliseconds kQuotaMemory(10000);

/** Nodes named to a client; the nearest of them if there are enough. */
constexpr size_t kEnoughEntries = 2;
constexpr size_t kMaxEntries = 64;

template <class... Handlers>
struct Overloaded : Handlers... {
  using Handlers::operator()...;
};
template <class... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

int64_t BootMs(TimePoint now) {
  return std::chrono::duration_cast<milliseconds>(now.time_since_epoch())
      .count();
}

void PublishServerList(FleetState& state,
                       TimePoint now,
                       std::vector<Effect>& effects) {
  auto set = std::make_shared<serving::ServerSet>();
  set->revision = state.servers_revision;
  set->read_at = now;
  for (const auto& [id, server] : state.servers) {
    set->servers.push_back(server);
  }
  state.servers_known = true;
  effects.emplace_back(PublishServers{std::move(set)});
}

void TakeConfig(FleetState& state,
                const ConfigRead& read,
                std::vector<Effect>& effects) {
  if (!read.config || read.revision <= state.config_revision) {
    return;
  }
  state.config_revision = read.revision;
  state.config = read.config;
  state.config_text = read.text;
  for (const serving::Customer& customer : read.config->customers) {
    state.customer_names[serving::HashName(customer.name)] = customer.name;
  }
  effects.emplace_back(PublishConfig{read.config});
  effects.emplace_back(LogChange{
      "config_in_force", "version " + std::to_string(read.config->version),
      read.revision});
}

/** Whether a server that is no longer listed may only have lapsed. */
bool MayHaveLapsed(const FleetState& state, TimePoint now) {
  if (!state.following || !state.store_seen) {
    return false;  // The nodes that follow the store have waited already.
  }
  return !state.store_reachable ||
         (state.store_regained && now - *state.store_regained < kReturnTime);
}

void RemoveServer(FleetState& state,
                  const std::string& id,
                  TimePoint now,
                  std::vector<Effect>& effects) {
  const auto found = state.servers.find(id);
  if (found == state.servers.end()) {
    return;
  }
  if (!found->second.draining && MayHaveLapsed(state, now)) {
    state.missing.try_emplace(id, now);
    return;
  }
  state.servers.erase(found);
  state.missing.erase(id);
  effects.emplace_back(LogChange{"server_gone", id, state.servers_revision});
}

void AddServer(FleetState& state,
               const serving::BackendServer& server,
               std::vector<Effect>& effects) {
  state.missing.erase(server.id);
  const auto found = state.servers.find(server.id);
  const bool is_new = found == state.servers.end();
  if (is_new || found->second.draining != server.draining) {
    effects.emplace_back(LogChange{
        server.draining ? "server_draining" : "server_ready",
        server.id + " " + server.service + " " + ToString(server.address),
        state.servers_revision});
  }
  state.servers[server.id] = server;
}

void TakeServers(FleetState& state,
                 const ServersRead& read,
                 TimePoint now,
                 std::vector<Effect>& effects) {
  const bool older =
      read.revision < state.servers_revision ||
      (read.from_peer && read.revision == state.servers_revision);
  if (state.servers_known && older) {
    return;
  }
  state.servers_revision = read.revision;
  state.changes.clear();
  state.changes_base = read.revision;
  std::map<std::string, bool> listed;
  for (const serving::BackendServer& server : read.servers) {
    listed[server.id] = true;
    AddServer(state, server, effects);
  }
  std::vector<std::string> gone;
  for (const auto& [id, server] : state.servers) {
    if (!listed.contains(id)) {
      gone.push_back(id);
    }
  }
  for (const std::string& id : gone) {
    RemoveServer(state, id, now, effects);
  }
  PublishServerList(state, now, effects);
}

void KeepChange(FleetState& state, const ServerChanged& change) {
  state.changes.push_back(change);
  if (state.changes.size() > kKeptChanges) {
    state.changes_base = state.changes.front().revision;
    state.changes.pop_front();
  }
}

void TakeServersPatch(FleetState& state,
                      const ServersPatched& patch,
                      TimePoint now,
                      std::vector<Effect>& effects) {
  if (!state.servers_known || patch.base > state.servers_revision ||
      patch.revision <= state.servers_revision) {
    return;
  }
  for (const ServerChanged& change : patch.changes) {
    if (change.revision <= state.servers_revision) {
      continue;
    }
    KeepChange(state, change);
    if (change.server) {
      AddServer(state, *change.server, effects);
    } else {
      RemoveServer(state, change.id, now, effects);
    }
  }
  state.servers_revision = patch.revision;
  PublishServerList(state, now, effects);
}

void TakeServerChange(FleetState& state,
                      const ServerChanged& change,
                      TimePoint now,
                      std::vector<Effect>& effects) {
  if (change.revision <= state.servers_revision) {
    return;
  }
  state.servers_revision = change.revision;
  KeepChange(state, change);
  if (change.server) {
    AddServer(state, *change.server, effects);
  } else {
    RemoveServer(state, change.id, now, effects);
  }
  PublishServerList(state, now, effects);
}

void ExpireMissing(FleetState& state,
                   TimePoint now,
                   std::vector<Effect>& effects) {
  if (!state.store_reachable || state.missing.empty()) {
    return;
  }
  bool changed = false;
  std::erase_if(state.missing, [&](const auto& entry) {
    const TimePoint since =
        std::max(entry.second, state.store_regained.value_or(entry.second));
    if (now - since < kReturnTime) {
      return false;
    }
    state.servers.erase(entry.first);
    effects.emplace_back(
        LogChange{"server_gone", entry.first, state.servers_revision});
    changed = true;
    // Other nodes have to learn of it, though the store tells nothing new.
    state.servers_revision += 1;
    KeepChange(state, {state.servers_revision, entry.first, std::nullopt});
    return true;
  });
  if (changed) {
    PublishServerList(state, now, effects);
  }
}

void TakeStoreState(FleetState& state,
                    bool reachable,
                    TimePoint now,
                    std::vector<Effect>& effects) {
  if (state.store_reachable == reachable && state.store_seen) {
    return;
  }
  // The first contact of a process ends no outage: no entry had lapsed.
  if (reachable && state.store_seen) {
    state.store_regained = now;
  }
  state.store_seen = true;
  state.store_reachable = reachable;
  effects.emplace_back(LogChange{reachable ? "store_regained" : "store_lost",
                                 "", state.servers_revision});
}

/**
 * Follows the time of day. The estimate is kept while the clock jumps, and
 * gives way only if most other nodes disagree with it.
 */
void FollowClock(FleetState& state, int64_t clock_ms, TimePoint now) {
  if (!state.wall_offset_ms) {
    state.wall_offset_ms = clock_ms - BootMs(now);
  }
  const int64_t own = *state.wall_offset_ms + BootMs(now);
  const int64_t agreed =
      state.peers.MedianWallMs(own, MessagePeriod(state), now);
  if (std::abs(agreed - own) <= kClockTolerance) {
    state.off_since.reset();
    return;
  }
  if (!state.off_since) {
    state.off_since = now;
  }
  if (now - *state.off_since >= kClockPatience) {
    state.wall_offset_ms = *state.wall_offset_ms + agreed - own;
    state.off_since.reset();
  }
}

void TakeQuotas(FleetState& state,
                const QuotasRead& read,
                std::vector<Effect>& effects) {
  milliseconds age(
      std::max<int64_t>(0, read.clock_wall_ms - read.saved_wall_ms));
  if (age > kQuotaMemory) {
    return;
  }
  // What was used between the save and the restart is not known; a customer
  // at its limit uses as much as is refilled.
  age = std::max(milliseconds(0), age - kQuotaSavePeriod);
  effects.emplace_back(RestoreQuotas{read.levels, age});
  effects.emplace_back(LogChange{"quotas_restored",
                                 "age " + std::to_string(age.count()) + " ms",
                                 state.config_revision});
}

/** What all nodes are told. */
serving::PeerMessage MakeMessage(FleetState& state, TimePoint now) {
  serving::PeerMessage message;
  message.format = serving::kPeerFormat;
  message.status.name = state.settings.node_name;
  message.status.ip = state.settings.ip;
  message.status.zone = state.settings.zone;
  message.status.region = state.settings.region;
  message.status.incarnation = state.settings.incarnation;
  message.status.sequence = ++state.sequence;
  message.status.ready = IsReady(state);
  message.status.leaving = state.leaving;
  message.status.follows_store = state.following && state.store_reachable;
  message.status.holds_duties = HoldsDuties(state, now);
  message.status.config_revision = state.config_revision;
  message.status.servers_revision = state.servers_revision;
  message.status.wall_ms = state.wall_offset_ms.value_or(0) + BootMs(now);
  message.report.admitted = state.report.admitted;
  message.report.crashes = state.report.crashes;
  message.known_ips = state.peers.RecentIps(kMaxKnownIps, now);
  return message;
}

/**
 * Tells the other nodes. Loads are of use in the own region only, usage and
 * demand to the nodes that may hold the duties: bytes between regions are
 * dear.
 */
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

/** A change that the store told is passed on without delay. */
void HastenMessage(FleetState& state, TimePoint now) {
  if (state.following) {
    state.next_message = now;
    state.far_turn = true;
  }
}

/**
 * Lets the nodes with the lowest ranks follow the store. A node that hears of
 * too few others which do so follows it itself.
 */
void DecideFollowing(FleetState& state,
                     TimePoint now,
                     std::vector<Effect>& effects) {
  const uint32_t own_rank = serving::HashName(state.settings.ip);
  size_t others = 0;
  for (const auto& [ip, entry] : state.peers.All()) {
    const bool follows = entry.status.follows_store && !entry.status.leaving &&
                         !IsSilent(entry.heard, MessagePeriod(state), now);
    others += follows && serving::HashName(ip) < own_rank ? 1 : 0;
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
  if (follow != state.following) {
    state.following = follow;
    effects.emplace_back(FollowStore{follow});
    effects.emplace_back(LogChange{follow ? "store_followed" : "store_left", "",
                                   state.servers_revision});
  }
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

/** Fetches newer state from another node, where the own watch lags. */
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

}  // namespace

FleetState::FleetState(FleetSettings fixed)
    : settings(std::move(fixed)),
      peers(settings.ip),
      scaling_policy(MakeZoneLossPolicy()) {
  this->peers.AddSeeds(this->settings.seed_ips);
  this->lease.self = MemberId{this->settings.incarnation};
  this->lease.timing = this->settings.lease_timing;
  this->lease.generator.seed(this->settings.incarnation);
}

uint64_t MakeIncarnation(int64_t wall_ms, uint32_t draw) {
  constexpr int kDrawBits = 22;
  return (static_cast<uint64_t>(wall_ms) << kDrawBits) |
         (draw & ((1U << kDrawBits) - 1));
}

Duration MessagePeriod(const FleetState& state) {
  const auto nodes = static_cast<int64_t>(state.peers.All().size());
  return std::max<Duration>(kMessagePeriod, nodes * kPeriodPerNode);
}

bool IsReady(const FleetState& state) {
  return state.config != nullptr && state.servers_known && !state.leaving;
}

std::vector<std::string> EntryAddresses(const FleetState& state,
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

void Reduce(FleetState& state,
            const Event& event,
            TimePoint now,
            std::vector<Effect>& effects) {
  if (state.started == TimePoint{}) {
    state.started = now;
  }
  std::visit(
      Overloaded{
          [&](const ConfigRead& read) {
            TakeConfig(state, read, effects);
            HastenMessage(state, now);
          },
          [&](const ServersRead& read) {
            TakeServers(state, read, now, effects);
          },
          [&](const ServerChanged& change) {
            TakeServerChange(state, change, now, effects);
            HastenMessage(state, now);
          },
          [&](const ServersPatched& patch) {
            TakeServersPatch(state, patch, now, effects);
          },
          [&](const StoreReachable& store) {
            TakeStoreState(state, store.reachable, now, effects);
          },
          [&](const PeerHeard& heard) {
            const auto news = state.peers.Hear(heard.message, now);
            if (news == PeerTable::News::kNewProcess) {
              // It learns of this node, and of others, the sooner.
              state.next_message = now;
              state.far_turn = true;
            }
            if (news != PeerTable::News::kNone) {
              state.usage.Merge(heard.message.status.ip,
                                heard.message.status.incarnation,
                                heard.message.report.usage);
              CatchUp(state, now, effects);
            }
          },
          [&](const TrafficReported& traffic) {
            state.report = traffic.report;
            state.usage.Merge(state.settings.ip, state.settings.incarnation,
                              traffic.report.usage);
          },
          [&](const FetchEnded& fetch) {
            state.fetching = false;
            if (!fetch.fetched) {
              state.peers.NoteFetchFailed(fetch.ip, now);
            }
          },
          [&](const LeaseEvent& result) {
            ReduceLease(state, result.event, now, effects);
          },
          [&](const UsageFixed& fixed) { TakeUsageFixed(state, fixed, now); },
          [&](const UsageSent& sent) { TakeUsageSent(state, sent, now); },
          [&](const ServersOrdered& answer) {
            TakeOrderAnswer(state, answer, now, effects);
          },
          [&](const QuotasRead& read) { TakeQuotas(state, read, effects); },
          [&](const StopRequested&) {
            state.leaving = true;
            state.next_message = now;
            SendMessage(state, now, effects);
          },
          [&](const Tick& tick) {
            FollowClock(state, tick.clock_wall_ms, now);
            ExpireMissing(state, now, effects);
            DecideFollowing(state, now, effects);
            CatchUp(state, now, effects);
            SendMessage(state, now, effects);
            AdvanceDuties(state, now, effects);
          },
      },
      event);
}

}  // namespace boragewharf::fleet
