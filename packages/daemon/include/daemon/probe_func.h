/**
 * @file probe_func.h
 * Probing whether a server accepts connections.
 */
#pragma once

#include "base/endpoint_type.h"
#include "base/time_type.h"

namespace boragewharf::daemon {

/**
 * Whether a TCP connection to @p address is accepted within @p timeout.
 * @note Thread-safe; blocks.
 */
bool CanConnect(const Endpoint& address, Duration timeout);

}  // namespace boragewharf::daemon
