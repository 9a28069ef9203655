/**
 * @file move_func.cc
 * Arithmetic of moves.
 */
#include "traffic/move_func.h"

namespace boragewharf::traffic {

bool WouldFinishBefore(const AttemptProgress& progress,
                       TimePoint now,
                       TimePoint end) {
  if (progress.tokens == 0 || progress.remaining == 0 || now >= end) {
    return false;
  }
  const auto elapsed = static_cast<double>((now - progress.started).count());
  const double per_token = elapsed / progress.tokens;
  const double needed = per_token * progress.remaining;
  return needed < static_cast<double>((end - now).count());
}

TimePoint MoveTime(TimePoint reclaim_deadline,
                   const MoveBounds& bounds,
                   uint64_t spread_key) {
  const auto spread = static_cast<uint64_t>(bounds.spread.count());
  const Duration offset(
      static_cast<int64_t>(spread == 0 ? 0 : spread_key % spread));
  return reclaim_deadline - bounds.margin - offset;
}

}  // namespace boragewharf::traffic
