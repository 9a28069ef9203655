/**
 * @file print_func.h
 * Output of boragewharfctl for people.
 */
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <ostream>
#include <string>
#include <vector>

#include "base/json_reader_base.h"
#include "base/result_func.h"
#include "ctl/admin_client_base.h"
#include "ctl/ctl_type.h"

namespace boragewharf::ctl {

/** Any JSON value as indented "key: value" lines. */
void PrintValue(const nlohmann::json& value, std::ostream& out);

/** Body of GET /admin/tickets. */
void PrintTicketList(const nlohmann::json& body, std::ostream& out);

/** Body of GET /admin/tickets/{n}. */
void PrintTicket(const nlohmann::json& body, std::ostream& out);

/** Body of the answer to an accepted or pending ticket. */
void PrintApplied(uint64_t number,
                  const nlohmann::json& body,
                  std::ostream& out);

/** A refusal with its cause and what to do next. */
void PrintRefusal(const AdminAnswer& answer, std::ostream& err);

/** That no answer arrived, and what to do next. */
void PrintUnreachable(const Options& options,
                      const Reason& reason,
                      std::ostream& err);

/** The faults of a ticket file. */
void PrintFaults(const std::string& file,
                 const std::vector<JsonFault>& faults,
                 std::ostream& err);

}  // namespace boragewharf::ctl
