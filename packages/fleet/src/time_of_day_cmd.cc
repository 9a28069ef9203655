/**
 * @file time_of_day_cmd.cc
 * The time of day, told apart from clocks that step.
 */
#include "time_of_day_cmd.h"

#include <cstdlib>
#include <string>
#include <string_view>

#include "fleet/fleet_cmd.h"
#include "spread_cmd.h"

namespace boragewharf::fleet {
namespace {

/** The own estimate follows the others after disagreeing for this long. */
constexpr std::chrono::seconds kClockPatience(1);

void SetWall(FleetState& state,
             const WallEstimate& estimate,
             std::string_view from,
             TimePoint now,
             std::vector<Effect>& effects) {
  const int64_t offset = estimate.wall_ms - BootMs(now);
  const int64_t moved = offset - *state.wall_offset_ms;
  if (std::abs(moved) > kClockTolerance) {
    effects.emplace_back(LogChange{
        "time_of_day_moved",
        "by " + std::to_string(moved) + " ms to that of " + std::string(from),
        state.config_revision});
  }
  state.wall_offset_ms = offset;
  state.wall_since = now - estimate.age;
  state.wall_confirmed = estimate.confirmed;
  state.off_since.reset();
}

/** A clock that steps comes back within seconds; one that stays is right. */
constexpr std::chrono::seconds kClockTrust(60);

/**
 * Doubts the estimate once the own clock has disagreed with it for long, and
 * reads the clock again if no other node holds to it either.
 * @return Whether the estimate is in doubt.
 */
bool CheckOwnClock(FleetState& state,
                   int64_t clock_ms,
                   TimePoint now,
                   std::vector<Effect>& effects) {
  const int64_t own = *state.wall_offset_ms + BootMs(now);
  if (std::abs(clock_ms - own) <= kClockTolerance) {
    state.clock_off_since.reset();
  } else if (!state.clock_off_since) {
    state.clock_off_since = now;
  }
  state.doubts_wall =
      state.clock_off_since && now - *state.clock_off_since >= kClockTrust;
  if (state.doubts_wall &&
      !state.peers.AnyConfirmsWall(MessagePeriod(state), now)) {
    SetWall(state, {clock_ms, Duration(0), false}, "the own clock", now,
            effects);
    state.clock_off_since.reset();
    state.doubts_wall = false;
  }
  return state.doubts_wall;
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
  const WallEstimate own{*state.wall_offset_ms + BootMs(now),
                         now - state.wall_since, state.wall_confirmed};
  const WallEstimate agreed =
      state.peers.AgreedWall(own, MessagePeriod(state), now);
  if (agreed.confirmed && (!own.confirmed || agreed.age > own.age + kSameAge)) {
    SetWall(state, agreed, "most nodes", now, effects);
    return;
  }
  if (std::abs(agreed.wall_ms - own.wall_ms) <= kClockTolerance) {
    state.off_since.reset();
    return;
  }
  if (!state.off_since) {
    state.off_since = now;
  }
  if (now - *state.off_since >= kClockPatience) {
    SetWall(state, agreed, "most nodes", now, effects);
  }
}

void TakeSavedWall(FleetState& state,
                   const ProgressRead& read,
                   TimePoint now,
                   std::vector<Effect>& effects) {
  if (!state.wall_offset_ms || state.wall_since < state.started) {
    return;  // Taken over from an earlier process.
  }
  const int64_t own = *state.wall_offset_ms + BootMs(now);
  if (own + kClockTolerance < read.saved_wall_ms) {
    const WallEstimate saved{read.saved_wall_ms + kSavePeriod.count() / 2,
                             now - state.started + 2 * kSameAge, true};
    SetWall(state, saved, "the last save", now, effects);
  }
}

}  // namespace boragewharf::fleet
