/**
 * @file peer_service_base.cc
 * Handlers of peer messages.
 */
#include "daemon/peer_service_base.h"

#include "base/body_func.h"
#include "base/result_func.h"
#include "config/config_func.h"
#include "membership/membership_func.h"

namespace boragewharf::daemon {

namespace {

/**
 * A claim's deadline for the owner. The claimant's own deadline is checked
 * there; this one only has to be short enough not to be the later one.
 */
constexpr Duration kClaimTime = std::chrono::seconds(2);

void RespondMalformed(const PeerResponder& respond) {
  respond({LastReason().code, LastReason().detail});
}

}  // namespace

PeerService::PeerService(ControlLoop& control_loop,
                         LedgerCalls& ledger_calls,
                         CounterRegistry& registry,
                         Adopter adopter)
    : loop(control_loop),
      calls(ledger_calls),
      datagrams_dropped(registry.Get("peer_datagram_bodies_dropped_total")),
      adopt(std::move(adopter)) {}

std::map<MessageType, PeerHandler> PeerService::Handlers() {
  std::map<MessageType, PeerHandler> handlers;
  handlers[MessageType::kJoin] = [this](const PeerRequest& request,
                                        const PeerResponder& respond) {
    this->HandleJoin(request, respond);
  };
  handlers[MessageType::kFetchDocument] = [this](const PeerRequest&,
                                                 const PeerResponder& respond) {
    this->HandleFetchDocument(respond);
  };
  handlers[MessageType::kClaim] = [this](const PeerRequest& request,
                                         const PeerResponder& respond) {
    this->HandleClaim(request, respond);
  };
  handlers[MessageType::kOutcomeReport] = [this](const PeerRequest& request,
                                                 const PeerResponder& respond) {
    this->HandleOutcome(request, respond);
  };
  handlers[MessageType::kStreamHandover] =
      [this](const PeerRequest& request, const PeerResponder& respond) {
        this->HandleHandover(request, respond);
      };
  return handlers;
}

void PeerService::HandleDatagram(const PeerDatagram& datagram) {
  using membership::MembershipEvent;
  std::optional<MembershipEvent> event;
  if (datagram.type == MessageType::kPing) {
    if (auto ping = DecodeBody<membership::Ping>(datagram.body)) {
      event = membership::PingReceived{datagram.from, datagram.sender,
                                       datagram.incarnation, std::move(*ping)};
    }
  } else if (datagram.type == MessageType::kAck) {
    if (auto ack = DecodeBody<membership::Ack>(datagram.body)) {
      event = membership::AckReceived{datagram.from, datagram.sender,
                                      datagram.incarnation, std::move(*ack)};
    }
  } else if (datagram.type == MessageType::kPingRequest) {
    if (auto request = DecodeBody<membership::PingRequest>(datagram.body)) {
      event = membership::PingRequestReceived{datagram.from, datagram.sender,
                                              datagram.incarnation,
                                              std::move(*request)};
    }
  }
  if (!event || !this->loop.TryPost(std::move(*event))) {
    this->datagrams_dropped.Add();
  }
}

void PeerService::HandleJoin(const PeerRequest& request,
                             const PeerResponder& respond) {
  auto join = DecodeBody<membership::JoinRequest>(request.body);
  if (!join) {
    RespondMalformed(respond);
    return;
  }
  this->loop.Post(
      membership::MembershipEvent(
          membership::JoinReceived{request.sender, std::move(*join)}),
      [respond](const control::ControlState& state) {
        respond({ResultCode::kOk, EncodeBody(membership::MakeMemberTable(
                                      state.membership, BootClock::now()))});
      });
}

void PeerService::HandleFetchDocument(const PeerResponder& respond) {
  this->loop.Post(config::ConfigEvent(config::Tick{}),
                  [respond](const control::ControlState& state) {
                    respond({ResultCode::kOk, config::HeldBody(state.config)});
                  });
}

void PeerService::HandleClaim(const PeerRequest& request,
                              const PeerResponder& respond) {
  auto claim = DecodeBody<ledger::ClaimRequest>(request.body);
  if (!claim) {
    RespondMalformed(respond);
    return;
  }
  const uint64_t call =
      this->calls.claims.Add([respond](const ledger::ClaimResult& result) {
        respond({ResultCode::kOk, EncodeBody(result)});
      });
  this->loop.Post(ledger::LedgerEvent(ledger::ClaimRequested{
      ledger::CallId{call}, *claim, BootClock::now() + kClaimTime, WallNow()}));
}

void PeerService::HandleOutcome(const PeerRequest& request,
                                const PeerResponder& respond) {
  auto report = DecodeBody<ledger::OutcomeReport>(request.body);
  if (!report) {
    RespondMalformed(respond);
    return;
  }
  const uint64_t call =
      this->calls.outcomes.Add([respond](ledger::OutcomeVerdict verdict) {
        respond({ResultCode::kOk, EncodeBody(static_cast<uint8_t>(verdict))});
      });
  this->loop.Post(ledger::LedgerEvent(ledger::OutcomeReported{
      ledger::CallId{call}, std::move(*report), WallNow()}));
}

void PeerService::HandleHandover(const PeerRequest& request,
                                 const PeerResponder& respond) {
  const auto transfer = DecodeBody<traffic::StreamTransfer>(request.body);
  if (!transfer) {
    RespondMalformed(respond);
    return;
  }
  if (!this->adopt(*transfer)) {
    respond({LastReason().code, LastReason().detail});
    return;
  }
  respond({ResultCode::kOk, {}});
}

}  // namespace boragewharf::daemon
