/**
 * @file probe_cmd.h
 * Probes of members and the serving lease, internal to the package.
 */
#pragma once

#include "context.h"

namespace boragewharf::membership {

/** Answers a ping. */
void HandlePing(const Context& context, const PingReceived& event);

/** Takes an answer into account. */
void HandleAck(const Context& context, const AckReceived& event);

/** Pings a member on behalf of another one. */
void HandlePingRequest(const Context& context,
                       const PingRequestReceived& event);

/** Sends the pings that are due. */
void RunProbes(const Context& context);

/** Postpones timers after a pause of this process. */
void PostponeTimers(const Context& context, Duration pause);

/** Asks seeds that are not members yet for the member table. */
void JoinSeeds(const Context& context);

}  // namespace boragewharf::membership
