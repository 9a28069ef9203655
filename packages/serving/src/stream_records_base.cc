/**
 * @file stream_records_base.cc
 * Records of the software versions that began recent streams.
 */
#include "serving/stream_records_base.h"

#include <xxhash.h>

#include <algorithm>
#include <set>

#include "stream_records_bounds.h"

namespace boragewharf::serving {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Factor from the longest timeout of a stream to the time for which it can be
 * taken up: clients try again within a time of that order, and the stream runs
 * before. */
constexpr int kKeepFactor = 2;
constexpr seconds kMinKeepTime(20);
constexpr seconds kMaxKeepTime(120);

/** Streams that are remembered, about 10 MB. */
constexpr size_t kMaxRecords = 65536;

/** Bounds of the history. Beyond them, versions that others tell are ignored;
 * a service that has so many relies on its records anyway. */
constexpr size_t kMaxServices = 1024;
constexpr size_t kMaxVersions = 64;

/** Time for which a stream that was sent to the end is remembered. A client
 * that has lost its last bytes, because the node was killed before they left
 * the machine, takes it up within that time. */
constexpr seconds kEndedKeepTime(2);

/** Time after a restart in which the streams of killed nodes are taken up. What
 * the saves lack of them is lost, so that waiting for it would only delay the
 * refusal. */
constexpr seconds kLostStreamsTime(5);

/** Time for which a stream of unknown version is remembered, in which its
 * client may take it up again, and how many a node records within it. Clients
 * can name streams that never began. */
constexpr seconds kUnknownKeepTime(5);
constexpr size_t kMaxUnknown = 64;

/** Time after the start within which other nodes are waited for. */
constexpr seconds kStartTime(3);

/** A node that has not heard of the others for so long, or for so many message
 * periods, may have been suspended. */
constexpr seconds kMaxSummaryAge(1);
constexpr int kMaxSummaryPeriods = 5;

/** Time until a stream that has begun is known to the other nodes: a period of
 * the reports within a node, one of the sender's messages, a second one for
 * other regions, and one of the receiver, which reads them as often as it
 * sends. Bounded, as those that wait may have an unknown stream. */
constexpr milliseconds kReportPeriod(200);
constexpr int kPeriodsUntilTold = 3;
constexpr seconds kMaxToldTime(2);

}  // namespace

uint64_t HashStream(NameHash service, std::string_view attempt_id) {
  return XXH64(attempt_id.data(), attempt_id.size(), service);
}

StreamRecords::StreamRecords(bool first_start, TimePoint now)
    : started(now),
      keep_time(kMaxKeepTime),
      complete(first_start),
      restored(first_start),
      own_save_merged(first_start),
      message_period(milliseconds(200)),
      to_tell(kTimesTold) {
  if (!first_start) {
    this->restarted = now;
  }
}

void StreamRecords::SetConfig(const ServingConfig& config) {
  milliseconds longest{0};
  for (const Route& route : config.routes) {
    if (route.kind == RouteKind::kStream) {
      longest = std::max(longest, route.timeout);
    }
  }
  this->keep_time =
      std::clamp<Duration>(kKeepFactor * longest, kMinKeepTime, kMaxKeepTime);
}

void StreamRecords::SetServers(const ServerSet& set, TimePoint now) {
  if (set.era > this->era) {
    // The store may have lost the last saves.
    this->save_wanted = true;
    this->era = set.era;
  }
  for (auto& [service, uses] : this->history) {
    for (auto& [version, use] : uses) {
      use.last = use.listed ? std::max(use.last, now) : use.last;
      use.listed = false;
    }
  }
  std::set<std::pair<std::string_view, std::string_view>> seen;
  for (const BackendServer& server : set.servers) {
    if (seen.emplace(server.service, server.version).second) {
      const NameHash service = HashName(server.service);
      this->AddUse(service, server.version, now);
      this->history[service][server.version].listed = true;
    }
  }
  this->Expire(now);
}

