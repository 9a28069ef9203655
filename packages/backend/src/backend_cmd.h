/**
 * @file backend_cmd.h
 * State changes of the table of backend servers, used by Reduce() only.
 */
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "backend/backend_func.h"

namespace boragewharf::backend {

/** What a command works on. */
struct TableContext {
  BackendState& state;                  ///< The table.
  TimePoint now;                        ///< Present time.
  std::vector<BackendEffect>& effects;  ///< Receives effects.
};

/** Sets a status and tells so if it differs. */
void SetStatus(TableContext context, ServerState& entry, BackendStatus status);

/** Marks an instance as leaving for good, and spreads that once. */
void MarkLeaving(TableContext context,
                 const std::string& instance,
                 TimePoint deadline);

/** Whether an instance is known to be leaving. */
bool IsLeaving(const BackendState& state, const std::string& instance);

/** Updates the health of a server after an observation. */
void ObserveHealth(TableContext context,
                   ServerState& entry,
                   Observation observation);

/** Ends ejections that are over or take more than half of a pool. */
void EndEjections(TableContext context);

/** Keeps a failure until its cause can be decided. */
void NoteFailure(TableContext context,
                 const ServerState& entry,
                 const ServerObserved& event);

/** A connection attempt tells crashes from mere lost connections. */
void NoteConnectAttempt(TableContext context,
                        std::string_view instance,
                        bool accepted);

/** Decides failures that are old enough, and drops old records. */
void DecideFailures(TableContext context);

/** Removes the suspicion against a request that was answered. */
void ClearSuspect(TableContext context, const Fingerprint& fingerprint);

/** Adds crashes, seen here or by a peer. */
void MergeCrashes(TableContext context, const CrashNews& news);

/** Forgets suspects whose time is over. */
void ExpireSuspects(TableContext context);

}  // namespace boragewharf::backend
