/**
 * @file speed_exchange.cc
 * Reports of samples between nodes.
 */
#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include "base/body_func.h"
#include "sample_bounds.h"
#include "servermodel/server_speeds_base.h"
#include "serving/peer_type.h"

namespace boragewharf::servermodel {
namespace {

/** Bytes of reports that a node receives per second at most, when it hears all
 * nodes: a third of what a node of 300 may spend on all messages. */
constexpr double kReceivedBytesPerSecond = 20000;

/** Least entries of a full report, while that rate is not known to suffice. */
constexpr double kMinReportEntries = 8;

/** Reports of a node are dropped after this multiple of kRecentSeconds, when
 * their samples have no weight any more. */
constexpr double kReportLifetimeFactor = 4;

/** Most nodes of which reports are kept; three times the planned number. */
constexpr size_t kMaxPeers = 4096;

template <class Number>
Number ToFixed(double value, double scale) {
  const double bounded = std::clamp<double>(std::round(value * scale),
                                            std::numeric_limits<Number>::min(),
                                            std::numeric_limits<Number>::max());
  return static_cast<Number>(bounded);
}

}  // namespace

std::optional<SpeedReport> DecodeReport(std::string_view payload) {
  if (payload.size() > kMaxReportBytes) {
    return std::nullopt;
  }
  return DecodeBody<SpeedReport>(payload);
}

size_t ServerSpeeds::MaxEntries() const {
  const double bytes =
      kReceivedBytesPerSecond * Seconds(this->message_period) / this->nodes;
  const double entries = (bytes - kReportHeadBytes) / kEntryBytes;
  return static_cast<size_t>(
      std::clamp<double>(entries, kMinReportEntries, kMaxReportEntries));
}

void ServerSpeeds::ChooseReported(TimePoint now) {
  std::vector<std::pair<TimePoint, serving::NameHash>> due;
  for (const auto& [key, server] : this->servers) {
    if (server.last_sample > server.reported_at) {
      due.emplace_back(server.reported_at, key);
    }
  }
  std::ranges::sort(due);
  due.resize(std::min(due.size(), this->MaxEntries()));
  this->reported.clear();
  for (const auto& [reported_at, key] : due) {
    this->servers[key].reported_at = now;
    this->reported.push_back(key);
  }
}

void ServerSpeeds::AppendExtensions(
    std::vector<serving::PeerExtension>& extensions,
    TimePoint now) {
  // The same servers are reported until a message has been sent.
  if (now >= this->reported_until) {
    this->reported_until = now + this->message_period;
    this->ChooseReported(now);
  }
  SpeedReport report;
  for (const serving::NameHash key : this->reported) {
    const auto found = this->servers.find(key);
    if (found == this->servers.end()) {
      continue;
    }
    DecayOwn(found->second, now);
    const Samples& own = found->second.own;
    SpeedEntry& entry = report.entries.emplace_back();
    entry.lifetime = key;
    if (own.weight > 0) {
      entry.log_speed = ToFixed<int8_t>(BoundLog(own.Mean()), kLogScale);
      entry.weight = ToFixed<uint8_t>(own.weight, kWeightScale);
    }
    // Scaled together, so that a busy server's share of failures is kept.
    constexpr double kMaxCount =
        std::numeric_limits<uint8_t>::max() / kCountScale;
    const double factor = std::min(1.0, kMaxCount / std::max(1.0, own.ended));
    entry.ended = ToFixed<uint8_t>(own.ended * factor, kCountScale);
    entry.failed = ToFixed<uint8_t>(own.failed * factor, kCountScale);
  }
  if (report.entries.empty()) {
    return;
  }
  serving::PeerExtension extension;
  extension.kind = static_cast<uint16_t>(serving::ExtensionKind::kServerSpeeds);
  extension.scope = serving::ExtensionScope::kAllRegions;
  extension.payload = EncodeBody(report);
  extensions.push_back(std::move(extension));
}

void ServerSpeeds::MergePeers(const serving::PeerSummary& summary,
                              TimePoint now) {
  this->nodes = std::max<uint32_t>(1, summary.nodes);
  this->message_period = summary.message_period;
  for (auto& [service, fits] : this->services) {
    const auto speed = summary.prefill_speeds.find(serving::HashName(service));
    fits.tokens_per_ms =
        speed == summary.prefill_speeds.end() ? 0 : speed->second;
  }
  for (const serving::ReceivedExtension& extension : summary.extensions) {
    if (extension.kind !=
        static_cast<uint16_t>(serving::ExtensionKind::kServerSpeeds)) {
      continue;
    }
    const auto report = DecodeReport(extension.payload);
    if (!report) {
      this->invalid_reports += 1;
      continue;
    }
    this->MergeReport(extension.sender, *report, extension.received);
  }
  for (auto& [sender, entries] : this->peers) {
    std::erase_if(entries, [&](const PeerEntry& entry) {
      return Seconds(now - entry.received) >
             kReportLifetimeFactor * kRecentSeconds;
    });
  }
  std::erase_if(this->peers,
                [](const auto& peer) { return peer.second.empty(); });
  this->Update(now);
}

void ServerSpeeds::MergeReport(uint32_t sender,
                               const SpeedReport& report,
                               TimePoint received) {
  if (this->peers.size() >= kMaxPeers && !this->peers.contains(sender)) {
    return;
  }
  std::vector<PeerEntry>& entries = this->peers[sender];
  for (const SpeedEntry& told : report.entries) {
    if (!this->servers.contains(told.lifetime)) {
      continue;
    }
    // A new entry replaces the sender's last one for the server.
    const auto last = std::ranges::find(
        entries, told.lifetime,
        [](const PeerEntry& known) { return known.entry.lifetime; });
    if (last != entries.end()) {
      *last = {received, told};
    } else {
      entries.push_back({received, told});
    }
  }
}

}  // namespace boragewharf::servermodel
