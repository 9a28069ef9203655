/**
 * @file retry_base.cc
 * Retry budget.
 */
#include "policy/retry_base.h"

#include <algorithm>

namespace boragewharf::policy {

namespace {

constexpr double kMicrosecondsPerSecond = 1e6;

bool IsAllowed(const RetryRequest& request, TimePoint now) {
  if (!request.idempotent && request.may_have_run) {
    return false;
  }
  return now + request.expected_length < request.deadline;
}

}  // namespace

void BudgetRetryPolicy::Earn(double amount, TimePoint now) {
  if (this->earned == TimePoint{}) {
    this->earned = now;
  }
  if (now > this->earned) {
    const auto passed = static_cast<double>((now - this->earned).count());
    amount += passed / kMicrosecondsPerSecond * this->options.floor_per_second;
    this->earned = now;
  }
  this->tokens = std::min(this->options.burst, this->tokens + amount);
}

void BudgetRetryPolicy::NoteRequest(TimePoint now) {
  const std::lock_guard lock(this->mutex);
  this->Earn(this->options.share, now);
}

bool BudgetRetryPolicy::MayRetry(const RetryRequest& request, TimePoint now) {
  if (!IsAllowed(request, now)) {
    return false;
  }
  if (request.server_leaving) {
    return true;
  }
  if (request.retries >= request.max_retries) {
    return false;
  }
  const std::lock_guard lock(this->mutex);
  this->Earn(0, now);
  if (this->tokens < 1) {
    return false;
  }
  this->tokens -= 1;
  return true;
}

}  // namespace boragewharf::policy
