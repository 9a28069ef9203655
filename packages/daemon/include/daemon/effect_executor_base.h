/**
 * @file effect_executor_base.h
 * Carries out the effects of the control reducer.
 */
#pragma once

#include <functional>
#include <span>
#include <string_view>

#include "daemon/call_table_base.h"
#include "daemon/control_loop_base.h"
#include "daemon/ledger_client_base.h"
#include "daemon/snapshot_publisher_base.h"
#include "daemon/task_pool_base.h"
#include "peer/peer_client_base.h"
#include "peer/udp_socket_base.h"
#include "store/object_store_base.h"

namespace boragewharf::daemon {

/** Everything that effects act on; all outlive the executor. */
struct ExecutorParts {
  ControlLoop& loop;
  ObjectStore& store;
  UdpSocket& udp;
  PeerClient& peers;
  TaskPool& store_tasks;
  TaskPool& peer_tasks;
  LedgerCalls& ledger_calls;
  CallTable<config::AnswerTicket>& tickets;
  SnapshotPublisher& publisher;
  CounterRegistry& counters;
  /// Called when this instance has a reclaim notice.
  std::function<void(TimePoint)> on_reclaim;
};

/** Executes effects; blocking calls go to task pools. */
class EffectExecutor : public EffectHandler {
 public:
  explicit EffectExecutor(ExecutorParts executor_parts)
      : parts(std::move(executor_parts)) {}

  void Handle(const control::ControlState& state,
              std::span<const control::Effect> effects) override;

 private:
  /** Runs a blocking call to the store and posts the event it returns. */
  template <class Call>
  void SubmitStoreCall(Call call);

  void Execute(const control::ControlState& state,
               const membership::MembershipEffect& effect);
  void Execute(const control::ControlState& state,
               const config::ConfigEffect& effect);
  void Execute(const control::ControlState& state,
               const ledger::LedgerEffect& effect);
  void Execute(const control::ControlState& state,
               const lease::LeaseEffect& effect);
  void Execute(const control::ControlState& state,
               const backend::BackendEffect& effect);

  void Run(const control::ControlState&,
           const membership::SendDatagram& effect);
  void Run(const control::ControlState&, const membership::FetchTable& effect);
  void Run(const control::ControlState&,
           const membership::MemberChanged& effect);
  void Run(const control::ControlState&,
           const membership::MemberForgotten& effect);
  void Run(const control::ControlState&,
           const membership::MessageRefused& effect);
  void Run(const control::ControlState&, const config::ReadDocument& effect);
  void Run(const control::ControlState&, const config::WriteDocument& effect);
  void Run(const control::ControlState& state,
           const config::FetchFromPeer& effect);
  void Run(const control::ControlState&, const config::AnswerTicket& effect);
  void Run(const control::ControlState&,
           const config::HeldRevisionChanged& effect);
  void Run(const control::ControlState&, const ledger::ReadShard& effect);
  void Run(const control::ControlState&, const ledger::WriteShard& effect);
  void Run(const control::ControlState&, const ledger::WriteSegment& effect);
  void Run(const control::ControlState&, const ledger::RemoveSegment& effect);
  void Run(const control::ControlState&, const ledger::AnswerClaim& effect);
  void Run(const control::ControlState&, const ledger::AnswerOutcome& effect);
  void Run(const control::ControlState&, const lease::ReadLease& effect);
  void Run(const control::ControlState&, const lease::WriteLease& effect);
  void Run(const control::ControlState&, const lease::DutyChanged& effect);
  void Run(const control::ControlState&, const backend::StatusChanged& effect);
  void Run(const control::ControlState& state,
           const backend::ProbeServer& effect);

  /** Effects that need no execution here. */
  template <class Other>
  void Run(const control::ControlState&, const Other&) {}

  ExecutorParts parts;
};

}  // namespace boragewharf::daemon
