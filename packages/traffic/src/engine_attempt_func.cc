/**
 * @file engine_attempt_func.cc
 * Request to an engine and reception of its events.
 */
#include "traffic/engine_attempt_func.h"

#include <utility>

#include "base/result_func.h"
#include "base/scope_guard.h"
#include "traffic/completion_func.h"
#include "traffic/sse_parser_base.h"

namespace boragewharf::traffic {

namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusTooManyRequests = 429;
constexpr int kStatusUnavailable = 503;
constexpr int kFirstClientError = 400;
constexpr int kFirstServerError = 500;
constexpr size_t kMaxEventBytes = 1U << 20;
constexpr size_t kMaxErrorBytes = 16384;
constexpr std::string_view kEndOfStream = "[DONE]";

/** Receives one attempt's answer. Used by one thread. */
class AttemptReceiver {
 public:
  AttemptReceiver(const TrafficContext& shared,
                  Stream& target,
                  const StreamAttempt& current)
      : context(shared),
        stream(target),
        attempt(current),
        parser(kMaxEventBytes),
        last_byte(BootClock::now()) {}

  bool ReceiveHead(const httplib::Response& response) {
    this->status = response.status;
    this->last_byte = BootClock::now();
    return true;
  }

  bool ReceiveBody(std::string_view bytes) {
    this->last_byte = BootClock::now();
    if (this->status != kStatusOk) {
      this->error_body.append(
          bytes.substr(0, kMaxErrorBytes - this->error_body.size()));
      // The status tells enough; the rest may never end.
      this->error_cut = this->error_body.size() == kMaxErrorBytes;
      return !this->error_cut;
    }
    const bool proceed = this->parser.Feed(
        bytes, [this](const SseEvent& event) { return this->Handle(event); });
    if (std::exchange(this->has_unpublished, false)) {
      this->stream.Publish();
    }
    return proceed;
  }

  AttemptOutcome Evaluate(bool received_whole, httplib::Error error) {
    AttemptOutcome outcome;
    outcome.status = this->status;
    outcome.detail = this->fault.empty() ? httplib::to_string(error)
                                         : std::move(this->fault);
    outcome.result = this->Classify(received_whole, error);
    if (outcome.result == AttemptResult::kRejected) {
      outcome.body = std::move(this->error_body);
    }
    return outcome;
  }

  /** Whether any part of an answer arrived. */
  bool HasAnswer() const { return this->status != 0; }

 private:
  bool Handle(const SseEvent& event) {
    if (this->ended) {
      return true;
    }
    if (event.data == kEndOfStream) {
      this->End();
      return true;
    }
    std::optional<CompletionChunk> chunk =
        ParseChunk(event.data, this->stream.request.is_chat);
    if (!chunk || !chunk->error.empty()) {
      this->fault = chunk ? chunk->error : LastReason().detail;
      return false;
    }
    if (chunk->prompt_tokens) {
      this->stream.SetPromptTokens(this->attempt.number, *chunk->prompt_tokens);
    }
    if (!chunk->finish_reason.empty()) {
      this->finish_reason = std::move(chunk->finish_reason);
    }
    if (chunk->text.empty()) {
      return true;
    }
    this->context.counters.tokens.Add();
    this->fenced = !this->stream.Append(this->attempt.number, chunk->text);
    this->has_unpublished = true;
    return !this->fenced;
  }

  void End() {
    this->ended = true;
    this->has_unpublished = false;
    this->stream.Finish(this->attempt.number, this->finish_reason.empty()
                                                  ? "stop"
                                                  : this->finish_reason);
  }

  AttemptResult Classify(bool received_whole, httplib::Error error) {
    if (this->ended) {
      return AttemptResult::kDone;
    }
    if (this->fenced || !this->stream.IsCurrent(this->attempt.number)) {
      return AttemptResult::kFenced;
    }
    if (received_whole && this->status == kStatusOk &&
        !this->finish_reason.empty()) {
      this->End();
      return AttemptResult::kDone;
    }
    if (received_whole || this->error_cut) {
      return this->ClassifyStatus();
    }
    if (error == httplib::Error::Connection ||
        error == httplib::Error::ConnectionTimeout) {
      return AttemptResult::kNotSent;
    }
    const Duration silent = BootClock::now() - this->last_byte;
    return silent >= this->context.options.silence_bound
               ? AttemptResult::kSilent
               : AttemptResult::kBroken;
  }

