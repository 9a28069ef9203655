/**
 * @file retry_base.h
 * What to do after a failed attempt, and the budget for repeats.
 */
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>

#include "base/time_type.h"
#include "serving/config_type.h"

namespace boragewharf::serving {

/** How an attempt at a server ended without a usable answer. */
enum class AttemptFailure : uint8_t {
  kNotSent,         ///< No byte of the request left, e.g. connect refused.
  kRejected,        ///< The server states that it did not run the request.
  kConnectionLost,  ///< The connection ended after the request was sent.
  kMalformed,       ///< The answer is not one in the protocol, or not ours.
  kTimedOut,        ///< No byte within the time bound.
  kServerError,     ///< A complete answer with a server error.
};

/** Facts that decide. */
struct RetryFacts {
  AttemptFailure failure = AttemptFailure::kNotSent;
  bool repeatable = false;      ///< The route allows more than one run.
  bool answer_started = false;  ///< The client has part of the answer.
  bool can_resume = false;      ///< A stream can go on where it broke off.
  uint32_t attempts = 1;        ///< Servers to which it was sent.
  uint32_t max_attempts = 1;    ///< The route's bound.
  bool server_ended = false;    ///< The failed server is gone or cut off.
  bool may_have_run = false;    ///< An earlier attempt may have run.
  bool time_left = true;        ///< Another attempt can end in time.
};

/** What happens next. */
enum class RetryDecision : uint8_t {
  kResend,         ///< Send to another server.
  kAnswerNotRun,   ///< 503: it did not run and never will.
  kAnswerUnknown,  ///< 502: it may have run.
  kForward,        ///< Forward the server's own error answer.
  kAbort,          ///< Close the client connection in mid-answer.
};

/** Decides after a failed attempt. Pure. @note Thread-safe. */
RetryDecision DecideAfterFailure(const RetryFacts& facts, bool budget_left);

/** Whether the failure leaves open that the server ran the request. */
bool MayHaveRun(AttemptFailure failure);

/**
 * Bounds the repeats that this node sends to each service, as its part of a
 * budget that all nodes share. Not thread-safe.
 */
class RetryBudget {
 public:
  /**
   * @param repeat_ratio Repeats allowed per request.
   * @param extra_repeats Repeats allowed besides, by all nodes in a window.
   */
  RetryBudget(double repeat_ratio, double extra_repeats, Duration length);

  /** Counts a client request for a service. */
  void CountRequest(std::string_view service, TimePoint now);

  /**
   * Takes one repeat out of the budget.
   * @param nodes Nodes among which the extra is divided; at least 1.
   * @return Whether it is allowed.
   */
  bool TakeRetry(std::string_view service, uint32_t nodes, TimePoint now);

 private:
  struct Window {
    std::deque<TimePoint> requests;
    std::deque<TimePoint> repeats;
  };

  void Expire(Window& state, TimePoint now) const;

  double ratio;
  double extra;
  Duration window;
  std::map<std::string, Window, std::less<>> windows;
};

}  // namespace boragewharf::serving
