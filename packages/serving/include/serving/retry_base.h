/**
 * @file retry_base.h
 * Decision after a failed attempt, and the budget for retries.
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

/** Why an attempt at a server gave no usable response. */
enum class AttemptFailure : uint8_t {
  kNotSent,         ///< Nothing was sent, e.g. connection refused.
  kRejected,        ///< The server says that it did not run the request.
  kConnectionLost,  ///< The connection ended after the request was sent.
  kMalformed,       ///< The response is invalid, or for another request.
  kTimedOut,        ///< No data was received within the timeout.
  kServerError,     ///< A complete response with a server error.
};

/** Input of DecideAfterFailure(). */
struct RetryFacts {
  AttemptFailure failure = AttemptFailure::kNotSent;
  bool repeatable = false;      ///< The route allows more than one run.
  bool answer_started = false;  ///< The client has part of the response.
  bool can_resume = false;      ///< Another server can continue the stream.
  uint32_t attempts = 1;        ///< Servers that the request was sent to.
  uint32_t max_attempts = 1;    ///< Limit of the route.
  bool server_ended = false;    ///< The failed server is gone or draining.
  bool may_have_run = false;    ///< An earlier attempt may have run.
  bool time_left = true;        ///< Another attempt can finish in time.
};

/** What to do after a failed attempt. */
enum class RetryDecision : uint8_t {
  kResend,         ///< Send the request to another server.
  kAnswerNotRun,   ///< 503: the request has not run and will not run.
  kAnswerUnknown,  ///< 502: the request may have run.
  kForward,        ///< Forward the server's error response.
  kAbort,          ///< Close the client connection mid-response.
};

/**
 * Decides what to do after a failed attempt.
 * @param budget_left Whether the retry budget allows another attempt.
 * @note Thread-safe.
 */
RetryDecision DecideAfterFailure(const RetryFacts& facts, bool budget_left);

/** Whether the server may have run the request despite the failure. */
bool MayHaveRun(AttemptFailure failure);

/**
 * Limits the retries that this node sends to each service to its share of a
 * budget of all nodes. Not thread-safe.
 */
class RetryBudget {
 public:
  /**
   * @param retry_ratio Allowed retries per client request.
   * @param extra_retries Additional retries of all nodes together per window.
   * @param window_length Length of the sliding window.
   */
  RetryBudget(double retry_ratio, double extra_retries, Duration window_length);

  /** Counts a client request for a service. */
  void CountRequest(std::string_view service, TimePoint now);

  /**
   * Takes one retry from the budget.
   * @param nodes Nodes that share the additional retries; at least 1.
   * @return Whether the retry is allowed.
   */
  bool TakeRetry(std::string_view service, uint32_t nodes, TimePoint now);

 private:
  struct Window {
    std::deque<TimePoint> requests;
    std::deque<TimePoint> retries;
  };

  /** Removes entries that are older than the window. */
  void Expire(Window& state, TimePoint now) const;

  double ratio;
  double extra;
  Duration window;
  std::map<std::string, Window, std::less<>> windows;
};

}  // namespace boragewharf::serving
