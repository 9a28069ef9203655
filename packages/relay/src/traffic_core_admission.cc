/**
 * @file traffic_core_admission.cc
 * Connects the admission with the servers and the waiting requests.
 */
#include <algorithm>
#include <boost/asio/post.hpp>
#include <cmath>

#include "admission/admission_base.h"
#include "exchange_base.h"
#include "relay/traffic_core_base.h"

namespace boragewharf::relay {
namespace {

/** Requests per slot that a server runs and queues before it rejects more; as
 * the routing policy assumes. */
constexpr double kMaxRequestsPerSlot = 2.5;

/** Most servers that are left out of a choice because they are at their limit.
 * The choice compares each server with each of them. */
constexpr size_t kMaxServersAtLimit = 64;

/** A queue that was empty for this long has ended; shorter pauses are no change
 * of state. */
constexpr std::chrono::seconds kQueueEndTime(1);

uint32_t FullLimit(const PooledServer& pooled) {
  return static_cast<uint32_t>(std::ceil(
      kMaxRequestsPerSlot * std::max<uint32_t>(1, pooled.server.slots)));
}

uint32_t RunningAt(const PooledServer& pooled) {
  return pooled.own_load.running + pooled.peer_load.running;
}

}  // namespace

admission::ServiceCapacity TrafficCore::CapacityOf(const std::string& service,
                                                   TimePoint now) const {
  admission::ServiceCapacity capacity;
  for (const auto& pooled : this->pool.Candidates(service, {}, now)) {
    const uint32_t limit = this->admission->Limits().LimitOf(
        serving::HashName(pooled->server.id), FullLimit(*pooled), now);
    capacity.servers += 1;
    capacity.limit += limit;
    capacity.any_free |= RunningAt(*pooled) < limit;
  }
  const auto found = this->demand.find(service);
  capacity.own_running =
      found == this->demand.end() ? 0 : found->second.running;
  if (capacity.servers == 0) {
    capacity.blocked_for = this->pool.TimeUntilCandidate(service, now);
  }
  return capacity;
}

std::vector<std::string> TrafficCore::ServersAtLimit(const std::string& service,
                                                     TimePoint now) const {
  std::vector<std::string> ids;
  for (const auto& pooled : this->pool.Candidates(service, {}, now)) {
    const uint32_t full = FullLimit(*pooled);
    const uint32_t limit = this->admission->Limits().LimitOf(
        serving::HashName(pooled->server.id), full, now);
    if (limit < full && RunningAt(*pooled) >= limit) {
      ids.push_back(pooled->server.id);
    }
    if (ids.size() == kMaxServersAtLimit) {
      break;
    }
  }
  return ids;
}

void TrafficCore::StartAdmitted(const std::string& service) {
  while (this->admission->HasWaiting(service)) {
    const TimePoint now = BootClock::now();
    const auto id =
        this->admission->Next(service, this->CapacityOf(service, now), now);
    if (!id) {
      return;
    }
    const std::shared_ptr<Exchange> exchange = this->waiting_for_server.at(*id);
    if (exchange->StartFromQueue() == Exchange::QueueStart::kNoServer) {
      return;
    }
  }
}

void TrafficCore::ScheduleStart(const std::string& service) {
  if (!this->admission->HasWaiting(service) ||
      !this->scheduled_starts.insert(service).second) {
    return;
  }
  boost::asio::post(this->loop, [this, service] {
    this->scheduled_starts.erase(service);
    this->StartAdmitted(service);
  });
}

void TrafficCore::CheckWaiting(TimePoint now) {
  for (const std::string& service : this->admission->WaitingServices()) {
    this->StartAdmitted(service);
    this->EndRefused(this->admission->TakeExpired(
        service, this->CapacityOf(service, now), now));
  }
}

void TrafficCore::EndRefused(const std::vector<admission::Refusal>& refusals) {
  for (const admission::Refusal& refusal : refusals) {
    const auto found = this->waiting_for_server.find(refusal.id);
    if (found != this->waiting_for_server.end()) {
      const std::shared_ptr<Exchange> exchange = found->second;
      exchange->RefuseForCapacity(refusal);
    }
  }
}

void TrafficCore::ReportAdmission(TimePoint now) {
  const admission::AdmissionTotals& totals = this->admission->Totals();
  const auto set = [&](std::string_view name, uint64_t value) {
    this->counters.Get(name).Set(static_cast<int64_t>(value));
  };
  set("admission_waited_total", totals.waited);
  set("admission_started_total", totals.started);
  set("admission_refused_total", totals.refused);
  set("admission_refused_again_total", totals.refused_again);
  set("admission_returned_total", totals.returned);
  set("admission_invalid_messages_total", totals.invalid_messages);
  this->counters.Get("admission_waiting", {}, MetricKind::kGauge)
      .Set(static_cast<int64_t>(this->admission->WaitingCount()));
  this->counters.Get("admission_waiting_bytes", {}, MetricKind::kGauge)
      .Set(static_cast<int64_t>(this->admission->WaitingBytes()));
  for (const std::string& service : this->admission->WaitingServices()) {
    const auto [entry, is_new] = this->queue_episodes.try_emplace(
        service, QueueEpisode{now, now, totals});
    entry->second.last_waiting = now;
    if (is_new) {
      const auto capacity = this->CapacityOf(service, now);
      this->log.Write(EventLevel::kWarning, "queue_began",
                      {{"service", service},
                       {"servers", capacity.servers},
                       {"limit", capacity.limit},
                       {"own_running", capacity.own_running},
                       {"waiting", this->admission->WaitingCount()}});
    }
  }
  std::erase_if(this->queue_episodes, [&](const auto& entry) {
    const QueueEpisode& episode = entry.second;
    if (now - episode.last_waiting < kQueueEndTime) {
      return false;
    }
    this->log.Write(EventLevel::kInfo, "queue_ended",
                    {{"service", entry.first},
                     {"for_ms", Millis(episode.last_waiting - episode.began)},
                     {"waited", totals.waited - episode.totals.waited},
                     {"started", totals.started - episode.totals.started},
                     {"refused", totals.refused - episode.totals.refused},
                     {"refused_again",
                      totals.refused_again - episode.totals.refused_again}});
    return true;
  });
}

}  // namespace boragewharf::relay
