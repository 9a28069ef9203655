/**
 * @file node_settings.h
 * Settings of a node in a deployment, and their validation.
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
#include "rollout/rollout_type.h"

namespace boragewharf::node {

/** Bounds that the deployment guarantees to its clients. */
struct DeploymentBounds {
  std::chrono::milliseconds lease{3000};  ///< Minimum lease duration.
  std::chrono::milliseconds drain{2500};  ///< Drain time of stopping servers.
  std::chrono::milliseconds grace{8000};  ///< From SIGTERM to SIGKILL.
  double retry_ratio = 0.2;               ///< Retries allowed per request.
  double retry_extra = 50;                ///< Retries allowed in addition.
  std::chrono::milliseconds retry_window{10000};  ///< Window for both.
  double quota_slack = 0;                     ///< Units allowed over the quota.
  std::chrono::milliseconds usage_window{0};  ///< 0: no usage reports.
  /** How long after the end of a window its usage report is due. */
  std::chrono::milliseconds usage_late{10000};
  double directory_ttl = 5;  ///< Maximum, in seconds.
  /** Of roll-outs; empty unless all of them are set. */
  std::optional<rollout::RolloutBounds> rollout;
};

/** Settings of a node. docs/CONFIG.md lists the keys. */
struct NodeSettings {
  std::string name;
  std::string ip;
  std::string zone;
  std::string region;
  std::map<std::string, std::string> zone_regions;
  std::optional<Endpoint> clients;    ///< Client requests.
  std::optional<Endpoint> ready;      ///< Readiness checks of the platform.
  std::optional<Endpoint> control;    ///< State fetches by other nodes.
  std::optional<Endpoint> directory;  ///< Address lookups by clients.
  Endpoint metrics;
  uint16_t peer_port = 0;  ///< UDP, the same on all nodes.
  /** UDP, the same on all nodes; 0: the one beside peer_port. */
  uint16_t stream_port = 0;
  std::vector<Endpoint> seeds;  ///< Nodes to contact first.
  bool first_start = false;     ///< There is no saved state to read.
  Endpoint store;
  std::optional<Endpoint> cloud;
  std::vector<std::string> duties;     ///< "usage" and "scale" are supported.
  uint32_t log_lines_per_second = 40;  ///< For each event name.
  DeploymentBounds bounds;

  /** Port of the messages between the data planes of the nodes. */
  uint16_t StreamPort() const {
    if (this->stream_port != 0) {
      return this->stream_port;
    }
    return this->peer_port == UINT16_MAX ? this->peer_port - 1
                                         : this->peer_port + 1;
  }
};

/**
 * Parses settings from JSON text. Unknown keys are ignored, because the
 * platform may add keys.
 * @param faults Receives all faults found.
 * @return The settings, or an empty optional and kSettingsInvalid if there are
 *     faults.
 * @note Thread-safe.
 */
std::optional<NodeSettings> ParseNodeSettings(std::string_view text,
                                              std::vector<JsonFault>& faults);

/**
 * Reads a file and parses it with ParseNodeSettings(). Fails with
 * kSettingsUnreadable if the file cannot be read.
 */
std::optional<NodeSettings> LoadNodeSettings(const std::string& path,
                                             std::vector<JsonFault>& faults);

}  // namespace boragewharf::node
