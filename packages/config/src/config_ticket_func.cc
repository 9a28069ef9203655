/**
 * @file config_ticket_func.cc
 * Submitted tickets, from their arrival to their answer.
 */
#include <algorithm>

#include "base/result_func.h"
#include "config/config_func.h"
#include "config/document_cmd.h"
#include "config/ticket_func.h"
#include "config_step.h"

namespace boragewharf::config {

namespace {

AnswerTicket Refusal(SubmissionId submission,
                     ResultCode code,
                     std::string detail) {
  AnswerTicket answer;
  answer.submission = submission;
  answer.code = code;
  answer.detail = std::move(detail);
  return answer;
}

void Send(ConfigStep& step, AnswerTicket answer) {
  const bool refused = answer.code != ResultCode::kOk &&
                       answer.code != ResultCode::kTicketPending;
  step.state.counters.tickets_refused += refused ? 1 : 0;
  step.effects.emplace_back(std::move(answer));
}

AnswerTicket AcceptedAnswer(const ConfigState& state,
                            const PendingTicket& pending) {
  AnswerTicket answer;
  answer.submission = pending.submission;
  const auto record = std::ranges::find(
      state.document.tickets, pending.ticket.number, &TicketRecord::number);
  answer.revision = record->revision;
  return answer;
}

AnswerTicket PendingAnswer(const ConfigState& state,
                           const PendingTicket& pending) {
  AnswerTicket answer;
  answer.submission = pending.submission;
  answer.code = ResultCode::kTicketPending;
  answer.revision = state.document.staged->record.revision;
  answer.waiting_for = WaitingFor(state);
  answer.detail = answer.waiting_for.empty()
                      ? "waiting for serving leases to expire or the store"
                      : "waiting for members to hold the revision";
  return answer;
}

AnswerTicket CommandAnswer(const PendingTicket& pending,
                           const CommandResult& result) {
  AnswerTicket answer = Refusal(pending.submission, result.code, result.detail);
  answer.conflict = result.other;
  return answer;
}

/** Answer of a ticket that could not be staged within the bound. */
AnswerTicket LateAnswer(const ConfigState& state,
                        const PendingTicket& pending) {
  const bool in_flight = state.write && state.write->digest == pending.digest;
  if (pending.unknown_base || in_flight) {
    return Refusal(pending.submission, ResultCode::kStoreUnknown,
                   "the ticket may be staged; file it again unchanged, with "
                   "the same number, to learn its state");
  }
  return Refusal(pending.submission, ResultCode::kStoreBusy,
                 "nothing was written for this submission in time");
}

/** Forgets an unknown outcome that a later document has resolved. */
void ResolveOutcome(const ConfigState& state, PendingTicket& pending) {
  if (pending.unknown_base &&
      Position(state.document) > *pending.unknown_base) {
    pending.unknown_base.reset();
  }
}

/** Tests and stages a ticket, or returns the refusal. */
std::optional<AnswerTicket> Stage(ConfigStep& step,
                                  const PendingTicket& pending) {
  const Document& held = step.state.document;
  Document after = held;
  const CommandResult result =
      CmdStageTicket(after, pending.ticket, CommandMode::kTest);
  if (result.code != ResultCode::kOk) {
    return CommandAnswer(pending, result);
  }
  CmdStageTicket(after, pending.ticket, CommandMode::kExecute);
  StartWrite(step, WriteKind::kStage, std::move(after));
  return std::nullopt;
}

/** A ticket that the held document does not contain. */
std::optional<AnswerTicket> AdvanceUnstaged(ConfigStep& step,
                                            const PendingTicket& pending) {
  const ConfigState& state = step.state;
  if (step.now - pending.submitted >= kAnswerBound) {
    return LateAnswer(state, pending);
  }
  if (!pending.store_read || state.write) {
    return std::nullopt;
  }
  if (state.sync.unusable != ResultCode::kOk && !pending.unknown_base) {
    return Refusal(pending.submission, state.sync.unusable, "");
  }
  WantVersion(step);
  if (!MayWrite(step)) {
    return std::nullopt;
  }
  return Stage(step, pending);
}

std::optional<AnswerTicket> AdvanceTicket(ConfigStep& step,
                                          PendingTicket& pending) {
  const ConfigState& state = step.state;
  ResolveOutcome(state, pending);
  switch (FindTicket(state.document, pending.ticket.number, pending.digest)) {
    case TicketStanding::kAccepted:
      return AcceptedAnswer(state, pending);
    case TicketStanding::kStaged:
      if (step.now - pending.submitted >= kAnswerBound) {
        return PendingAnswer(state, pending);
      }
      return std::nullopt;
    case TicketStanding::kOtherUsed: {
      AnswerTicket answer =
          Refusal(pending.submission, ResultCode::kTicketNumberUsed,
                  "number " + std::to_string(pending.ticket.number.value));
      answer.conflict = pending.ticket.number;
      return answer;
    }
    case TicketStanding::kUnknown:
      return AdvanceUnstaged(step, pending);
  }
  return std::nullopt;
}

/** Reads a ticket with all its faults, or answers it. */
std::optional<Ticket> Admit(ConfigStep& step, const TicketSubmitted& event) {
  std::vector<JsonFault> faults;
  std::optional<Ticket> ticket = ParseTicket(event.body, faults);
  if (!ticket) {
    Send(step, Refusal(event.submission, LastReason().code, ToString(faults)));
    return std::nullopt;
  }
  if (!faults.empty()) {
    CheckReferences(step.state.document.accepted, *ticket, faults);
    Send(step, Refusal(event.submission, ResultCode::kTicketInvalid,
                       ToString(faults)));
    return std::nullopt;
  }
  return ticket;
}

/** Base of an earlier write of the same ticket without a known outcome. */
std::optional<uint64_t> UnknownBase(const ConfigState& state,
                                    const std::string& digest) {
  for (const PendingTicket& pending : state.tickets) {
    if (pending.digest == digest && pending.unknown_base) {
      return pending.unknown_base;
    }
  }
  return std::nullopt;
}

}  // namespace

void OnTicketSubmitted(ConfigStep& step, const TicketSubmitted& event) {
  ConfigState& state = step.state;
  if (state.tickets.size() >= kMaxPendingTickets) {
    Send(step, Refusal(event.submission, ResultCode::kOverloaded,
                       "too many tickets wait for an answer"));
    return;
  }
  std::optional<Ticket> ticket = Admit(step, event);
  if (!ticket) {
    return;
  }
  PendingTicket pending;
  pending.submission = event.submission;
  pending.digest = TicketDigest(*ticket);
  pending.ticket = std::move(*ticket);
  pending.submitted = step.now;
  pending.unknown_base = UnknownBase(state, pending.digest);
  state.tickets.push_back(std::move(pending));
  state.sync.next_read = step.now;
}

void RefuseUnstaged(ConfigStep& step, ResultCode code) {
  ConfigState& state = step.state;
  std::erase_if(state.tickets, [&](const PendingTicket& pending) {
    const bool in_flight = state.write && state.write->digest == pending.digest;
    const bool held = FindTicket(state.document, pending.ticket.number,
                                 pending.digest) == TicketStanding::kStaged;
    if (pending.unknown_base || in_flight || held) {
      return false;
    }
    Send(step, Refusal(pending.submission, code,
                       "nothing was written for this submission"));
    return true;
  });
}

void AdvanceTickets(ConfigStep& step) {
  std::vector<PendingTicket> remaining;
  for (PendingTicket& pending : step.state.tickets) {
    std::optional<AnswerTicket> answer = AdvanceTicket(step, pending);
    if (answer) {
      Send(step, std::move(*answer));
      continue;
    }
    remaining.push_back(std::move(pending));
  }
  step.state.tickets = std::move(remaining);
}

bool TicketsNeedRead(const ConfigState& state) {
  return std::ranges::any_of(state.tickets, [](const PendingTicket& pending) {
    return !pending.store_read;
  });
}

bool TicketsUnresolved(const ConfigState& state) {
  return std::ranges::any_of(state.tickets, [](const PendingTicket& pending) {
    return pending.unknown_base.has_value();
  });
}

}  // namespace boragewharf::config
