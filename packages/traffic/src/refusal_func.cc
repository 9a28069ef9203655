/**
 * @file refusal_func.cc
 * Formatting of refusals.
 */
#include "traffic/refusal_func.h"

#include <nlohmann/json.hpp>

namespace boragewharf::traffic {

namespace {

constexpr const char* kRetryAfterSeconds = "1";

}  // namespace

Refusal LastRefusal() {
  return {LastReason().code, LastReason().detail, std::nullopt};
}

std::string RefusalBody(const Refusal& refusal) {
  const ResultInfo& info = GetResultInfo(refusal.code);
  const RunState run_state = refusal.run_state.value_or(info.run_state);
  std::string message(info.sentence);
  if (!refusal.detail.empty()) {
    message += " (" + refusal.detail + ")";
  }
  const nlohmann::json body{{"error",
                             {{"code", static_cast<uint16_t>(refusal.code)},
                              {"name", info.name},
                              {"message", message},
                              {"run_state", RunStateName(run_state)},
                              {"next_step", info.next_step}}}};
  return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void SetRefusal(httplib::Response& response,
                const Refusal& refusal,
                CounterRegistry& registry) {
  const ResultInfo& info = GetResultInfo(refusal.code);
  response.status = info.http_status;
  if (info.retryable) {
    response.headers.erase("Retry-After");
    response.set_header("Retry-After", kRetryAfterSeconds);
  }
  response.set_content(RefusalBody(refusal), "application/json");
  registry.Get("refusals_total", "code=\"" + std::string(info.name) + "\"")
      .Add();
}

}  // namespace boragewharf::traffic
