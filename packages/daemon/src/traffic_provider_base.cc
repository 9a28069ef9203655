/**
 * @file traffic_provider_base.cc
 * Observations and handover on behalf of the front end.
 */
#include "daemon/traffic_provider_base.h"

#include <algorithm>

#include "base/body_func.h"
#include "base/result_func.h"

namespace boragewharf::daemon {

namespace {

constexpr Duration kHandoverTimeout = std::chrono::seconds(1);

/** Peers that are asked before a stream is given up. */
constexpr size_t kMaxPeers = 3;

backend::Observation ToObservation(traffic::ObservationKind kind) {
  switch (kind) {
    case traffic::ObservationKind::kAnswered:
      return backend::Observation::kAnswered;
    case traffic::ObservationKind::kConnectFailed:
      return backend::Observation::kConnectRefused;
    case traffic::ObservationKind::kRefused:
      return backend::Observation::kRefused;
    case traffic::ObservationKind::kSilent:
      return backend::Observation::kSilent;
    case traffic::ObservationKind::kBroken:
      return backend::Observation::kFailedInAnswer;
  }
  return backend::Observation::kAnswered;
}

}  // namespace

void ObservationPoster::Observe(
    const traffic::BackendObservation& observation) {
  backend::ServerObserved event;
  event.instance = observation.instance;
  event.observation = ToObservation(observation.kind);
  if (event.observation == backend::Observation::kFailedInAnswer ||
      event.observation == backend::Observation::kAnswered) {
    event.running.push_back(observation.fingerprint);
  }
  this->loop.TryPost(backend::BackendEvent(std::move(event)));
}

void ObservationPoster::SetOpenStreams(uint32_t count) {
  this->loop.TryPost(control::OpenStreamsChanged{count});
}

PeerHandover::PeerHandover(MemberId member,
                           DirectoryHolder& member_directory,
                           PeerClient& peer_client)
    : self(member), directory(member_directory), peers(peer_client) {}

std::optional<Endpoint> PeerHandover::HandOver(
    const traffic::StreamTransfer& transfer) {
  const auto members = this->directory.Get();
  std::vector<const membership::Member*> candidates;
  for (const membership::Member& member : members->members) {
    if (member.id != this->self) {
      candidates.push_back(&member);
    }
  }
  std::ranges::sort(candidates, {}, [](const membership::Member* member) {
    return member->report.open_streams;
  });
  const std::string body = EncodeBody(transfer);
  for (const membership::Member* member :
       std::span(candidates).first(std::min(kMaxPeers, candidates.size()))) {
    if (this->peers.Call(member->peer_address, MessageType::kStreamHandover,
                         body, kHandoverTimeout, member->id)) {
      return member->caller_address;
    }
  }
  return Fail(ResultCode::kPeerUnreachable, "no peer adopted the stream");
}

}  // namespace boragewharf::daemon
