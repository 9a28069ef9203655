/**
 * @file exchange_end.cc
 * Refusal, cancellation and end of a request, with the log lines for these.
 */
#include <utility>

#include "exchange_base.h"

namespace boragewharf::relay {

using serving::Milliseconds;

void Exchange::LogQuotaExceeded(double cost) {
  const serving::QuotaView view = this->core.quotas.View(this->customer->name);
  this->core.log.Write(
      EventLevel::kWarning, "quota_exceeded",
      {{"id", this->request.facts.attempt_id},
       {"customer", this->customer->name},
       {"cost", static_cast<int64_t>(cost)},
       {"shared_level", static_cast<int64_t>(view.level)},
       {"own_level", static_cast<int64_t>(view.own_level)},
       {"rate", static_cast<int64_t>(view.rate)},
       {"nodes", view.nodes},
       {"pooled", view.pooled},
       {"informed", view.informed},
       {"was_high", view.was_high},
       {"resumed", this->stream_version.has_value()},
       {"resume_reserve", static_cast<int64_t>(view.resume_reserve)},
       {"load_age_ms", Millis(this->arrived - this->core.pool.PeerLoadsAt())}});
}

void Exchange::Refuse(uint32_t status,
                      std::optional<Milliseconds> retry_after,
                      std::string_view reason) {
  const bool not_run = status == 429 || status == 503;
  if (not_run && this->customer != nullptr && this->quota_cost > 0) {
    this->core.quotas.Refund(this->customer->name, this->quota_cost);
  }
  httpio::Fields fields = this->core.codec.ResponseFields(
      this->request.facts.attempt_id, retry_after);
  fields.emplace_back("Content-Type", "application/json");
  const std::string text = "{\"error\":\"" + std::string(reason) + "\"}";
  const bool keep = !this->core.shutting_down && this->client->KeepAlive();
  this->close_announced = !keep;
  this->client->Send(httpio::MakeResponse(status, fields, text, keep));
  this->Finish(reason, status);
}

void Exchange::AbortClient(std::string_view reason) {
  const auto self = this->shared_from_this();
  const auto connection = this->client;
  this->Finish(reason, 0);
  connection->Abort();
}

bool Exchange::CancelIfClientGone() {
  if (!this->client->ClientClosed()) {
    return false;
  }
  this->OnClientDisconnected();
  return true;
}

void Exchange::Cancel() {
  const TimePoint now = BootClock::now();
  const MoveStep step =
      this->attempt ? this->attempt->move.step : MoveStep::kNone;
  const bool moving = step == MoveStep::kCopying || step == MoveStep::kStopping;
  std::string_view stage = "not_sent";
  if (this->attempt && this->attempt->sent) {
    stage = this->answer_started ? "answering" : "waiting";
  } else if (this->attempt) {
    stage = "connecting";
  }
  this->core.log.Write(
      EventLevel::kInfo, "request_cancelled",
      {{"id", this->request.facts.attempt_id},
       {"server", this->attempt ? this->attempt->server->server.id : ""},
       {"stage", stage},
       {"moving", moving},
       {"unacknowledged_bytes",
        this->attempt ? this->attempt->connection->UnacknowledgedBytes() : 0},
       {"server_silent_ms",
        this->attempt ? Millis(now - this->attempt->last_progress) : 0},
       {"after_ms", Millis(now - this->arrived)}});
  this->core.counters
      .Get("requests_cancelled_total", "stage=\"" + std::string(stage) + "\"")
      .Add();
  this->Finish("client_gone", 0);
}

void Exchange::Finish(std::string_view outcome, uint32_t status) {
  if (this->done) {
    return;
  }
  this->done = true;
  const auto self = this->shared_from_this();
  const TimePoint now = BootClock::now();
  const bool served = outcome == "served";
  if (served && !this->IsStream()) {
    this->core.route_durations[this->route->name].Add(now - this->arrived);
  }
  std::string server_id;
  std::string server_version;
  if (this->attempt) {
    server_id = this->attempt->server->server.id;
    server_version = this->attempt->version;
    this->ReleaseAttempt();
  }
  this->DropBuffered();
  this->splitter.Reset();
  this->CountEventBytes();
  const int64_t first_event =
      this->events > 0 ? Millis(this->first_event_at - this->arrived) : -1;
  this->core.log.Write(
      served ? EventLevel::kInfo : EventLevel::kWarning, "request",
      {{"id", this->request.facts.attempt_id},
       {"route", this->route == nullptr ? "" : this->route->name},
       {"customer", this->customer == nullptr ? "" : this->customer->name},
       {"config", this->config == nullptr ? 0 : this->config->version},
       {"servers_revision", this->core.servers_revision},
       {"server", server_id},
       {"server_version", server_version},
       {"stream_version", this->stream_version.value_or("")},
       {"resumes", this->request.facts.resumes},
       {"sends", this->sends},
       {"events", this->events},
       {"first_event_ms", first_event},
       {"prompt_tokens", this->request.facts.prompt_tokens},
       {"shared_tokens", serving::SharedTokens(this->request.facts)},
       {"prefix", serving::SharedPartId(this->request.facts)},
       {"read_tokens", this->choice_inputs.read_tokens},
       {"expected_ms", this->choice_inputs.expected_ms},
       {"running_seen", this->choice_inputs.running},
       {"prefill_seen", this->choice_inputs.prefill_tokens},
       {"load_age_ms", this->choice_inputs.load_age_ms},
       {"speed_percent", this->choice_inputs.speed_percent},
       {"copy_from", this->choice_inputs.copy_from},
       {"total_ms", Millis(now - this->arrived)},
       {"status", status},
       {"outcome", outcome}});
  this->core.counters
      .Get("requests_total", "outcome=\"" + std::string(outcome) + "\"")
      .Add();
  const auto connection = this->client;
  this->core.exchanges.erase(connection.get());
  if (connection->IsOpen() && status != 0) {
    // The client may already have sent its next request on a connection that
    // it was told to keep; that connection is closed once it is idle.
    connection->EndResponse(!this->close_announced);
  }
}

}  // namespace boragewharf::relay
