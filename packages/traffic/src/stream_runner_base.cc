/**
 * @file stream_runner_base.cc
 * Attempts of a stream.
 */
#include "traffic/stream_runner_base.h"

#include <algorithm>
#include <utility>

#include "base/result_func.h"
#include "traffic/completion_func.h"
#include "traffic/server_choice_func.h"

namespace boragewharf::traffic {

namespace {

constexpr Duration kServerWait = std::chrono::milliseconds(100);
// A request that keeps failing waits, so that a conviction of its fingerprint
// can arrive before it reaches a further server.
constexpr Duration kFirstBackoff = std::chrono::milliseconds(250);
constexpr uint32_t kMaxBackoffDoublings = 4;

ObservationKind KindOf(AttemptResult result) {
  switch (result) {
    case AttemptResult::kNotSent:
      return ObservationKind::kConnectFailed;
    case AttemptResult::kRefused:
      return ObservationKind::kRefused;
    case AttemptResult::kSilent:
      return ObservationKind::kSilent;
    case AttemptResult::kBroken:
      return ObservationKind::kBroken;
    default:
      return ObservationKind::kAnswered;
  }
}

StreamFailure MakeFailure(ResultCode code, RunState state, std::string detail) {
  return {code, std::move(detail), state, 0, {}};
}

}  // namespace

void StreamRunner::Run(Stream& stream) const {
  Progress progress;
  progress.last =
      MakeFailure(ResultCode::kNoBackendServer, RunState::kNotRun, {});
  progress.ran = stream.Received() > 0;
  while (this->CheckMayContinue(stream)) {
    const SnapshotPtr snapshot = this->context.providers.snapshots.Get();
    const uint64_t cost = stream.PromptTokens() + stream.request.max_tokens;
    const backend::BackendServer* server =
        ChooseServer(this->context, *snapshot, stream.request.service,
                     progress.excluded, cost, PromptPrefixHash(stream.request));
    if (server == nullptr) {
      if (!this->AwaitServer(stream, progress)) {
        return;
      }
      continue;
    }
    const std::optional<StreamAttempt> attempt =
        stream.BeginAttempt(server->instance);
    if (!attempt) {
      return;
    }
    this->CountRecomputed(stream, *attempt, progress);
    AttemptOutcome outcome =
        RunAttempt(this->context, stream, *attempt, *server, progress.failed);
    this->Handle(stream, *server, std::move(outcome), progress);
  }
}

bool StreamRunner::CheckMayContinue(Stream& stream) const {
  if (stream.State() != StreamState::kRunning) {
    return false;
  }
  const uint32_t limit = stream.request.max_tokens;
  if (limit > 0 && stream.Received() >= limit) {
    const std::optional<StreamAttempt> last = stream.BeginAttempt({});
    if (last) {
      stream.Finish(last->number, "length");
    }
    return false;
  }
  const SnapshotPtr snapshot = this->context.providers.snapshots.Get();
  if (snapshot->convicted.contains(stream.fingerprint)) {
    stream.Fail(MakeFailure(ResultCode::kRequestCrashesServers,
                            RunState::kMayHaveRun, {}));
    return false;
  }
  return true;
}

bool StreamRunner::AwaitServer(Stream& stream, Progress& progress) const {
  if (!progress.ran) {
    stream.Fail(progress.last);
    return false;
  }
  // The request was accepted and has run, so it waits for a server as long as
  // its deadline allows.
  if (BootClock::now() >= stream.deadline) {
    progress.last.run_state = RunState::kMayHaveRun;
    stream.Fail(progress.last);
    return false;
  }
  progress.excluded.clear();
  this->context.snapshot_changed.Wait(kServerWait);
  return true;
}

void StreamRunner::CountRecomputed(const Stream& stream,
                                   const StreamAttempt& attempt,
                                   const Progress& progress) const {
  if (!progress.ran) {
    return;
  }
  this->context.counters.resumes.Add();
  this->context.counters.recomputed_prompt.Add(stream.PromptTokens());
  this->context.counters.recomputed_answer.Add(attempt.received);
}

void StreamRunner::Handle(Stream& stream,
                          const backend::BackendServer& server,
                          AttemptOutcome outcome,
                          Progress& progress) const {
  switch (outcome.result) {
    case AttemptResult::kDone:
      this->Observe(stream, server, ObservationKind::kAnswered);
      return;
    case AttemptResult::kFenced:
      // A moved stream must not return to the server that it left.
      progress.ran = true;
      progress.excluded.assign(1, server.instance);
      return;
    case AttemptResult::kRejected:
      this->Observe(stream, server, ObservationKind::kAnswered);
      stream.Fail({ResultCode::kBackendFailed, "rejected by the engine",
                   progress.ran ? RunState::kMayHaveRun : RunState::kNotRun,
                   outcome.status, std::move(outcome.body)});
      return;
    case AttemptResult::kNotSent:
    case AttemptResult::kRefused:
      this->Observe(stream, server, KindOf(outcome.result));
      this->HandleNotRun(stream, server, outcome, progress);
      return;
    case AttemptResult::kSilent:
    case AttemptResult::kBroken:
      this->Observe(stream, server, KindOf(outcome.result));
      this->HandleFailure(stream, server, outcome, progress);
      return;
  }
}

void StreamRunner::HandleNotRun(Stream& stream,
                                const backend::BackendServer& server,
                                const AttemptOutcome& outcome,
                                Progress& progress) const {
  progress.excluded.push_back(server.instance);
  const bool refused = outcome.result == AttemptResult::kRefused;
  progress.last = MakeFailure(
      refused ? ResultCode::kBackendRefused : ResultCode::kBackendUnreachable,
      RunState::kNotRun, outcome.detail);
  if (progress.ran) {
    return;
  }
  ++progress.not_run;
  if (progress.not_run > stream.request.max_retries ||
      BootClock::now() >= stream.deadline ||
      !this->context.providers.retries.MayRetry(RetryKind::kNotRun)) {
    stream.Fail(progress.last);
  }
}

void StreamRunner::HandleFailure(Stream& stream,
                                 const backend::BackendServer& server,
                                 const AttemptOutcome& outcome,
                                 Progress& progress) const {
  progress.ran = true;
  progress.failed = true;
  progress.excluded.assign(1, server.instance);
  const bool silent = outcome.result == AttemptResult::kSilent;
  progress.last = MakeFailure(
      silent ? ResultCode::kBackendSilent : ResultCode::kBackendFailed,
      RunState::kMayHaveRun, outcome.detail);
  const SnapshotPtr snapshot = this->context.providers.snapshots.Get();
  if (IsEndAnnounced(*snapshot, stream.request.service, server.instance)) {
    return;
  }
  const uint32_t failures = stream.CountFailure();
  if (failures > stream.request.max_retries ||
      BootClock::now() >= stream.deadline) {
    stream.Fail(progress.last);
    return;
  }
  if (!this->context.providers.retries.MayRetry(RetryKind::kAfterFailure)) {
    stream.Fail(MakeFailure(ResultCode::kRetryBudgetSpent,
                            RunState::kMayHaveRun, outcome.detail));
    return;
  }
  if (failures > 1) {
    const uint32_t doublings = std::min(failures - 2, kMaxBackoffDoublings);
    stream.WaitEnded(kFirstBackoff * (1U << doublings));
  }
}

void StreamRunner::Observe(const Stream& stream,
                           const backend::BackendServer& server,
                           ObservationKind kind) const {
  const SnapshotPtr snapshot = this->context.providers.snapshots.Get();
  const bool announced =
      kind != ObservationKind::kAnswered &&
      IsEndAnnounced(*snapshot, stream.request.service, server.instance);
  this->context.providers.observations.Observe(
      {kind, server.instance, stream.fingerprint, announced});
}

}  // namespace boragewharf::traffic
