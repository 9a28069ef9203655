/**
 * @file exposure_base.cc
 * Limits the requests that a node sends to a version under test.
 */
#include "rollout/exposure_base.h"

#include <algorithm>
#include <chrono>
#include <cmath>

#include "serving/peer_type.h"

namespace boragewharf::rollout {
namespace {

/** Part of the planned share that is spent while observing; the rest is saved
 * for kLoad. */
constexpr double kObservePart = 0.5;

/** Largest share of a node's requests during kLoad, so that a version that
 * fails under load meets the old version's load for a second or so and not only
 * for a few requests. */
constexpr double kMaxLoadShare = 0.3;

/** Time after which other servers are exposed: some tens of requests at a
 * hundred per second. */
constexpr std::chrono::milliseconds kExposeTime(2000);

}  // namespace

bool ExposureGate::Allows(Phase phase, double load_share, double draw) const {
  const double share = phase == Phase::kLoad
                           ? std::min(load_share, kMaxLoadShare)
                           : kObservePart * this->planned;
  const double allowed = this->planned * this->requests + this->offset;
  return this->exposed + 1 <= allowed &&
         draw < std::max(share, kObservePart * this->planned);
}

size_t ExposedServers(double share, size_t old_servers, size_t target_servers) {
  const double planned = std::min(kPlannedShare * share, 0.99);
  const auto equal_load = static_cast<size_t>(
      std::ceil(planned / (1 - planned) * static_cast<double>(old_servers)));
  return std::min(target_servers, std::max<size_t>(2, equal_load));
}

std::vector<std::string> SelectExposed(std::vector<std::string> ids,
                                       size_t count,
                                       Duration age) {
  if (count >= ids.size()) {
    return ids;
  }
  std::ranges::sort(ids, {}, [](const std::string& id) {
    return std::pair(serving::HashName(id), id);
  });
  const auto turn =
      static_cast<size_t>(std::max<int64_t>(0, age / Duration(kExposeTime)));
  std::vector<std::string> selected;
  for (size_t i = 0; i < count; ++i) {
    selected.push_back(ids[(turn * count + i) % ids.size()]);
  }
  return selected;
}

}  // namespace boragewharf::rollout
