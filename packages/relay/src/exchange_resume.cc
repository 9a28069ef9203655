/**
 * @file exchange_resume.cc
 * Streams go on only at servers of the software version that began them: what
 * two versions write does not fit together, and servers don't check it.
 */
#include <algorithm>

#include "exchange_base.h"

namespace boragewharf::relay {
namespace {

using serving::Milliseconds;
using serving::StreamOrigin;
using serving::StreamVersion;

/** Retry-After while the saved versions of streams are being read. After a
 * restart of all nodes that takes up to 2 s; callers that come back sooner use
 * up their retries. */
constexpr Milliseconds kRetryAfterPending(1000);

/** A request waits for the version of its stream for this fraction of its
 * timeout at most; the rest is for the stream itself. */
constexpr int kTimeoutPerOriginWait = 4;

/** Engine urgency levels per priority level, and the highest urgency. */
constexpr uint32_t kUrgencyStep = 2;
constexpr uint32_t kMaxUrgency = 9;

std::string_view OriginName(StreamOrigin origin) {
  switch (origin) {
    case StreamOrigin::kKnown:
      return "known";
    case StreamOrigin::kUnknown:
      return "unknown";
    case StreamOrigin::kPending:
      return "pending";
  }
  return "invalid";
}

}  // namespace

bool Exchange::CheckStreamOrigin() {
  if (!this->IsStream() || !this->request.facts.last_event_id) {
    return true;
  }
  const StreamVersion origin = this->FindStreamOrigin();
  const Duration wait =
      origin.origin == StreamOrigin::kPending ? kStartWait : origin.told_within;
  if (origin.origin != StreamOrigin::kKnown &&
      this->WaitForStreamOrigin(wait)) {
    return false;
  }
  this->core.log.Write(EventLevel::kInfo, "stream_taken_up",
                       {{"id", this->request.facts.attempt_id},
                        {"resumes", this->request.facts.resumes},
                        {"service", this->service_name},
                        {"origin", OriginName(origin.origin)},
                        {"version", origin.version},
                        {"recorded", origin.recorded},
                        {"waited_ms", Millis(BootClock::now() - this->arrived)},
                        {"servers_revision", this->core.servers_revision}});
  switch (origin.origin) {
    case StreamOrigin::kUnknown:
      this->RecordUnknownStream(origin.told_within);
      this->Refuse(503, std::nullopt, "stream_version_unknown");
      return false;
    case StreamOrigin::kPending:
      this->Refuse(503, kRetryAfterPending, "stream_version_pending");
      return false;
    case StreamOrigin::kKnown:
      break;
  }
  this->stream_version = origin.version;
  if (!this->core.pool.Serves(this->Required())) {
    this->Refuse(503, std::nullopt, "stream_version_gone");
    return false;
  }
  return true;
}

bool Exchange::WaitForStreamOrigin(Duration longest) {
  const Duration wait =
      std::min<Duration>(longest, this->route->timeout / kTimeoutPerOriginWait);
  if (this->core.shutting_down || BootClock::now() - this->arrived >= wait) {
    return false;
  }
  this->core.waiting_requests.push_back(this->shared_from_this());
  return true;
}

void Exchange::RecordUnknownStream(Duration told_within) {
  const TimePoint now = BootClock::now();
  const bool waited =
      told_within > Duration::zero() && now - this->arrived >= told_within;
  // Of a split route, the service that began the stream is not known either.
  if (waited && this->route->targets.size() == 1) {
    this->core.stream_versions->RecordUnknown(this->service_name,
                                              this->request.facts.resumes, now);
  }
}

StreamVersion Exchange::FindStreamOrigin() {
  const std::string& begun_by = this->request.facts.resumes;
  const bool ambiguous = begun_by.empty() && this->route->targets.size() > 1;
  if (ambiguous) {
    return {};
  }
  StreamVersion origin;
  std::string_view begun_at;
  for (const serving::SplitTarget& target : this->route->targets) {
    StreamVersion found = this->core.stream_versions->Find(
        target.service, begun_by, this->arrived, BootClock::now());
    const Duration told_within =
        std::max(origin.told_within, found.told_within);
    const bool known = found.origin == StreamOrigin::kKnown;
    // A service with a single version has it for any stream, also for those
    // that another one is known, or may still prove, to have begun.
    const bool better = found.recorded ||
                        found.origin == StreamOrigin::kPending ||
                        (known && origin.origin == StreamOrigin::kUnknown);
    if (better) {
      origin = std::move(found);
      begun_at = target.service;
    }
    origin.told_within = told_within;
    if (origin.recorded) {
      break;
    }
  }
  if (origin.origin == StreamOrigin::kKnown) {
    // Not the target that was picked: only this service can go on.
    this->service_name = begun_at;
    this->service = PartOf(
        this->config, serving::FindService(*this->config, this->service_name));
  }
  return origin;
}

void Exchange::RecordStreamBegin(TimePoint now) {
  if (this->answer_started) {
    return;
  }
  const PooledServer& server = *this->attempt->server;
  if (this->attempt->version == serving::kUnknownVersion &&
      !server.unreached_at && !server.restarted) {
    // The entry has proved to be that of the lifetime that runs the stream.
    this->attempt->version = server.server.version;
  }
  this->stream_version = this->attempt->version;
  if (!this->StreamId().empty()) {
    this->core.stream_versions->RecordBegin(
        this->service_name, this->StreamId(), *this->stream_version, now);
  }
}

void Exchange::RecordStreamEnd(TimePoint now) {
  if (!this->StreamId().empty() && this->client->PendingBytes() == 0) {
    this->core.stream_versions->RecordEnd(this->service_name, this->StreamId(),
                                          now);
  }
}

std::string_view Exchange::StreamId() const {
  if (!this->route->resumable) {
    return {};
  }
  const bool goes_on = this->request.facts.last_event_id.has_value();
  return goes_on ? this->request.facts.resumes : this->request.facts.attempt_id;
}

ServerRequirements Exchange::Required() const {
  return {this->service_name, this->stream_version, this->excluded_servers};
}

uint32_t Exchange::Urgency() const {
  uint32_t priority = this->route->priority;
  if (this->customer != nullptr) {
    priority = this->customer->priority.value_or(priority);
  }
  // A stream that goes on has only the servers of its version, new ones have
  // all: it comes first among the requests of its priority.
  const uint32_t first = this->stream_version ? 1 : 0;
  return std::min(kMaxUrgency, kUrgencyStep * (priority + 1) - first);
}

}  // namespace boragewharf::relay
