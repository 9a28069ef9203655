/**
 * @file log_func.h
 * Log lines for changes of state.
 */
#pragma once

#include <string>

#include "settings/settings_type.h"

namespace boragewharf::daemon {

/** Configures the logger. @pre Called once, before any other thread runs. */
void ConfigureLog(const LogSettings& settings);

/** Logs a change of state. @pre No secrets in @p text. @note Thread-safe. */
void LogStateChange(const std::string& text);

/** Logs a fault that an operator has to look at. @note Thread-safe. */
void LogFault(const std::string& text);

}  // namespace boragewharf::daemon