bool StreamRecords::RecordBegin(std::string_view service,
                                std::string_view attempt_id,
                                std::string_view version,
                                TimePoint now) {
  if (attempt_id.empty()) {
    return false;
  }
  const NameHash name = HashName(service);
  const std::string text(version);
  const bool unknown = text == kUnknownVersion;
  if (!unknown) {
    this->AddUse(name, text, now);
  }
  const uint64_t stream = HashStream(name, attempt_id);
  this->AddRecord(stream, name, text, now, true);
  // What no server can go on with is told also beside a single version.
  const bool is_told = unknown || this->HasSeveralVersions(name);
  if (is_told) {
    this->records.at(stream).queued = true;
    this->to_tell.front().push_front(stream);
    this->save_wanted = true;
  }
  return is_told;
}

void StreamRecords::RecordEnd(std::string_view service,
                              std::string_view attempt_id,
                              TimePoint now) {
  const uint64_t stream = HashStream(HashName(service), attempt_id);
  const auto found = this->records.find(stream);
  if (found != this->records.end() && found->second.own) {
    found->second.ended = now;
    this->ended_order.emplace_back(now, stream);
  }
}

void StreamRecords::RecordUnknown(std::string_view service,
                                  std::string_view attempt_id,
                                  TimePoint now) {
  const NameHash name = HashName(service);
  const uint64_t stream = HashStream(name, attempt_id);
  while (!this->unknown_recorded.empty() &&
         now - this->unknown_recorded.front() > kUnknownKeepTime) {
    this->unknown_recorded.pop_front();
  }
  if (attempt_id.empty() || this->records.contains(stream) ||
      !this->HasSeveralVersions(name) ||
      this->unknown_recorded.size() >= kMaxUnknown) {
    return;
  }
  this->unknown_recorded.push_back(now);
  // A stream that still runs began later than this, so that a late report of
  // its version replaces this record; see MergeStreams().
  const TimePoint begun = now - this->keep_time + kUnknownKeepTime;
  this->AddRecord(stream, name, kUnknownVersion, begun, false);
  this->records.at(stream).queued = true;
  this->to_tell.front().push_back(stream);
}

StreamVersion StreamRecords::Find(std::string_view service,
                                  std::string_view attempt_id,
                                  TimePoint now) const {
  const NameHash name = HashName(service);
  if (!attempt_id.empty()) {
    const auto found = this->records.find(HashStream(name, attempt_id));
    if (found != this->records.end()) {
      const std::string& version = found->second.version;
      // Servers that state no version may be of any once others state theirs.
      const bool any = version.empty() && this->HasSeveralVersions(name);
      if (any || version == kUnknownVersion) {
        return {StreamOrigin::kUnknown, {}, true};
      }
      return {StreamOrigin::kKnown, version, true};
    }
  }
  const auto uses = this->history.find(name);
  const bool several = uses != this->history.end() && uses->second.size() > 1;
  const bool in_touch = this->IsInTouch(now);
  if (uses != this->history.end() && !several && this->complete && in_touch) {
    return {StreamOrigin::kKnown, uses->second.begin()->first};
  }
  // A suspended node has not read yet what the others have told meanwhile.
  const bool starting = this->IsCatchingUp(now, kStartTime);
  const bool incomplete =
      !this->restored || (!several && (!this->complete || !in_touch));
  const bool unread = !this->restored && now - this->started < this->keep_time;
  const bool pending = unread || (starting && incomplete) ||
                       (!starting && !this->HasRecentPeers(now));
  if (pending) {
    return {StreamOrigin::kPending, {}};
  }
  StreamVersion unknown;
  const bool may_be_lost =
      this->restarted && now - *this->restarted < kLostStreamsTime;
  if (several && !attempt_id.empty() && this->nodes > 1 && !may_be_lost) {
    unknown.told_within = std::min<Duration>(
        kMaxToldTime, kReportPeriod + kPeriodsUntilTold * this->message_period);
  }
  return unknown;
}

bool StreamRecords::HasRecentPeers(TimePoint now) const {
  const auto bound = std::max<Duration>(
      kMaxSummaryAge, kMaxSummaryPeriods * this->message_period);
  return this->last_merge && now - *this->last_merge <= bound;
}

