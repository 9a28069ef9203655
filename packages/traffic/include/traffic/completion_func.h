/**
 * @file completion_func.h
 * Validation of completion requests, and the requests that start or resume
 * them at an engine.
 */
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "traffic/completion_type.h"

namespace boragewharf::traffic {

/**
 * Parses JSON from outside, with a bound on nesting.
 * @return Empty optional with kMalformedJson.
 * @note Thread-safe.
 */
std::optional<nlohmann::json> ParseJson(std::string_view text);

/**
 * Validates a caller's request. Options whose output cannot be resumed from
 * text (several choices, log probabilities, echo, tools) are refused.
 * @return Empty optional with kMalformedJson, kMissingField or kInvalidField.
 * @note Thread-safe.
 */
std::optional<CompletionRequest> ParseCompletion(std::string_view body,
                                                 bool is_chat);

/**
 * The request to an engine that continues after the text received so far.
 * @param received Tokens in @p text; they reduce the token limit.
 * @pre The token limit is unknown or above @p received.
 * @note Thread-safe.
 */
std::string UpstreamBody(const CompletionRequest& request,
                         std::string_view text,
                         uint32_t received);

/**
 * Parses the data of one event of an engine.
 * @return Empty optional with kBackendFailed if it cannot be understood.
 * @note Thread-safe.
 */
std::optional<CompletionChunk> ParseChunk(std::string_view data, bool is_chat);

/** Rough number of tokens in a prompt. @note Thread-safe. */
uint32_t EstimatePromptTokens(const CompletionRequest& request);

/** Hash of the start of the prompt, for cache affinity. @note Thread-safe. */
uint64_t PromptPrefixHash(const CompletionRequest& request);

}  // namespace boragewharf::traffic
