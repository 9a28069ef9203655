/**
 * @file peer_service_base.h
 * Answers requests and datagrams of other daemons.
 */
#pragma once

#include <functional>
#include <map>

#include "daemon/control_loop_base.h"
#include "daemon/ledger_client_base.h"
#include "peer/peer_server_base.h"
#include "peer/udp_socket_base.h"
#include "traffic/handover_type.h"

namespace boragewharf::daemon {

/** Turns messages of peers into events. Methods are thread-safe. */
class PeerService {
 public:
  /** Adopts a stream; returns whether it was adopted. */
  using Adopter = std::function<bool(const traffic::StreamTransfer&)>;

  /** All references outlive the service. */
  PeerService(ControlLoop& control_loop,
              LedgerCalls& ledger_calls,
              CounterRegistry& registry,
              Adopter adopter);

  /** Handlers for PeerServer::Open(). */
  std::map<MessageType, PeerHandler> Handlers();

  /** Handles a datagram. */
  void HandleDatagram(const PeerDatagram& datagram);

 private:
  void HandleJoin(const PeerRequest& request, const PeerResponder& respond);
  void HandleFetchDocument(const PeerResponder& respond);
  void HandleClaim(const PeerRequest& request, const PeerResponder& respond);
  void HandleOutcome(const PeerRequest& request, const PeerResponder& respond);
  void HandleHandover(const PeerRequest& request, const PeerResponder& respond);

  ControlLoop& loop;
  LedgerCalls& calls;
  Counter& datagrams_dropped;
  Adopter adopt;
};

}  // namespace boragewharf::daemon
