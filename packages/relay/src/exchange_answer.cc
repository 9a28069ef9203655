/**
 * @file exchange_answer.cc
 * Forwarding of the server's response, and the timeouts of a request.
 */
#include <algorithm>
#include <utility>

#include "exchange_base.h"

namespace boragewharf::relay {
namespace {

using serving::AttemptFailure;
using serving::Milliseconds;
using serving::RouteKind;

/** Bytes pending for a slow client above which reading from the server is
 * paused. */
constexpr size_t kMaxClientPendingBytes = size_t{256} * 1024;

/** Maximum size of a response that is buffered before it is forwarded. */
constexpr size_t kMaxBufferedAnswer = size_t{16} * 1024 * 1024;

/** Maximum size of a stream event; engines send a few hundred bytes. */
constexpr size_t kMaxEventBytes = size_t{256} * 1024;

/** A server that crashes on a request does so within this time after the first
 * event of the response. */
constexpr std::chrono::milliseconds kCrashOnsetTime(500);

/** Clients give up a silent stream after the longest of this time, four times
 * the goal and eight times the gap goal. */
constexpr Milliseconds kClientGiveUpTime(2000);

/** Interval at which a stream's times between events are reported to the
 * observers; short enough to follow a server that turns slow. */
constexpr Milliseconds kGapReportPeriod(300);

/** Timeout for connecting to a server; clients themselves allow one second. */
constexpr Milliseconds kConnectTimeout(800);

}  // namespace

void Exchange::TakeBody(std::string_view bytes) {
  const TimePoint now = BootClock::now();
  const serving::ResponseFacts& facts = *this->attempt->facts;
  const bool streaming = this->IsStream() && facts.event_stream &&
                         facts.stamped && facts.status / 100 == 2 &&
                         !facts.attempt_id.empty();
  if (!streaming) {
    this->BufferBody(bytes, now);
    return;
  }
  this->splitter.Append(bytes);
  this->ForwardEvents(now);
  this->CountEventBytes();
  if (this->attempt && this->event_bytes > kMaxEventBytes) {
    this->FailAttempt(AttemptFailure::kMalformed);
  }
  this->core.EnforceBufferLimit();
}

void Exchange::CountEventBytes() {
  const size_t held = this->splitter.Rest().size();
  this->core.buffered_bytes += held;
  this->core.buffered_bytes -= this->event_bytes;
  this->event_bytes = held;
}

void Exchange::FailForBufferLimit() {
  this->core.log.Write(EventLevel::kWarning, "buffer_limit_exceeded",
                       {{"id", this->request.facts.attempt_id},
                        {"held_bytes", this->HeldBytes()},
                        {"all_bytes", this->core.buffered_bytes}});
  this->FailAttempt(AttemptFailure::kMalformed);
}

void Exchange::BufferBody(std::string_view bytes, TimePoint now) {
  if (this->attempt->has_content_length) {
    // Without a Content-Length, more data is no sign that the body will end.
    this->attempt->last_progress = now;
  }
  this->buffered.append(bytes);
  this->core.buffered_bytes += bytes.size();
  if (this->buffered.size() > kMaxBufferedAnswer) {
    this->FailAttempt(AttemptFailure::kMalformed);
  }
  this->core.EnforceBufferLimit();
}

void Exchange::DropBuffered() {
  this->core.buffered_bytes -= this->buffered.size();
  this->buffered.clear();
  this->buffered.shrink_to_fit();
}

void Exchange::FailAttempt(AttemptFailure failure) {
  const auto self = this->shared_from_this();
  this->attempt->connection->Close();
  this->AfterFailure(failure);
}

void Exchange::ForwardEvents(TimePoint now) {
  std::string whole;
  while (const auto event = this->splitter.Next()) {
    if (event->id && this->last_event_id &&
        *event->id <= *this->last_event_id) {
      continue;  // The client got it before the stream was resumed.
    }
    if (event->id) {
      this->last_event_id = event->id;
    }
    this->events += 1;
    whole += event->text;
  }
  if (whole.empty()) {
    return;
  }
  this->attempt->last_progress = now;
  if (!this->attempt->first_event) {
    this->OnFirstEvent(now);
  } else {
    this->RecordEventGap(now);
  }
  if (!this->usage_counted) {
    this->usage_counted = true;
    this->first_event_at = now;
    if (this->customer != nullptr) {
      this->core.CountUsage(this->customer->name, now);
    }
  }
  if (now - this->first_event_at >= kCrashOnsetTime) {
    this->ExonerateParts(now);
  }
  this->RecordStreamBegin(now);
  this->SendStreamHead();
  this->SendChunk(whole);
  if (this->client->PendingBytes() > kMaxClientPendingBytes) {
    this->attempt->connection->SetPaused(true);
    this->client->SetWriteCompleteCallback([weak = this->weak_from_this()] {
      const auto self = weak.lock();
      if (self && self->attempt) {
        self->attempt->connection->SetPaused(false);
      }
    });
  }
}

void Exchange::OnFirstEvent(TimePoint now) {
  const Duration after = now - this->attempt->started;
  this->attempt->first_event = true;
  this->attempt->last_event = now;
  this->attempt->gaps_since = now;
  const serving::AttemptView view = this->ViewAttempt();
  for (serving::AttemptObserver* observer : this->core.observers) {
    observer->OnFirstEvent(view, after, now);
  }
  this->EndPrefill();
  this->core.crash_attribution.RecordFirstEvent(
      serving::HashName(this->service_name), now);
  const bool reads_prompt =
      !this->attempt->resumes && this->choice_inputs.copy_from.empty();
  const bool near =
      this->attempt->server->distance != serving::Distance::kOtherRegion;
  if (reads_prompt && near) {
    this->core.prefill_estimates[this->service_name].Add(
        this->choice_inputs.read_tokens, after, now);
  }
}

serving::AttemptView Exchange::ViewAttempt() const {
  const Attempt& current = *this->attempt;
  std::string_view customer_name;
  if (this->customer != nullptr) {
    customer_name = this->customer->name;
  }
  return {current.server->server,
          *this->route,
          customer_name,
          current.server->distance,
          this->service != nullptr && this->service->engine,
          current.inputs.running,
          current.inputs.prefill_tokens,
          current.inputs.read_tokens,
          !current.inputs.copy_from.empty(),
          current.resumes,
          current.first_event,
          current.started,
          current.server->own_load.running + current.server->peer_load.running,
          uint64_t{current.server->own_load.prefill_tokens} +
              current.server->peer_load.prefill_tokens};
}

void Exchange::RecordEventGap(TimePoint now) {
  this->attempt->gaps.push_back(now - this->attempt->last_event);
  this->attempt->last_event = now;
  if (now - this->attempt->gaps_since >= kGapReportPeriod) {
    this->ReportEventGaps(now);
  }
}

void Exchange::ReportEventGaps(TimePoint now) {
  if (this->attempt->gaps.empty()) {
    return;
  }
  const serving::AttemptView view = this->ViewAttempt();
  for (serving::AttemptObserver* observer : this->core.observers) {
    observer->OnEventGaps(view, this->attempt->gaps, now);
  }
  this->attempt->gaps.clear();
  this->attempt->gaps_since = now;
}

void Exchange::SendStreamHead() {
  if (this->answer_started) {
    return;
  }
  this->answer_started = true;
  const serving::ResponseFacts& facts = *this->attempt->facts;
  std::string head =
      "HTTP/1.1 " + std::to_string(facts.status) + " " + facts.reason + "\r\n";
  for (const auto& [name, value] : facts.forwarded) {
    head.append(name).append(": ").append(value).append("\r\n");
  }
  if (this->core.shutting_down) {
    head += "Connection: close\r\n";
    this->close_announced = true;
  }
  head += "Transfer-Encoding: chunked\r\n\r\n";
  this->client->Send(std::move(head));
}

void Exchange::SendChunk(std::string_view bytes) {
  constexpr char kDigits[] = "0123456789abcdef";
  std::string size;
  for (size_t left = bytes.size(); left > 0; left /= 16) {
    size.insert(size.begin(), kDigits[left % 16]);
  }
  std::string chunk = size + "\r\n";
  chunk += bytes;
  chunk += "\r\n";
  this->client->Send(std::move(chunk));
}

void Exchange::Complete() {
  if (this->attempt->ends_with_connection &&
      this->RecordSourceEnd(SourceEnd::kClosed)) {
    return;
  }
  const serving::ResponseFacts facts = *this->attempt->facts;
  const bool rejected = facts.not_run || facts.status == 421;
  const bool success = facts.status / 100 == 2;
  this->attempt->completed = true;
  if (rejected) {
    this->AfterFailure(AttemptFailure::kRejected);
    return;
  }
  if (success && (!facts.stamped || facts.attempt_id.empty())) {
    this->attempt->completed = false;
    this->AfterFailure(AttemptFailure::kMalformed);
    return;
  }
  if (success && this->IsStream() && facts.event_stream) {
    this->CompleteStream();
    return;
  }
  this->CompleteBuffered();
}

void Exchange::CompleteStream() {
  const bool without_event =
      !this->attempt->first_event && !this->answer_started;
  if (!this->splitter.Rest().empty() ||
      (without_event && this->attempt->ends_with_connection)) {
    // The response ended in the middle of an event, or with the connection
    // before its first one.
    this->attempt->completed = false;
    this->AfterFailure(AttemptFailure::kConnectionLost);
    return;
  }
  this->core.pool.RecordSuccess(*this->attempt->server);
  this->attempt->outcome = serving::AttemptOutcome::kServed;
  if (!this->attempt->ends_with_connection) {
    // A crash can end such a connection like a complete response.
    this->core.suspects.ClearCrashes(this->fingerprint, BootClock::now());
    this->ExonerateParts(BootClock::now());
  }
  this->SendStreamHead();
  this->client->Send("0\r\n\r\n");
  this->RecordStreamEnd(BootClock::now());
  this->Finish("served", this->attempt->facts->status);
}

void Exchange::CompleteBuffered() {
  const serving::ResponseFacts& facts = *this->attempt->facts;
  if (!this->usage_counted && this->customer != nullptr) {
    this->usage_counted = true;
    this->core.CountUsage(this->customer->name, this->attempt->started);
  }
  if (!this->attempt->ends_with_connection) {
    // As in CompleteStream().
    this->core.suspects.ClearCrashes(this->fingerprint, BootClock::now());
  }
  if (facts.status >= 500) {
    this->AfterFailure(AttemptFailure::kServerError);
    return;
  }
  if (this->answer_started) {
    this->AbortClient("resumption_refused");
    return;
  }
  this->core.pool.RecordSuccess(*this->attempt->server);
  this->attempt->outcome = serving::AttemptOutcome::kServed;
  if (facts.status / 100 == 2) {
    this->ExonerateParts(BootClock::now());
  }
  this->ForwardBuffered();
}

void Exchange::ForwardBuffered() {
  const serving::ResponseFacts& facts = *this->attempt->facts;
  std::string answer =
      "HTTP/1.1 " + std::to_string(facts.status) + " " + facts.reason + "\r\n";
  for (const auto& [name, value] : facts.forwarded) {
    answer.append(name).append(": ").append(value).append("\r\n");
  }
  const bool bodyless = facts.status == 204 || facts.status == 304;
  if (!bodyless) {
    answer +=
        "Content-Length: " + std::to_string(this->buffered.size()) + "\r\n";
  }
  if (this->core.shutting_down || !this->client->KeepAlive()) {
    answer += "Connection: close\r\n";
    this->close_announced = true;
  }
  answer += "\r\n";
  answer += this->buffered;
  this->DropBuffered();
  this->client->Send(std::move(answer));
  this->Finish(facts.status / 100 == 2 ? "served" : "server_status",
               facts.status);
}

void Exchange::CheckTimes(TimePoint now) {
  this->CheckTimeout(now);
  if (this->done || !this->attempt) {
    return;
  }
  this->CheckSilence(now);
  if (this->done || !this->attempt) {
    return;
  }
  this->CheckServerStop(now);
}

void Exchange::CheckTimeout(TimePoint now) {
  const TimePoint deadline = this->Deadline();
  if (now < (this->answer_started ? deadline : this->EffectiveDeadline())) {
    return;
  }
  if (this->answer_started) {
    this->AbortClient("timeout");
    return;
  }
  const bool may_run = this->attempt->sent || this->may_have_run;
  this->Refuse(may_run ? 504 : 503, std::nullopt,
               now < deadline ? "leaving" : "timeout");
}

Duration Exchange::SilenceTimeout() const {
  if (!this->IsStream()) {
    return std::max<Duration>(2 * this->route->goal, kConnectTimeout / 2);
  }
  const Milliseconds patience = std::max(
      {kClientGiveUpTime, 4 * this->route->goal, 8 * this->route->gap_goal});
  return patience / 2;
}

bool Exchange::MayResend(TimePoint now) {
  if (!this->route->Repeatable() || this->sends >= this->route->max_attempts) {
    return false;
  }
  const TimePoint end = this->EffectiveDeadline();
  return now + kMinResendTime < end;
}

void Exchange::CheckSilence(TimePoint now) {
  if (this->attempt->connection->Paused()) {
    // Nothing is read from the server, so it can't be found silent.
    this->attempt->last_progress = now;
    return;
  }
  if (!this->core.finds_silence) {
    return;
  }
  if (!this->attempt->sent) {
    if (now - this->attempt->started > kConnectTimeout) {
      this->FailAttempt(AttemptFailure::kNotSent);
    }
    return;
  }
  if (this->attempt->move.step == MoveStep::kStopping ||
      now - this->attempt->last_progress < this->SilenceTimeout() ||
      !this->MayResend(now)) {
    return;
  }
  // Otherwise waiting may still succeed.
  if (this->TakeResend(now)) {
    this->attempt->retry_taken = true;
    this->FailAttempt(AttemptFailure::kTimedOut);
  }
}

bool Exchange::TakeResend(TimePoint now) {
  if (this->CrashesServers(now)) {
    return false;
  }
  this->excluded_servers.push_back(this->attempt->server->server.id);
  const bool other_server = this->ChooseServer() != nullptr;
  this->excluded_servers.pop_back();
  // The choice is made again when the request is sent.
  this->choice_inputs = this->attempt->inputs;
  return other_server &&
         this->core.budget.TakeRetry(this->service_name, this->core.nodes, now);
}

}  // namespace boragewharf::relay
