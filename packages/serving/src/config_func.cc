/**
 * @file config_func.cc
 * Indexes of and lookups in a configuration.
 */
#include <algorithm>

#include "serving/config_type.h"

namespace boragewharf::serving {

void IndexConfig(ServingConfig& config) {
  config.routes_by_host.clear();
  config.customer_by_key.clear();
  config.service_by_name.clear();
  for (size_t i = 0; i < config.routes.size(); ++i) {
    config.routes_by_host[config.routes[i].host].push_back(i);
  }
  // Sort by prefix length, longest first, so that FindRoute() can return the
  // first match.
  for (auto& [host, indexes] : config.routes_by_host) {
    std::stable_sort(indexes.begin(), indexes.end(), [&](size_t a, size_t b) {
      return config.routes[a].path_prefix.size() >
             config.routes[b].path_prefix.size();
    });
  }
  for (size_t i = 0; i < config.customers.size(); ++i) {
    for (const std::string& key : config.customers[i].keys) {
      config.customer_by_key[key] = i;
    }
  }
  for (size_t i = 0; i < config.services.size(); ++i) {
    config.service_by_name[config.services[i].name] = i;
  }
}

const Route* FindRoute(const ServingConfig& config,
                       std::string_view host,
                       std::string_view path) {
  const auto found = config.routes_by_host.find(std::string(host));
  if (found == config.routes_by_host.end()) {
    return nullptr;
  }
  for (size_t index : found->second) {
    const Route& route = config.routes[index];
    if (path.starts_with(route.path_prefix)) {
      return &route;
    }
  }
  return nullptr;
}

const Customer* FindCustomer(const ServingConfig& config,
                             std::string_view key) {
  const auto found = config.customer_by_key.find(std::string(key));
  if (found == config.customer_by_key.end()) {
    return nullptr;
  }
  return &config.customers[found->second];
}

const Service* FindService(const ServingConfig& config, std::string_view name) {
  const auto found = config.service_by_name.find(std::string(name));
  if (found == config.service_by_name.end()) {
    return nullptr;
  }
  return &config.services[found->second];
}

std::string_view PickTarget(const Route& route, double draw) {
  uint64_t total = 0;
  for (const SplitTarget& target : route.targets) {
    total += target.weight;
  }
  double remaining = draw * static_cast<double>(total);
  for (const SplitTarget& target : route.targets) {
    remaining -= target.weight;
    if (remaining < 0) {
      return target.service;
    }
  }
  return route.targets.back().service;
}

}  // namespace boragewharf::serving
