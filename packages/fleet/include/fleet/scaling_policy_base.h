/**
 * @file scaling_policy_base.h
 * Policy for the number of servers of each kind in each availability zone.
 */
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "serving/config_type.h"

namespace boragewharf::fleet {

/** Servers of a service that are present in a zone. */
struct ZoneServers {
  uint32_t on_demand = 0;    ///< Listed servers that are not draining.
  uint32_t reclaimable = 0;  ///< Listed servers that are not draining.
  /** No order for reclaimable servers was refused recently. */
  bool reclaimable_available = true;
};

/** Demand for a service, summed over all nodes. */
struct ScalingDemand {
  double prefill_per_second = 0;  ///< Prompt tokens of arriving requests.
  double running = 0;             ///< Requests in progress.
  /** Prompt tokens that a server reads per second, as measured; empty until it
   * is known. */
  std::optional<double> prefill_per_server;
};

/** Number of servers of each kind that a zone should have. */
struct ZonePlan {
  uint32_t on_demand = 0;
  uint32_t reclaimable = 0;

  bool operator==(const ZonePlan&) const = default;
};

using ZonePlans = std::map<std::string, ZonePlan>;

/** Plans the servers of one service. Implementations have no state and no side
 * effects. */
class ScalingPolicy {
 public:
  virtual ~ScalingPolicy() = default;

  /**
   * @param needed Number of servers that the demand requires, see
   * ServersNeeded().
   * @param zones Servers present, for each zone of the service's price list.
   * @return A plan for each of these zones, within the service's bounds.
   */
  virtual ZonePlans Plan(
      const serving::ScalingProfile& profile,
      uint32_t needed,
      const std::map<std::string, ZoneServers>& zones) const = 0;
};

/**
 * Creates a policy that tolerates the loss of one zone: reclaimable servers in
 * each zone where they are available, enough that losing those of any one zone
 * leaves sufficient capacity, and on-demand servers for the rest.
 */
std::unique_ptr<ScalingPolicy> MakeZoneLossPolicy();

/**
 * Number of servers that a demand requires, without a reserve for losses.
 * @pre The service has an engine.
 * @note Thread-safe.
 */
uint32_t ServersNeeded(const serving::Service& service,
                       const ScalingDemand& demand);

}  // namespace boragewharf::fleet
