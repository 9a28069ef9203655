/**
 * @file retry_base.h
 * Retry policies: whether a failed request is tried again.
 */
#pragma once

#include <cstdint>
#include <mutex>

#include "base/time_type.h"

namespace boragewharf::policy {

/** A request whose attempt failed. */
struct RetryRequest {
  bool idempotent = false;      ///< May run more than once.
  bool may_have_run = false;    ///< Something was written to a server.
  bool server_leaving = false;  ///< The attempt ended by a reclaim or stop.
  uint32_t retries = 0;         ///< Retries so far.
  uint32_t max_retries = 0;     ///< Limit of the service.
  TimePoint deadline;           ///< Of the request.
  Duration expected_length{0};  ///< Least time that a retry needs.
};

/** Decides on retries. */
class RetryPolicy {
 public:
  virtual ~RetryPolicy() = default;

  /** Counts a first attempt, which earns budget. @note Thread-safe. */
  virtual void NoteRequest(TimePoint now) = 0;

  /**
   * Whether the request may be tried again; takes budget if so. Never for one
   * that is not idempotent and may have run, nor beyond the deadline.
   * @note Thread-safe; holds a lock for a few instructions.
   */
  virtual bool MayRetry(const RetryRequest& request, TimePoint now) = 0;
};

/** Budget of BudgetRetryPolicy. */
struct RetryBudgetOptions {
  double share = 0.1;             ///< Retries per request.
  double floor_per_second = 0.5;  ///< Earned without traffic.
  double burst = 200;             ///< Most that is saved.
};

/**
 * Retries as a share of traffic with a small floor. A retry after an announced
 * reclaim or a planned stop takes no budget, because an accepted request
 * survives these; it is not a sign of overload either.
 */
class BudgetRetryPolicy : public RetryPolicy {
 public:
  explicit BudgetRetryPolicy(const RetryBudgetOptions& budget)
      : options(budget), tokens(budget.burst / 2) {}

  void NoteRequest(TimePoint now) override;
  bool MayRetry(const RetryRequest& request, TimePoint now) override;

 private:
  void Earn(double amount, TimePoint now);

  RetryBudgetOptions options;
  std::mutex mutex;
  double tokens;
  TimePoint earned;
};

}  // namespace boragewharf::policy
