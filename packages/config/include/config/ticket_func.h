/**
 * @file ticket_func.h
 * Reading, validation and digest of tickets.
 */
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/json_reader_base.h"
#include "config/ticket_type.h"

namespace boragewharf::config {

/**
 * Reads a ticket and checks each object by itself.
 * @param faults Receives every fault.
 * @return What could be read, even with faults, so that references can be
 *     checked in the same run; empty optional with kMalformedJson or
 *     kBodyTooLarge if nothing could be read.
 * @note Thread-safe.
 */
std::optional<Ticket> ParseTicket(std::string_view text,
                                  std::vector<JsonFault>& faults);

/**
 * Checks a ticket against the configuration that it changes: removed objects
 * exist, and all references hold afterwards.
 * @note Thread-safe.
 */
void CheckReferences(const Configuration& current,
                     const Ticket& ticket,
                     std::vector<JsonFault>& faults);

/** Whether a customer may have this name. @note Thread-safe. */
bool IsCustomerName(const std::string& name);

/** Objects that @p ticket sets or removes, sorted. @note Thread-safe. */
std::vector<ObjectName> TouchedObjects(const Ticket& ticket);

/** Short text on the objects touched, for people. @note Thread-safe. */
std::string Summarize(const Ticket& ticket);

/** JSON with sorted keys and objects and all defaults. @note Thread-safe. */
nlohmann::json CanonicalJson(const Ticket& ticket);

/**
 * Hexadecimal SHA-256 of the canonical JSON: equal for tickets that mean the
 * same, however they are written.
 * @note Thread-safe.
 */
std::string TicketDigest(const Ticket& ticket);

}  // namespace boragewharf::config
