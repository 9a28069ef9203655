/**
 * @file token_func.h
 * The deterministic output of the engine stand-in, for callers that verify
 * answers.
 */
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace boragewharf::standins {

/**
 * The token that follows @p text: a word with a leading space, determined by
 * the whole text.
 * @note Thread-safe.
 */
std::string NextToken(std::string_view text);

/**
 * The @p count tokens that follow @p prompt.
 * @note Thread-safe.
 */
std::string ExpectedText(std::string_view prompt, size_t count);

/**
 * The text that a chat continues from: all messages and, if the last message
 * is to be continued, its beginning.
 * @pre @p request holds an array "messages" of objects with string fields.
 * @note Thread-safe. Throws nlohmann::json::exception on other input.
 */
std::string ChatPrompt(const nlohmann::json& request);

}  // namespace boragewharf::standins
