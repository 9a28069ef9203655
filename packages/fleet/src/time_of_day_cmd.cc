/**
 * @file time_of_day_cmd.cc
 * Estimate of the time of day that is robust against clock steps.
 */
#include "time_of_day_cmd.h"

#include <cstdlib>
#include <string>
#include <string_view>

#include "fleet/fleet_cmd.h"
#include "spread_cmd.h"

namespace boragewharf::fleet {
namespace {

/** This node adopts the majority's estimate after disagreeing with it for this
 * long. */
constexpr std::chrono::seconds kFollowMajorityAfter(1);

void SetWallTime(FleetState& state,
                 const WallTimeEstimate& estimate,
                 std::string_view source,
                 TimePoint now,
                 std::vector<Effect>& effects) {
  const int64_t offset = estimate.wall_ms - BootMs(now);
  const int64_t change = offset - *state.wall_offset_ms;
  if (std::abs(change) > kClockTolerance) {
    effects.emplace_back(LogChange{"time_of_day_moved",
                                   "by " + std::to_string(change) +
                                       " ms to the time of " +
                                       std::string(source),
                                   state.config_revision, state.config_era});
  }
  state.wall_offset_ms = offset;
  state.wall_since = now - estimate.age;
  state.wall_confirmed = estimate.confirmed;
  state.majority_disagrees_since.reset();
}

/** A faulty clock step is corrected within seconds. A difference that lasts
 * this long means that the clock is right and the estimate is wrong. */
constexpr std::chrono::seconds kTrustOwnClockAfter(60);

/**
 * Marks the estimate as doubtful once this node's clock has disagreed with it
 * for kTrustOwnClockAfter, and replaces it by the clock if no other node has a
 * confirmed estimate.
 * @return Whether the estimate is doubtful.
 */
bool CheckOwnClock(FleetState& state,
                   int64_t clock_ms,
                   TimePoint now,
                   std::vector<Effect>& effects) {
  const int64_t own = *state.wall_offset_ms + BootMs(now);
  if (std::abs(clock_ms - own) <= kClockTolerance) {
    state.own_clock_disagrees_since.reset();
  } else if (!state.own_clock_disagrees_since) {
    state.own_clock_disagrees_since = now;
  }
  state.wall_in_doubt =
      state.own_clock_disagrees_since &&
      now - *state.own_clock_disagrees_since >= kTrustOwnClockAfter;
  if (state.wall_in_doubt &&
      !state.peers.AnyPeerConfirmsWallTime(MessagePeriod(state), now)) {
    SetWallTime(state, {clock_ms, Duration(0), false}, "this node's clock", now,
                effects);
    state.own_clock_disagrees_since.reset();
    state.wall_in_doubt = false;
  }
  return state.wall_in_doubt;
}

}  // namespace

void FollowClock(FleetState& state,
                 int64_t clock_ms,
                 TimePoint now,
                 std::vector<Effect>& effects) {
  if (!state.wall_offset_ms) {
    state.wall_offset_ms = clock_ms - BootMs(now);
    state.wall_since = now;
  }
  if (CheckOwnClock(state, clock_ms, now, effects)) {
    return;
  }
  const WallTimeEstimate own{*state.wall_offset_ms + BootMs(now),
                             now - state.wall_since, state.wall_confirmed};
  const WallTimeEstimate agreed =
      state.peers.AgreedWallTime(own, MessagePeriod(state), now);
  if (agreed.confirmed &&
      (!own.confirmed || agreed.age > own.age + kSameStartTolerance)) {
    SetWallTime(state, agreed, "most nodes", now, effects);
    return;
  }
  if (std::abs(agreed.wall_ms - own.wall_ms) <= kClockTolerance) {
    state.majority_disagrees_since.reset();
    return;
  }
  if (!state.majority_disagrees_since) {
    state.majority_disagrees_since = now;
  }
  if (now - *state.majority_disagrees_since >= kFollowMajorityAfter) {
    SetWallTime(state, agreed, "most nodes", now, effects);
  }
}

void ApplySavedWallTime(FleetState& state,
                        const ProgressRead& read,
                        TimePoint now,
                        std::vector<Effect>& effects) {
  if (!state.wall_offset_ms || state.wall_since < state.started) {
    return;  // The estimate comes from an earlier process.
  }
  const int64_t own = *state.wall_offset_ms + BootMs(now);
  if (own + kClockTolerance < read.saved_wall_ms) {
    const WallTimeEstimate saved{read.saved_wall_ms + kSavePeriod.count() / 2,
                                 now - state.started + 2 * kSameStartTolerance,
                                 true};
    SetWallTime(state, saved, "the last save", now, effects);
  }
}

}  // namespace boragewharf::fleet
