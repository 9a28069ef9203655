/**
 * @file command_table.h
 * Tables of commands and exit codes of boragewharfctl.
 */
#pragma once

#include <array>

#include "ctl/ctl_type.h"

namespace boragewharf::ctl {

// clang-format off
inline constexpr std::array kCommandTable = {
    CommandInfo{Command::kTicketCheck, "ticket check", "FILE", Reach::kLocal, "Check a ticket file and print all its faults. Changes nothing."},
    CommandInfo{Command::kTicketApply, "ticket apply", "FILE", Reach::kDaemon, "File a ticket. Repeating it unchanged is safe: it is applied once."},
    CommandInfo{Command::kTicketShow, "ticket show", "N", Reach::kDaemon, "Show whether ticket N is staged or accepted."},
    CommandInfo{Command::kTicketList, "ticket list", "", Reach::kDaemon, "List the tickets and the current revision, which is the next \"base\"."},
    CommandInfo{Command::kStatus, "status", "", Reach::kDaemon, "Show members, revision and health as the daemon sees them."},
    CommandInfo{Command::kDump, "dump", "ADDRESS", Reach::kDaemon, "Print the daemon's whole state as JSON."},
    CommandInfo{Command::kDrain, "drain", "ADDRESS", Reach::kDaemon, "Shut the daemon down gracefully; no request in flight is interrupted."},
    CommandInfo{Command::kTokenNew, "token new", "CUSTOMER", Reach::kLocal, "Make a token for a customer, and the salted hash for a ticket."},
    CommandInfo{Command::kOperatorKeyNew, "operator-key new", "", Reach::kLocal, "Make an operator key, and the salted hash for the settings."},
    CommandInfo{Command::kErrors, "errors", "", Reach::kLocal, "Print docs/ERRORS.md: all codes with what to do next."},
};

inline constexpr std::array kExitTable = {
    ExitInfo{ExitCode::kOk, "Done.", "Nothing to do."},
    ExitInfo{ExitCode::kRefused, "Refused.", "Follow the printed next step."},
    ExitInfo{ExitCode::kUsage, "The command line or a file it names cannot be used.", "Correct it; see --help."},
    ExitInfo{ExitCode::kUnreachable, "The daemon gave no answer.", "Check --address or use another daemon. A ticket may have been staged: apply it again unchanged."},
    ExitInfo{ExitCode::kPending, "The ticket is staged, but not accepted yet.", "Look after the members it waits for, then use `ticket show N`."},
};
// clang-format on

}  // namespace boragewharf::ctl
