/**
 * @file proxy_base.h
 * What the TCP and the UDP listener of the fault proxy have in common.
 */
#pragma once

#include <netinet/in.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <deque>
#include <mutex>
#include <random>
#include <string>

#include "base/endpoint_type.h"
#include "base/scope_guard.h"

namespace boragewharf::standin {

/** Pause of a frozen listener's thread between looks at its faults. */
inline constexpr std::chrono::milliseconds kFrozenPoll{2};

using ProxyClock = std::chrono::steady_clock;

/** Faults of one listener; changed through POST /control. */
struct ProxyFaults {
  int64_t delay_ms = 0;          ///< Added in each direction.
  double drop = 0;               ///< Probability per datagram or TCP chunk; a
                                 ///< dropped TCP chunk resets its connection.
  bool freeze = false;           ///< Forward and accept nothing for now.
  bool swallow_answers = false;  ///< Forward requests, discard answers.
  int64_t bytes_per_second = 0;  ///< In each direction; 0 for no limit.
};

/** Data on its way through the proxy in one direction. */
class ProxyQueue {
 public:
  /** Queues data for the time that delay and bandwidth give. */
  void Push(std::string data, const ProxyFaults& faults);
  bool Empty() const { return this->chunks.empty(); }
  bool Full() const { return this->queued >= kMaxQueued; }
  /** Whether the front may be sent now. */
  bool Due(ProxyClock::time_point now) const;
  std::string& Front() { return this->chunks.front().data; }
  /** Removes the first @p sent bytes of the front, or all of it. */
  void Pop(size_t sent);
  /** Lowers @p wake to the time at which the front is due. */
  void LowerWake(ProxyClock::time_point& wake) const;

 private:
  static constexpr size_t kMaxQueued = 1'000'000;

  struct Chunk {
    ProxyClock::time_point release;
    std::string data;
  };
  std::deque<Chunk> chunks;
  size_t queued = 0;
  ProxyClock::time_point link_free;
};

/** A listener on 127.0.0.1 with a thread of its own. */
class ProxyListener {
 public:
  ProxyListener(const Endpoint& target_endpoint, uint64_t seed);
  ProxyListener(const ProxyListener&) = delete;
  ProxyListener& operator=(const ProxyListener&) = delete;
  virtual ~ProxyListener() = default;

  void SetFaults(const ProxyFaults& changed);
  ProxyFaults GetFaults() const;
  /** Closes all open connections (UDP: forgets all senders). */
  void Cut() { Request(this->cut_requested); }
  /** Makes the connections that are open now silent for good. */
  void Silence() { Request(this->silence_requested); }
  uint16_t Port() const { return this->port; }
  int64_t OpenCount() const { return this->open_count; }

 protected:
  /** Binds a socket; ends the process with a message if that fails. */
  void Bind(int type, uint16_t wanted);
  bool DropsNow(const ProxyFaults& current);

  const sockaddr_in target;
  UniqueFd socket_fd;
  std::atomic<bool> cut_requested{false};
  std::atomic<bool> silence_requested{false};
  std::atomic<bool> stopping{false};
  std::atomic<int64_t> open_count{0};

 private:
  /** Returns when the thread has carried out the request. */
  static void Request(std::atomic<bool>& flag);

  mutable std::mutex mutex;
  ProxyFaults active;
  std::mt19937_64 random;
  uint16_t port = 0;
};

/** Address structure of an endpoint. */
sockaddr_in SocketAddress(const Endpoint& endpoint);

/** Time for poll() until @p wake, bounded so that commands are seen soon. */
timespec PollTime(ProxyClock::time_point wake);

}  // namespace boragewharf::standin
