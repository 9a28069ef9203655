/**
 * @file fetch_cmd.cc
 * Fetches of newer state from other nodes.
 */
#include "fetch_cmd.h"

#include <algorithm>
#include <tuple>

#include "fleet/fleet_cmd.h"
#include "fleet/state_order_func.h"
#include "forward_cmd.h"

namespace boragewharf::fleet {
namespace {

using std::chrono::milliseconds;

/** Time after a failed fetch during which the same node is not asked again. */
constexpr std::chrono::seconds kFailedFetchDelay(2);

/** Delay before a node that watches the store fetches newer state from another
 * node: usually its own watch delivers the state in the meantime. */
constexpr milliseconds kFetchDelay(250);

/** Shortest interval between fetches. */
constexpr milliseconds kFetchPeriod(400);

/** Increase of the interval between fetches of server lists per node of a large
 * deployment. Departures are announced in messages, so that a list that is late
 * only delays the use of new servers. */
constexpr milliseconds kFetchPeriodPerNode(4);
constexpr milliseconds kMaxFetchPeriod(2000);

/** Delay until the next node is asked after one that answers too many fetches.
 */
constexpr milliseconds kRefusedFetchDelay(50);

/** In a large deployment, one node in this many is asked: those with the newest
 * state. Each source then answers about this many nodes per fetch period. */
constexpr size_t kNodesPerSource = 16;

/** Smallest number of nodes that are asked. */
constexpr size_t kMinSources = 3;

/** Whether a node has newer state and a fetch from it will probably succeed. */
bool IsFetchSource(const FleetState& state,
                   const PeerEntry& entry,
                   TimePoint now) {
  const bool newer = HasNewerConfig(state, entry.status) ||
                     HasNewerServers(state, entry.status);
  const bool failed =
      entry.fetch_failed && now - *entry.fetch_failed < kFailedFetchDelay;
  return newer && !failed &&
         !IsSilent(entry.last_message_at, MessagePeriod(state), now);
}

/** Selects the near node of those with the newest state. */
const PeerEntry* FindNearSource(const FleetState& state,
                                std::vector<const PeerEntry*> sources) {
  const size_t bound =
      std::max(kMinSources, state.peers.All().size() / kNodesPerSource);
  if (sources.size() > bound) {
    const auto newest = [](const PeerEntry* entry) {
      return std::pair(ConfigOrderOf(entry->status),
                       ServersOrderOf(entry->status));
    };
    std::ranges::nth_element(
        sources, sources.begin() + static_cast<std::ptrdiff_t>(bound),
        std::ranges::greater(), newest);
    sources.resize(bound);
  }
  const std::string salt = state.settings.ip + std::to_string(state.fetches);
  return *std::ranges::max_element(sources, {}, [&](const PeerEntry* entry) {
    return std::tuple(HasNewerConfig(state, entry->status),
                      entry->status.zone == state.settings.zone,
                      entry->status.region == state.settings.region,
                      serving::HashName(entry->status.ip + salt));
  });
}

/**
 * Selects the node to fetch from: one with the newest state, preferably in the
 * same region. Ties are broken by a hash that differs between nodes, so that
 * they do not all ask the same one. In a large deployment, nodes with slightly
 * older state are asked as well.
 */
const PeerEntry* FindFetchSource(const FleetState& state, TimePoint now) {
  std::vector<const PeerEntry*> sources;
  for (const auto& [ip, entry] : state.peers.All()) {
    if (IsFetchSource(state, entry, now)) {
      sources.push_back(&entry);
    }
  }
  if (sources.empty()) {
    return nullptr;
  }
  if (IsLarge(state)) {
    return FindNearSource(state, std::move(sources));
  }
  return *std::ranges::max_element(sources, {}, [&](const PeerEntry* entry) {
    return std::tuple(ConfigOrderOf(entry->status),
                      ServersOrderOf(entry->status),
                      entry->status.region == state.settings.region,
                      serving::HashName(entry->status.ip + state.settings.ip));
  });
}

/** Time until the next fetch, which varies in a large deployment so that the
 * nodes do not ask at the same time. */
Duration FetchPeriod(const FleetState& state, const PeerEntry& source) {
  const bool has_newer_config = HasNewerConfig(state, source.status);
  if (!IsLarge(state) || has_newer_config || !state.servers_known) {
    return kFetchPeriod;
  }
  const auto nodes = static_cast<int64_t>(state.peers.All().size());
  const milliseconds period = std::clamp<milliseconds>(
      nodes * kFetchPeriodPerNode, kFetchPeriod, kMaxFetchPeriod);
  const uint32_t draw =
      serving::HashName(state.settings.ip + std::to_string(state.fetches));
  const milliseconds variation(draw % static_cast<uint32_t>(period.count()));
  return period * 3 / 4 + variation / 2;
}

}  // namespace

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
  // A configuration is in force everywhere within a second, so it does not wait
  // for the longer period of server lists.
  const bool has_newer_config = HasNewerConfig(state, source->status);
  const bool period_over =
      now >= state.next_fetch ||
      (has_newer_config && now - state.last_fetch >= kFetchPeriod);
  if (!due || state.fetching || !period_over) {
    return;
  }
  state.fetching = true;
  state.fetches += 1;
  state.last_fetch = now;
  state.next_fetch = now + FetchPeriod(state, *source);
  effects.emplace_back(FetchState{
      source->status.ip, state.config_revision, state.servers_revision,
      OrderOfConfig(state).version, state.config_era, state.servers_era});
}

void EndFetch(FleetState& state, const FetchEnded& fetch, TimePoint now) {
  state.fetching = false;
  if (!fetch.fetched) {
    state.peers.RecordFetchFailure(fetch.ip, now);
  }
  if (fetch.refused) {
    state.next_fetch = std::min(state.next_fetch, now + kRefusedFetchDelay);
  }
}

}  // namespace boragewharf::fleet
