/**
 * @file ledger_client_base.cc
 * Claims and outcomes: finds the owner, retries, releases unused claims.
 */
#include "daemon/ledger_client_base.h"

#include <algorithm>
#include <future>
#include <thread>

#include "base/body_func.h"
#include "base/result_func.h"
#include "ledger/shard_func.h"

namespace boragewharf::daemon {

namespace {

using ledger::ClaimVerdict;
using ledger::OutcomeVerdict;

/** Bound on one call to the owner: its own bound of 2 s and the network. */
constexpr Duration kCallTimeout = std::chrono::milliseconds(2500);

/** Between two tries while the owner changes. */
constexpr auto kRetryDelay = std::chrono::milliseconds(100);

/** Outcomes are reported again for this long. */
constexpr Duration kReportTime = std::chrono::seconds(5);

/** An unused claim is released for this long, then it stays unresolved. */
constexpr Duration kReleaseTime = std::chrono::minutes(2);

constexpr auto kReleaseDelay = std::chrono::seconds(1);

constexpr size_t kReleaseThreads = 2;

/** Where the owner of a shard is. */
struct OwnerLocation {
  bool is_self = false;
  MemberId member;
  Endpoint address;
};

std::optional<OwnerLocation> FindOwner(const MemberDirectory& directory,
                                       ShardId shard,
                                       MemberId self) {
  const std::optional<MemberId> owner = ledger::OwnerOf(shard, directory.ids);
  if (!owner) {
    return Fail(ResultCode::kLedgerUnavailable, "no live member");
  }
  const membership::Member* member = directory.Find(*owner);
  return OwnerLocation{*owner == self, *owner, member->peer_address};
}

/** Whether another try can bring a different verdict. */
bool IsTransient(ClaimVerdict verdict) {
  return verdict == ClaimVerdict::kNotOwner;
}

}  // namespace

LedgerClient::LedgerClient(MemberId member,
                           uint32_t shards,
                           ControlLoop& control_loop,
                           LedgerCalls& ledger_calls,
                           DirectoryHolder& member_directory,
                           PeerClient& peer_client,
                           CounterRegistry& counters)
    : self(member),
      shard_count(shards),
      loop(control_loop),
      calls(ledger_calls),
      directory(member_directory),
      peers(peer_client),
      claims_total(counters.Get("ledger_claims_total")),
      releases_failed(counters.Get("ledger_releases_failed_total")),
      release_tasks(kReleaseThreads) {}

std::optional<ledger::ClaimResult> LedgerClient::Claim(
    const ledger::ClaimRequest& request,
    TimePoint deadline) {
  this->claims_total.Add();
  std::optional<ledger::ClaimResult> result;
  while (BootClock::now() < deadline) {
    result = this->ClaimOnce(request, deadline);
    if (result && !IsTransient(result->verdict)) {
      break;
    }
    std::this_thread::sleep_for(kRetryDelay);
  }
  if (!result || IsTransient(result->verdict) ||
      result->verdict == ClaimVerdict::kUnavailable) {
    // The claim may have been committed although no grant arrived.
    this->ReleaseLater(request);
  }
  return result;
}

std::optional<ledger::ClaimResult> LedgerClient::ClaimOnce(
    const ledger::ClaimRequest& request,
    TimePoint deadline) {
  const ShardId shard = ledger::ShardOf(request.key, this->shard_count);
  const auto owner = FindOwner(*this->directory.Get(), shard, this->self);
  if (!owner) {
    return std::nullopt;
  }
  if (owner->is_self) {
    return this->ClaimHere(request, deadline);
  }
  const Duration timeout =
      std::min<Duration>(kCallTimeout, deadline - BootClock::now());
  const auto reply =
      this->peers.Call(owner->address, MessageType::kClaim, EncodeBody(request),
                       timeout, owner->member);
  if (!reply) {
    return std::nullopt;
  }
  return DecodeBody<ledger::ClaimResult>(reply->body);
}

std::optional<ledger::ClaimResult> LedgerClient::ClaimHere(
    const ledger::ClaimRequest& request,
    TimePoint deadline) {
  auto answer = std::make_shared<std::promise<ledger::ClaimResult>>();
  std::future<ledger::ClaimResult> future = answer->get_future();
  const uint64_t call =
      this->calls.claims.Add([answer](const ledger::ClaimResult& result) {
        answer->set_value(result);
      });
  this->loop.Post(ledger::LedgerEvent(ledger::ClaimRequested{
      ledger::CallId{call}, request, deadline, WallNow()}));
  if (future.wait_for(kCallTimeout) != std::future_status::ready) {
    return Fail(ResultCode::kLedgerUnavailable, "no verdict in time");
  }
  return future.get();
}

bool LedgerClient::Report(const ledger::OutcomeReport& report) {
  const TimePoint give_up = BootClock::now() + kReportTime;
  while (BootClock::now() < give_up) {
    const std::optional<OutcomeVerdict> verdict = this->ReportOnce(report);
    if (verdict == OutcomeVerdict::kRecorded ||
        verdict == OutcomeVerdict::kNotHeld) {
      return verdict == OutcomeVerdict::kRecorded;
    }
    std::this_thread::sleep_for(kRetryDelay);
  }
  Fail(ResultCode::kLedgerUnavailable, "outcome not recorded in time");
  return false;
}

std::optional<OutcomeVerdict> LedgerClient::ReportOnce(
    const ledger::OutcomeReport& report) {
  const ShardId shard = ledger::ShardOf(report.key, this->shard_count);
  const auto owner = FindOwner(*this->directory.Get(), shard, this->self);
  if (!owner) {
    return std::nullopt;
  }
  if (owner->is_self) {
    return this->ReportHere(report);
  }
  const auto reply =
      this->peers.Call(owner->address, MessageType::kOutcomeReport,
                       EncodeBody(report), kCallTimeout, owner->member);
  if (!reply) {
    return std::nullopt;
  }
  const auto verdict = DecodeBody<uint8_t>(reply->body);
  if (!verdict) {
    return std::nullopt;
  }
  return static_cast<OutcomeVerdict>(*verdict);
}

std::optional<OutcomeVerdict> LedgerClient::ReportHere(
    const ledger::OutcomeReport& report) {
  auto answer = std::make_shared<std::promise<OutcomeVerdict>>();
  std::future<OutcomeVerdict> future = answer->get_future();
  const uint64_t call = this->calls.outcomes.Add(
      [answer](OutcomeVerdict verdict) { answer->set_value(verdict); });
  this->loop.Post(ledger::LedgerEvent(
      ledger::OutcomeReported{ledger::CallId{call}, report, WallNow()}));
  if (future.wait_for(kCallTimeout) != std::future_status::ready) {
    return Fail(ResultCode::kLedgerUnavailable, "not recorded in time");
  }
  return future.get();
}

void LedgerClient::ReleaseLater(const ledger::ClaimRequest& request) {
  const TimePoint give_up = BootClock::now() + kReleaseTime;
  if (!this->release_tasks.Submit(
          [this, request, give_up] { this->Release(request, give_up); })) {
    this->releases_failed.Add();
  }
}

void LedgerClient::Release(const ledger::ClaimRequest& request,
                           TimePoint give_up) {
  ledger::OutcomeReport report;
  report.claim = request.claim;
  report.key = request.key;
  report.outcome = ledger::Outcome::kReleased;
  const auto verdict = this->ReportOnce(report);
  if (verdict == OutcomeVerdict::kRecorded ||
      verdict == OutcomeVerdict::kNotHeld) {
    return;
  }
  if (BootClock::now() > give_up) {
    this->releases_failed.Add();
    return;
  }
  std::this_thread::sleep_for(kReleaseDelay);
  this->release_tasks.Submit(
      [this, request, give_up] { this->Release(request, give_up); });
}

}  // namespace boragewharf::daemon
