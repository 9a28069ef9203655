/**
 * @file stop_plan.h
 * The planned events of a soak run of planned stops, drawn by its seed.
 */
#pragma once

#include <chrono>
#include <cstdint>
#include <vector>

#include "varied_load.h"

namespace boragewharf::soak {

/** What a planned event does. */
enum class PlannedEventKind : uint8_t {
  kTerminate,  ///< SIGTERM to a node.
  kReload,     ///< SIGHUP to a node.
  kConfig,     ///< A new version of the configuration.
  kPace,       ///< Other lengths of the streams.
};

struct PlannedEvent {
  std::chrono::milliseconds at{0};  ///< Since the start of the planned events.
  PlannedEventKind kind = PlannedEventKind::kTerminate;
  size_t node = 0;
  StreamPace pace;
};

/**
 * @return The planned events of a run in order of time, each within @p length.
 * Nodes are stopped one at a time, several at once or one after another, some
 * with a second SIGTERM.
 */
std::vector<PlannedEvent> DrawStopPlan(uint64_t seed,
                                       std::chrono::milliseconds length,
                                       size_t node_count);

}  // namespace boragewharf::soak
