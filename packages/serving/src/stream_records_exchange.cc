/**
 * @file stream_records_exchange.cc
 * Exchange of the begun streams between nodes.
 */
#include <algorithm>
#include <limits>
#include <utility>

#include "base/body_func.h"
#include "serving/stream_lookup_type.h"
#include "serving/stream_records_base.h"
#include "stream_records_bounds.h"

namespace boragewharf::serving {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Message periods for which a part of a report is repeated in all messages:
 * other regions get a message each second period. */
constexpr int kPeriodsPerTelling = 2;

/** Bytes that a node receives per second at most, when all nodes begin
 * streams. */
constexpr double kReceivedBytesPerSecond = 60000;
constexpr size_t kStreamBytes = 10;
constexpr size_t kMinTold = 16;
constexpr size_t kMaxTold = 256;

/** Streams that wait for being told once more. While new ones take all the
 * room, those that have been told already are not told again. */
constexpr size_t kMaxQueuedAgain = 1024;

/** Bytes of the history in a report, and of a group and of a version besides
 * its text. Together with kMaxTold streams they fit into an extension. */
constexpr size_t kMaxHistoryBytes = 768;
constexpr size_t kMaxGroupBytes = 512;
constexpr size_t kGroupBytes = 20;
constexpr size_t kVersionBytes = 12;

/** Interval at which all streams are told again if nodes that start ask for
 * it. */
constexpr seconds kRetellingPeriod(5);

/** Greatest age that is taken over from another node. */
constexpr uint32_t kMaxAgeMs = 3'600'000;

/** Told times are later than the true ones by the delay of the messages. Small
 * differences are ignored, so that the nodes do not keep a version in use by
 * telling each other of it. */
constexpr seconds kToldTolerance(2);

}  // namespace

uint32_t AgeMs(TimePoint since, TimePoint now) {
  const auto age =
      std::chrono::duration_cast<milliseconds>(now - since).count();
  return static_cast<uint32_t>(std::clamp<int64_t>(age, 0, kMaxAgeMs));
}

uint16_t AgeUnits(TimePoint since, TimePoint now) {
  const int64_t age = AgeMs(since, now) / kStreamAgeUnit.count();
  return static_cast<uint16_t>(
      std::min<int64_t>(age, std::numeric_limits<uint16_t>::max()));
}

void StreamRecords::TellAll(TimePoint now) {
  if (now < this->next_retelling) {
    return;
  }
  this->next_retelling = now + kRetellingPeriod;
  this->history_changed = true;
  for (const auto& [service, uses] : this->history) {
    if (uses.size() > 1) {
      this->TellAgain(service);
    }
  }
}

size_t StreamRecords::MaxTold() const {
  const double period =
      std::chrono::duration<double>(this->message_period).count();
  const double bytes = kReceivedBytesPerSecond * period / this->nodes;
  return std::clamp(static_cast<size_t>(bytes / kStreamBytes), kMinTold,
                    kMaxTold);
}

void StreamRecords::ChooseTold(TimePoint now) {
  while (!this->telling.empty() && now >= this->telling.front().until) {
    const Telling told = this->telling.front();
    this->telling.pop_front();
    const auto known = this->records.find(told.stream);
    if (known == this->records.end()) {
      continue;
    }
    const size_t times = told.times_told + 1;
    if (times < this->to_tell.size() &&
        this->to_tell[times].size() < kMaxQueuedAgain) {
      this->to_tell[times].push_back(told.stream);
    } else {
      known->second.queued = false;
    }
  }
  const TimePoint until = now + kPeriodsPerTelling * this->message_period;
  const size_t bound = this->MaxTold();
  for (size_t times = 0; times < this->to_tell.size(); ++times) {
    std::deque<uint64_t>& queue = this->to_tell[times];
    // The streams at the back began first; they have expired or ended.
    while (!queue.empty() && !this->records.contains(queue.back())) {
      queue.pop_back();
    }
    while (!queue.empty() && this->telling.size() < bound) {
      const uint64_t stream = queue.front();
      queue.pop_front();
      if (this->records.contains(stream)) {
        this->telling.push_back({stream, times, until});
      }
    }
  }
}

void StreamRecords::AppendHistory(StreamReport& report,
                                  size_t max_bytes,
                                  TimePoint now) const {
  size_t bytes = 0;
  for (const auto& [service, uses] : this->history) {
    bytes += kVersionBytes;
    VersionHistory& told = report.history.emplace_back();
    told.service = service;
    for (const auto& [version, use] : uses) {
      bytes += version.size() > kMaxVersionBytes
                   ? max_bytes
                   : kVersionBytes + version.size();
      const TimePoint last = use.listed ? now : use.last;
      told.versions.push_back({version, AgeMs(last, now)});
    }
  }
  if (bytes > max_bytes) {
    report.history.clear();
  }
}

std::optional<BegunStreams> StreamRecords::RecordOf(uint64_t stream,
                                                    TimePoint now) const {
  const auto found = this->records.find(stream);
  if (found == this->records.end() ||
      found->second.version.size() > kMaxVersionBytes) {
    return std::nullopt;
  }
  const Record& record = found->second;
  return BegunStreams{
      record.service, record.version, {{stream, AgeUnits(record.begun, now)}}};
}

