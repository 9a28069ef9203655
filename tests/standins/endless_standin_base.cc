/**
 * @file endless_standin_base.cc
 * Sockets of a server that never ends its answers.
 */
#include "standins/endless_standin_base.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <sys/time.h>

#include <array>
#include <cerrno>
#include <utility>

namespace boragewharf::standins {
namespace {

/** Small, so that what a client has not read stays with the stand-in. */
constexpr int kSendBufferBytes = 65536;

/** Time after which a blocked send looks for the end of the stand-in. */
constexpr timeval kSendTimeout{0, 100'000};

}  // namespace

EndlessStandin::EndlessStandin(std::string first_bytes,
                               std::string filler,
                               std::chrono::milliseconds pause_time)
    : initial_bytes(std::move(first_bytes)),
      repeated_bytes(std::move(filler)),
      pause(pause_time),
      listener(socket(AF_INET, SOCK_STREAM, 0)) {
  setsockopt(this->listener.Get(), SOL_SOCKET, SO_SNDBUF, &kSendBufferBytes,
             sizeof(kSendBufferBytes));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t length = sizeof(address);
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  if (bind(this->listener.Get(), generic, length) != 0 ||
      listen(this->listener.Get(), SOMAXCONN) != 0 ||
      getsockname(this->listener.Get(), generic, &length) != 0) {
    return;  // The port stays 0.
  }
  this->port = ntohs(address.sin_port);
  this->acceptor = std::jthread([this] { this->Accept(); });
}

EndlessStandin::~EndlessStandin() {
  this->stopping = true;
  shutdown(this->listener.Get(), SHUT_RDWR);
}

void EndlessStandin::Accept() {
  while (!this->stopping) {
    UniqueFd accepted(accept(this->listener.Get(), nullptr, nullptr));
    if (!accepted) {
      continue;
    }
    this->connections.emplace_back(
        [this, connection = std::move(accepted)] { this->Answer(connection); });
  }
  this->connections.clear();
}

void EndlessStandin::Answer(const UniqueFd& connection) {
  setsockopt(connection.Get(), SOL_SOCKET, SO_SNDTIMEO, &kSendTimeout,
             sizeof(kSendTimeout));
  std::array<char, 65536> request;
  if (recv(connection.Get(), request.data(), request.size(), 0) <= 0) {
    return;
  }
  this->requests += 1;
  this->active += 1;
  bool open = this->SendAll(connection.Get(), this->initial_bytes);
  while (open && !this->stopping) {
    std::this_thread::sleep_for(this->pause);
    open = this->SendAll(connection.Get(), this->repeated_bytes);
  }
  this->active -= 1;
}

bool EndlessStandin::SendAll(int connection, const std::string& bytes) {
  size_t sent = 0;
  while (sent < bytes.size() && !this->stopping) {
    const ssize_t count = send(connection, bytes.data() + sent,
                               bytes.size() - sent, MSG_NOSIGNAL);
    if (count > 0) {
      sent += static_cast<size_t>(count);
      this->sent_bytes += static_cast<size_t>(count);
    } else if (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR) {
      return false;
    }
  }
  return true;
}

}  // namespace boragewharf::standins
