/**
 * @file document_cmd.cc
 * Commands that change a document.
 */
#include "config/document_cmd.h"

#include <algorithm>

#include "config/configuration_func.h"
#include "config/document_json_func.h"
#include "config/ticket_func.h"

namespace boragewharf::config {

namespace {

CommandResult Conflict(const ObjectName& object,
                       const Origin& origin,
                       std::string_view verb) {
  return {ResultCode::kTicketConflict,
          "ticket " + std::to_string(origin.ticket.value) + " " +
              std::string(verb) + " " + ToString(object) + " in revision " +
              std::to_string(origin.revision.value),
          origin.ticket};
}

CommandResult TestNumber(const Document& document, const Ticket& ticket) {
  const std::string digest = TicketDigest(ticket);
  if (FindTicket(document, ticket.number, digest) ==
      TicketStanding::kOtherUsed) {
    return {ResultCode::kTicketNumberUsed,
            "number " + std::to_string(ticket.number.value), ticket.number};
  }
  return {};
}

CommandResult TestBase(const Document& document, const Ticket& ticket) {
  const ConfigRevision held = HeldRevision(document);
  if (ticket.base > held) {
    return {ResultCode::kTicketInvalid,
            "$.base: found " + std::to_string(ticket.base.value) +
                ", allowed: at most the current revision " +
                std::to_string(document.accepted.revision.value),
            std::nullopt};
  }
  // Removals are remembered only as long as their tickets.
  if (document.tickets.size() >= kMaxTicketRecords &&
      ticket.base.value + 1 < document.tickets.front().revision.value) {
    return {ResultCode::kTicketConflict,
            "changes before revision " +
                std::to_string(document.tickets.front().revision.value) +
                " are no longer remembered",
            document.tickets.front().number};
  }
  return {};
}

CommandResult TestConflicts(const Document& document, const Ticket& ticket) {
  const Configuration& newest =
      document.staged ? document.staged->configuration : document.accepted;
  for (const ObjectName& object : TouchedObjects(ticket)) {
    const std::optional<Origin> change = LastChange(newest, object);
    if (!change || change->revision <= ticket.base) {
      continue;
    }
    const bool staged = change->revision > document.accepted.revision;
    return Conflict(object, *change, staged ? "is changing" : "changed");
  }
  return {};
}

CommandResult TestNoneStaged(const Document& document) {
  if (!document.staged) {
    return {};
  }
  const TicketNumber other = document.staged->record.number;
  return {ResultCode::kTicketStaged,
          "ticket " + std::to_string(other.value) + " is staged", other};
}

CommandResult TestReferences(const Document& document, const Ticket& ticket) {
  std::vector<JsonFault> faults;
  CheckReferences(document.accepted, ticket, faults);
  if (faults.empty()) {
    return {};
  }
  return {ResultCode::kTicketInvalid, ToString(faults), std::nullopt};
}

StagedTicket MakeStaged(const Document& document, const Ticket& ticket) {
  StagedTicket staged;
  staged.configuration = Applied(document.accepted, ticket);
  staged.record = {ticket.number, TicketDigest(ticket),
                   staged.configuration.revision, Summarize(ticket)};
  return staged;
}

CommandResult TestSize(const Document& document, const Ticket& ticket) {
  const size_t size = SerializedSize(Applied(document.accepted, ticket));
  if (size <= kMaxConfigurationBytes) {
    return {};
  }
  return {ResultCode::kConfigurationTooLarge,
          std::to_string(size) + " bytes, allowed: at most " +
              std::to_string(kMaxConfigurationBytes),
          std::nullopt};
}

CommandResult TestStageTicket(const Document& document, const Ticket& ticket) {
  constexpr CommandResult (*kTests[])(const Document&, const Ticket&) = {
      &TestNumber,
      &TestBase,
      &TestConflicts,
      [](const Document& staged, const Ticket&) {
        return TestNoneStaged(staged);
      },
      &TestReferences,
      &TestSize};
  for (const auto test : kTests) {
    CommandResult result = test(document, ticket);
    if (result.code != ResultCode::kOk) {
      return result;
    }
  }
  return {};
}

void ForgetOldTickets(Document& document) {
  std::vector<TicketRecord>& tickets = document.tickets;
  if (tickets.size() <= kMaxTicketRecords) {
    return;
  }
  tickets.erase(tickets.begin(),
                tickets.end() - static_cast<ptrdiff_t>(kMaxTicketRecords));
  const ConfigRevision oldest = tickets.front().revision;
  std::erase_if(document.accepted.removed, [oldest](const auto& entry) {
    return entry.second.revision < oldest;
  });
}

}  // namespace

TicketStanding FindTicket(const Document& document,
                          TicketNumber number,
                          std::string_view digest) {
  if (document.staged && document.staged->record.number == number) {
    return document.staged->record.digest == digest
               ? TicketStanding::kStaged
               : TicketStanding::kOtherUsed;
  }
  const auto found =
      std::ranges::find(document.tickets, number, &TicketRecord::number);
  if (found == document.tickets.end()) {
    return TicketStanding::kUnknown;
  }
  return found->digest == digest ? TicketStanding::kAccepted
                                 : TicketStanding::kOtherUsed;
}

CommandResult CmdStageTicket(Document& document,
                             const Ticket& ticket,
                             CommandMode mode) {
  CommandResult result = TestStageTicket(document, ticket);
  if (result.code != ResultCode::kOk || mode == CommandMode::kTest) {
    return result;
  }
  document.staged = MakeStaged(document, ticket);
  return result;
}

CommandResult CmdAcceptStaged(Document& document, CommandMode mode) {
  if (!document.staged) {
    return {ResultCode::kTicketUnknown, "no ticket is staged", std::nullopt};
  }
  if (mode == CommandMode::kTest) {
    return {};
  }
  document.tickets.push_back(document.staged->record);
  document.accepted = std::move(document.staged->configuration);
  document.staged.reset();
  ForgetOldTickets(document);
  return {};
}

}  // namespace boragewharf::config
