/**
 * @file exchange_base.cc
 * Admission of a request, choice of a server, sending and retries.
 */
#include "exchange_base.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace boragewharf::relay {
namespace {

using serving::AttemptFailure;
using serving::Milliseconds;
using serving::RetryDecision;
using serving::RouteKind;

/** Retry-After if no server of the service is available. */
constexpr Milliseconds kRetryAfterNoServer(1000);

/** Retry-After if all servers are full; a running request ends every few dozen
 * ms. */
constexpr Milliseconds kRetryAfterFull(400);

/** Retry-After before the first configuration and server list are known. */
constexpr Milliseconds kRetryAfterNotReady(500);

/** Retry-After during a planned stop while other nodes are ready. */
constexpr Milliseconds kRetryAfterOtherNode(20);

/** Retry-After during a planned stop while no other node is ready; the retry
 * goes to another node, or to this one after its restart. */
constexpr Milliseconds kRetryAfterShutdown(500);

/** Maximum idle time of a connection for a request that must not be repeated.
 * After a longer time it may have been dropped silently. */
constexpr Milliseconds kMaxIdleNonRepeatable(1500);

/** The same for repeatable requests; the server's own idle timeout applies as
 * well. */
constexpr std::chrono::seconds kMaxIdleRepeatable(60);

/** Failed servers after which a request that could not be sent is given up. */
constexpr size_t kMaxUnreachableAttempts = 3;

std::string HostName(std::string_view host) {
  std::string name(host.substr(0, host.find(':')));
  std::transform(name.begin(), name.end(), name.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return name;
}

std::string_view FailureName(AttemptFailure failure) {
  switch (failure) {
    case AttemptFailure::kNotSent:
      return "not_sent";
    case AttemptFailure::kRejected:
      return "rejected";
    case AttemptFailure::kConnectionLost:
      return "broken";
    case AttemptFailure::kMalformed:
      return "malformed";
    case AttemptFailure::kTimedOut:
      return "silent";
    case AttemptFailure::kServerError:
      return "errored";
  }
  return "unknown";
}

serving::AttemptOutcome OutcomeOf(AttemptFailure failure) {
  switch (failure) {
    case AttemptFailure::kNotSent:
      return serving::AttemptOutcome::kNotSent;
    case AttemptFailure::kRejected:
      return serving::AttemptOutcome::kRejected;
    case AttemptFailure::kConnectionLost:
      return serving::AttemptOutcome::kConnectionLost;
    case AttemptFailure::kMalformed:
      return serving::AttemptOutcome::kMalformed;
    case AttemptFailure::kTimedOut:
      return serving::AttemptOutcome::kTimedOut;
    case AttemptFailure::kServerError:
      return serving::AttemptOutcome::kServerError;
  }
  return serving::AttemptOutcome::kCancelled;
}

}  // namespace

Exchange::Exchange(TrafficCore& traffic,
                   std::shared_ptr<httpio::ServerConnection> connection,
                   serving::ClientRequest client_request,
                   std::string request_body)
    : core(traffic),
      client(std::move(connection)),
      request(std::move(client_request)),
      body(std::make_shared<const std::string>(std::move(request_body))),
      arrived(BootClock::now()) {}

Exchange::~Exchange() {
  this->ReleaseAttempt();
  this->DropBuffered();
  this->core.buffered_bytes -= this->event_bytes;
}

bool Exchange::IsStream() const {
  return this->route->kind == RouteKind::kStream;
}

void Exchange::Begin() {
  if (!this->core.Ready() && !this->core.shutting_down &&
      BootClock::now() - this->arrived < kStartWait) {
    this->core.waiting_requests.push_back(this->shared_from_this());
    return;
  }
  this->config = this->core.config;
  if (this->CancelIfClientGone() || !this->CheckRequest() ||
      !this->CheckStreamOrigin() || !this->CheckPlannedStop() ||
      !this->CheckCrashes() || !this->Admit()) {
    return;
  }
  if (!this->TryServer(false)) {
    TrafficCore::Demand& demand = this->core.demand[this->service_name];
    demand.refused += 1;
    demand.tokens_in_period += this->request.facts.prompt_tokens;
    this->RefuseWithoutServer();
  }
}

void Exchange::RefuseWithoutServer() {
  const TimePoint now = BootClock::now();
  ServerRequirements required = this->Required();
  required.excluded.clear();
  if (!this->core.pool.Candidates(required, now).empty()) {
    this->Refuse(503, kRetryAfterFull, "servers_full");
    return;
  }
  const auto wait = this->core.pool.TimeUntilCandidate(required, now);
  if (wait) {
    this->Refuse(503, std::chrono::ceil<Milliseconds>(*wait),
                 "servers_want_no_requests");
    return;
  }
  this->Refuse(503, kRetryAfterNoServer, "no_server");
}

bool Exchange::CheckRequest() {
  this->route.reset();
  this->customer.reset();
  this->service.reset();
  if (!this->core.Ready()) {
    this->Refuse(503, kRetryAfterNotReady, "not_configured");
    return false;
  }
  if (this->request.facts.attempt_id.empty()) {
    this->Refuse(400, std::nullopt, "no_attempt_id");
    return false;
  }
  this->route =
      PartOf(this->config,
             serving::FindRoute(*this->config, HostName(this->request.host),
                                this->request.Path()));
  if (this->route == nullptr || this->route->targets.empty()) {
    this->Refuse(404, std::nullopt, "no_route");
    return false;
  }
  if (!this->config->customers.empty() && !this->route->anonymous) {
    this->customer =
        PartOf(this->config,
               serving::FindCustomer(*this->config, this->request.facts.key));
    if (this->customer == nullptr) {
      this->Refuse(401, std::nullopt, "unknown_key");
      return false;
    }
  }
  std::uniform_real_distribution<double> uniform(0.0, 1.0);
  this->service_name =
      serving::PickTarget(*this->route, uniform(this->core.generator));
  this->service = PartOf(
      this->config, serving::FindService(*this->config, this->service_name));
  this->route_deadline = this->arrived + this->route->timeout;
  this->client_deadline = this->arrived + this->request.facts.deadline.value_or(
                                              this->route->timeout);
  return true;
}

bool Exchange::CheckPlannedStop() {
  if (!this->core.shutdown_at) {
    return true;
  }
  const TimePoint now = BootClock::now();
  const bool others_ready = this->core.ready_nodes > 0;
  serving::StopFacts facts;
  facts.left = *this->core.shutdown_at - now;
  facts.limit = this->Deadline() - now;
  if (!this->IsStream()) {
    facts.expected = this->core.ExpectedDuration(*this->route);
  }
  // A stream that has begun can't be answered otherwise at the node's end, and
  // another ready node can take any request at once.
  facts.must_be_certain = this->IsStream() || others_ready;
  const bool taken = serving::EndsBeforeStop(facts);
  this->core.log.Write(
      EventLevel::kInfo, taken ? "taken_in_stop" : "outlasts_stop",
      {{"id", this->request.facts.attempt_id},
       {"stream", this->IsStream()},
       {"left_ms", Millis(facts.left)},
       {"limit_ms", Millis(facts.limit)},
       {"expected_ms", facts.expected ? Millis(*facts.expected) : -1},
       {"ready_nodes", this->core.ready_nodes}});
  if (taken) {
    return true;
  }
  this->Refuse(503, others_ready ? kRetryAfterOtherNode : kRetryAfterShutdown,
               "leaving");
  return false;
}

TimePoint Exchange::Deadline() const {
  return std::min(this->route_deadline, this->client_deadline);
}

TimePoint Exchange::EffectiveDeadline() const {
  const TimePoint deadline = this->Deadline();
  return std::min(deadline, this->core.shutdown_at.value_or(deadline));
}

bool Exchange::Admit() {
  if (this->customer != nullptr) {
    const double cost =
        serving::QuotaCost(*this->customer, this->request.facts);
    // Bound before the first event only if CheckStreamOrigin() knew it.
    const serving::QuotaUse use = this->stream_version
                                      ? serving::QuotaUse::kResumedStream
                                      : serving::QuotaUse::kNewRequest;
    if (!this->core.quotas.Admit(*this->customer, cost, this->arrived, use)) {
      this->LogQuotaExceeded(cost);
      this->Refuse(429, this->core.quotas.TimeUntil(*this->customer, cost, use),
                   "over_quota");
      return false;
    }
    this->quota_cost = cost;
  }
  this->core.budget.CountRequest(this->service_name, this->arrived);
  return true;
}

std::shared_ptr<PooledServer> Exchange::ChooseServer() {
  const TimePoint now = BootClock::now();
  const ServerRequirements required = this->Required();
  auto candidates = this->core.pool.Candidates(required, now);
  if (candidates.empty() && this->answer_started) {
    // The client would lose the response that it has begun to receive.
    candidates = this->core.pool.CandidatesBeyondLimits(required, now);
  }
  serving::RouteRequest wanted;
  wanted.prompt_tokens = this->request.facts.prompt_tokens;
  wanted.shared_tokens = serving::SharedTokens(this->request.facts);
  wanted.body_bytes = this->body->size();
  wanted.shared_part = serving::SharedPartId(this->request.facts);
  wanted.urgent = this->stream_version.has_value();
  std::vector<serving::ServerView> views;
  views.reserve(candidates.size());
  for (const auto& candidate : candidates) {
    views.push_back(this->core.pool.View(*candidate, wanted.shared_part, now));
  }
  const bool engine = this->service != nullptr && this->service->engine;
  if (engine) {
    wanted.copy_ms_per_token = this->service->engine->copy_ms_per_token;
    const auto speed =
        this->core.prefill_speeds.find(serving::HashName(this->service_name));
    if (speed != this->core.prefill_speeds.end()) {
      wanted.prefill_tokens_per_ms = speed->second;
    }
  }
  this->core.server_speeds.ClassifyLength(this->service_name, wanted);
  serving::RoutingPolicy& policy =
      engine ? *this->core.engine_policy : *this->core.plain_policy;
  const auto choice = policy.Choose(wanted, views);
  if (!choice) {
    return nullptr;
  }
  const serving::ServerView& view = views[choice->index];
  this->choice_inputs = {
      static_cast<int64_t>(choice->expected_ms),
      view.running,
      view.prefill_tokens,
      Millis(now - this->core.pool.PeerLoadsAt()),
      choice->read_tokens,
      choice->copy_from
          ? ToString(candidates[*choice->copy_from]->server.address)
          : "",
      static_cast<int64_t>(100 * view.speed)};
  return candidates[choice->index];
}

bool Exchange::TryServer(bool uses_retry_budget) {
  const std::shared_ptr<PooledServer> server = this->ChooseServer();
  if (!server) {
    return false;
  }
  if (uses_retry_budget &&
      !this->core.budget.TakeRetry(this->service_name, this->core.nodes,
                                   BootClock::now())) {
    return false;
  }
  this->SendTo(server, std::nullopt);
  return true;
}

void Exchange::SendTo(const std::shared_ptr<PooledServer>& server,
                      std::optional<serving::MoveSource> from) {
  const TimePoint now = BootClock::now();
  serving::AttemptFields fields;
  fields.server_id = server->server.id;
  const TimePoint end = this->EffectiveDeadline();
  fields.deadline = std::max(
      Milliseconds(1), std::chrono::duration_cast<Milliseconds>(end - now));
  if (this->customer != nullptr) {
    fields.customer = this->customer->name;
  }
  if (this->service != nullptr && this->service->engine) {
    fields.urgency = this->Urgency();
  }
  fields.last_event_id = this->last_event_id
                             ? this->last_event_id
                             : this->request.facts.last_event_id;
  fields.move = std::move(from);
  const bool non_repeatable = !this->route->Repeatable();
  const Duration max_idle =
      non_repeatable ? Duration(kMaxIdleNonRepeatable) : kMaxIdleRepeatable;

  Attempt next;
  next.server = server;
  next.version = ServerPool::IsOutdated(*server, now) ? serving::kUnknownVersion
                                                      : server->server.version;
  next.inputs = this->choice_inputs;
  next.started = now;
  next.last_progress = now;
  this->core.pool.RecordPrefix(*server,
                               serving::SharedPartId(this->request.facts), now);
  next.resumes = fields.move || fields.last_event_id;
  if (!fields.move) {
    next.prefill_tokens = this->choice_inputs.read_tokens;
    this->core.demand[this->service_name].tokens_in_period +=
        this->choice_inputs.read_tokens;
    fields.copy_from = this->choice_inputs.copy_from;
  }
  this->core.pool.CountRequest(*server, now);
  server->own_load.running += 1;
  server->own_load.prefill_tokens += next.prefill_tokens;
  this->core.demand[this->service_name].running += 1;
  if (this->core.rollout_agent) {
    this->core.rollout_agent->CountAttempt(
        server->server, this->sends == 0 && this->excluded_servers.empty());
  }
  next.connection = this->core.pool.Acquire(*server, max_idle, now);
  this->splitter.Reset();
  this->CountEventBytes();
  this->DropBuffered();
  this->attempt = std::move(next);
  const auto connection = this->attempt->connection;
  connection->Send(this->core.codec.EncodeRequest(this->request, fields),
                   this->body, this->request.method == "HEAD", *this);
}

void Exchange::EndPrefill() {
  PooledServer& server = *this->attempt->server;
  server.own_load.prefill_tokens -=
      std::min(server.own_load.prefill_tokens, this->attempt->prefill_tokens);
  this->attempt->prefill_tokens = 0;
}

void Exchange::ReleaseAttempt() {
  if (!this->attempt) {
    return;
  }
  const TimePoint now = BootClock::now();
  // The server's load has to be counted down in any case.
  this->core.guard.Call("attempt_end", [&] {
    this->ReportEventGaps(now);
    const serving::AttemptView view = this->ViewAttempt();
    for (serving::AttemptObserver* observer : this->core.observers) {
      observer->OnEnded(view, this->attempt->outcome,
                        now - this->attempt->started, now);
    }
  });
  this->EndPrefill();
  PooledServer& server = *this->attempt->server;
  server.own_load.running -= std::min(server.own_load.running, 1U);
  uint32_t& running = this->core.demand[this->service_name].running;
  running -= std::min(running, 1U);
  if (this->attempt->completed && this->attempt->connection->Reusable()) {
    this->core.pool.Release(server, this->attempt->connection);
  } else {
    this->attempt->connection->Close();
  }
  this->attempt.reset();
}

void Exchange::OnSending() {
  this->attempt->sent = true;
  this->attempt->last_progress = BootClock::now();
  this->sends += 1;
}

bool Exchange::AcceptHead(const httpio::ResponseHead& head) {
  serving::ResponseFacts facts = this->core.codec.DecodeResponse(head);
  if (!facts.attempt_id.empty() &&
      facts.attempt_id != this->request.facts.attempt_id) {
    return false;
  }
  this->attempt->last_progress = BootClock::now();
  this->core.RecordAnswer(*this->attempt->server, facts, this->attempt->started,
                          this->attempt->last_progress);
  if (facts.keep_alive) {
    this->attempt->connection->SetKeepAlive(
        std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>(*facts.keep_alive)));
  }
  if (facts.attempt_id.empty()) {
    // A duplicate of this response could not be told from the response to the
    // next request.
    this->attempt->connection->DisallowReuse();
  }
  this->attempt->has_content_length =
      !httpio::FindField(head.fields, "Content-Length").empty();
  this->attempt->ends_with_connection =
      !this->attempt->has_content_length &&
      httpio::FindField(head.fields, "Transfer-Encoding").empty();
  this->attempt->facts = std::move(facts);
  return true;
}

