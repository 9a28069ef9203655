/**
 * @file engine_attempt_func.h
 * One attempt to run a stream at an engine.
 */
#pragma once

#include <string>

#include "traffic/context_type.h"
#include "traffic/stream_base.h"

namespace boragewharf::traffic {

enum class AttemptResult : uint8_t {
  kDone,      ///< The answer is complete.
  kFenced,    ///< Another attempt took over, or the stream ended.
  kNotSent,   ///< No connection; nothing was sent.
  kRefused,   ///< The engine refused without running the request.
  kRejected,  ///< The engine found the request faulty.
  kSilent,    ///< No byte within the silence bound.
  kBroken,    ///< The answer ended early or could not be understood.
};

/** How an attempt ended. */
struct AttemptOutcome {
  AttemptResult result = AttemptResult::kBroken;  ///< See AttemptResult.
  std::string detail;                             ///< Specifics.
  int status = 0;                                 ///< HTTP status, if any.
  std::string body;                               ///< For kRejected.
};

/**
 * Runs @p attempt at @p server and fills @p stream until the answer is
 * complete, the attempt fails or another one takes over. Blocks.
 * @param fresh Whether to use a new connection: after a failure, kept ones may
 *     have failed too.
 * @note Thread-safe for different streams.
 */
AttemptOutcome RunAttempt(const TrafficContext& context,
                          Stream& stream,
                          const StreamAttempt& attempt,
                          const backend::BackendServer& server,
                          bool fresh);

}  // namespace boragewharf::traffic
