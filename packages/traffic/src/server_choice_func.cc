/**
 * @file server_choice_func.cc
 * Look-ups in the snapshot.
 */
#include "traffic/server_choice_func.h"

#include <algorithm>

#include "base/result_func.h"

namespace boragewharf::traffic {

const backend::BackendServer* ChooseServer(
    const TrafficContext& context,
    const RoutingSnapshot& snapshot,
    std::string_view service,
    std::span<const std::string> excluded,
    uint64_t cost_tokens,
    uint64_t prefix_hash) {
  const auto servers = snapshot.servers.find(service);
  if (servers == snapshot.servers.end()) {
    Fail(ResultCode::kNoBackendServer);
    return nullptr;
  }
  const RouteRequest route{context.options.zone, context.options.region,
                           cost_tokens, prefix_hash, excluded};
  const std::optional<size_t> index = context.providers.routing.Choose(
      route, servers->second, context.in_flight);
  if (!index) {
    Fail(ResultCode::kNoBackendServer);
    return nullptr;
  }
  return &servers->second[*index];
}

const backend::BackendServer* FindServer(const RoutingSnapshot& snapshot,
                                         std::string_view service,
                                         std::string_view instance) {
  const auto servers = snapshot.servers.find(service);
  if (servers == snapshot.servers.end()) {
    return nullptr;
  }
  const auto found = std::ranges::find(servers->second, instance,
                                       &backend::BackendServer::instance);
  return found == servers->second.end() ? nullptr : &*found;
}

bool IsEndAnnounced(const RoutingSnapshot& snapshot,
                    std::string_view service,
                    std::string_view instance) {
  const backend::BackendServer* server =
      FindServer(snapshot, service, instance);
  return server == nullptr ||
         server->status == backend::BackendStatus::kLeaving;
}

bool HoldsServingLease(const RoutingSnapshot& snapshot, TimePoint now) {
  return !snapshot.serving_lease_end || now < *snapshot.serving_lease_end;
}

}  // namespace boragewharf::traffic
