/**
 * @file operator_service_base.cc
 * Tickets, status and state dump for operators.
 */
#include "daemon/operator_service_base.h"

#include <charconv>
#include <future>
#include <nlohmann/json.hpp>

#include "base/result_func.h"
#include "config/report_func.h"
#include "control/control_func.h"

namespace boragewharf::daemon {

namespace {

using Json = nlohmann::ordered_json;

/** Longer than the reducer's own bound on an answer. */
constexpr auto kTicketTimeout = std::chrono::seconds(20);

traffic::OperatorAnswer Refusal(ResultCode code, std::string_view detail) {
  const ResultInfo& info = GetResultInfo(code);
  const Json body = {{"error",
                      {{"code", static_cast<int>(code)},
                       {"name", info.name},
                       {"message", info.sentence},
                       {"run_state", RunStateName(info.run_state)},
                       {"next_step", info.next_step},
                       {"detail", detail}}}};
  return {info.http_status, body.dump()};
}

traffic::OperatorAnswer TicketAnswer(const config::AnswerTicket& answer) {
  return {GetResultInfo(answer.code).http_status,
          config::AnswerJson(answer).dump()};
}

}  // namespace

OperatorService::OperatorService(ControlLoop& control_loop,
                                 CallTable<config::AnswerTicket>& ticket_calls,
                                 std::function<void()> drain)
    : loop(control_loop),
      tickets(ticket_calls),
      start_drain(std::move(drain)) {}

traffic::OperatorAnswer OperatorService::SubmitTicket(std::string_view body) {
  auto promise = std::make_shared<std::promise<config::AnswerTicket>>();
  std::future<config::AnswerTicket> answer = promise->get_future();
  const uint64_t submission =
      this->tickets.Add([promise](const config::AnswerTicket& result) {
        promise->set_value(result);
      });
  this->loop.Post(config::ConfigEvent(config::TicketSubmitted{
      config::SubmissionId{submission}, std::string(body)}));
  if (answer.wait_for(kTicketTimeout) != std::future_status::ready) {
    return Refusal(ResultCode::kTicketPending, "no decision in time");
  }
  return TicketAnswer(answer.get());
}

traffic::OperatorAnswer OperatorService::ListTickets() {
  std::string body;
  this->loop.Inspect([&](const control::ControlState& state) {
    body = config::TicketListJson(state.config.document).dump();
  });
  return {200, body};
}

traffic::OperatorAnswer OperatorService::ShowTicket(std::string_view number) {
  uint64_t wanted = 0;
  const auto [end, fault] =
      std::from_chars(number.data(), number.data() + number.size(), wanted);
  if (fault != std::errc() || end != number.data() + number.size()) {
    return Refusal(ResultCode::kInvalidField, "expected a ticket number");
  }
  std::optional<nlohmann::json> found;
  this->loop.Inspect([&](const control::ControlState& state) {
    found = config::TicketJson(state.config.document, TicketNumber{wanted});
  });
  if (!found) {
    return Refusal(ResultCode::kTicketUnknown, number);
  }
  return {200, found->dump()};
}

traffic::OperatorAnswer OperatorService::Status() {
  std::string body;
  this->loop.Inspect([&](const control::ControlState& state) {
    body = control::StatusJson(state, BootClock::now());
  });
  return {200, body};
}

traffic::OperatorAnswer OperatorService::Drain() {
  this->start_drain();
  return {202, Json{{"state", "draining"}}.dump()};
}

traffic::OperatorAnswer OperatorService::StateDump() {
  std::string body;
  this->loop.Inspect([&](const control::ControlState& state) {
    body = control::DumpJson(state, BootClock::now());
  });
  return {200, body};
}

}  // namespace boragewharf::daemon
