/**
 * @file basic_policy_base.h
 * Plain implementations of the policies, without queues.
 */
#pragma once

#include <atomic>
#include <map>
#include <mutex>
#include <string>

#include "traffic/policy_base.h"

namespace boragewharf::traffic {

/** Refuses what exceeds a customer's or the daemon's concurrency. */
class ConcurrencyAdmission : public AdmissionPolicy {
 public:
  /** @param limit Requests running at once over all customers. */
  explicit ConcurrencyAdmission(uint32_t limit) : total_limit(limit) {}

  bool Enter(const AdmissionRequest& request) override;
  void Leave(const AdmissionRequest& request) override;

 private:
  const uint32_t total_limit;
  std::mutex mutex;
  uint32_t total = 0;
  std::map<std::string, uint32_t, std::less<>> by_customer;
};

/** Fewest requests in flight and reported, own zone and region preferred. */
class LeastLoadedRouting : public RoutingPolicy {
 public:
  std::optional<size_t> Choose(const RouteRequest& request,
                               std::span<const backend::BackendServer> servers,
                               const ServerLoads& loads) override;

 private:
  std::atomic<size_t> rotation{0};  ///< Spreads ties.
};

/** Lets retries after failures be a tenth of the requests. */
class RetryBudget : public RetryPolicy {
 public:
  void CountRequest() override;
  bool MayRetry(RetryKind kind) override;

 private:
  static constexpr int64_t kCreditsPerRetry = 10;
  static constexpr int64_t kMaxCredits = 1000;
  std::atomic<int64_t> credits{kMaxCredits / 2};
};

}  // namespace boragewharf::traffic
