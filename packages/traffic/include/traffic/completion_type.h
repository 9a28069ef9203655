/**
 * @file completion_type.h
 * Requests to and output of model engines.
 */
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace boragewharf::traffic {

/** A validated request for a completion. */
struct CompletionRequest {
  bool is_chat = false;        ///< Chat completions.
  bool streamed = false;       ///< The caller wants server-sent events.
  bool include_usage = false;  ///< The caller wants a usage event.
  std::string model;           ///< Model name.
  uint32_t max_tokens = 0;     ///< 0 if the request sets no limit.
  /** The caller's request, with the options for the engine set. */
  nlohmann::json body;
  std::string service;       ///< Service that runs the model.
  uint32_t max_retries = 0;  ///< Allowed after failures.
};

/** One event of an engine's output. */
struct CompletionChunk {
  std::string text;                       ///< Text of the token, if any.
  std::string finish_reason;              ///< Empty unless the last one.
  std::string error;                      ///< Error message, if any.
  std::optional<uint32_t> prompt_tokens;  ///< From a usage object.
};

}  // namespace boragewharf::traffic
