/**
 * @file report_func.h
 * JSON answers of the operator calls on tickets.
 */
#pragma once

#include <nlohmann/json.hpp>
#include <optional>

#include "config/config_event_type.h"
#include "config/document_type.h"

namespace boragewharf::config {

/**
 * Body of GET /admin/tickets: {"revision", "tickets": [{"ticket", "revision",
 * "state": "accepted"|"staged", "summary", "digest"}]}, oldest first.
 * @note Thread-safe.
 */
nlohmann::json TicketListJson(const Document& document);

/**
 * Body of GET /admin/tickets/{n}: one element of the list.
 * @return Empty optional with kTicketUnknown if no such ticket is remembered.
 * @note Thread-safe.
 */
std::optional<nlohmann::json> TicketJson(const Document& document,
                                         TicketNumber number);

/**
 * Body of the answer to POST /admin/tickets: {"revision"} if accepted,
 * {"revision", "waitingFor": [...], "detail"} if pending, otherwise
 * {"error": {"code", "name", "message", "run_state", "next_step", "detail"}}
 * with "conflict" where another ticket is the cause. The HTTP status is that
 * of the code.
 * @note Thread-safe.
 */
nlohmann::json AnswerJson(const AnswerTicket& answer);

}  // namespace boragewharf::config
