/**
 * @file server_list_cmd.cc
 * The server list.
 */
#include "server_list_cmd.h"

#include <algorithm>
#include <set>
#include <utility>

#include "fleet/fleet_cmd.h"
#include "fleet/state_order_func.h"

namespace boragewharf::fleet {
namespace {

using std::chrono::milliseconds;

/** Smallest number of server changes kept for nodes that are behind. With
 * more servers, as many changes as servers are kept: while servers register,
 * nodes that are a second behind would otherwise need complete lists, and a
 * node that has read a complete list can only pass on complete lists. */
constexpr size_t kKeptChanges = 256;

/** A list of more servers than this is published at most once per tick. A
 * copy takes 0.3 kB per server, and thousands of servers that register within
 * seconds would fill the memory of a node whose data plane is busy. */
constexpr size_t kMaxServersPublishedAtOnce = 256;

/** Live servers whose entries lapsed during a store outage register again
 * within two seconds after it. */
constexpr milliseconds kServerReturnTime(1900);

/** The store removes the entry of a silent server after three of its report
 * intervals, which are one to one and a half seconds. An entry that is still
 * listed after that time is that of a live server. */
constexpr milliseconds kSilentEntryTime(5000);

/** Time between two ticks after which the process counts as having been frozen,
 * and time in which it then learns what has changed: its watch answers, or
 * messages of other nodes and a fetch. */
constexpr milliseconds kLongestTick(500);
constexpr milliseconds kCatchUpTime(2000);

/** Time between two ticks, also in message periods, after which the store may
 * have been lost unnoticed. Longer than kLongestTick, as ticks are late under
 * load, and a node that hears few others knows no version of a stream without
 * the store. */
constexpr milliseconds kLongestStoreGap(1000);
constexpr int kLongestStoreGapPeriods = 5;

void PublishServerList(FleetState& state,
                       TimePoint now,
                       std::vector<Effect>& effects) {
  auto set = std::make_shared<serving::ServerSet>();
  set->revision = state.servers_revision;
  set->era = state.servers_era;
  set->read_at = now;
  for (const auto& [id, server] : state.servers) {
    set->servers.push_back(server);
  }
  state.servers_known = true;
  state.servers_unpublished = false;
  state.servers_published = now;
  effects.emplace_back(PublishServers{std::move(set)});
}

/** Publishes a changed list, with the next tick if it is large and was
 * published less than a tick ago. */
void PublishChangedList(FleetState& state,
                        TimePoint now,
                        std::vector<Effect>& effects) {
  if (state.servers_known &&
      state.servers.size() > kMaxServersPublishedAtOnce &&
      now - state.servers_published < kTickPeriod) {
    state.servers_unpublished = true;
    return;
  }
  PublishServerList(state, now, effects);
}

LogChange ServerLog(const FleetState& state,
                    std::string event,
                    std::string detail) {
  return {std::move(event), std::move(detail), state.servers_revision,
          state.servers_era};
}

void RemoveServer(FleetState& state,
                  const std::string& id,
                  TimePoint now,
                  std::vector<Effect>& effects) {
  const auto withheld = state.withheld_servers.find(id);
  if (withheld != state.withheld_servers.end()) {
    state.departed.RecordRemoval(withheld->second.server, ServersOrder(state),
                                 now);
    state.withheld_servers.erase(withheld);
  }
  const auto found = state.servers.find(id);
  if (found == state.servers.end()) {
    return;
  }
  if (!found->second.draining && EntriesMayBeMissing(state, now)) {
    state.lapsed_servers.try_emplace(id, now);
    return;
  }
  state.departed.RecordRemoval(found->second, ServersOrder(state), now);
  state.departures.push_back({now, serving::HashName(id)});
  state.servers.erase(found);
  state.lapsed_servers.erase(id);
  effects.emplace_back(ServerLog(state, "server_gone", id));
}

void AddServer(FleetState& state,
               const serving::BackendServer& server,
               TimePoint now,
               std::vector<Effect>& effects) {
  state.lapsed_servers.erase(server.id);
  state.withheld_servers.erase(server.id);
  const auto found = state.servers.find(server.id);
  const bool is_new = found == state.servers.end();
  if (is_new || found->second.draining != server.draining) {
    const serving::NameHash hash = serving::HashName(server.id);
    if (server.draining) {
      state.departures.push_back({now, hash});
    } else {
      std::erase_if(state.departures, [&](const Departure& departure) {
        return departure.server == hash;
      });
    }
    effects.emplace_back(ServerLog(
        state, server.draining ? "server_draining" : "server_ready",
        server.id + " " + server.service + " " + ToString(server.address)));
  }
  state.servers[server.id] = server;
}

/** Adds a server whose entry is current. */
void AddCurrentServer(FleetState& state,
                      const serving::BackendServer& server,
                      TimePoint now,
                      std::vector<Effect>& effects) {
  if (server.draining) {
    state.departed.RecordDraining(server, ServersOrder(state), now);
  } else {
    state.departed.Forget(server.id);
  }
  AddServer(state, server, now, effects);
}

/** Withholds a listed server whose lifetime is known to have ended. */
void WithholdServer(FleetState& state,
                    const serving::BackendServer& server,
                    bool era_rises,
                    TimePoint now,
                    std::vector<Effect>& effects) {
  const auto [known, added] = state.withheld_servers.try_emplace(
      server.id, WithheldServer{server, now});
  if (added || era_rises) {
    known->second = {server, now};
    effects.emplace_back(ServerLog(state, "server_withheld", server.id));
  } else if (known->second.server != server) {
    AddCurrentServer(state, server, now, effects);  // It was written again.
  }
}

void AddListedServer(FleetState& state,
                     serving::BackendServer server,
                     bool from_peer,
                     bool era_rises,
                     TimePoint now,
                     std::vector<Effect>& effects) {
  switch (state.departed.JudgeListed(server, ServersOrder(state))) {
    case ListedAs::kRemoved:
      WithholdServer(state, server, era_rises, now, effects);
      return;
    case ListedAs::kDraining:
      server.draining = true;
      AddServer(state, server, now, effects);
      return;
    case ListedAs::kListed:
      if (from_peer && server.draining) {
        state.departed.RecordToldDraining(server, now);
        AddServer(state, server, now, effects);
        return;
      }
      AddCurrentServer(state, server, now, effects);
      return;
  }
}

/** Adds a server that another node keeps only in case it returns. That node may
 * not tell when it gives up, so this one waits itself. */
void AddLapsedServer(FleetState& state,
                     serving::BackendServer server,
                     TimePoint now,
                     std::vector<Effect>& effects) {
  const ListedAs listed_as = state.departed.JudgeLapsed(server);
  if (listed_as == ListedAs::kRemoved) {
    RemoveServer(state, server.id, now, effects);
    return;
  }
  server.draining |= listed_as == ListedAs::kDraining;
  const auto known = state.lapsed_servers.find(server.id);
  const TimePoint since =
      known == state.lapsed_servers.end() ? now : known->second;
  AddServer(state, server, now, effects);
  state.lapsed_servers.emplace(server.id, since);
}

/** Removes the servers that a complete list lacks. */
void RemoveUnlistedServers(FleetState& state,
                           const std::set<std::string>& listed,
                           bool era_rises,
                           TimePoint now,
                           std::vector<Effect>& effects) {
  std::erase_if(state.withheld_servers, [&](const auto& entry) {
    return !listed.contains(entry.first);
  });
  std::vector<std::string> removed;
  for (const auto& [id, server] : state.servers) {
    if (listed.contains(id)) {
      continue;
    }
    // Live servers write their entries again in the new era, whoever has read
    // the list.
    if (era_rises && !server.draining) {
      state.lapsed_servers[id] = now;
    } else if (!state.lapsed_servers.contains(id)) {
      removed.push_back(id);
    }
  }
  for (const std::string& id : removed) {
    RemoveServer(state, id, now, effects);
  }
}

void KeepChange(FleetState& state, const ServerChanged& change) {
  state.changes.push_back(change);
  const size_t bound = std::max(kKeptChanges, state.servers.size());
  while (state.changes.size() > bound) {
    state.changes_base = state.changes.front().revision;
    state.changes.pop_front();
  }
}

/** Applies a change whose revision is in force already. */
void ApplyChange(FleetState& state,
                 const ServerChanged& change,
                 TimePoint now,
                 std::vector<Effect>& effects) {
  KeepChange(state, change);
  if (!change.server) {
    RemoveServer(state, change.id, now, effects);
    return;
  }
  const ListOrder position{state.servers_era, change.revision};
  if (state.departed.JudgeChanged(*change.server, position) ==
      ListedAs::kDraining) {
    // Announced by a node whose list is newer than this change.
    serving::BackendServer draining = *change.server;
    draining.draining = true;
    AddServer(state, draining, now, effects);
    return;
  }
  AddCurrentServer(state, *change.server, now, effects);
}

/** Gives a change that this node decides itself a revision. The store has no
 * new one for it, but other nodes have to notice it. */
void KeepOwnChange(FleetState& state, ServerChanged change) {
  state.servers_revision += 1;
  change.revision = state.servers_revision;
  change.era = state.servers_era;
  KeepChange(state, change);
}

/** Whether this node can see that an entry returns or is removed: it watches
 * the store, or learns changes from others. */
bool LearnsChanges(const FleetState& state) {
  return state.store_reachable || !state.following;
}

bool RemoveLapsedServers(FleetState& state,
                         TimePoint now,
                         std::vector<Effect>& effects) {
  if (!LearnsChanges(state)) {
    return false;
  }
  bool changed = false;
  std::erase_if(state.lapsed_servers, [&](const auto& entry) {
    const TimePoint since =
        std::max(entry.second, state.store_regained.value_or(entry.second));
    if (now - since < kServerReturnTime) {
      return false;
    }
    const auto found = state.servers.find(entry.first);
    if (found != state.servers.end()) {
      state.departed.RecordRemoval(found->second, ServersOrder(state), now);
      state.servers.erase(found);
    }
    effects.emplace_back(ServerLog(state, "server_gone", entry.first));
    changed = true;
    if (state.following) {
      KeepOwnChange(state, {0, entry.first, std::nullopt});
    }
    return true;
  });
  return changed;
}

/** Returns whether the process was frozen since the last tick. */
bool NoteTick(FleetState& state, TimePoint now) {
  const TimePoint last = std::exchange(state.last_tick, now);
  const auto longest = std::max<Duration>(
      kLongestStoreGap, kLongestStoreGapPeriods * MessagePeriod(state));
  if (last != TimePoint{} && now - last > longest) {
    state.store_uncertain_since = now;
  }
  return now - last > kLongestTick;
}

bool UseWithheldServers(FleetState& state,
                        bool was_frozen,
                        TimePoint now,
                        std::vector<Effect>& effects) {
  // A node that was frozen, or is behind, may not know of a removal yet.
  if (was_frozen || state.behind_since || !LearnsChanges(state)) {
    for (auto& [id, withheld] : state.withheld_servers) {
      withheld.since =
          std::max(withheld.since, now - kSilentEntryTime + kCatchUpTime);
    }
    return false;
  }
  std::vector<serving::BackendServer> live;
  for (const auto& [id, withheld] : state.withheld_servers) {
    if (now - withheld.since >= kSilentEntryTime) {
      live.push_back(withheld.server);
    }
  }
  for (serving::BackendServer& server : live) {
    const bool has_drained = state.departed.HasDrained(server);
    server.draining = server.draining || has_drained;
    if (state.following) {
      KeepOwnChange(state, {0, server.id, server});
    }
    if (has_drained) {
      state.departed.RecordDraining(server, {}, now);
      AddServer(state, server, now, effects);
    } else {
      AddCurrentServer(state, server, now, effects);
    }
  }
  return !live.empty();
}

}  // namespace

bool EntriesMayBeMissing(const FleetState& state, TimePoint now) {
  if (!state.following || !state.store_state_known) {
    return false;  // Nodes that watch the store have already waited before
                   // they announce a removal.
  }
  const auto recent = [&](const std::optional<TimePoint>& since) {
    return since && now - *since < kServerReturnTime;
  };
  return !state.store_reachable || recent(state.store_regained) ||
         recent(state.servers_era_began);
}

void ApplyServerList(FleetState& state,
                     const ServersRead& read,
                     TimePoint now,
                     std::vector<Effect>& effects) {
  const ListOrder position{read.era, read.revision};
  const bool older = position < ServersOrder(state) ||
                     (read.from_peer && position == ServersOrder(state));
  if (state.servers_known && older) {
    return;
  }
  const bool era_rises = state.servers_known && read.era > state.servers_era;
  state.servers_revision = read.revision;
  state.servers_era = read.era;
  if (era_rises) {
    state.servers_era_began = now;
    effects.emplace_back(ServerLog(
        state, "store_era_changed",
        "list of " + std::to_string(read.servers.size()) + " servers, " +
            std::to_string(state.servers.size()) + " known"));
  }
  state.changes.clear();
  state.changes_base = read.revision;
  std::set<std::string> listed;
  for (const serving::BackendServer& server : read.servers) {
    listed.insert(server.id);
    if (read.lapsed.contains(server.id)) {
      AddLapsedServer(state, server, now, effects);
      continue;
    }
    AddListedServer(state, server, read.from_peer, era_rises, now, effects);
  }
  RemoveUnlistedServers(state, listed, era_rises, now, effects);
  PublishServerList(state, now, effects);
}

void ApplyServersPatch(FleetState& state,
                       const ServersPatched& patch,
                       TimePoint now,
                       std::vector<Effect>& effects) {
  if (!state.servers_known || patch.era != state.servers_era ||
      patch.base > state.servers_revision ||
      patch.revision <= state.servers_revision) {
    return;
  }
  for (const ServerChanged& change : patch.changes) {
    if (change.revision > state.servers_revision) {
      ApplyChange(state, change, now, effects);
    }
  }
  state.servers_revision = patch.revision;
  PublishChangedList(state, now, effects);
}

void ApplyServerChange(FleetState& state,
                       const ServerChanged& change,
                       TimePoint now,
                       std::vector<Effect>& effects) {
  if (change.era != state.servers_era ||
      change.revision <= state.servers_revision) {
    return;
  }
  state.servers_revision = change.revision;
  ApplyChange(state, change, now, effects);
  PublishChangedList(state, now, effects);
}

void ApplyDepartures(FleetState& state,
                     const serving::PeerMessage& message,
                     TimePoint now,
                     std::vector<Effect>& effects) {
  const serving::NodeStatus& status = message.status;
  if (message.departures.empty() || !HasNewerServers(state, status)) {
    return;
  }
  // In a later era, the announced position does not tell whether the list at
  // this position has the departure.
  const ListOrder position{state.servers_era,
                           status.servers_era == state.servers_era
                               ? status.servers_revision
                               : state.servers_revision};
  const std::set<serving::NameHash> leaving(message.departures.begin(),
                                            message.departures.end());
  bool changed = false;
  for (auto& [id, server] : state.servers) {
    if (server.draining || !leaving.contains(serving::HashName(id))) {
      continue;
    }
    server.draining = true;
    changed = true;
    state.departed.RecordDraining(server, position, now);
    effects.emplace_back(
        LogChange{"server_draining", id + " announced by " + status.ip,
                  status.servers_revision, status.servers_era});
  }
  if (changed) {
    PublishChangedList(state, now, effects);
  }
}

std::vector<serving::BackendServer> ServersForPeers(const FleetState& state) {
  std::vector<serving::BackendServer> servers;
  for (const auto& [id, server] : state.servers) {
    if (state.following || !state.lapsed_servers.contains(id)) {
      servers.push_back(server);
    }
  }
  if (!state.following) {
    for (const auto& [id, withheld] : state.withheld_servers) {
      servers.push_back(withheld.server);
    }
  }
  return servers;
}

std::set<std::string> LapsedServersForPeers(const FleetState& state) {
  std::set<std::string> ids;
  if (state.following) {
    for (const auto& [id, since] : state.lapsed_servers) {
      ids.insert(id);
    }
  }
  return ids;
}

void AdvanceServerList(FleetState& state,
                       TimePoint now,
                       std::vector<Effect>& effects) {
  state.departed.Expire(now);
  const bool was_frozen = NoteTick(state, now);
  const bool removed = RemoveLapsedServers(state, now, effects);
  const bool added = UseWithheldServers(state, was_frozen, now, effects);
  if (removed || added || state.servers_unpublished) {
    PublishServerList(state, now, effects);
  }
}

void PublishPendingList(FleetState& state,
                        TimePoint now,
                        std::vector<Effect>& effects) {
  if (state.servers_unpublished) {
    PublishServerList(state, now, effects);
  }
}

}  // namespace boragewharf::fleet
