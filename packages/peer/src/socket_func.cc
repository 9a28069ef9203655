/**
 * @file socket_func.cc
 * Helpers for IPv4 sockets.
 */
#include "socket_func.h"

#include <arpa/inet.h>
#include <sys/eventfd.h>
#include <sys/socket.h>

#include <cerrno>
#include <string>
#include <system_error>

#include "base/result_func.h"

namespace boragewharf {

std::optional<sockaddr_in> ToSocketAddress(const Endpoint& endpoint) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(endpoint.port);
  if (inet_pton(AF_INET, endpoint.host.c_str(), &address.sin_addr) != 1) {
    return Fail(ResultCode::kInvalidField, "expected a dotted IPv4 number");
  }
  return address;
}

Endpoint FromSocketAddress(const sockaddr_in& address) {
  char text[INET_ADDRSTRLEN] = {};
  inet_ntop(AF_INET, &address.sin_addr, text, sizeof(text));
  return Endpoint{text, ntohs(address.sin_port)};
}

UniqueFd OpenBoundSocket(int type, const Endpoint& endpoint) {
  const auto address = ToSocketAddress(endpoint);
  if (!address) {
    return UniqueFd();
  }
  UniqueFd socket(::socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!socket) {
    FailWithErrno("socket");
    return UniqueFd();
  }
  if (type == SOCK_STREAM) {
    const int on = 1;
    setsockopt(socket.Get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  }
  if (bind(socket.Get(), reinterpret_cast<const sockaddr*>(&*address),
           sizeof(*address)) != 0) {
    FailWithErrno("bind " + ToString(endpoint));
    return UniqueFd();
  }
  return socket;
}

Endpoint LocalEndpointOf(const UniqueFd& socket) {
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  getsockname(socket.Get(), reinterpret_cast<sockaddr*>(&address), &size);
  return FromSocketAddress(address);
}

UniqueFd OpenEvent() {
  UniqueFd event(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC));
  if (!event) {
    FailWithErrno("eventfd");
  }
  return event;
}

void SignalEvent(const UniqueFd& event) {
  eventfd_write(event.Get(), 1);
}

void ClearEvent(const UniqueFd& event) {
  eventfd_t value = 0;
  eventfd_read(event.Get(), &value);
}

void FailWithErrno(std::string_view step) {
  const std::string text = std::generic_category().message(errno);
  Fail(ResultCode::kSystemError, std::string(step) + ": " + text);
}

}  // namespace boragewharf
