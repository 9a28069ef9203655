/**
 * @file udp_socket_base.h
 * Datagrams between daemons.
 */
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>

#include "base/counter_base.h"
#include "base/endpoint_type.h"
#include "base/result_type.h"
#include "base/scope_guard.h"
#include "base/strong_id_type.h"
#include "peer/envelope_type.h"
#include "peer/replay_window_base.h"

namespace boragewharf {

/** A received datagram that passed all checks. */
struct PeerDatagram {
  Endpoint from;                          ///< Source address.
  MemberId sender;                        ///< Authenticated sender.
  uint32_t incarnation = 0;               ///< The sender's incarnation.
  MessageType type = MessageType::kPing;  ///< Type of the body.
  std::string body;                       ///< Encoded message.
};

/** Settings of a UdpSocket. */
struct UdpOptions {
  Endpoint listen;  ///< Address to bind; port 0 takes a free one.
  PeerKeys keys;    ///< See CheckPeerKeys().
  MemberId self;    ///< Sender id of this process.
  /// Senders whose replay window is kept: three times the planned 1,300 nodes.
  size_t max_senders = 4096;
};

/**
 * A UDP socket with a thread that receives. Each datagram that is dropped is
 * counted in peer_datagrams_dropped_total under the name of its result code.
 */
class UdpSocket {
 public:
  /** Handles a datagram on the receive thread; must not block for long. */
  using Handler = std::function<void(PeerDatagram)>;

  /**
   * Binds the socket and starts to receive.
   * @param counters Must outlive the socket.
   * @return Null with kSystemError or kSettingsInvalid.
   */
  static std::unique_ptr<UdpSocket> Open(UdpOptions options,
                                         CounterRegistry& counters,
                                         Handler handler);
  UdpSocket(const UdpSocket&) = delete;
  UdpSocket& operator=(const UdpSocket&) = delete;

  /** Stops the thread; no handler runs afterwards. */
  ~UdpSocket();

  /**
   * Sends a datagram; it may be lost.
   * @return False with kPeerTooLarge, kPeerUnreachable or kInvalidField.
   * @note Thread-safe.
   */
  bool Send(const Endpoint& to, MessageType type, std::string_view body);

  /** Sets the incarnation of later datagrams. @note Thread-safe. */
  void SetIncarnation(uint32_t value) { this->incarnation = value; }

  /** The address that is bound. @note Thread-safe. */
  const Endpoint& LocalEndpoint() const { return this->local; }

 private:
  UdpSocket(UdpOptions socket_options,
            CounterRegistry& registry,
            Handler on_datagram);
  bool Bind();
  void ReceiveLoop();
  void ReceiveOne();
  void HandleBytes(const Endpoint& from, std::string_view bytes);
  void Drop(ResultCode code);

  UdpOptions options;
  CounterRegistry& counters;
  Handler handler;
  Endpoint local;
  UniqueFd socket;
  UniqueFd stop_event;
  std::atomic<uint64_t> next_sequence{1};
  std::atomic<uint32_t> incarnation{0};
  ReplayGuard guard;  ///< Used by the receive thread only.
  Counter& received;
  Counter& sent;
  Counter& received_bytes;
  Counter& sent_bytes;
  std::thread thread;
};

}  // namespace boragewharf
