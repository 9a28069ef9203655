/**
 * @file ledger_client_base.h
 * Claims and outcomes on behalf of traffic threads.
 */
#pragma once

#include <optional>

#include "base/counter_base.h"
#include "daemon/call_table_base.h"
#include "daemon/control_loop_base.h"
#include "daemon/member_directory_base.h"
#include "daemon/task_pool_base.h"
#include "ledger/ledger_event.h"
#include "peer/peer_client_base.h"
#include "traffic/provider_base.h"

namespace boragewharf::daemon {

/** Tables of ledger calls that the control thread answers. */
struct LedgerCalls {
  CallTable<ledger::ClaimResult> claims;
  CallTable<ledger::OutcomeVerdict> outcomes;
};

/** Asks the owner of a key's shard, here or at a peer. */
class LedgerClient : public traffic::ClaimClient {
 public:
  /** All references outlive the client. */
  LedgerClient(MemberId member,
               uint32_t shards,
               ControlLoop& control_loop,
               LedgerCalls& ledger_calls,
               DirectoryHolder& member_directory,
               PeerClient& peer_client,
               CounterRegistry& counters);

  std::optional<ledger::ClaimResult> Claim(const ledger::ClaimRequest& request,
                                           TimePoint deadline) override;
  bool Report(const ledger::OutcomeReport& report) override;

 private:
  std::optional<ledger::ClaimResult> ClaimOnce(
      const ledger::ClaimRequest& request,
      TimePoint deadline);
  std::optional<ledger::ClaimResult> ClaimHere(
      const ledger::ClaimRequest& request,
      TimePoint deadline);
  std::optional<ledger::OutcomeVerdict> ReportOnce(
      const ledger::OutcomeReport& report);
  std::optional<ledger::OutcomeVerdict> ReportHere(
      const ledger::OutcomeReport& report);
  void ReleaseLater(const ledger::ClaimRequest& request);
  void Release(const ledger::ClaimRequest& request, TimePoint give_up);

  const MemberId self;
  const uint32_t shard_count;
  ControlLoop& loop;
  LedgerCalls& calls;
  DirectoryHolder& directory;
  PeerClient& peers;
  Counter& claims_total;
  Counter& releases_failed;
  TaskPool release_tasks;  ///< Last, so that its tasks end first.
};

}  // namespace boragewharf::daemon
