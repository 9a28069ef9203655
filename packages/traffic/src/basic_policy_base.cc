/**
 * @file basic_policy_base.cc
 * Plain policies.
 */
#include "traffic/basic_policy_base.h"

#include <algorithm>
#include <limits>

#include "base/result_func.h"

namespace boragewharf::traffic {

namespace {

// Distances count as requests in flight: a hop between zones costs about a
// tenth of one between regions.
constexpr uint32_t kOtherZoneCost = 1;
constexpr uint32_t kOtherRegionCost = 8;

uint32_t DistanceCost(const RouteRequest& request,
                      const backend::BackendServer& server) {
  if (server.zone == request.zone) {
    return 0;
  }
  return server.region == request.region ? kOtherZoneCost : kOtherRegionCost;
}

}  // namespace

bool ConcurrencyAdmission::Enter(const AdmissionRequest& request) {
  const std::lock_guard lock(this->mutex);
  if (this->total >= this->total_limit) {
    Fail(ResultCode::kOverloaded);
    return false;
  }
  uint32_t& own = this->by_customer[request.customer.name];
  if (own >= request.customer.max_concurrent) {
    Fail(ResultCode::kCustomerLimit);
    return false;
  }
  ++own;
  ++this->total;
  return true;
}

void ConcurrencyAdmission::Leave(const AdmissionRequest& request) {
  const std::lock_guard lock(this->mutex);
  --this->by_customer[request.customer.name];
  --this->total;
}

std::optional<size_t> LeastLoadedRouting::Choose(
    const RouteRequest& request,
    std::span<const backend::BackendServer> servers,
    const ServerLoads& loads) {
  std::optional<size_t> best;
  uint32_t best_cost = std::numeric_limits<uint32_t>::max();
  const size_t start = this->rotation.fetch_add(1, std::memory_order_relaxed);
  for (size_t i = 0; i < servers.size(); ++i) {
    const size_t index = (start + i) % servers.size();
    const backend::BackendServer& server = servers[index];
    if (server.status != backend::BackendStatus::kReady ||
        std::ranges::find(request.excluded, server.instance) !=
            request.excluded.end()) {
      continue;
    }
    const uint32_t in_flight =
        std::max(loads.InFlight(server.instance), server.reported_running);
    const uint32_t cost = in_flight + DistanceCost(request, server);
    if (cost < best_cost) {
      best = index;
      best_cost = cost;
    }
  }
  return best;
}

void RetryBudget::CountRequest() {
  if (this->credits.load(std::memory_order_relaxed) < kMaxCredits) {
    this->credits.fetch_add(1, std::memory_order_relaxed);
  }
}

bool RetryBudget::MayRetry(RetryKind kind) {
  if (kind != RetryKind::kAfterFailure) {
    return true;
  }
  if (this->credits.fetch_sub(kCreditsPerRetry) >= kCreditsPerRetry) {
    return true;
  }
  this->credits.fetch_add(kCreditsPerRetry);
  return false;
}

}  // namespace boragewharf::traffic
