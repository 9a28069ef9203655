/**
 * @file update_cmd.h
 * Spreading of updates on datagrams, internal to the package.
 */
#pragma once

#include <string>
#include <vector>

#include "context.h"

namespace boragewharf::membership {

/** Longest name of an instance, zone or region in a message, in bytes. */
inline constexpr size_t kMaxNameBytes = 64;

/** Queues an update, in place of an older one about the same thing. */
void QueueUpdate(const Context& context, Update update);

/**
 * Takes the updates of the next datagram: @p first, then queued ones, those
 * sent least often before others, within the bounds of a datagram.
 */
std::vector<Update> TakeUpdates(const Context& context,
                                std::vector<Update> first);

/** Records that a backend server is leaving; false if known before. */
bool RecordLeavingBackend(const Context& context,
                          const std::string& instance,
                          TimePoint end);

/** Records crashes of a request; false if known before. */
bool RecordCrash(const Context& context,
                 const CrashUpdate& crash,
                 TimePoint end);

/** Crashes of a request that all members saw. */
uint32_t TotalCrashes(const MembershipState& state, uint64_t fingerprint);

/** Drops application updates whose lifetime is over. */
void DropExpiredUpdates(const Context& context);

}  // namespace boragewharf::membership
