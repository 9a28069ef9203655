/**
 * @file refusal_func.h
 * Answers to requests that are refused or failed.
 */
#pragma once

#include <httplib.h>

#include <optional>
#include <string>
#include <string_view>

#include "base/counter_base.h"
#include "base/result_func.h"

namespace boragewharf::traffic {

/** A refusal towards a caller. */
struct Refusal {
  ResultCode code = ResultCode::kInternal;  ///< Numbered cause.
  std::string detail;                       ///< Specifics; no secrets.
  std::optional<RunState> run_state;        ///< If not that of the code.
};

/** The refusal for the thread's last reason. */
Refusal LastRefusal();

/** The body of a refusal, as JSON. @note Thread-safe. */
std::string RefusalBody(const Refusal& refusal);

/**
 * Makes @p response a refusal: status, body and, if a later try can succeed,
 * Retry-After. Counts it.
 * @note Thread-safe.
 */
void SetRefusal(httplib::Response& response,
                const Refusal& refusal,
                CounterRegistry& registry);

}  // namespace boragewharf::traffic
