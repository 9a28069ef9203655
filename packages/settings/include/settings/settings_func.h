/**
 * @file settings_func.h
 * Reading and validation of the settings file.
 */
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/json_reader_base.h"
#include "settings/settings_type.h"

namespace boragewharf {

/**
 * Reads settings from JSON text.
 * @param faults Receives every fault, each with path, value found and allowed
 *     range. Secrets are never quoted.
 * @return Empty optional with kSettingsInvalid if there is any fault.
 * @note Thread-safe.
 */
std::optional<Settings> ParseSettings(std::string_view text,
                                      std::vector<JsonFault>& faults);

/**
 * Reads settings from a file.
 * @return As ParseSettings(), or kSettingsUnreadable if the file cannot be
 *     read or exceeds 1 MB.
 * @note Thread-safe.
 */
std::optional<Settings> LoadSettings(const std::string& path,
                                     std::vector<JsonFault>& faults);

}  // namespace boragewharf
