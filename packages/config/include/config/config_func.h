/**
 * @file config_func.h
 * The configuration reducer: staging, distribution and acceptance of tickets.
 */
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "config/acceptance_func.h"
#include "config/config_event_type.h"
#include "config/config_state_type.h"

namespace boragewharf::config {

/** Longest time until a submitted ticket is answered, once it is staged. */
inline constexpr Duration kAnswerBound = std::chrono::seconds(15);

/** Mean time between two reads of the store. */
inline constexpr Duration kPollPeriod = std::chrono::seconds(2);

/** Longest time between two reads while the store is out. */
inline constexpr Duration kMaxBackOff = std::chrono::seconds(16);

/** After it, members other than the coordinator accept a ready ticket. */
inline constexpr Duration kTakeoverDelay = std::chrono::seconds(5);

/** Submitted tickets that wait for an answer; further ones are refused. */
inline constexpr size_t kMaxPendingTickets = 64;

/** Duty name whose rendezvous owner accepts staged tickets. */
inline constexpr std::string_view kCoordinatorDuty = "config";

/**
 * Takes in one event.
 * @param now Not before that of the previous call.
 * @param effects Receives what has to be done, in order.
 * @note Not thread-safe; only the control thread calls it.
 */
void Reduce(ConfigState& state,
            const ConfigEvent& event,
            TimePoint now,
            std::vector<ConfigEffect>& effects);

/** Whether this member holds any configuration or knows there is none. */
bool IsLoaded(const ConfigState& state);

/** The held document for a peer that fetches it; empty if there is none. */
std::string HeldBody(const ConfigState& state);

/** Inputs of the acceptance rule for the staged ticket. */
AcceptanceInputs MakeAcceptanceInputs(const ConfigState& state, TimePoint now);

/** Instances without the staged revision, or unheard. */
std::vector<std::string> WaitingFor(const ConfigState& state);

}  // namespace boragewharf::config
