/**
 * @file config_step.h
 * Parts of the configuration reducer.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/time_type.h"
#include "config/config_event_type.h"
#include "config/config_state_type.h"
#include "config/document_json_func.h"

namespace boragewharf::config {

/** One call of the reducer. */
struct ConfigStep {
  ConfigState& state;                  ///< Changed in place.
  TimePoint now;                       ///< Time of the event.
  std::vector<ConfigEffect>& effects;  ///< Appended to.
};

/** A duration from 75% to 125% of @p mean, so that members spread out. */
Duration Jittered(ConfigState& state, Duration mean);

// config_sync_func.cc: reads, fetches and the held document.

/**
 * Takes up a document unless it is older than the held one.
 * @param version Version in the store, if it comes from there.
 */
void Adopt(ConfigStep& step,
           Document document,
           std::optional<std::string> version);
/** Forgets the version, which is out of date, and reads the store now. */
void RequireRead(ConfigStep& step);
/** Reads the store soon if the version of the held document is not known. */
void WantVersion(ConfigStep& step);
/** Whether the store can be written on the base of the held document. */
bool MayWrite(const ConfigStep& step);
void OnStoreRead(ConfigStep& step, const StoreRead& event);
void OnStoreReadFailed(ConfigStep& step, const StoreReadFailed& event);
void OnPeerDocument(ConfigStep& step, const PeerDocument& event);
void OnMembersObserved(ConfigStep& step, const MembersObserved& event);
/** Starts reads and fetches that are due. */
void AdvanceSync(ConfigStep& step);

// config_ticket_func.cc: submitted tickets until their answer.

void OnTicketSubmitted(ConfigStep& step, const TicketSubmitted& event);
/** Refuses what waits for the store, except where the outcome is unknown. */
void RefuseUnstaged(ConfigStep& step, ResultCode code);
/** Answers and stages what can be answered and staged. */
void AdvanceTickets(ConfigStep& step);
/** Whether a ticket waits for a successful read. */
bool TicketsNeedRead(const ConfigState& state);
/** Whether the outcome of the staging of a ticket is unknown. */
bool TicketsUnresolved(const ConfigState& state);

// config_write_func.cc: writes and acceptance.

/** Starts the write of @p after, which replaces the held document. */
void StartWrite(ConfigStep& step, WriteKind kind, Document after);
void OnStoreWritten(ConfigStep& step, const StoreWritten& event);
void OnStoreWriteFailed(ConfigStep& step, const StoreWriteFailed& event);
/** Accepts the staged ticket if it may and this member's turn has come. */
void AdvanceAcceptance(ConfigStep& step);

}  // namespace boragewharf::config
