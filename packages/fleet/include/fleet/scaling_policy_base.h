/**
 * @file scaling_policy_base.h
 * How many servers of each kind to run in each availability zone.
 */
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "serving/config_type.h"

namespace boragewharf::fleet {

/** Servers of a service in a zone. */
struct ZoneServers {
  uint32_t on_demand = 0;             ///< Listed and not draining.
  uint32_t reclaimable = 0;           ///< As above.
  bool reclaimable_to_be_had = true;  ///< No refusal a moment ago.
};

/** Demand for a service, from all nodes. */
struct ScalingDemand {
  double prefill_per_second = 0;  ///< Prompt tokens of arrivals.
  double running = 0;             ///< Requests in progress.
};

/** Numbers to order for a zone. */
struct ZonePlan {
  uint32_t on_demand = 0;
  uint32_t reclaimable = 0;

  bool operator==(const ZonePlan&) const = default;
};

using ZonePlans = std::map<std::string, ZonePlan>;

/** Plans the servers of one service; implementations are pure. */
class ScalingPolicy {
 public:
  virtual ~ScalingPolicy() = default;

  /**
   * @param needed Servers that carry the demand, see ServersNeeded().
   * @param zones Each zone of the service's price list.
   * @return A plan for each of these zones, within the service's bounds.
   */
  virtual ZonePlans Plan(
      const serving::ScalingProfile& profile,
      uint32_t needed,
      const std::map<std::string, ZoneServers>& zones) const = 0;
};

/**
 * Reclaimable servers wherever they are to be had, so many that the loss of
 * any one zone's leaves enough; on-demand servers for what is missing.
 */
std::unique_ptr<ScalingPolicy> MakeZoneLossPolicy();

/**
 * Servers needed for a demand, without regard to losses.
 * @pre The service has an engine.
 * @note Thread-safe.
 */
uint32_t ServersNeeded(const serving::Service& service,
                       const ScalingDemand& demand);

}  // namespace boragewharf::fleet
