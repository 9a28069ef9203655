/**
 * @file result_func.cc
 * Look-up of result codes and the per-thread last reason.
 */
#include "base/result_func.h"

#include <algorithm>

#include "base/table/result_table.h"

namespace boragewharf {

namespace {

thread_local Reason last_reason;

}  // namespace

const ResultInfo& GetResultInfo(ResultCode code) {
  const auto* row =
      std::ranges::lower_bound(kResultTable, code, {}, &ResultInfo::code);
  if (row == kResultTable.end() || row->code != code) {
    return kResultTable.back();
  }
  return *row;
}

std::span<const ResultInfo> AllResultInfos() {
  return kResultTable;
}

std::optional<ResultCode> FindResultCode(std::string_view name) {
  for (const ResultInfo& row : kResultTable) {
    if (row.name == name) {
      return row.code;
    }
  }
  return std::nullopt;
}

std::string_view RunStateName(RunState state) {
  switch (state) {
    case RunState::kNotRun:
      return "not_run";
    case RunState::kRan:
      return "ran";
    case RunState::kMayHaveRun:
      return "may_have_run";
  }
  return "may_have_run";
}

std::nullopt_t Fail(ResultCode code, std::string_view detail) {
  last_reason.code = code;
  last_reason.detail = detail;
  return std::nullopt;
}

const Reason& LastReason() {
  return last_reason;
}

}  // namespace boragewharf
