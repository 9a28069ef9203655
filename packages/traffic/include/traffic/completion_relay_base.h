/**
 * @file completion_relay_base.h
 * Serves completion requests: starts streams and delivers them to callers.
 */
#pragma once

#include <memory>

#include "traffic/active_count_base.h"
#include "traffic/call_type.h"
#include "traffic/context_type.h"
#include "traffic/refusal_func.h"
#include "traffic/stream_runner_base.h"
#include "traffic/stream_table_base.h"
#include "traffic/worker_pool_base.h"

namespace boragewharf::traffic {

/** Handles completion and stream calls. Thread-safe. */
class CompletionRelay {
 public:
  /** All arguments outlive the relay; @p upstream ends before it. */
  CompletionRelay(const TrafficContext& shared,
                  StreamTable& all_streams,
                  WorkerPool& upstream,
                  ActiveCount& active_calls);

  /** Answers a completion request. */
  void HandleCompletion(const CallerCall& call, bool is_chat);

  /** Answers GET /v1/streams/{id}: continues a stream held here. */
  void HandleStream(const CallerCall& call);

  /**
   * Continues a stream of another entry instance.
   * @return False with the last reason if it is not adopted.
   */
  bool Adopt(const StreamTransfer& transfer);

 private:
  struct Reader;

  bool Resolve(CompletionRequest& request,
               const config::Configuration& configuration) const;
  bool Launch(const std::shared_ptr<Stream>& stream);
  void Deliver(const CallerCall& call, const std::shared_ptr<Reader>& reader);
  void DeliverWhole(const CallerCall& call, Reader& reader);
  void DeliverStreamed(const CallerCall& call,
                       const std::shared_ptr<Reader>& reader);
  void AnswerEnded(const CallerCall& call,
                   const Stream& stream,
                   const StreamPart& part) const;
  void Refuse(const CallerCall& call, const Refusal& refusal) const;

  const TrafficContext& context;
  StreamTable& streams;
  WorkerPool& pool;
  ActiveCount& active;
  StreamRunner runner;
};

}  // namespace boragewharf::traffic
