/**
 * @file server_choice_func.h
 * Choice of the backend server for an attempt.
 */
#pragma once

#include <span>
#include <string>
#include <string_view>

#include "traffic/context_type.h"

namespace boragewharf::traffic {

/**
 * Chooses a server of @p service that is not in @p excluded.
 * @return Null with kNoBackendServer; otherwise valid as long as @p snapshot.
 * @note Thread-safe.
 */
const backend::BackendServer* ChooseServer(
    const TrafficContext& context,
    const RoutingSnapshot& snapshot,
    std::string_view service,
    std::span<const std::string> excluded,
    uint64_t cost_tokens,
    uint64_t prefix_hash);

/** The server of that name, or null. @note Thread-safe. */
const backend::BackendServer* FindServer(const RoutingSnapshot& snapshot,
                                         std::string_view service,
                                         std::string_view instance);

/**
 * Whether the end of a server was to be expected: it is leaving or no longer
 * listed.
 * @note Thread-safe.
 */
bool IsEndAnnounced(const RoutingSnapshot& snapshot,
                    std::string_view service,
                    std::string_view instance);

/** Whether this entry instance may serve now. @note Thread-safe. */
bool HoldsServingLease(const RoutingSnapshot& snapshot, TimePoint now);

}  // namespace boragewharf::traffic
