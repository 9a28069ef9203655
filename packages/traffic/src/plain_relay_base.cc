/**
 * @file plain_relay_base.cc
 * Calls to plain services.
 */
#include "traffic/plain_relay_base.h"

#include <algorithm>
#include <array>
#include <utility>
#include <vector>

#include "base/result_func.h"
#include "base/scope_guard.h"
#include "traffic/caller_server_base.h"
#include "traffic/header_func.h"
#include "traffic/server_choice_func.h"

namespace boragewharf::traffic {

namespace {

constexpr std::string_view kServicesPrefix = "/services/";
constexpr size_t kMaxKeyBytes = 255;
constexpr size_t kMaxStoredAnswerBytes = 16384;

bool IsIdempotentMethod(std::string_view method) {
  constexpr std::array<std::string_view, 4> kMethods{"GET", "HEAD", "PUT",
                                                     "DELETE"};
  return std::ranges::find(kMethods, method) != kMethods.end();
}

bool IsSafeMethod(std::string_view method) {
  return method == "GET" || method == "HEAD";
}

bool IsValidKey(std::string_view key) {
  const auto is_printable = [](char c) { return c > ' ' && c < '\x7f'; };
  return !key.empty() && key.size() <= kMaxKeyBytes &&
         std::ranges::all_of(key, is_printable);
}

Digest DigestOf(std::initializer_list<std::string_view> parts) {
  return Sha256(std::span(parts.begin(), parts.size()));
}

}  // namespace

/** What is to be sent. */
struct PlainRelay::Job {
  const config::Service& service;
  std::string_view path;           ///< After the service's name, with query.
  std::optional<std::string> key;  ///< Idempotency key.
  Digest request_digest{};         ///< Of method, path and body.
  Digest fingerprint{};            ///< Of customer and request.
  TimePoint deadline;              ///< Latest end.
};

/** How one sending ended. */
struct PlainRelay::Sent {
  bool answered = false;     ///< A complete answer arrived.
  bool not_run = false;      ///< Provably nothing was sent.
  bool silent = false;       ///< No byte within the silence bound.
  bool stale = false;        ///< A kept connection turned out closed.
  std::string detail;        ///< Specifics of a failure.
  httplib::Response answer;  ///< If answered.
};

void PlainRelay::Handle(const CallerCall& call) const {
  std::string_view target = call.request.target;
  target.remove_prefix(std::min(kServicesPrefix.size(), target.size()));
  const size_t name_end = std::min(target.find_first_of("/?"), target.size());
  const std::string name(target.substr(0, name_end));
  const auto& services = call.snapshot->configuration->services;
  const auto service = services.find(name);
  if (service == services.end() ||
      service->second.type != config::ServiceType::kPlain) {
    this->Refuse(call, {ResultCode::kUnknownService, {}, std::nullopt});
    return;
  }
  Job job{service->second, target.substr(name_end), std::nullopt, {}, {}, {}};
  job.deadline = call.received + job.service.deadline;
  const size_t keys = call.request.get_header_value_count("Idempotency-Key");
  if (keys > 0) {
    job.key = call.request.get_header_value("Idempotency-Key");
  }
  if (keys > 1 || (job.key && !IsValidKey(*job.key))) {
    this->Refuse(call, {ResultCode::kInvalidIdempotencyKey, {}, std::nullopt});
    return;
  }
  if (!job.key && job.service.require_idempotency_key &&
      !IsSafeMethod(call.request.method)) {
    this->Refuse(call, {ResultCode::kIdempotencyKeyRequired, {}, std::nullopt});
    return;
  }
  job.request_digest =
      DigestOf({call.request.method, job.path, call.request.body});
  job.fingerprint = DigestOf({call.customer->name, name, call.request.method,
                              job.path, call.request.body});
  if (call.snapshot->convicted.contains(job.fingerprint)) {
    this->Refuse(call, {ResultCode::kRequestCrashesServers, {}, std::nullopt});
    return;
  }
  this->Relay(call, job);
}

void PlainRelay::Relay(const CallerCall& call, const Job& job) const {
  const AdmissionRequest admission{*call.customer, job.service.name, 0,
                                   job.deadline};
  if (!this->context.providers.admission.Enter(admission)) {
    this->Refuse(call, LastRefusal());
    return;
  }
  const ScopeGuard leave(
      [&] { this->context.providers.admission.Leave(admission); });
  this->context.counters.plain_requests.Add();
  this->context.providers.retries.CountRequest();
  if (job.key) {
    this->context.counters.keyed_requests.Add();
    this->RelayKeyed(call, job);
  } else {
    this->RelayUnkeyed(call, job);
  }
}

void PlainRelay::RelayUnkeyed(const CallerCall& call, const Job& job) const {
  std::vector<std::string> excluded;
  Refusal refusal{ResultCode::kNoBackendServer, {}, std::nullopt};
  bool may_have_run = false;
  for (uint32_t tries = 0; tries <= job.service.max_retries; ++tries) {
    if (tries > 0 && BootClock::now() >= job.deadline) {
      break;
    }
    const SnapshotPtr snapshot = this->context.providers.snapshots.Get();
    const backend::BackendServer* server = ChooseServer(
        this->context, *snapshot, job.service.name, excluded, 0, 0);
    if (server == nullptr) {
      break;
    }
    // A kept connection may be closed by the server just when it is used, which
    // leaves the outcome open; only idempotent calls can be repeated then.
    // After a failure, other kept connections may have failed too.
    const bool repeatable = IsIdempotentMethod(call.request.method);
    Sent sent = this->Send(call, job, *server, !repeatable || tries > 0);
    if (sent.stale) {
      sent = this->Send(call, job, *server, true);
    }
    if (sent.answered) {
      this->AnswerWith(call, std::move(sent.answer));
      return;
    }
    excluded.push_back(server->instance);
    may_have_run |= !sent.not_run;
    refusal.detail = sent.detail;
    refusal.code = ResultCode::kBackendFailed;
    if (sent.not_run) {
      refusal.code = ResultCode::kBackendUnreachable;
    } else if (sent.silent) {
      refusal.code = ResultCode::kBackendSilent;
    }
    if (!sent.not_run && !repeatable) {
      break;
    }
    const RetryKind kind =
        sent.not_run ? RetryKind::kNotRun : RetryKind::kAfterFailure;
    if (tries < job.service.max_retries &&
        !this->context.providers.retries.MayRetry(kind)) {
      refusal.code = ResultCode::kRetryBudgetSpent;
      break;
    }
  }
  refusal.run_state = may_have_run ? RunState::kMayHaveRun : RunState::kNotRun;
  this->Refuse(call, refusal);
}

void PlainRelay::RelayKeyed(const CallerCall& call, const Job& job) const {
  ledger::ClaimRequest claim;
  claim.claim = NewRequestId();
  claim.key = DigestOf({call.customer->name, job.service.name, *job.key});
  claim.request = job.request_digest;
  claim.claimant = this->context.options.member;
  const TimePoint send_deadline =
      BootClock::now() + this->context.options.claim_send_deadline;
  const std::optional<ledger::ClaimResult> result =
      this->context.providers.claims.Claim(
          claim, std::min(send_deadline, job.deadline));
  const ledger::ClaimVerdict verdict =
      result ? result->verdict : ledger::ClaimVerdict::kUnavailable;
  switch (verdict) {
    case ledger::ClaimVerdict::kGranted:
      this->RunClaimed(call, job, claim, send_deadline);
      return;
    case ledger::ClaimVerdict::kReplay:
      this->AnswerReplay(call, result->answer);
      return;
    case ledger::ClaimVerdict::kInFlight:
      this->Refuse(call, {ResultCode::kKeyInFlight, {}, std::nullopt});
      return;
    case ledger::ClaimVerdict::kUnresolved:
      this->Refuse(call, {ResultCode::kKeyUnresolved, {}, std::nullopt});
      return;
    case ledger::ClaimVerdict::kReused:
      this->Refuse(call, {ResultCode::kKeyReused, {}, std::nullopt});
      return;
    case ledger::ClaimVerdict::kFull:
      this->Refuse(call, {ResultCode::kLedgerFull, {}, std::nullopt});
      return;
    case ledger::ClaimVerdict::kUnavailable:
    case ledger::ClaimVerdict::kNotOwner:
      this->Refuse(call, {ResultCode::kLedgerUnavailable, {}, std::nullopt});
      return;
  }
}

void PlainRelay::RunClaimed(const CallerCall& call,
                            const Job& job,
                            const ledger::ClaimRequest& claim,
                            TimePoint send_deadline) const {
  std::vector<std::string> excluded;
  Refusal refusal{ResultCode::kNoBackendServer, {}, RunState::kNotRun};
  // Another server is tried only while provably nothing was sent.
  while (true) {
    const SnapshotPtr snapshot = this->context.providers.snapshots.Get();
    const backend::BackendServer* server = ChooseServer(
        this->context, *snapshot, job.service.name, excluded, 0, 0);
    if (server == nullptr) {
      break;
    }
    // A pause of this process since the claim shows here.
    const TimePoint now = BootClock::now();
    if (now >= send_deadline) {
      refusal.code = ResultCode::kClaimDeadlinePassed;
      break;
    }
    if (!HoldsServingLease(*snapshot, now)) {
      refusal.code = ResultCode::kServingLeaseLapsed;
      break;
    }
    Sent sent = this->Send(call, job, *server, true);
    if (sent.answered) {
      ledger::StoredAnswer stored;
      stored.status = static_cast<uint16_t>(sent.answer.status);
      stored.content_type = sent.answer.get_header_value("Content-Type");
      stored.body_kept = sent.answer.body.size() <= kMaxStoredAnswerBytes;
      stored.body = stored.body_kept ? sent.answer.body : std::string();
      this->Report(claim, ledger::Outcome::kFinished, std::move(stored));
      this->AnswerWith(call, std::move(sent.answer));
      return;
    }
    if (!sent.not_run) {
      this->Report(claim, ledger::Outcome::kUnknown, {});
      this->Refuse(call,
                   {ResultCode::kOutcomeUnknown, sent.detail, std::nullopt});
      return;
    }
    excluded.push_back(server->instance);
    refusal.code = ResultCode::kBackendUnreachable;
    refusal.detail = sent.detail;
  }
  this->Report(claim, ledger::Outcome::kReleased, {});
  this->Refuse(call, refusal);
}

PlainRelay::Sent PlainRelay::Send(const CallerCall& call,
                                  const Job& job,
                                  const backend::BackendServer& server,
                                  bool fresh) const {
  this->context.counters.attempts.Add();
  this->context.in_flight.Add(server.instance, 1);
  const ScopeGuard leave(
      [&] { this->context.in_flight.Add(server.instance, -1); });
  const auto lease = fresh ? this->context.connections.TakeFresh(server.address)
                           : this->context.connections.Take(server.address);
  httplib::Request request;
  request.method = call.request.method;
  request.path = job.path.starts_with('/') ? std::string(job.path)
                                           : "/" + std::string(job.path);
  request.headers = RequestHeaders(call.request.headers);
  request.set_header("X-Request-Id", ToString(call.id));
  request.body = call.request.body;
  Sent sent;
  std::string body;
  TimePoint last_byte = BootClock::now();
  const size_t limit = this->context.options.max_answer_bytes;
  request.content_receiver = [&](const char* data, size_t length, uint64_t,
                                 uint64_t) {
    last_byte = BootClock::now();
    body.append(data, std::min(length, limit + 1 - body.size()));
    return body.size() <= limit;
  };
  httplib::Error error = httplib::Error::Success;
  sent.answered = lease->Client().Send(request, sent.answer, error);
  BackendObservation observation{ObservationKind::kAnswered, server.instance,
                                 job.fingerprint, false};
  if (sent.answered) {
    lease->KeepOpen();
    sent.answer.body = std::move(body);
    this->context.providers.observations.Observe(observation);
    return sent;
  }
  lease->MarkFailed();
  sent.detail = httplib::to_string(error);
  sent.not_run = error == httplib::Error::Connection ||
                 error == httplib::Error::ConnectionTimeout;
  sent.silent =
      BootClock::now() - last_byte >= this->context.options.silence_bound;
  sent.stale = lease->IsReused() && !sent.silent && !sent.not_run &&
               body.empty() && sent.answer.status < 0;
  if (sent.stale) {
    return sent;
  }
  observation.kind =
      sent.silent ? ObservationKind::kSilent : ObservationKind::kBroken;
  if (sent.not_run) {
    observation.kind = ObservationKind::kConnectFailed;
  }
  const SnapshotPtr snapshot = this->context.providers.snapshots.Get();
  observation.announced =
      IsEndAnnounced(*snapshot, job.service.name, server.instance);
  this->context.providers.observations.Observe(observation);
  return sent;
}

void PlainRelay::Report(const ledger::ClaimRequest& claim,
                        ledger::Outcome outcome,
                        ledger::StoredAnswer answer) const {
  const ledger::OutcomeReport report{claim.claim, claim.key, outcome,
                                     std::move(answer)};
  if (!this->context.providers.claims.Report(report)) {
    this->context.counters.outcome_unrecorded.Add();
  }
}

void PlainRelay::AnswerWith(const CallerCall& call,
                            httplib::Response answer) const {
  const std::string content_type = answer.get_header_value("Content-Type");
  call.response.status = answer.status;
  for (auto& [name, value] : AnswerHeaders(answer.headers)) {
    call.response.set_header(name, value);
  }
  call.response.body = std::move(answer.body);
  if (!content_type.empty()) {
    call.response.set_header("Content-Type", content_type);
  }
}

void PlainRelay::AnswerReplay(const CallerCall& call,
                              const ledger::StoredAnswer& answer) const {
  call.response.status = answer.status;
  call.response.set_header("Idempotency-Replayed", "true");
  if (answer.body_kept) {
    call.response.set_content(answer.body, answer.content_type);
  } else {
    call.response.set_content(
        "{\"run_state\":\"ran\",\"message\":\"The request ran; its answer was "
        "too large to keep.\"}",
        "application/json");
  }
}

void PlainRelay::Refuse(const CallerCall& call, const Refusal& refusal) const {
  SetRefusal(call.response, refusal, this->context.providers.registry);
}

}  // namespace boragewharf::traffic
