/**
 * @file server_rate_limits_base.cc
 * Limits that servers in need name for the requests of all nodes together.
 */
#include "serving/server_rate_limits_base.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cmath>

#include "base/body_func.h"

namespace boragewharf::serving {
namespace {

/** Part of a limit that is used: nodes may disagree for a moment on which of
 * them share it. */
constexpr double kUsedPart = 0.9;

/** Requests per second of each node that shares a limit; fewer nodes share a
 * lower one. */
constexpr double kRequestsPerNode = 1;

/** Requests that a node may send at once after a pause. */
constexpr double kMaxAllowance = 1;

/** Most requests above its share that a node makes up for by waiting. */
constexpr double kMinAllowance = -4;

/** Least time for which another node's notice holds without being repeated, and
 * the same in message periods: other regions get a message each second period,
 * and messages get lost. */
constexpr std::chrono::seconds kMinHeardTime(5);
constexpr int kHeardPeriods = 8;

/** Time without an answer after which a server is asked whether its limit is
 * still in force. */
constexpr std::chrono::seconds kCheckPeriod(2);

/** Time for which the other nodes are told that a limit has ended. */
constexpr std::chrono::seconds kEndedTime(5);

/** Time for which a node that has no share of a limit relies on the answers
 * that it got itself. The nodes with a share see when the limit ends. */
constexpr std::chrono::seconds kOwnNoticeTime(10);

/** Entries of a report, so that it fits into an extension. */
constexpr size_t kMaxReported = 128;

/** Lifetimes that are kept. */
constexpr size_t kMaxEntries = 4096;

/** Greatest limit that is taken over from another node, and greatest age. */
constexpr double kMaxPerSecond = 1e6;
constexpr uint32_t kMaxAgeMs = 3'600'000;

double SecondsOf(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

/** Rendezvous weight of a node for a server. */
uint64_t WeightOf(const ServerLifetime& server, uint32_t node) {
  const std::array<uint64_t, 3> key = {server.id, server.started, node};
  return XXH64(key.data(), sizeof(key), 0);
}

}  // namespace

ServerRateLimits::ServerRateLimits() : heard_time(kMinHeardTime) {}

const ServerRateLimits::Notice* ServerRateLimits::Newest(const Entry& entry,
                                                         TimePoint now) const {
  const bool heard = entry.heard && now - entry.heard_at <= this->heard_time;
  if (heard && (!entry.own || entry.heard->answered > entry.own->answered)) {
    return &*entry.heard;
  }
  return entry.own ? &*entry.own : nullptr;
}

double ServerRateLimits::ShareOf(const ServerLifetime& server,
                                 double per_second) const {
  const double rate = kUsedPart * per_second;
  const double nodes = static_cast<double>(this->other_nodes.size() + 1);
  const double sharing =
      std::clamp(std::floor(rate / kRequestsPerNode), 1.0, nodes);
  const uint64_t own = WeightOf(server, this->own_ip);
  const auto before = std::ranges::count_if(
      this->other_nodes,
      [&](uint32_t node) { return WeightOf(server, node) > own; });
  return static_cast<double>(before) < sharing ? rate / sharing : 0;
}

std::optional<double> ServerRateLimits::RateOf(const ServerLifetime& server,
                                               const Entry& entry,
                                               TimePoint now) const {
  const Notice* newest = Newest(entry, now);
  if (newest == nullptr || !newest->per_second) {
    return std::nullopt;
  }
  return this->ShareOf(server, *newest->per_second);
}

double ServerRateLimits::AllowanceOf(const Entry& entry,
                                     double rate,
                                     TimePoint now) {
  return std::min(kMaxAllowance,
                  entry.allowance + rate * SecondsOf(now - entry.updated));
}

void ServerRateLimits::RecordAnswer(const ServerLifetime& server,
                                    std::optional<double> per_second,
                                    TimePoint sent,
                                    TimePoint now) {
  const auto found = this->entries.find(server);
  if (per_second) {
    const bool is_new = found == this->entries.end();
    Entry& entry = is_new ? this->entries[server] : found->second;
    if (is_new) {
      entry.updated = now;
    }
    entry.next_check = now + kCheckPeriod;
    entry.own = Notice{per_second, now};
    return;
  }
  if (found == this->entries.end()) {
    return;
  }
  const Notice* newest = Newest(found->second, now);
  if (newest != nullptr && newest->per_second && sent >= newest->answered) {
    found->second.own = Notice{std::nullopt, now};
  }
}

std::optional<double> ServerRateLimits::LimitOf(const ServerLifetime& server,
                                                TimePoint now) const {
  const auto found = this->entries.find(server);
  const Notice* newest =
      found == this->entries.end() ? nullptr : Newest(found->second, now);
  return newest == nullptr ? std::nullopt : newest->per_second;
}

bool ServerRateLimits::Allows(const ServerLifetime& server,
                              TimePoint now) const {
  if (this->entries.empty()) {
    return true;
  }
  const auto wait = this->TimeUntilAllowed(server, now);
  return wait && *wait <= Duration::zero();
}

std::optional<Duration> ServerRateLimits::TimeUntilAllowed(
    const ServerLifetime& server,
    TimePoint now) const {
  const auto found = this->entries.find(server);
  if (found == this->entries.end()) {
    return Duration::zero();
  }
  const auto rate = this->RateOf(server, found->second, now);
  if (!rate) {
    return Duration::zero();
  }
  if (*rate <= 0) {
    return std::nullopt;
  }
  const double missing = 1 - AllowanceOf(found->second, *rate, now);
  if (missing <= 0) {
    return Duration::zero();
  }
  return std::chrono::ceil<Duration>(
      std::chrono::duration<double>(missing / *rate));
}

void ServerRateLimits::CountRequest(const ServerLifetime& server,
                                    TimePoint now) {
  const auto found = this->entries.find(server);
  if (found == this->entries.end()) {
    return;
  }
  Entry& entry = found->second;
  const auto rate = this->RateOf(server, entry, now);
  if (!rate) {
    return;
  }
  entry.allowance = std::max(kMinAllowance, AllowanceOf(entry, *rate, now) - 1);
  entry.updated = now;
}

std::vector<ServerLifetime> ServerRateLimits::TakeDueChecks(TimePoint now) {
  std::vector<ServerLifetime> due;
  for (auto& [server, entry] : this->entries) {
    if (now >= entry.next_check &&
        this->RateOf(server, entry, now).value_or(0) > 0) {
      entry.next_check = now + kCheckPeriod;
      due.push_back(server);
    }
  }
  return due;
}

void ServerRateLimits::Retain(const std::set<ServerLifetime>& present) {
  std::erase_if(this->entries, [&](const auto& entry) {
    return !present.contains(entry.first);
  });
}

void ServerRateLimits::AppendExtensions(std::vector<PeerExtension>& extensions,
                                        TimePoint now) {
  this->Expire(now);
  RateLimitReport report;
  for (const auto& [server, entry] : this->entries) {
    // Only own notices are told: a notice that is passed on would become
    // younger by each delay on its way.
    if (!entry.own || Newest(entry, now) != &*entry.own) {
      continue;
    }
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
        now - entry.own->answered);
    report.entries.push_back({server.id, server.started,
                              entry.own->per_second.value_or(-1),
                              static_cast<uint32_t>(std::clamp<int64_t>(
                                  age.count(), 0, kMaxAgeMs))});
  }
  if (report.entries.empty()) {
    return;
  }
  if (report.entries.size() > kMaxReported) {
    std::ranges::nth_element(report.entries,
                             report.entries.begin() + kMaxReported,
                             std::ranges::less(), &RateLimitEntry::age_ms);
    report.entries.resize(kMaxReported);
  }
  extensions.push_back({static_cast<uint16_t>(ExtensionKind::kServerLimits),
                        EncodeBody(report), ExtensionScope::kAllRegions});
}

void ServerRateLimits::MergePeers(const PeerSummary& summary, TimePoint now) {
  this->own_ip = summary.own_ip;
  this->other_nodes = summary.heard_ips;
  this->heard_time =
      std::max<Duration>(kMinHeardTime, kHeardPeriods * summary.message_period);
  for (const ReceivedExtension& extension : summary.extensions) {
    if (extension.kind != static_cast<uint16_t>(ExtensionKind::kServerLimits)) {
      continue;
    }
    const auto report = DecodeBody<RateLimitReport>(extension.payload);
    if (!report) {
      this->invalid_reports += 1;
      continue;
    }
    for (const RateLimitEntry& told : report->entries) {
      this->MergeEntry(told, extension.received);
    }
  }
  this->Expire(now);
}

void ServerRateLimits::MergeEntry(const RateLimitEntry& told,
                                  TimePoint received) {
  if (!std::isfinite(told.per_second) || told.per_second > kMaxPerSecond ||
      told.age_ms > kMaxAgeMs) {
    this->invalid_reports += 1;
    return;
  }
  Notice notice{std::nullopt,
                received - std::chrono::milliseconds(told.age_ms)};
  if (told.per_second >= 0) {
    notice.per_second = told.per_second;
  }
  const ServerLifetime server{told.server, told.started};
  const auto found = this->entries.find(server);
  if (found == this->entries.end()) {
    if (notice.per_second && this->entries.size() < kMaxEntries) {
      Entry& entry = this->entries[server];
      entry.heard = notice;
      entry.heard_at = received;
      entry.updated = received;
      entry.next_check = received + kCheckPeriod;
    }
    return;
  }
  Entry& entry = found->second;
  if (entry.own && notice.answered <= entry.own->answered) {
    return;
  }
  const bool newer = !entry.heard || notice.answered > entry.heard->answered ||
                     received - entry.heard_at > this->heard_time;
  if (newer) {
    entry.own.reset();
    entry.heard = notice;
    entry.heard_at = received;
  } else if (entry.heard->per_second == notice.per_second) {
    entry.heard_at = received;
  }
}

void ServerRateLimits::Expire(TimePoint now) {
  for (auto& [server, entry] : this->entries) {
    if (entry.heard && now - entry.heard_at > this->heard_time) {
      entry.heard.reset();
    }
    if (entry.own && this->IsOutdated(server, *entry.own, now)) {
      entry.own.reset();
    }
  }
  std::erase_if(this->entries, [](const auto& known) {
    return !known.second.own && !known.second.heard;
  });
}

bool ServerRateLimits::IsOutdated(const ServerLifetime& server,
                                  const Notice& own,
                                  TimePoint now) const {
  const Duration age = now - own.answered;
  if (!own.per_second) {
    return age > kEndedTime;
  }
  return age > kOwnNoticeTime && this->ShareOf(server, *own.per_second) <= 0;
}

}  // namespace boragewharf::serving
