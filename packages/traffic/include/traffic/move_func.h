/**
 * @file move_func.h
 * When streams leave a backend server that is reclaimed.
 */
#pragma once

#include "base/time_type.h"
#include "traffic/stream_base.h"

namespace boragewharf::traffic {

/** Bounds of moves off a reclaimed server. */
struct MoveBounds {
  Duration margin{};  ///< Latest move before the reclaim deadline.
  Duration spread{};  ///< Moves are spread over this time before that.
};

/**
 * Whether an attempt at its present rate reaches its token limit before
 * @p end. Without a token or a limit yet it is taken not to.
 * @note Thread-safe.
 */
bool WouldFinishBefore(const AttemptProgress& progress,
                       TimePoint now,
                       TimePoint end);

/**
 * When a stream that would not finish leaves the server. Moving late leaves
 * streams time to finish by themselves; the spread keeps all streams of a
 * server from being recomputed at once.
 * @param spread_key Spreads streams; constant for a stream.
 * @note Thread-safe.
 */
TimePoint MoveTime(TimePoint reclaim_deadline,
                   const MoveBounds& bounds,
                   uint64_t spread_key);

}  // namespace boragewharf::traffic
