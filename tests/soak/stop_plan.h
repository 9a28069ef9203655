/**
 * @file stop_plan.h
 * The disturbances of a soak run of planned stops, drawn by its seed.
 */
#pragma once

#include <chrono>
#include <cstdint>
#include <vector>

#include "varied_load.h"

namespace boragewharf::soak {

/** What a disturbance does. */
enum class DisturbanceKind : uint8_t {
  kTerminate,  ///< SIGTERM to a node.
  kReload,     ///< SIGHUP to a node.
  kConfig,     ///< A new version of the configuration.
  kPace,       ///< Other lengths of the streams.
};

struct Disturbance {
  std::chrono::milliseconds at{0};  ///< Since the start of the disturbances.
  DisturbanceKind kind = DisturbanceKind::kTerminate;
  size_t node = 0;
  StreamPace pace;
};

/**
 * @return The disturbances of a run in order of time, each within @p length.
 * Nodes are stopped one at a time, several at once or one after another, some
 * with a second SIGTERM.
 */
std::vector<Disturbance> DrawStopPlan(uint64_t seed,
                                      std::chrono::milliseconds length,
                                      size_t node_count);

}  // namespace boragewharf::soak
