/**
 * @file node_settings.h
 * Settings of a node in a deployment, checked as a whole.
 */
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/endpoint_type.h"
#include "base/json_reader_base.h"

namespace boragewharf::node {

/** Bounds that the deployment promises to its clients. */
struct DeploymentBounds {
  std::chrono::milliseconds lease{3000};  ///< Least time of a lease.
  std::chrono::milliseconds drain{2500};  ///< Leaving servers go on for it.
  std::chrono::milliseconds grace{8000};  ///< From SIGTERM to SIGKILL.
  double retry_ratio = 0.2;               ///< Repeats per request.
  double retry_extra = 50;                ///< Repeats besides.
  std::chrono::milliseconds retry_window{10000};  ///< Window of the two.
  double quota_slack = 0;                         ///< Units over the quota.
  std::chrono::milliseconds usage_window{0};      ///< 0: none is reported.
  std::chrono::milliseconds usage_late{10000};    ///< Report due after its end.
  double directory_ttl = 5;                       ///< Most seconds.
};

/** Settings of a node. docs/CONFIG.md lists the keys. */
struct NodeSettings {
  std::string name;
  std::string ip;
  std::string zone;
  std::string region;
  std::map<std::string, std::string> zone_regions;
  std::optional<Endpoint> clients;    ///< Requests.
  std::optional<Endpoint> ready;      ///< Readiness checks of the platform.
  std::optional<Endpoint> control;    ///< Other nodes.
  std::optional<Endpoint> directory;  ///< Clients that look for addresses.
  Endpoint metrics;
  uint16_t peer_port = 0;  ///< UDP, the same on all nodes.
  std::vector<Endpoint> seeds;
  bool first_start = false;
  Endpoint store;
  std::optional<Endpoint> cloud;
  std::vector<std::string> duties;
  uint32_t log_lines_per_second = 40;  ///< For each kind of line.
  DeploymentBounds bounds;
};

/**
 * Reads settings from JSON text. Unknown keys are ignored, because the
 * platform may add some.
 * @param faults Receives every fault.
 * @return Empty optional with kSettingsInvalid if there is any.
 * @note Thread-safe.
 */
std::optional<NodeSettings> ParseNodeSettings(std::string_view text,
                                              std::vector<JsonFault>& faults);

/** As ParseNodeSettings(), or kSettingsUnreadable. */
std::optional<NodeSettings> LoadNodeSettings(const std::string& path,
                                             std::vector<JsonFault>& faults);

}  // namespace boragewharf::node