VersionHistory StreamRecords::HistoryOf(NameHash service, TimePoint now) const {
  VersionHistory told{service, {}};
  const auto uses = this->history.find(service);
  if (uses == this->history.end()) {
    return told;
  }
  for (const auto& [version, use] : uses->second) {
    if (version.size() <= kMaxVersionBytes &&
        told.versions.size() < kMaxAnsweredVersions) {
      const TimePoint last = use.listed ? now : use.last;
      told.versions.push_back({version, AgeMs(last, now)});
    }
  }
  return told;
}

void StreamRecords::MergeTold(const std::vector<BegunStreams>& streams,
                              const std::vector<VersionHistory>& versions,
                              TimePoint received) {
  // Not complete: of one service at most.
  this->MergeReport({false, versions, streams}, received, false);
}

void StreamRecords::AppendExtensions(std::vector<PeerExtension>& extensions,
                                     TimePoint now) {
  this->CheckSuspension(now);
  this->complete |= this->complete_from && now >= *this->complete_from;
  this->Expire(now);
  if (std::exchange(this->history_changed, false)) {
    const auto periods = static_cast<int>(kTimesTold) * kPeriodsPerTelling;
    this->tell_history_until = now + periods * this->message_period;
  }
  this->ChooseTold(now);
  StreamReport report;
  report.complete = this->complete;
  if (!this->complete || now < this->tell_history_until) {
    this->AppendHistory(report, kMaxHistoryBytes, now);
  }
  std::map<std::pair<NameHash, std::string_view>, BegunStreams> groups;
  size_t group_bytes = 0;
  for (const Telling& told : this->telling) {
    const auto known = this->records.find(told.stream);
    if (known == this->records.end() ||
        known->second.version.size() > kMaxVersionBytes) {
      continue;
    }
    const Record& record = known->second;
    const std::pair key{record.service, std::string_view{record.version}};
    if (!groups.contains(key)) {
      group_bytes += kGroupBytes + record.version.size();
      if (group_bytes > kMaxGroupBytes) {
        continue;
      }
      groups[key] = {record.service, record.version, {}};
    }
    groups[key].streams.push_back({told.stream, AgeUnits(record.begun, now)});
  }
  for (auto& [key, group] : groups) {
    report.groups.push_back(std::move(group));
  }
  if (this->complete && report.history.empty() && report.groups.empty()) {
    return;
  }
  extensions.push_back({static_cast<uint16_t>(ExtensionKind::kStreamVersions),
                        EncodeBody(report), ExtensionScope::kAllRegions});
}

void StreamRecords::MergePeers(const PeerSummary& summary, TimePoint now) {
  this->CheckSuspension(now);
  this->nodes = std::max<uint32_t>(1, summary.nodes);
  this->heard_nodes = static_cast<uint32_t>(summary.heard_ips.size());
  this->store_followed = summary.store_followed;
  if (summary.message_period > Duration::zero()) {
    this->message_period = summary.message_period;
  }
  this->last_merge = now;
  this->CheckContact(now);
  for (const ReceivedExtension& extension : summary.extensions) {
    if (extension.kind !=
        static_cast<uint16_t>(ExtensionKind::kStreamVersions)) {
      continue;
    }
    auto report = DecodeBody<StreamReport>(extension.payload);
    if (!report) {
      this->invalid_reports += 1;
      continue;
    }
    if (!report->complete && this->complete) {
      this->TellAll(now);
    }
    report->complete &= !this->MayPrecedeContact(extension.received);
    this->MergeReport(*report, extension.received, false);
  }
}

void StreamRecords::MergeReport(const StreamReport& report,
                                TimePoint received,
                                bool own) {
  // Without a history, it only tells streams.
  this->complete |= report.complete && !report.history.empty();
  for (const VersionHistory& told : report.history) {
    for (const ListedVersion& version : told.versions) {
      const TimePoint last = received - milliseconds(version.age_ms);
      if (version.age_ms > kMaxAgeMs ||
          version.version.size() > kMaxVersionBytes) {
        this->invalid_reports += 1;
        continue;
      }
      this->MergeUse(told.service, version.version, last);
    }
  }
  for (const BegunStreams& group : report.groups) {
    this->MergeStreams(group, received, own);
  }
}

void StreamRecords::MergeUse(NameHash service,
                             const std::string& version,
                             TimePoint last) {
  const auto uses = this->history.find(service);
  if (uses != this->history.end()) {
    const auto known = uses->second.find(version);
    if (known != uses->second.end() &&
        last <= known->second.last + kToldTolerance) {
      return;
    }
  }
  this->AddUse(service, version, last);
}

void StreamRecords::MergeStreams(const BegunStreams& group,
                                 TimePoint received,
                                 bool own) {
  if (group.version.size() > kMaxVersionBytes) {
    this->invalid_reports += 1;
    return;
  }
  // The latest are told first, and are to be the last to expire.
  for (auto stream = group.streams.rbegin(); stream != group.streams.rend();
       ++stream) {
    const TimePoint begun = received - stream->age * kStreamAgeUnit;
    const auto known = this->records.find(stream->stream);
    if (known != this->records.end() &&
        begun <= known->second.begun + kToldTolerance) {
      continue;
    }
    const bool keeps_own = known != this->records.end() && known->second.own;
    if (group.version != kUnknownVersion) {
      this->MergeUse(group.service, group.version, begun);
    }
    this->AddRecord(stream->stream, group.service, group.version, begun,
                    own || keeps_own);
  }
}

}  // namespace boragewharf::serving
