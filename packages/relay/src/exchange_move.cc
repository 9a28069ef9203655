/**
 * @file exchange_move.cc
 * Carrying a running stream over from a server that is taken back.
 *
 * The run's memory is copied while it goes on; then it is stopped, the rest
 * is copied, and the stream continues at the target after the last event that
 * the client has.
 */
#include <algorithm>

#include "exchange_base.h"

namespace boragewharf::relay {
namespace {

using serving::Milliseconds;

/** Time for a call that copies memory; copies take some dozen ms. */
constexpr Milliseconds kMoveTimeout(1200);

/** Time for a call that frees a copy. */
constexpr Milliseconds kFreeCopyTimeout(400);

/** Notice left at which every run is moved, whatever its estimate. */
constexpr Milliseconds kLastMoveTime(900);

/** The estimate of a run's length is often too low. */
constexpr double kLengthMargin = 1.5;

/** Tokens of an event where the number of events is estimated. */
constexpr uint32_t kTokensPerEvent = 6;

}  // namespace

bool Exchange::OutlivesNotice(TimePoint now) const {
  const TimePoint leaves = *this->attempt->server->leaves_at;
  if (leaves - now < kLastMoveTime) {
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
  return now + left + kLastMoveTime > leaves;
}

void Exchange::CheckLeaving(TimePoint now) {
  const PooledServer& server = *this->attempt->server;
  const bool engine = this->service != nullptr && this->service->engine &&
                      this->service->engine->moves;
  if (!engine || !this->IsStream() || !server.leaves_at ||
      this->move.step != MoveStep::kNone) {
    return;
  }
  if (!this->attempt->first_event) {
    // It has not begun to run; another server starts it afresh.
    if (*server.leaves_at - now < kLastMoveTime && this->attempt->sent &&
        this->ResendInsteadOfWaiting(now)) {
      this->GiveUpAttempt(serving::AttemptFailure::kTimedOut);
    }
    return;
  }
  if (this->OutlivesNotice(now)) {
    this->StartMove();
  }
}

void Exchange::StartMove() {
  this->tried.push_back(this->attempt->server->server.id);
  this->move.target = this->ChooseServer();
  this->tried.pop_back();
  const bool budget =
      this->move.target &&
      this->core.budget.TakeRetry(this->service_name, this->core.nodes,
                                  BootClock::now());
  if (!budget) {
    this->move.step = MoveStep::kGivenUp;
    this->core.counters.Get("moves_total", "result=\"no_target\"").Add();
    return;
  }
  this->move.step = MoveStep::kCopying;
  this->move.source_address = ToString(this->attempt->server->server.address);
  this->CallMove(false);
}

void Exchange::CallMove(bool stop) {
  MoveCall wanted;
  wanted.attempt_id = this->request.facts.attempt_id;
  wanted.target_address = ToString(this->move.target->server.address);
  wanted.stop = stop;
  httpio::InboundRequest encoded = this->core.wire.EncodeMove(wanted);
  httpio::HttpCall call;
  call.method = std::move(encoded.method);
  call.target = std::move(encoded.target);
  call.fields = std::move(encoded.fields);
  call.body = std::move(encoded.body);
  call.timeout = kMoveTimeout;
  const auto take_answer = [weak = this->weak_from_this(), &core = this->core,
                            target = this->move.target, stop,
                            sends =
                                this->sends](const httpio::HttpResult& result) {
    const auto self = weak.lock();
    // The run may have failed meanwhile and gone on at another server.
    if (self && !self->done && self->sends == sends &&
        self->move.target == target) {
      self->OnMoveAnswer(stop, result);
      return;
    }
    if (result.head) {
      FreeCopy(core, *target,
               core.wire.DecodeMove(result.head->status, result.body));
    }
  };
  this->core.pool.CallChannel(*this->attempt->server)
      .Call(std::move(call), take_answer);
}

void Exchange::FreeCopy(TrafficCore& core,
                        PooledServer& target,
                        const MoveAnswer& answer) {
  auto encoded =
      answer.copied ? core.wire.EncodeFreeCopy(answer.handle) : std::nullopt;
  if (!encoded) {
    return;  // No copy was made, or it ends by itself after a while.
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

void Exchange::OnMoveAnswer(bool stop, const httpio::HttpResult& result) {
  MoveAnswer answer;
  if (result.head) {
    answer = this->core.wire.DecodeMove(result.head->status, result.body);
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
      this->move.step = MoveStep::kGivenUp;
      return;
    }
    this->move.step = MoveStep::kStopping;
    this->CallMove(true);
    return;
  }
  this->move.answered = true;
  this->move.handle = answer.handle;
  this->move.sent_to_source = !answer.copied;
  if (answer.ended && !this->move.stream_closed) {
    // The run ended by itself; its stream completes as usual.
    this->move.step = MoveStep::kGivenUp;
    return;
  }
  if (this->move.stream_closed || answer.copied) {
    this->ContinueFromMove();
  }
}

void Exchange::ContinueFromMove() {
  const auto self = this->shared_from_this();
  if (this->CancelIfClientLeft()) {
    return;
  }
  this->move.step = MoveStep::kGivenUp;
  if (this->move.handle.empty()) {
    this->core.counters.Get("moves_total", "result=\"no_copy\"").Add();
    this->AfterFailure(serving::AttemptFailure::kConnectionLost);
    return;
  }
  const std::shared_ptr<PooledServer> target =
      this->move.sent_to_source ? this->attempt->server : this->move.target;
  const serving::MoveSource source{this->move.source_address,
                                   this->move.handle};
  this->ReleaseAttempt();
  this->move = Move{};
  this->core.counters.Get("moves_total", "result=\"continued\"").Add();
  this->SendTo(target, source);
}

}  // namespace boragewharf::relay
