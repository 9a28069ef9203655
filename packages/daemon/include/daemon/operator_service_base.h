/**
 * @file operator_service_base.h
 * Calls of operators.
 */
#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "daemon/call_table_base.h"
#include "daemon/control_loop_base.h"
#include "traffic/provider_base.h"

namespace boragewharf::daemon {

/** Answers operator calls from the control state. */
class OperatorService : public traffic::OperatorHandler {
 public:
  /**
   * @param control_loop Outlives the service.
   * @param ticket_calls Outlives the service.
   * @param drain Starts a graceful shutdown; returns at once.
   */
  OperatorService(ControlLoop& control_loop,
                  CallTable<config::AnswerTicket>& ticket_calls,
                  std::function<void()> drain);

  traffic::OperatorAnswer SubmitTicket(std::string_view body) override;
  traffic::OperatorAnswer ListTickets() override;
  traffic::OperatorAnswer ShowTicket(std::string_view number) override;
  traffic::OperatorAnswer Status() override;
  traffic::OperatorAnswer Drain() override;
  traffic::OperatorAnswer StateDump() override;

 private:
  ControlLoop& loop;
  CallTable<config::AnswerTicket>& tickets;
  std::function<void()> start_drain;
};

}  // namespace boragewharf::daemon
