/**
 * @file socket_func.h
 * Helpers for IPv4 sockets, internal to the package.
 */
#pragma once

#include <netinet/in.h>

#include <optional>
#include <string_view>

#include "base/endpoint_type.h"
#include "base/scope_guard.h"

namespace boragewharf {

/**
 * Converts to the system's form.
 * @return Empty optional with kInvalidField if the host is not an IPv4 number.
 */
std::optional<sockaddr_in> ToSocketAddress(const Endpoint& endpoint);

/** Converts from the system's form. */
Endpoint FromSocketAddress(const sockaddr_in& address);

/**
 * Opens a non-blocking socket bound to @p endpoint.
 * @param type SOCK_DGRAM or SOCK_STREAM.
 * @return A falsy descriptor with kSystemError or kInvalidField.
 */
UniqueFd OpenBoundSocket(int type, const Endpoint& endpoint);

/** The address that a socket is bound to. */
Endpoint LocalEndpointOf(const UniqueFd& socket);

/** An event descriptor that wakes a waiting thread. */
UniqueFd OpenEvent();

/** Wakes the thread that waits for @p event. */
void SignalEvent(const UniqueFd& event);

/** Makes @p event silent again. */
void ClearEvent(const UniqueFd& event);

/** Sets kSystemError with errno's text and the failed step. */
void FailWithErrno(std::string_view step);

}  // namespace boragewharf