  AttemptResult ClassifyStatus() const {
    if (this->status == kStatusUnavailable ||
        this->status == kStatusTooManyRequests) {
      return AttemptResult::kRefused;
    }
    if (this->status >= kFirstClientError && this->status < kFirstServerError) {
      return AttemptResult::kRejected;
    }
    return AttemptResult::kBroken;
  }

  const TrafficContext& context;
  Stream& stream;
  const StreamAttempt& attempt;
  SseParser parser;
  TimePoint last_byte;
  int status = 0;
  std::string error_body;
  bool error_cut = false;  ///< The error's body is longer than is kept.
  std::string fault;
  std::string finish_reason;
  bool ended = false;
  bool fenced = false;
  bool has_unpublished = false;
};

httplib::Request BuildRequest(const Stream& stream,
                              const StreamAttempt& attempt) {
  httplib::Request request;
  request.method = "POST";
  request.path =
      stream.request.is_chat ? "/v1/chat/completions" : "/v1/completions";
  request.set_header("Content-Type", "application/json");
  request.set_header("Accept", "text/event-stream");
  request.set_header("X-Request-Id", ToString(stream.id));
  request.body = UpstreamBody(stream.request, attempt.text, attempt.received);
  return request;
}

/** @return Empty if a connection that was kept open turned out closed. */
std::optional<AttemptOutcome> Exchange(const TrafficContext& context,
                                       Stream& stream,
                                       const StreamAttempt& attempt,
                                       ConnectionLease& lease) {
  BoundedHttpClient& client = lease.Client();
  if (!stream.SetInterrupt(attempt.number, [&client] { client.stop(); })) {
    return AttemptOutcome{AttemptResult::kFenced, {}, 0, {}};
  }
  // The lease outlives this guard, so the client is never stopped after its
  // end.
  const ScopeGuard clear_interrupt(
      [&] { stream.SetInterrupt(attempt.number, nullptr); });
  AttemptReceiver receiver(context, stream, attempt);
  httplib::Request request = BuildRequest(stream, attempt);
  request.response_handler = [&](const httplib::Response& response) {
    return receiver.ReceiveHead(response);
  };
  request.content_receiver = [&](const char* data, size_t length, uint64_t,
                                 uint64_t) {
    return receiver.ReceiveBody({data, length});
  };
  httplib::Response response;
  httplib::Error error = httplib::Error::Success;
  const bool whole = client.Send(request, response, error);
  AttemptOutcome outcome = receiver.Evaluate(whole, error);
  if (whole) {
    lease.KeepOpen();
  } else if (outcome.result != AttemptResult::kFenced) {
    lease.MarkFailed();
  }
  if (outcome.result == AttemptResult::kBroken && lease.IsReused() &&
      !receiver.HasAnswer()) {
    return std::nullopt;
  }
  return outcome;
}

}  // namespace

AttemptOutcome RunAttempt(const TrafficContext& context,
                          Stream& stream,
                          const StreamAttempt& attempt,
                          const backend::BackendServer& server,
                          bool fresh) {
  context.counters.attempts.Add();
  context.in_flight.Add(server.instance, 1);
  const ScopeGuard leave([&] { context.in_flight.Add(server.instance, -1); });
  if (!fresh) {
    const auto lease = context.connections.Take(server.address);
    std::optional<AttemptOutcome> outcome =
        Exchange(context, stream, attempt, *lease);
    if (outcome) {
      return *std::move(outcome);
    }
  }
  const auto lease = context.connections.TakeFresh(server.address);
  return *Exchange(context, stream, attempt, *lease);
}

}  // namespace boragewharf::traffic