bool StreamRecords::IsInTouch(TimePoint now) const {
  if (!this->last_merge) {
    // Nothing began before the first start.
    return this->restored && this->nodes == 1;
  }
  // The store lists the versions in use. Without it, of two halves of the nodes
  // that do not hear each other, one at most may rely on what its own nodes
  // know.
  return this->HasRecentPeers(now) &&
         (this->store_followed || 2 * (this->heard_nodes + 1) > this->nodes);
}

void StreamRecords::AddUse(NameHash service,
                           const std::string& version,
                           TimePoint last) {
  const auto known = this->history.find(service);
  if (known == this->history.end()) {
    if (this->history.size() < kMaxServices) {
      this->history[service][version].last = last;
      this->OnHistoryChanged(service);
    }
    return;
  }
  VersionUses& uses = known->second;
  const auto found = uses.find(version);
  if (found != uses.end()) {
    found->second.last = std::max(found->second.last, last);
    return;
  }
  if (uses.size() < kMaxVersions) {
    uses[version].last = last;
    this->OnHistoryChanged(service);
  }
}

void StreamRecords::AddRecord(uint64_t stream,
                              NameHash service,
                              const std::string& version,
                              TimePoint begun,
                              bool own) {
  this->RemoveRecord(stream);
  if (this->records.size() >= kMaxRecords) {
    const bool drop_heard = !this->heard_order.empty();
    this->RemoveRecord(drop_heard ? this->heard_order.front()
                                  : this->own_order.front());
  }
  std::list<uint64_t>& order = own ? this->own_order : this->heard_order;
  Record& record = this->records[stream];
  record.service = service;
  record.version = version;
  record.begun = begun;
  record.own = own;
  record.position = order.insert(order.end(), stream);
}

void StreamRecords::RemoveRecord(uint64_t stream) {
  const auto found = this->records.find(stream);
  if (found == this->records.end()) {
    return;
  }
  (found->second.own ? this->own_order : this->heard_order)
      .erase(found->second.position);
  this->records.erase(found);
}

void StreamRecords::DropEnded(TimePoint now) {
  while (!this->ended_order.empty() &&
         now - this->ended_order.front().first > kEndedKeepTime) {
    const auto [ended, stream] = this->ended_order.front();
    this->ended_order.pop_front();
    const auto found = this->records.find(stream);
    // It may have been taken up since.
    if (found != this->records.end() && found->second.ended == ended) {
      this->RemoveRecord(stream);
    }
  }
}

void StreamRecords::Expire(TimePoint now) {
  this->DropEnded(now);
  if (now - this->started < this->keep_time) {
    return;  // The ages of saved entries depend on the clocks of two machines.
  }
  // Only what this process has seen itself is left by now.
  this->complete = true;
  for (std::list<uint64_t>* order : {&this->own_order, &this->heard_order}) {
    while (!order->empty()) {
      const Record& oldest = this->records.at(order->front());
      if (now - oldest.begun <= this->keep_time) {
        break;
      }
      this->RemoveRecord(order->front());
    }
  }
  for (auto service = this->history.begin(); service != this->history.end();) {
    const size_t dropped = std::erase_if(service->second, [&](const auto& use) {
      return !use.second.listed && now - use.second.last > this->keep_time;
    });
    this->save_wanted |= dropped > 0;
    service = service->second.empty() ? this->history.erase(service)
                                      : std::next(service);
  }
}

bool StreamRecords::HasSeveralVersions(NameHash service) const {
  const auto found = this->history.find(service);
  return found != this->history.end() && found->second.size() > 1;
}

void StreamRecords::OnHistoryChanged(NameHash service) {
  this->save_wanted = true;
  this->history_changed = true;
  if (this->HasSeveralVersions(service)) {
    this->TellAgain(service);
  }
}

void StreamRecords::TellAgain(NameHash service) {
  // The latest first: those are the most likely to be taken up.
  for (auto stream = this->own_order.rbegin(); stream != this->own_order.rend();
       ++stream) {
    Record& record = this->records.at(*stream);
    if (record.service == service && !record.queued) {
      record.queued = true;
      this->to_tell.front().push_back(*stream);
    }
  }
}

}  // namespace boragewharf::serving
