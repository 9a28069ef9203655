/**
 * @file exchange_move.cc
 * Moving a running stream away from a server that is about to stop.
 *
 * The KV cache is copied while the request runs. Then the request is stopped at
 * the source, the rest is copied, and the stream is resumed at the target after
 * the last event that was sent to the client.
 */
#include <algorithm>

#include "exchange_base.h"

namespace boragewharf::relay {
namespace {

using serving::Milliseconds;

/** Timeout of a move request; copies take a few dozen ms. */
constexpr Milliseconds kMoveTimeout(1200);

/** Timeout of a request that frees a copy. */
constexpr Milliseconds kFreeCopyTimeout(400);

/** Time before the server's stop at which every stream is moved, regardless of
 * its estimated end. */
constexpr Milliseconds kForcedMoveTime(900);

/** Factor on the estimated output length, which is often too low. */
constexpr double kLengthMargin = 1.5;

/** Tokens per event, for the estimate of the number of events. */
constexpr uint32_t kTokensPerEvent = 6;

}  // namespace

bool Exchange::OutlivesNotice(TimePoint now) const {
  const TimePoint stop_time = *this->attempt->server->stops_at;
  if (stop_time - now < kForcedMoveTime) {
    return true;
  }
  const uint32_t tokens = this->request.facts.length_hint > 0
                              ? this->request.facts.length_hint
                              : this->request.facts.max_output_tokens;
  const double expected = kLengthMargin * tokens / kTokensPerEvent;
  if (expected <= this->events || this->events == 0) {
    return expected > this->events;
  }
  const Duration spent = now - this->first_event_at;
  const auto left = std::chrono::duration_cast<Duration>(
      spent * ((expected - this->events) / this->events));
  return now + left + kForcedMoveTime > stop_time;
}

void Exchange::CheckServerStop(TimePoint now) {
  const PooledServer& server = *this->attempt->server;
  const bool can_move = this->service != nullptr && this->service->engine &&
                        this->service->engine->moves;
  if (!can_move || !this->IsStream() || !server.stops_at ||
      this->attempt->move.step != MoveStep::kNone ||
      now < server.no_requests_until) {
    return;
  }
  if (!this->attempt->first_event) {
    // Nothing was generated yet; another server can start from the beginning.
    // Without one, the server may still answer before it stops.
    if (*server.stops_at - now < kForcedMoveTime && this->attempt->sent &&
        this->MayResend(now) && this->TakeResend(now)) {
      this->attempt->retry_taken = true;
      this->FailAttempt(serving::AttemptFailure::kTimedOut);
    }
    return;
  }
  if (this->OutlivesNotice(now)) {
    this->StartMove();
  }
}

void Exchange::StartMove() {
  Move& move = this->attempt->move;
  this->excluded_servers.push_back(this->attempt->server->server.id);
  move.target = this->ChooseServer();
  this->excluded_servers.pop_back();
  auto encoded = move.target ? this->EncodeMove(false) : std::nullopt;
  if (move.target && !encoded) {
    move.step = MoveStep::kEnded;
    this->core.counters.Get("moves_total", "result=\"not_encodable\"").Add();
    this->core.log.Write(
        EventLevel::kWarning, "move_not_encodable",
        {{"id", this->request.facts.attempt_id},
         {"server", this->attempt->server->server.id},
         {"reason", "the attempt id is not UTF-8; the stream stays"}});
    return;
  }
  const bool allowed = move.target && this->core.budget.TakeRetry(
                                          this->service_name, this->core.nodes,
                                          BootClock::now());
  if (!allowed) {
    move.step = MoveStep::kEnded;
    this->core.counters.Get("moves_total", "result=\"no_target\"").Add();
    return;
  }
  // Reserves the request that resumes the stream, so that streams that move
  // together do not all choose a server with a limit.
  this->core.pool.CountRequest(*move.target, BootClock::now());
  move.step = MoveStep::kCopying;
  move.source_address = ToString(this->attempt->server->server.address);
  this->SendMoveRequest(std::move(*encoded), false);
}

std::optional<httpio::InboundRequest> Exchange::EncodeMove(bool stop) const {
  MoveRequest move_request;
  move_request.attempt_id = this->request.facts.attempt_id;
  move_request.target_address =
      ToString(this->attempt->move.target->server.address);
  move_request.stop = stop;
  return this->core.codec.EncodeMoveRequest(move_request);
}

void Exchange::SendMoveRequest(httpio::InboundRequest encoded, bool stop) {
  httpio::HttpCall call;
  call.method = std::move(encoded.method);
  call.target = std::move(encoded.target);
  call.fields = std::move(encoded.fields);
  call.body = std::move(encoded.body);
  call.timeout = kMoveTimeout;
  // The channel belongs to the source, which may itself be the target of calls
  // in the channel of this target.
  const auto on_response =
      [weak = this->weak_from_this(), &core = this->core,
       weak_target = std::weak_ptr(this->attempt->move.target), stop,
       source = this->attempt->connection](const httpio::HttpResult& result) {
        const auto self = weak.lock();
        // The attempt may have failed in the meantime, and the request may have
        // been sent to another server.
        if (self && !self->done && self->attempt &&
            self->attempt->connection == source) {
          self->Protect("move_response",
                        [&] { self->OnMoveResponse(stop, result); });
          return;
        }
        const auto target = weak_target.lock();
        if (result.head && target) {
          FreeCopy(
              core, *target,
              core.codec.DecodeMoveResponse(result.head->status, result.body));
        }
      };
  this->core.pool.CountRequest(*this->attempt->server, BootClock::now());
  this->core.pool.CallChannel(*this->attempt->server)
      .Call(std::move(call), on_response);
}

void Exchange::FreeCopy(TrafficCore& core,
                        PooledServer& target,
                        const MoveResponse& answer) {
  auto encoded =
      answer.copied ? core.codec.EncodeFreeCopy(answer.handle) : std::nullopt;
  if (!encoded || BootClock::now() < target.no_requests_until) {
    return;  // There is no copy, or it expires by itself.
  }
  core.counters.Get("moves_total", "result=\"unused\"").Add();
  httpio::HttpCall call;
  call.method = std::move(encoded->method);
  call.target = std::move(encoded->target);
  call.timeout = kFreeCopyTimeout;
  core.pool.CountRequest(target, BootClock::now());
  core.pool.CallChannel(target).Call(
      std::move(call), [&core, id = target.server.id, handle = answer.handle](
                           const httpio::HttpResult& result) {
        core.log.Write(EventLevel::kInfo, "copy_freed",
                       {{"server", id},
                        {"handle", handle},
                        {"status", result.head ? result.head->status : 0}});
      });
}

void Exchange::OnMoveResponse(bool stop, const httpio::HttpResult& result) {
  Move& move = this->attempt->move;
  MoveResponse answer;
  if (result.head) {
    answer =
        this->core.codec.DecodeMoveResponse(result.head->status, result.body);
  }
  this->core.log.Write(EventLevel::kInfo, "move",
                       {{"id", this->request.facts.attempt_id},
                        {"source", move.source_address},
                        {"source_version", this->attempt->version},
                        {"target", move.target->server.id},
                        {"target_version", move.target->server.version},
                        {"stop", stop},
                        {"sent", result.sent_at.has_value()},
                        {"status", result.head ? result.head->status : 0},
                        {"copied", answer.copied},
                        {"handle", answer.handle},
                        {"source_open", move.source_end == SourceEnd::kOpen},
                        {"events", this->events}});
  if (stop) {
    this->OnStopResponse(answer, result.sent_at.has_value());
    return;
  }
  auto encoded = answer.copied ? this->EncodeMove(true) : std::nullopt;
  if (!encoded) {
    move.step = MoveStep::kEnded;
    return;
  }
  move.step = MoveStep::kStopping;
  this->SendMoveRequest(std::move(*encoded), true);
}

void Exchange::OnStopResponse(const MoveResponse& answer, bool was_sent) {
  Move& move = this->attempt->move;
  move.stop_answered = true;
  move.handle = answer.handle;
  move.resume_at_source = !answer.copied;
  if (answer.not_stopped || !was_sent) {
    this->AbandonMove();
    return;
  }
  if (answer.copied || move.source_end != SourceEnd::kOpen) {
    this->ContinueFromMove();
  }
}

bool Exchange::RecordSourceEnd(SourceEnd end) {
  Move& move = this->attempt->move;
  if (move.step != MoveStep::kStopping) {
    return false;
  }
  move.source_end = end;
  if (move.stop_answered) {
    this->ContinueFromMove();
  }
  return true;
}

void Exchange::AbandonMove() {
  const auto self = this->shared_from_this();
  Move& move = this->attempt->move;
  move.step = MoveStep::kEnded;
  this->core.counters.Get("moves_total", "result=\"not_stopped\"").Add();
  switch (move.source_end) {
    case SourceEnd::kOpen:
      return;
    case SourceEnd::kBroken:
      this->AfterFailure(serving::AttemptFailure::kConnectionLost);
      return;
    case SourceEnd::kClosed:
      this->CompleteStream();
      return;
  }
}

void Exchange::ContinueFromMove() {
  const auto self = this->shared_from_this();
  if (this->CancelIfClientGone()) {
    return;
  }
  Move& move = this->attempt->move;
  move.step = MoveStep::kEnded;
  if (move.handle.empty()) {
    // Without an answer it is not known whether the run was stopped, so the end
    // of its connection does not show that the response is complete.
    this->core.counters.Get("moves_total", "result=\"no_copy\"").Add();
    this->AfterFailure(serving::AttemptFailure::kConnectionLost);
    return;
  }
  const std::shared_ptr<PooledServer> target =
      move.resume_at_source ? this->attempt->server : move.target;
  const serving::MoveSource source{move.source_address, move.handle};
  this->ReleaseAttempt();
  this->core.counters.Get("moves_total", "result=\"continued\"").Add();
  this->SendTo(target, source);
}

}  // namespace boragewharf::relay
