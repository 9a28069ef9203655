/**
 * @file caller_connection_base.cc
 * Reads and writes of caller connections.
 */
#include "traffic/caller_connection_base.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <utility>

namespace boragewharf::traffic {

namespace {

thread_local CallerConnection* current_connection = nullptr;

/** Waits for @p events, also across interrupted calls. */
bool Poll(int descriptor, int16_t events, std::chrono::milliseconds timeout) {
  pollfd entry{descriptor, events, 0};
  int ready = 0;
  do {
    ready = poll(&entry, 1, static_cast<int>(timeout.count()));
  } while (ready < 0 && errno == EINTR);
  return ready > 0;
}

void Describe(const sockaddr_in& address, std::string& ip, int& port) {
  std::array<char, INET_ADDRSTRLEN> text{};
  inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size());
  ip = text.data();
  port = ntohs(address.sin_port);
}

}  // namespace

CallerConnection::CallerConnection(socket_t descriptor,
                                   std::chrono::milliseconds io_timeout,
                                   size_t max_request_bytes)
    : sock(descriptor), timeout(io_timeout), max_bytes(max_request_bytes) {
  current_connection = this;
}

CallerConnection::~CallerConnection() {
  current_connection = nullptr;
}

CallerConnection* CallerConnection::Current() {
  return current_connection;
}

bool CallerConnection::WaitForRequest(std::chrono::milliseconds idle_timeout,
                                      int stop_fd) {
  this->request_bytes = this->end - this->begin;
  this->holds_head = true;
  if (this->begin < this->end) {
    return true;
  }
  std::array<pollfd, 2> entries{
      {{this->sock, POLLIN, 0}, {stop_fd, POLLIN, 0}}};
  int ready = 0;
  do {
    ready = poll(entries.data(), entries.size(),
                 static_cast<int>(idle_timeout.count()));
  } while (ready < 0 && errno == EINTR);
  return ready > 0 && entries[1].revents == 0 && this->Fill();
}

bool CallerConnection::IsClosed() const {
  char byte = 0;
  const ssize_t got =
      recv(this->sock, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
  return got == 0 ||
         (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

bool CallerConnection::is_readable() const {
  return this->begin < this->end || Poll(this->sock, POLLIN, this->timeout);
}

bool CallerConnection::is_writable() const {
  return Poll(this->sock, POLLOUT, this->timeout) && !this->IsClosed();
}

ssize_t CallerConnection::read(char* target, size_t size) {
  if (this->begin == this->end && !this->Fill()) {
    return -1;
  }
  const size_t count = std::min(size, this->end - this->begin);
  std::memcpy(target, this->buffer.data() + this->begin, count);
  this->begin += count;
  return static_cast<ssize_t>(count);
}

ssize_t CallerConnection::write(const char* source, size_t size) {
  if (std::exchange(this->holds_head, false)) {
    this->held.assign(source, size);
    return static_cast<ssize_t>(size);
  }
  bool sent = false;
  if (this->held.empty()) {
    sent = this->Send(source, size);
  } else {
    this->held.append(source, size);
    sent = this->Flush();
  }
  return sent ? static_cast<ssize_t>(size) : -1;
}

bool CallerConnection::Flush() {
  const bool sent =
      this->held.empty() || this->Send(this->held.data(), this->held.size());
  this->held.clear();
  return sent;
}

bool CallerConnection::Send(const char* source, size_t size) {
  size_t sent = 0;
  while (sent < size) {
    const ssize_t count = send(this->sock, source + sent, size - sent,
                               MSG_NOSIGNAL | MSG_DONTWAIT);
    if (count > 0) {
      sent += static_cast<size_t>(count);
      continue;
    }
    const bool is_full = errno == EAGAIN || errno == EWOULDBLOCK;
    if (errno != EINTR &&
        !(is_full && Poll(this->sock, POLLOUT, this->timeout))) {
      return false;
    }
  }
  return true;
}

void CallerConnection::get_remote_ip_and_port(std::string& ip,
                                              int& port) const {
  sockaddr_in address{};
  socklen_t length = sizeof(address);
  if (getpeername(this->sock, reinterpret_cast<sockaddr*>(&address), &length) ==
      0) {
    Describe(address, ip, port);
  }
}

void CallerConnection::get_local_ip_and_port(std::string& ip, int& port) const {
  sockaddr_in address{};
  socklen_t length = sizeof(address);
  if (getsockname(this->sock, reinterpret_cast<sockaddr*>(&address), &length) ==
      0) {
    Describe(address, ip, port);
  }
}

bool CallerConnection::Fill() {
  // An interim answer (100 Continue) must not wait for what it asks for.
  if (this->request_bytes > this->max_bytes || !this->Flush()) {
    return false;
  }
  ssize_t got =
      recv(this->sock, this->buffer.data(), this->buffer.size(), MSG_DONTWAIT);
  if (got < 0 && Poll(this->sock, POLLIN, this->timeout)) {
    got = recv(this->sock, this->buffer.data(), this->buffer.size(),
               MSG_DONTWAIT);
  }
  if (got <= 0) {
    return false;
  }
  this->begin = 0;
  this->end = static_cast<size_t>(got);
  this->request_bytes += this->end;
  return true;
}

}  // namespace boragewharf::traffic
