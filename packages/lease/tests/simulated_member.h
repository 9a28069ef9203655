/**
 * @file simulated_member.h
 * A candidate for the duty of the lease simulation.
 */
#pragma once

#include <vector>

#include "lease/lease_type.h"

namespace boragewharf::lease {

inline constexpr char kSimulatedDuty[] = "placement";

/** A simulated member process with its own clock. */
struct SimulatedMember {
  LeaseState state;
  Duration offset{};  ///< Offset of its boot clock.
  double rate = 1;    ///< Clock rate relative to simulated time.
  Duration paused_until{};
  std::vector<LeaseEvent> inbox;
  bool alive = true;

  TimePoint Now(Duration simulation_time) const {
    return TimePoint(this->offset + std::chrono::duration_cast<Duration>(
                                        simulation_time * this->rate));
  }
};

}  // namespace boragewharf::lease
