/**
 * @file ctl_type.h
 * Exit codes, commands and options of boragewharfctl.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/endpoint_type.h"

namespace boragewharf::ctl {

/** Exit codes; docs/ERRORS.md lists them. */
enum class ExitCode : uint8_t {
  kOk = 0,           ///< Done.
  kRefused = 1,      ///< Refused; the output says why and what to do.
  kUsage = 2,        ///< The command line or a file is not usable.
  kUnreachable = 3,  ///< No answer from the daemon.
  kPending = 4,      ///< The ticket is staged, but not accepted yet.
};

enum class Command : uint8_t {
  kHelp,
  kTicketCheck,
  kTicketApply,
  kTicketShow,
  kTicketList,
  kStatus,
  kDump,
  kDrain,
  kTokenNew,
  kOperatorKeyNew,
  kErrors,
};

/** Whether a command needs a daemon and the operator key. */
enum class Reach : uint8_t {
  kLocal,   ///< Works without a daemon.
  kDaemon,  ///< Needs --address and --key-file.
};

/** A row of the table of commands. */
struct CommandInfo {
  Command command;            ///< The command.
  std::string_view words;     ///< As typed, without the argument.
  std::string_view argument;  ///< Name of its argument; empty if none.
  Reach reach;                ///< Whether it needs a daemon.
  std::string_view help;      ///< What it does, for --help.
};

/** A row of the table of exit codes. */
struct ExitInfo {
  ExitCode code;               ///< The number.
  std::string_view meaning;    ///< What happened.
  std::string_view next_step;  ///< What the operator does next.
};

/** The command line. */
struct Options {
  Command command = Command::kHelp;  ///< What to do.
  std::string argument;              ///< FILE, N or CUSTOMER.
  std::optional<Endpoint> address;   ///< Caller address of a daemon.
  std::string key_file;              ///< File with the operator key.
  bool json = false;                 ///< Print JSON as received.
};

}  // namespace boragewharf::ctl
