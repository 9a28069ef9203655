/**
 * @file probe_func.cc
 * Non-blocking connect with a bound.
 */
#include "daemon/probe_func.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>

#include <cerrno>

#include "base/scope_guard.h"

namespace boragewharf::daemon {

namespace {

bool FinishConnect(int socket_fd, Duration timeout) {
  pollfd waiting{socket_fd, POLLOUT, 0};
  const auto milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(timeout).count();
  if (poll(&waiting, 1, static_cast<int>(milliseconds)) != 1) {
    return false;
  }
  int fault = 0;
  socklen_t size = sizeof(fault);
  return getsockopt(socket_fd, SOL_SOCKET, SO_ERROR, &fault, &size) == 0 &&
         fault == 0;
}

}  // namespace

bool CanConnect(const Endpoint& address, Duration timeout) {
  sockaddr_in target{};
  target.sin_family = AF_INET;
  target.sin_port = htons(address.port);
  if (inet_pton(AF_INET, address.host.c_str(), &target.sin_addr) != 1) {
    return false;
  }
  const UniqueFd socket_fd(
      socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!socket_fd) {
    return false;
  }
  if (connect(socket_fd.Get(), reinterpret_cast<const sockaddr*>(&target),
              sizeof(target)) == 0) {
    return true;
  }
  return errno == EINPROGRESS && FinishConnect(socket_fd.Get(), timeout);
}

}  // namespace boragewharf::daemon
