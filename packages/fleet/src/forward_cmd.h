/**
 * @file forward_cmd.h
 * Messages of large deployments: copies to other regions through nodes that
 * forward them, and announcements that don't wait for the message period.
 *
 * All functions run on the control thread.
 */
#pragma once

#include <map>
#include <string>
#include <vector>

#include "fleet/fleet_type.h"

namespace boragewharf::fleet {

/**
 * Whether the deployment is too large for messages from each node to every
 * other one. Smaller deployments exchange messages directly.
 */
bool IsLarge(const FleetState& state);

/** Adds the kForwarding extension with @p flags to a message. */
void SetForwardingFlags(serving::PeerMessage& message, uint8_t flags);

/** Removes what the receivers may take from the last complete message. */
void MakePartial(serving::PeerMessage& message);

/**
 * Nodes that forward the current message to the other nodes of their region, at
 * most @p copies per region. The choice differs with each message, so that the
 * work is spread and a node that has failed unnoticed costs only a few messages
 * of each sender. Regions without such a node are missing.
 */
std::map<std::string, std::vector<std::string>>
SelectForwarders(const FleetState& state, size_t copies, TimePoint now);

/** Forwards a message, if the sender asks for it, to the nodes of this node's
 * region. */
void ForwardMessage(FleetState& state,
                    const serving::PeerMessage& message,
                    TimePoint now,
                    std::vector<Effect>& effects);

/** Makes the next message due soon, because a process has sent its first one.
 */
void ScheduleMessageToNewProcess(FleetState& state, TimePoint now);

}  // namespace boragewharf::fleet
