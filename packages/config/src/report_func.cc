/**
 * @file report_func.cc
 * JSON answers of the operator calls on tickets.
 */
#include "config/report_func.h"

#include "base/result_func.h"

namespace boragewharf::config {

namespace {

using nlohmann::json;

json RecordReport(const TicketRecord& record, const char* state) {
  return {{"ticket", record.number.value},
          {"revision", record.revision.value},
          {"state", state},
          {"summary", record.summary},
          {"digest", record.digest}};
}

json RefusalJson(const AnswerTicket& answer) {
  const ResultInfo& info = GetResultInfo(answer.code);
  json error = {{"code", static_cast<uint16_t>(info.code)},
                {"name", info.name},
                {"message", info.sentence},
                {"run_state", RunStateName(info.run_state)},
                {"next_step", info.next_step},
                {"detail", answer.detail}};
  if (answer.conflict) {
    error["conflict"] = answer.conflict->value;
  }
  return {{"error", std::move(error)}};
}

}  // namespace

json TicketListJson(const Document& document) {
  json tickets = json::array();
  for (const TicketRecord& record : document.tickets) {
    tickets.push_back(RecordReport(record, "accepted"));
  }
  if (document.staged) {
    tickets.push_back(RecordReport(document.staged->record, "staged"));
  }
  return {{"revision", document.accepted.revision.value},
          {"tickets", std::move(tickets)}};
}

std::optional<json> TicketJson(const Document& document, TicketNumber number) {
  if (document.staged && document.staged->record.number == number) {
    return RecordReport(document.staged->record, "staged");
  }
  for (const TicketRecord& record : document.tickets) {
    if (record.number == number) {
      return RecordReport(record, "accepted");
    }
  }
  return Fail(ResultCode::kTicketUnknown,
              "ticket " + std::to_string(number.value));
}

json AnswerJson(const AnswerTicket& answer) {
  if (answer.code == ResultCode::kOk) {
    return {{"revision", answer.revision.value}};
  }
  if (answer.code == ResultCode::kTicketPending) {
    return {{"revision", answer.revision.value},
            {"waitingFor", answer.waiting_for},
            {"detail", answer.detail}};
  }
  return RefusalJson(answer);
}

}  // namespace boragewharf::config
