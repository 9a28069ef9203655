/**
 * @file config_write_func.cc
 * Writes of the document, and acceptance of the staged ticket.
 */
#include <utility>

#include "base/digest_func.h"
#include "base/rendezvous_func.h"
#include "config/config_func.h"
#include "config/document_cmd.h"
#include "config_step.h"

namespace boragewharf::config {

namespace {

/** Between a write that did not take effect and the next one. */
constexpr Duration kWriteDelay = std::chrono::milliseconds(400);
/**
 * Members that take over draw their turn from this span per member, so that a
 * large fleet does not write all at once.
 */
constexpr Duration kTakeoverSpreadPerMember = std::chrono::milliseconds(5);

std::string NewWriteId(ConfigState& state) {
  const uint64_t parts[] = {state.self.value, state.random()};
  return HexEncode(
      std::span(reinterpret_cast<const uint8_t*>(parts), sizeof(parts)));
}

bool IsCoordinator(const ConfigState& state) {
  std::vector<MemberId> members = {state.self};
  for (const ObservedMember& member : state.members.live) {
    members.push_back(member.id);
  }
  return RendezvousOwner(kCoordinatorDuty, members) == state.self;
}

Duration TakeoverWait(ConfigState& state) {
  const Duration spread =
      kTakeoverSpreadPerMember * (state.members.live.size() + 1);
  std::uniform_int_distribution<Duration::rep> turn(0, spread.count());
  return kTakeoverDelay + Duration(turn(state.random));
}

/** Whether this member may write the acceptance now. */
bool IsTurn(ConfigStep& step) {
  ConfigState& state = step.state;
  if (!state.takeover_at) {
    state.takeover_at = step.now + TakeoverWait(state);
  }
  return IsCoordinator(state) || step.now >= *state.takeover_at;
}

/** The ticket may be staged; only a later document tells. */
void MarkUnknown(ConfigState& state, const PendingWrite& write) {
  if (write.kind != WriteKind::kStage) {
    return;
  }
  const uint64_t base = Position(write.document) - 1;
  for (PendingTicket& pending : state.tickets) {
    if (pending.digest == write.digest) {
      pending.unknown_base = base;
    }
  }
}

std::optional<PendingWrite> TakeWrite(ConfigState& state,
                                      const std::string& write_id) {
  if (!state.write || state.write->write_id != write_id) {
    return std::nullopt;
  }
  return std::exchange(state.write, std::nullopt);
}

}  // namespace

void StartWrite(ConfigStep& step, WriteKind kind, Document after) {
  ConfigState& state = step.state;
  PendingWrite write;
  write.kind = kind;
  write.write_id = NewWriteId(state);
  write.digest =
      after.staged ? after.staged->record.digest : after.tickets.back().digest;
  std::string body = SerializeDocument(after, write.write_id);
  write.document = std::move(after);
  step.effects.emplace_back(
      WriteDocument{*state.sync.version, write.write_id, std::move(body)});
  state.write = std::move(write);
}

void OnStoreWritten(ConfigStep& step, const StoreWritten& event) {
  ConfigState& state = step.state;
  std::optional<PendingWrite> write = TakeWrite(state, event.write_id);
  if (!write) {
    return;
  }
  ++(write->kind == WriteKind::kStage ? state.counters.tickets_staged
                                      : state.counters.tickets_accepted);
  Adopt(step, std::move(write->document), event.version);
}

void OnStoreWriteFailed(ConfigStep& step, const StoreWriteFailed& event) {
  ConfigState& state = step.state;
  const std::optional<PendingWrite> write = TakeWrite(state, event.write_id);
  if (!write) {
    return;
  }
  state.sync.next_write = step.now + Jittered(state, kWriteDelay);
  switch (event.code) {
    case ResultCode::kStoreBusy:
      return;
    case ResultCode::kStoreUnavailable:
      if (write->kind == WriteKind::kStage) {
        RefuseUnstaged(step, event.code);
      }
      RequireRead(step);
      return;
    case ResultCode::kStoreConflict:
    case ResultCode::kStoreNotFound:
      ++state.counters.write_conflicts;
      RequireRead(step);
      return;
    default:
      ++state.counters.unknown_writes;
      MarkUnknown(state, *write);
      RequireRead(step);
      return;
  }
}

void AdvanceAcceptance(ConfigStep& step) {
  ConfigState& state = step.state;
  if (!state.document.staged) {
    return;
  }
  const AcceptanceInputs inputs = MakeAcceptanceInputs(state, step.now);
  if (DecideAcceptance(inputs) != AcceptanceDecision::kAccept) {
    state.takeover_at.reset();
    return;
  }
  if (!IsTurn(step)) {
    return;
  }
  WantVersion(step);
  if (!MayWrite(step)) {
    return;
  }
  Document after = state.document;
  CmdAcceptStaged(after, CommandMode::kExecute);
  StartWrite(step, WriteKind::kAccept, std::move(after));
}

}  // namespace boragewharf::config
