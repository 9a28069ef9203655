/**
 * @file stream_runner_base.h
 * Runs streams at engines and resumes them after failures.
 */
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "traffic/engine_attempt_func.h"

namespace boragewharf::traffic {

/** Work of the upstream threads. Thread-safe. */
class StreamRunner {
 public:
  explicit StreamRunner(const TrafficContext& shared) : context(shared) {}

  /**
   * Fills @p stream, in as many attempts as needed and allowed, until it ends.
   * Blocks.
   */
  void Run(Stream& stream) const;

 private:
  struct Progress {
    std::vector<std::string> excluded;  ///< Servers not to try again.
    StreamFailure last;                 ///< Reported if no server is left.
    uint32_t not_run = 0;               ///< Attempts that did not run.
    bool ran = false;                   ///< Some engine ran the request.
    bool failed = false;                ///< An attempt broke or went silent.
  };

  bool CheckMayContinue(Stream& stream) const;
  bool AwaitServer(Stream& stream, Progress& progress) const;
  void CountRecomputed(const Stream& stream,
                       const StreamAttempt& attempt,
                       const Progress& progress) const;
  void Handle(Stream& stream,
              const backend::BackendServer& server,
              AttemptOutcome outcome,
              Progress& progress) const;
  void HandleNotRun(Stream& stream,
                    const backend::BackendServer& server,
                    const AttemptOutcome& outcome,
                    Progress& progress) const;
  void HandleFailure(Stream& stream,
                     const backend::BackendServer& server,
                     const AttemptOutcome& outcome,
                     Progress& progress) const;
  void Observe(const Stream& stream,
               const backend::BackendServer& server,
               ObservationKind kind) const;

  const TrafficContext& context;
};

}  // namespace boragewharf::traffic
