/**
 * @file capacity_base.cc
 * Estimates of the servers' limits, of the duration of attempts and of this
 * node's share of a service.
 */
#include "admission/capacity_base.h"

#include <algorithm>
#include <bit>

#include "base/body_func.h"

namespace boragewharf::admission {
namespace {

/** Weight of a new sample in the mean durations; about the last 20 count, so
 * that the means follow a change of the load within a second. */
constexpr double kSampleWeight = 0.1;

/** Samples from which the mean of a prompt length is used for itself. */
constexpr uint32_t kMinSamples = 3;

/** Most nodes that are remembered; more than the largest deployment has. */
constexpr size_t kMaxPeers = 4096;

/** Largest number in a need that is taken as stated. A larger one is wrong, and
 * must not take the share of the other nodes. */
constexpr uint32_t kMaxNeed = 100000;

}  // namespace

std::string_view RefusalReasonName(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kTooLate:
      return "servers_full";
    case RefusalReason::kQueueFull:
      return "queue_full";
    case RefusalReason::kNoServer:
      return "no_server";
    case RefusalReason::kDeadline:
      return "timeout";
  }
  return "unknown";
}

std::optional<ServiceRoom> DecodeServiceRoom(std::string_view payload) {
  auto room = DecodeBody<ServiceRoom>(payload);
  if (!room || room->needs.size() > kMaxServices) {
    return std::nullopt;
  }
  for (ServiceNeed& need : room->needs) {
    need.running = std::min(need.running, kMaxNeed);
    need.waiting = std::min(need.waiting, kMaxNeed);
  }
  return room;
}

void ServerLimits::RecordRejection(serving::NameHash server,
                                   uint32_t running,
                                   TimePoint now) {
  this->lowered[server] = {running, now};
}

uint32_t ServerLimits::LimitOf(serving::NameHash server,
                               uint32_t full,
                               TimePoint now) const {
  const auto found = this->lowered.find(server);
  if (found == this->lowered.end() || found->second.limit >= full) {
    return full;
  }
  const auto [limit, since] = found->second;
  const double recovered =
      std::chrono::duration<double>(now - since) / kRecovery;
  const double room = (full - limit) * std::clamp(recovered, 0.0, 1.0);
  return limit + static_cast<uint32_t>(room);
}

void ServerLimits::Expire(TimePoint now) {
  std::erase_if(this->lowered, [&](const auto& entry) {
    return now - entry.second.since > kRecovery;
  });
}

void AttemptDurations::Add(Mean& mean, Duration duration) {
  mean.samples += 1;
  const double weight = std::max(kSampleWeight, 1.0 / mean.samples);
  mean.us += weight * (static_cast<double>(duration.count()) - mean.us);
}

void AttemptDurations::AddResponse(uint32_t tokens, Duration duration) {
  Add(this->any_response, duration);
  Add(this->response[std::bit_width(tokens)], duration);
}

Duration AttemptDurations::Total(Duration fallback) const {
  if (this->total.samples == 0) {
    return fallback;
  }
  return Duration(static_cast<Duration::rep>(this->total.us));
}

Duration AttemptDurations::Response(uint32_t tokens) const {
  const auto found = this->response.find(std::bit_width(tokens));
  const bool known =
      found != this->response.end() && found->second.samples >= kMinSamples;
  const Mean& mean = known ? found->second : this->any_response;
  return Duration(static_cast<Duration::rep>(mean.us));
}

bool PeerNeeds::Merge(const serving::ReceivedExtension& extension) {
  auto room = DecodeServiceRoom(extension.payload);
  if (!room) {
    return false;
  }
  if (this->peers.size() < kMaxPeers ||
      this->peers.contains(extension.sender)) {
    this->peers[extension.sender] = {extension.received,
                                     std::move(room->needs)};
  }
  return true;
}

void PeerNeeds::SetNodes(uint32_t count, TimePoint now) {
  std::erase_if(this->peers, [&](const auto& entry) {
    return now - entry.second.received > kFresh;
  });
  this->nodes = std::max(count, static_cast<uint32_t>(this->peers.size()) + 1);
}

double PeerNeeds::ShareOf(std::string_view service, uint32_t own_need) const {
  if (this->nodes <= 1) {
    return 1;
  }
  const serving::NameHash hash = serving::HashName(service);
  double heard_need = own_need;
  for (const auto& [sender, peer] : this->peers) {
    for (const ServiceNeed& need : peer.needs) {
      if (need.service == hash) {
        heard_need += need.running + need.waiting;
      }
    }
  }
  const double heard = static_cast<double>(this->peers.size()) + 1;
  const double all = heard_need * std::max<double>(this->nodes, heard) / heard;
  return all <= 0 ? 1 / static_cast<double>(this->nodes) : own_need / all;
}

}  // namespace boragewharf::admission
