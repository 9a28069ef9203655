/**
 * @file endless_standin_base.h
 * A server that never ends its answers.
 */
#pragma once

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <list>
#include <string>
#include <thread>

#include "base/scope_guard.h"

namespace boragewharf::standins {

/**
 * Answers each request with initial bytes, and then sends other bytes again and
 * again until the client closes. All methods are thread-safe.
 */
class EndlessStandin {
 public:
  /**
   * Listens on a free port of 127.0.0.1.
   * @param filler Not empty.
   * @param pause_time Before each filler.
   */
  EndlessStandin(std::string first_bytes,
                 std::string filler,
                 std::chrono::milliseconds pause_time = {});
  EndlessStandin(const EndlessStandin&) = delete;
  EndlessStandin& operator=(const EndlessStandin&) = delete;
  ~EndlessStandin();

  uint16_t Port() const { return this->port; }

  uint32_t Requests() const { return this->requests; }

  /** Connections on which it still sends. */
  uint32_t ActiveConnections() const { return this->active; }

  /** Bytes that clients and the buffers of sockets took. */
  size_t SentBytes() const { return this->sent_bytes; }

 private:
  void Accept();
  void Answer(const UniqueFd& connection);
  bool SendAll(int connection, const std::string& bytes);

  const std::string initial_bytes;
  const std::string repeated_bytes;
  const std::chrono::milliseconds pause;
  UniqueFd listener;
  uint16_t port = 0;
  std::atomic<bool> stopping{false};
  std::atomic<uint32_t> requests{0};
  std::atomic<uint32_t> active{0};
  std::atomic<size_t> sent_bytes{0};
  std::list<std::jthread> connections;  ///< Used by the acceptor only.
  std::jthread acceptor;
};

}  // namespace boragewharf::standins
