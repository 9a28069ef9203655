/**
 * @file state_order_func.cc
 * Order of configurations and server lists of this node and of others.
 */
#include "fleet/state_order_func.h"

#include <algorithm>

namespace boragewharf::fleet {

ListOrder ServersOrder(const FleetState& state) {
  return {state.servers_era, state.servers_revision};
}

ConfigOrder OrderOfConfig(const FleetState& state) {
  return {state.config ? state.config->version : 0, state.config_era,
          state.config_revision};
}

ListOrder ServersOrderOf(const serving::NodeStatus& status) {
  return {status.servers_era, status.servers_revision};
}

ConfigOrder ConfigOrderOf(const serving::NodeStatus& status) {
  return {status.config_version, status.config_era, status.config_revision};
}

bool HasNewerServers(const FleetState& state,
                     const serving::NodeStatus& status) {
  return ServersOrderOf(status) > ServersOrder(state);
}

bool HasNewerConfig(const FleetState& state,
                    const serving::NodeStatus& status) {
  if (!status.has_eras) {
    return state.config_era == 0 &&
           status.config_revision > state.config_revision;
  }
  return ConfigOrderOf(status) > OrderOfConfig(state);
}

bool KnowsEras(const FleetState& state) {
  return state.config_era > 0 || state.servers_era > 0 ||
         std::ranges::any_of(state.peers.All(), [](const auto& peer) {
           const serving::NodeStatus& status = peer.second.status;
           return status.config_era > 0 || status.servers_era > 0;
         });
}

}  // namespace boragewharf::fleet
