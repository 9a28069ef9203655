/**
 * @file peer_server_base.h
 * TCP server for requests of other daemons.
 */
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "base/counter_base.h"
#include "base/endpoint_type.h"
#include "base/result_type.h"
#include "base/strong_id_type.h"
#include "base/time_type.h"
#include "peer/envelope_type.h"

namespace boragewharf {

/** A request that passed all checks. */
struct PeerRequest {
  MemberId sender;                        ///< Authenticated sender.
  uint32_t incarnation = 0;               ///< The sender's incarnation.
  MessageType type = MessageType::kJoin;  ///< Type of the body.
  std::string body;                       ///< Encoded message.
};

/** Result of a request. */
struct PeerAnswer {
  ResultCode code = ResultCode::kOk;  ///< kOk, or why it was refused.
  std::string body;  ///< Encoded response; a detail text if refused.
};

/**
 * Answers one request. Can be copied, called on any thread and after the
 * server is gone; only the first call counts. A responder that is dropped
 * without a call refuses the request with kInternal.
 */
using PeerResponder = std::function<void(PeerAnswer)>;

/**
 * Handles a request on a worker thread of the server, and calls the responder
 * at once or later on another thread. May block briefly; with all workers
 * blocked, further requests wait in a bounded queue.
 */
using PeerHandler = std::function<void(PeerRequest, PeerResponder)>;

/** Settings of a PeerServer. */
struct PeerServerOptions {
  Endpoint listen;  ///< Address to bind; port 0 takes a free one.
  PeerKeys keys;    ///< See CheckPeerKeys().
  MemberId self;    ///< Sender id of this process.
  /// Connections beyond this are closed at once: the planned 1,300 nodes with
  /// one connection each, with room for replacements.
  size_t max_connections = 2000;
  size_t worker_threads = 4;          ///< Threads that run handlers.
  size_t max_queued_requests = 1024;  ///< Beyond this, kPeerRefused.
  /// A connection without a byte in either direction for this time is closed.
  Duration silence_timeout = std::chrono::seconds(60);
  /// A frame must be complete within this time of its first byte.
  Duration frame_timeout = std::chrono::seconds(10);
};

/**
 * Answers requests of other daemons; one request at a time per connection.
 * Bad frames close their connection and are counted in
 * peer_frames_dropped_total under the name of their result code.
 */
class PeerServer {
 public:
  /**
   * Binds, and starts to accept connections.
   * @param handlers By type; other types are refused with kPeerUnknownType.
   * @param counters Must outlive the server.
   * @return Null with kSystemError or kSettingsInvalid.
   */
  static std::unique_ptr<PeerServer> Open(
      PeerServerOptions options,
      std::map<MessageType, PeerHandler> handlers,
      CounterRegistry& counters);
  PeerServer(const PeerServer&) = delete;
  PeerServer& operator=(const PeerServer&) = delete;

  /** Closes all connections; no handler runs afterwards. */
  ~PeerServer();

  /** The address that is bound. @note Thread-safe. */
  const Endpoint& LocalEndpoint() const;

 private:
  class Core;
  explicit PeerServer(std::shared_ptr<Core> server_core);

  std::shared_ptr<Core> core;
};

}  // namespace boragewharf