void Exchange::AfterFailure(AttemptFailure failure) {
  const auto self = this->shared_from_this();
  const TimePoint now = BootClock::now();
  const std::shared_ptr<PooledServer> server = this->attempt->server;
  const bool sent = this->attempt->sent;
  if (!sent && failure == AttemptFailure::kConnectionLost) {
    failure = AttemptFailure::kNotSent;
  }
  // A server that asks for a pause works, it is only full.
  const bool paused = this->attempt->facts && this->attempt->facts->retry_after;
  if (!paused) {
    this->core.pool.RecordFailure(*server, failure, now);
  }
  // Silence counts only where a response exonerates more than one request.
  const bool broken =
      failure == AttemptFailure::kConnectionLost ||
      (failure == AttemptFailure::kTimedOut && !this->shared_parts.empty());
  // What a server cuts off at its announced end is no sign of a crash.
  if (broken && !this->parts_exonerated &&
      !this->core.pool.IsStopping(*server)) {
    this->core.pool.RecordBrokenRequest(
        server, {now, this->fingerprint, this->request.facts.attempt_id,
                 this->shared_parts});
  }
  this->core.log.Write(
      EventLevel::kWarning, "attempt_failed",
      {{"id", this->request.facts.attempt_id},
       {"server", server->server.id},
       {"server_version", this->attempt->version},
       {"service", this->service_name},
       {"failure", FailureName(failure)},
       {"status", this->attempt->facts ? this->attempt->facts->status : 0},
       {"after_ms", Millis(now - this->attempt->started)},
       {"sends", this->sends},
       {"servers_revision", this->core.servers_revision},
       {"server_listed", server->listed},
       {"server_draining", server->server.draining},
       {"server_leaving", this->core.pool.IsLeaving(*server)}});

  serving::RetryFacts facts;
  facts.failure = failure;
  facts.repeatable = this->route->Repeatable();
  facts.answer_started = this->answer_started;
  facts.can_resume = this->IsStream() && this->route->resumable;
  facts.attempts = this->sends;
  facts.max_attempts = this->route->max_attempts;
  facts.server_ended = this->core.pool.IsStopping(*server);
  facts.may_have_run = this->may_have_run;
  const TimePoint end = this->EffectiveDeadline();
  facts.time_left = now + kMinResendTime < end;
  this->may_have_run = this->may_have_run || serving::MayHaveRun(failure);
  this->attempt->outcome = OutcomeOf(failure);
  this->excluded_servers.push_back(server->server.id);

  RetryDecision decision = serving::DecideAfterFailure(facts, true);
  const bool unreached = failure == AttemptFailure::kNotSent;
  if (unreached && this->excluded_servers.size() >= kMaxUnreachableAttempts) {
    decision = serving::DecideAfterFailure(facts, false);
  }
  if (decision == RetryDecision::kResend) {
    if (this->CancelIfClientGone()) {
      return;
    }
    std::optional<Attempt> failed = std::exchange(this->attempt, std::nullopt);
    const std::string body_of_failed = this->buffered;
    const bool uses_retry_budget =
        this->sends > 0 && !unreached && !failed->retry_taken;
    const bool resent =
        !this->CrashesServers(now) && this->TryServer(uses_retry_budget);
    std::optional<Attempt> next =
        std::exchange(this->attempt, std::move(failed));
    if (resent) {
      this->ReleaseAttempt();
      this->attempt = std::move(next);
      return;
    }
    this->buffered = body_of_failed;
    decision = serving::DecideAfterFailure(facts, false);
  }
  switch (decision) {
    case RetryDecision::kForward:
      this->ForwardBuffered();
      return;
    case RetryDecision::kAbort:
      this->AbortClient(FailureName(failure));
      return;
    case RetryDecision::kAnswerNotRun:
      if (paused) {
        this->RefuseWithoutServer();
        return;
      }
      this->Refuse(503, kRetryAfterFull, FailureName(failure));
      return;
    case RetryDecision::kAnswerUnknown:
    case RetryDecision::kResend:
      this->Refuse(502, std::nullopt, FailureName(failure));
      return;
  }
}

}  // namespace boragewharf::relay
