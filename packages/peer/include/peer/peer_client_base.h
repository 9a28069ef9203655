/**
 * @file peer_client_base.h
 * TCP client for requests to other daemons.
 */
#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/counter_base.h"
#include "base/endpoint_type.h"
#include "base/scope_guard.h"
#include "base/strong_id_type.h"
#include "base/time_type.h"
#include "peer/envelope_type.h"

namespace boragewharf {

/** Response to a call. */
struct PeerReply {
  MemberId sender;   ///< The process that answered.
  std::string body;  ///< Encoded response.
};

/** Settings of a PeerClient. */
struct PeerClientOptions {
  PeerKeys keys;  ///< See CheckPeerKeys().
  MemberId self;  ///< Sender id of this process.
  /// Idle connections are closed after this time; shorter than the server's
  /// limit, so that a request is rarely sent to a connection being closed.
  Duration silence_timeout = std::chrono::seconds(30);
  size_t max_idle_per_peer = 8;  ///< Further ones are closed after use.
  size_t max_connections = 512;  ///< Idle and in use; beyond: kPeerRefused.
};

/** Sends requests and waits for their responses. */
class PeerClient {
 public:
  /**
   * @pre CheckPeerKeys() holds for the keys.
   * @param counters Must outlive the client.
   */
  PeerClient(PeerClientOptions client_options, CounterRegistry& counters);
  PeerClient(const PeerClient&) = delete;
  PeerClient& operator=(const PeerClient&) = delete;
  /** @pre No call is running. */
  ~PeerClient();

  /**
   * Sends a request and waits.
   * @param timeout For the whole call, connecting included.
   * @param expected If given, only this process may answer.
   * @return Empty optional with: kPeerUnreachable, kPeerRefused,
   *     kPeerTooLarge, kPeerNotMember (another process is at the address) if
   *     the request was not sent; the peer's code if it refused;
   *     kPeerNoAnswer if the request may have been handled.
   * @note Thread-safe. Blocks until @p timeout at the latest.
   */
  std::optional<PeerReply> Call(const Endpoint& to,
                                MessageType type,
                                std::string_view body,
                                Duration timeout,
                                std::optional<MemberId> expected = {});

  /** Sets the incarnation of later requests. @note Thread-safe. */
  void SetIncarnation(uint32_t value) { this->incarnation = value; }

  /** Closes connections that were idle too long. @note Thread-safe. */
  void CloseIdle();

 private:
  struct Connection;

  std::unique_ptr<Connection> TakeIdle(const Endpoint& to);
  std::unique_ptr<Connection> Connect(const Endpoint& to, TimePoint deadline);
  void PutIdle(const Endpoint& to, std::unique_ptr<Connection> connection);
  std::optional<PeerReply> Exchange(Connection& connection,
                                    MessageType type,
                                    std::string_view body,
                                    TimePoint deadline);

  PeerClientOptions options;
  CounterRegistry& counters;
  std::atomic<uint32_t> incarnation{0};
  std::atomic<size_t> open_connections{0};
  std::mutex mutex;  ///< Guards idle.
  std::map<Endpoint, std::vector<std::unique_ptr<Connection>>> idle;
};

}  // namespace boragewharf
