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
      this->move.step != MoveStep::kNone || now < server.no_requests_until) {
    return;
  }
  if (!this->attempt->first_event) {
    // Nothing was generated yet; another server can start from the beginning.
    if (*server.stops_at - now < kForcedMoveTime && this->attempt->sent &&
        this->MayResend(now)) {
      this->FailAttempt(serving::AttemptFailure::kTimedOut);
    }
    return;
  }
  if (this->OutlivesNotice(now)) {
    this->StartMove();
  }
}

void Exchange::StartMove() {
  this->excluded_servers.push_back(this->attempt->server->server.id);
  this->move.target = this->ChooseServer();
  this->excluded_servers.pop_back();
  const bool allowed =
      this->move.target &&
      this->core.budget.TakeRetry(this->service_name, this->core.nodes,
                                  BootClock::now());
  if (!allowed) {
    this->move.step = MoveStep::kEnded;
    this->core.counters.Get("moves_total", "result=\"no_target\"").Add();
    return;
  }
  this->move.step = MoveStep::kCopying;
  this->move.source_address = ToString(this->attempt->server->server.address);
  this->SendMoveRequest(false);
}

void Exchange::SendMoveRequest(bool stop) {
  MoveRequest move_request;
  move_request.attempt_id = this->request.facts.attempt_id;
  move_request.target_address = ToString(this->move.target->server.address);
  move_request.stop = stop;
  httpio::InboundRequest encoded =
      this->core.codec.EncodeMoveRequest(move_request);
  httpio::HttpCall call;
  call.method = std::move(encoded.method);
  call.target = std::move(encoded.target);
  call.fields = std::move(encoded.fields);
  call.body = std::move(encoded.body);
  call.timeout = kMoveTimeout;
  const auto on_response = [weak = this->weak_from_this(), &core = this->core,
                            target = this->move.target, stop,
                            sends =
                                this->sends](const httpio::HttpResult& result) {
    const auto self = weak.lock();
    // The attempt may have failed in the meantime, and the request may have
    // been sent to another server.
    if (self && !self->done && self->sends == sends &&
        self->move.target == target) {
      self->OnMoveResponse(stop, result);
      return;
    }
    if (result.head) {
      FreeCopy(core, *target,
               core.codec.DecodeMoveResponse(result.head->status, result.body));
    }
  };
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
  MoveResponse answer;
  if (result.head) {
    answer =
        this->core.codec.DecodeMoveResponse(result.head->status, result.body);
  }
  this->core.log.Write(EventLevel::kInfo, "move",
                       {{"id", this->request.facts.attempt_id},
                        {"source", this->move.source_address},
                        {"target", this->move.target->server.id},
                        {"stop", stop},
                        {"status", result.head ? result.head->status : 0},
                        {"copied", answer.copied},
                        {"handle", answer.handle}});
  if (!stop) {
    if (!this->attempt || this->move.step != MoveStep::kCopying) {
      return;
    }
    if (!answer.copied) {
      this->move.step = MoveStep::kEnded;
      return;
    }
    this->move.step = MoveStep::kStopping;
    this->SendMoveRequest(true);
    return;
  }
  this->move.stop_answered = true;
  this->move.handle = answer.handle;
  this->move.resume_at_source = !answer.copied;
  if (answer.ended && !this->move.source_closed) {
    // The request has finished at the source; its stream completes as usual.
    this->move.step = MoveStep::kEnded;
    return;
  }
  if (this->move.source_closed || answer.copied) {
    this->ContinueFromMove();
  }
}

void Exchange::ContinueFromMove() {
  const auto self = this->shared_from_this();
  if (this->CancelIfClientGone()) {
    return;
  }
  this->move.step = MoveStep::kEnded;
  if (this->move.handle.empty()) {
    this->core.counters.Get("moves_total", "result=\"no_copy\"").Add();
    this->AfterFailure(serving::AttemptFailure::kConnectionLost);
    return;
  }
  const std::shared_ptr<PooledServer> target =
      this->move.resume_at_source ? this->attempt->server : this->move.target;
  const serving::MoveSource source{this->move.source_address,
                                   this->move.handle};
  this->ReleaseAttempt();
  this->move = Move{};
  this->core.counters.Get("moves_total", "result=\"continued\"").Add();
  this->SendTo(target, source);
}

}  // namespace boragewharf::relay
