/**
 * @file proxy_base.cc
 * Queues and sockets of the fault proxy.
 */
#include "proxy_base.h"

#include <arpa/inet.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <cstdlib>
#include <cstring>

namespace boragewharf::standin {

namespace {

constexpr std::chrono::milliseconds kLongestPoll{10};
constexpr int kBacklog = 1024;

}  // namespace

void ProxyQueue::Push(std::string data, const ProxyFaults& faults) {
  ProxyClock::time_point release = ProxyClock::now();
  if (faults.bytes_per_second > 0) {
    const auto cost = std::chrono::duration_cast<ProxyClock::duration>(
        std::chrono::duration<double>(
            static_cast<double>(data.size()) /
            static_cast<double>(faults.bytes_per_second)));
    this->link_free = std::max(this->link_free, release) + cost;
    release = this->link_free;
  }
  release += std::chrono::milliseconds(faults.delay_ms);
  if (!this->chunks.empty()) {
    release = std::max(release, this->chunks.back().release);
  }
  this->queued += data.size();
  this->chunks.push_back({release, std::move(data)});
}

bool ProxyQueue::Due(ProxyClock::time_point now) const {
  return !this->chunks.empty() && this->chunks.front().release <= now;
}

void ProxyQueue::Pop(size_t sent) {
  std::string& front = this->Front();
  this->queued -= std::min(sent, front.size());
  if (sent >= front.size()) {
    this->chunks.pop_front();
    return;
  }
  front.erase(0, sent);
}

void ProxyQueue::LowerWake(ProxyClock::time_point& wake) const {
  if (!this->chunks.empty()) {
    wake = std::min(wake, this->chunks.front().release);
  }
}

ProxyListener::ProxyListener(const Endpoint& target_endpoint, uint64_t seed)
    : target(SocketAddress(target_endpoint)), random(seed) {}

void ProxyListener::SetFaults(const ProxyFaults& changed) {
  const std::lock_guard lock(this->mutex);
  this->active = changed;
}

ProxyFaults ProxyListener::GetFaults() const {
  const std::lock_guard lock(this->mutex);
  return this->active;
}

void ProxyListener::Request(std::atomic<bool>& flag) {
  flag = true;
  flag.wait(true);
}

void ProxyListener::Bind(int type, uint16_t wanted) {
  this->socket_fd = UniqueFd(socket(AF_INET, type | SOCK_NONBLOCK, 0));
  const int on = 1;
  setsockopt(this->socket_fd.Get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address = SocketAddress({"127.0.0.1", wanted});
  socklen_t length = sizeof(address);
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  const bool bound =
      bind(this->socket_fd.Get(), generic, length) == 0 &&
      (type != SOCK_STREAM || listen(this->socket_fd.Get(), kBacklog) == 0) &&
      getsockname(this->socket_fd.Get(), generic, &length) == 0;
  if (!bound) {
    std::fprintf(stderr, "fault_proxy: port %d: %s\n", wanted,
                 std::strerror(errno));
    std::exit(1);
  }
  this->port = ntohs(address.sin_port);
}

bool ProxyListener::DropsNow(const ProxyFaults& current) {
  return current.drop > 0 &&
         std::bernoulli_distribution(current.drop)(this->random);
}

sockaddr_in SocketAddress(const Endpoint& endpoint) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(endpoint.port);
  inet_pton(AF_INET, endpoint.host.c_str(), &address.sin_addr);
  return address;
}

timespec PollTime(ProxyClock::time_point wake) {
  const auto now = ProxyClock::now();
  const auto wait = std::clamp<ProxyClock::duration>(
      wake - now, ProxyClock::duration::zero(), kLongestPoll);
  const auto nanoseconds =
      std::chrono::duration_cast<std::chrono::nanoseconds>(wait);
  return {0, nanoseconds.count()};
}

}  // namespace boragewharf::standin
