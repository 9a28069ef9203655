/**
 * @file traffic_provider_base.h
 * What the front end needs of the control thread and of peers.
 */
#pragma once

#include <optional>

#include "daemon/control_loop_base.h"
#include "daemon/member_directory_base.h"
#include "peer/peer_client_base.h"
#include "traffic/provider_base.h"

namespace boragewharf::daemon {

/** Posts observations of traffic threads as events. */
class ObservationPoster : public traffic::ObservationSink {
 public:
  /** @param control_loop Outlives the poster. */
  explicit ObservationPoster(ControlLoop& control_loop) : loop(control_loop) {}

  void Observe(const traffic::BackendObservation& observation) override;
  void SetOpenStreams(uint32_t count) override;

 private:
  ControlLoop& loop;
};

/** Hands streams over to live peers. */
class PeerHandover : public traffic::HandoverClient {
 public:
  /** All references outlive the client. */
  PeerHandover(MemberId member,
               DirectoryHolder& member_directory,
               PeerClient& peer_client);

  std::optional<Endpoint> HandOver(
      const traffic::StreamTransfer& transfer) override;

 private:
  const MemberId self;
  DirectoryHolder& directory;
  PeerClient& peers;
};

}  // namespace boragewharf::daemon
