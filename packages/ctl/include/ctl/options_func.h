/**
 * @file options_func.h
 * Command line of boragewharfctl.
 */
#pragma once

#include <optional>
#include <span>
#include <string>

#include "ctl/ctl_type.h"

namespace boragewharf::ctl {

/**
 * Reads the command line.
 * @param arguments Program name and arguments.
 * @return Empty optional with kUsage and what is wrong.
 * @note Thread-safe.
 */
std::optional<Options> ParseCommandLine(std::span<const char* const> arguments);

/** Text of --help. @note Thread-safe. */
std::string HelpText();

/** Row of the table of commands. @pre Not kHelp. @note Thread-safe. */
const CommandInfo& GetCommandInfo(Command command);

}  // namespace boragewharf::ctl
