/**
 * @file plain_relay_base.h
 * Relays calls to plain services, at most once if they carry an idempotency
 * key.
 */
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "ledger/claim_type.h"
#include "traffic/call_type.h"
#include "traffic/context_type.h"
#include "traffic/refusal_func.h"

namespace boragewharf::traffic {

/** Handles calls under /services/. Thread-safe. */
class PlainRelay {
 public:
  explicit PlainRelay(const TrafficContext& shared) : context(shared) {}

  /** Answers @p call. Blocks until the backend server has answered. */
  void Handle(const CallerCall& call) const;

 private:
  struct Job;
  struct Sent;

  void Relay(const CallerCall& call, const Job& job) const;
  void RelayUnkeyed(const CallerCall& call, const Job& job) const;
  void RelayKeyed(const CallerCall& call, const Job& job) const;
  void RunClaimed(const CallerCall& call,
                  const Job& job,
                  const ledger::ClaimRequest& claim,
                  TimePoint send_deadline) const;
  Sent Send(const CallerCall& call,
            const Job& job,
            const backend::BackendServer& server,
            bool fresh) const;
  void Report(const ledger::ClaimRequest& claim,
              ledger::Outcome outcome,
              ledger::StoredAnswer answer) const;
  void AnswerWith(const CallerCall& call, httplib::Response answer) const;
  void AnswerReplay(const CallerCall& call,
                    const ledger::StoredAnswer& answer) const;
  void Refuse(const CallerCall& call, const Refusal& refusal) const;

  const TrafficContext& context;
};

}  // namespace boragewharf::traffic
