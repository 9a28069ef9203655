/**
 * @file retry_base.cc
 * Decision after a failed attempt, and the budget for retries.
 */
#include "serving/retry_base.h"

#include <algorithm>

namespace boragewharf::serving {
namespace {

/** Used part of the budget; the rest compensates for counting errors. */
constexpr double kBudgetShare = 0.8;

}  // namespace

bool MayHaveRun(AttemptFailure failure) {
  return failure != AttemptFailure::kNotSent &&
         failure != AttemptFailure::kRejected;
}

RetryDecision DecideAfterFailure(const RetryFacts& facts, bool budget_left) {
  const bool may_have_run = facts.may_have_run || MayHaveRun(facts.failure);
  // After the end of a server, up to two attempts above the limit are allowed.
  const bool attempts_left =
      facts.attempts < facts.max_attempts ||
      (facts.server_ended && facts.attempts < facts.max_attempts + 2);
  const bool allowed = !may_have_run || facts.repeatable;
  const bool possible = !facts.answer_started || facts.can_resume;
  if (allowed && possible && attempts_left && budget_left && facts.time_left) {
    return RetryDecision::kResend;
  }
  if (facts.answer_started) {
    return RetryDecision::kAbort;
  }
  if (facts.failure == AttemptFailure::kServerError) {
    return RetryDecision::kForward;
  }
  return may_have_run ? RetryDecision::kAnswerUnknown
                      : RetryDecision::kAnswerNotRun;
}

RetryBudget::RetryBudget(double retry_ratio,
                         double extra_retries,
                         Duration window_length)
    : ratio(retry_ratio), extra(extra_retries), window(window_length) {}

void RetryBudget::Expire(Window& state, TimePoint now) const {
  const TimePoint oldest = now - this->window;
  while (!state.requests.empty() && state.requests.front() < oldest) {
    state.requests.pop_front();
  }
  while (!state.retries.empty() && state.retries.front() < oldest) {
    state.retries.pop_front();
  }
}

void RetryBudget::CountRequest(std::string_view service, TimePoint now) {
  auto found = this->windows.find(service);
  if (found == this->windows.end()) {
    found = this->windows.emplace(std::string(service), Window{}).first;
  }
  found->second.requests.push_back(now);
  this->Expire(found->second, now);
}

bool RetryBudget::TakeRetry(std::string_view service,
                            uint32_t nodes,
                            TimePoint now) {
  const auto found = this->windows.find(service);
  if (found == this->windows.end()) {
    return false;
  }
  Window& state = found->second;
  this->Expire(state, now);
  const double allowed =
      kBudgetShare * (this->ratio * static_cast<double>(state.requests.size()) +
                      this->extra / std::max<uint32_t>(1, nodes));
  if (static_cast<double>(state.retries.size()) + 1 > allowed) {
    return false;
  }
  state.retries.push_back(now);
  return true;
}

}  // namespace boragewharf::serving
