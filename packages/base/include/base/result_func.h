/**
 * @file result_func.h
 * Look-up of result codes, and the last reason that accompanies an empty
 * optional.
 */
#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "base/result_type.h"

namespace boragewharf {

/** Why the last call on this thread returned an empty optional. */
struct Reason {
  ResultCode code = ResultCode::kOk;  ///< Numbered cause.
  std::string detail;                 ///< Specifics; holds no secrets.
};

/**
 * Finds the table row of a code.
 * @pre @p code is one of the enumerators.
 * @note Thread-safe.
 */
const ResultInfo& GetResultInfo(ResultCode code);

/**
 * All rows, sorted by code.
 * @note Thread-safe.
 */
std::span<const ResultInfo> AllResultInfos();

/**
 * Finds a code by its stable name.
 * @note Thread-safe.
 */
std::optional<ResultCode> FindResultCode(std::string_view name);

/**
 * Name of a run state as used in answers: not_run, ran, may_have_run.
 * @note Thread-safe.
 */
std::string_view RunStateName(RunState state);

/**
 * Sets the calling thread's last reason.
 * @return std::nullopt, so that a function can `return Fail(...)`.
 * @note Thread-safe; affects the calling thread only.
 */
std::nullopt_t Fail(ResultCode code, std::string_view detail = {});

/**
 * The calling thread's last reason.
 * @pre The preceding call on this thread failed.
 * @note Thread-safe; valid until the thread's next Fail().
 */
const Reason& LastReason();

}  // namespace boragewharf
