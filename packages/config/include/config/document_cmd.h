/**
 * @file document_cmd.h
 * Commands: the only ways to change a document. Each is tested in full, then
 * executed.
 */
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "base/result_type.h"
#include "config/document_type.h"
#include "config/ticket_type.h"

namespace boragewharf::config {

/** Whether a command only tests or also changes the document. */
enum class CommandMode : uint8_t { kTest, kExecute };

/** Outcome of a command. */
struct CommandResult {
  ResultCode code = ResultCode::kOk;  ///< kOk if it can be executed.
  std::string detail;                 ///< Specifics for the operator.
  std::optional<TicketNumber> other;  ///< The ticket it conflicts with.
};

/** What is known of a ticket number. */
enum class TicketStanding : uint8_t {
  kUnknown,    ///< Not in the document.
  kStaged,     ///< The same ticket is staged.
  kAccepted,   ///< The same ticket is accepted.
  kOtherUsed,  ///< A ticket with another digest has the number.
};

/** Looks a ticket up by number and digest. @note Thread-safe. */
TicketStanding FindTicket(const Document& document,
                          TicketNumber number,
                          std::string_view digest);

/**
 * Stages a ticket as the next revision.
 * @return kOk, or the refusal: kTicketNumberUsed, kTicketConflict,
 *     kTicketStaged, kTicketInvalid or kConfigurationTooLarge.
 * @pre The ticket has no faults of its own, see ParseTicket().
 * @note Thread-safe for different documents.
 */
CommandResult CmdStageTicket(Document& document,
                             const Ticket& ticket,
                             CommandMode mode);

/**
 * Accepts the staged ticket and forgets the oldest beyond kMaxTicketRecords.
 * @return kOk, or kTicketUnknown if none is staged.
 * @note Thread-safe for different documents. The acceptance rule is tested by
 *     DecideAcceptance(), not here.
 */
CommandResult CmdAcceptStaged(Document& document, CommandMode mode);

}  // namespace boragewharf::config
