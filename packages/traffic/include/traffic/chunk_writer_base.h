/**
 * @file chunk_writer_base.h
 * Formats a stream's output for its caller.
 */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "base/request_id_type.h"
#include "traffic/completion_type.h"

namespace boragewharf::traffic {

/** Tokens counted for one request. */
struct Usage {
  uint32_t prompt_tokens = 0;      ///< In the prompt.
  uint32_t completion_tokens = 0;  ///< In the answer.
};

/**
 * Formats events and answers. Constant parts are formatted once, because each
 * token passes through here. Thread-safe after construction.
 */
class ChunkWriter {
 public:
  ChunkWriter(const RequestId& id, const CompletionRequest& request);

  /**
   * Appends one token's event to @p out.
   * @param position Number of tokens up to and including this one; sent as
   *     event id, from which the caller can continue.
   */
  void AppendToken(std::string& out,
                   uint32_t position,
                   std::string_view text) const;

  /** Appends the last events: finish reason, usage if wanted, [DONE]. */
  void AppendEnd(std::string& out,
                 std::string_view finish_reason,
                 const Usage& usage,
                 bool include_usage) const;

  /** The whole answer as one JSON object. */
  std::string Answer(std::string_view text,
                     std::string_view finish_reason,
                     const Usage& usage) const;

 private:
  bool is_chat;
  std::string id_text;
  std::string model;
  int64_t created;     ///< Seconds since the epoch.
  std::string prefix;  ///< Event up to the token's text.
  std::string suffix;  ///< Event after the token's text.
};

}  // namespace boragewharf::traffic
