/**
 * @file command_func.h
 * The commands of boragewharfctl.
 */
#pragma once

#include <ostream>
#include <string>

#include "ctl/ctl_type.h"

namespace boragewharf::ctl {

/**
 * Runs a command.
 * @param out Receives results, @p err refusals and what to do next.
 * @note Thread-safe for different streams.
 */
ExitCode RunCommand(const Options& options,
                    std::ostream& out,
                    std::ostream& err);

/** Text of docs/ERRORS.md. @note Thread-safe. */
std::string ErrorsText();

}  // namespace boragewharf::ctl
