/**
 * @file peer_table_base.cc
 * Table of the other nodes, and request counts by process.
 */
#include "fleet/peer_table_base.h"
#include "serving/crash_evidence_func.h"
#include "serving/crash_suspects_base.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace boragewharf::fleet {
namespace {

/** Message periods without a datagram after which a node counts as silent. Loss
 * of single datagrams is common. */
constexpr int kSilentPeriods = 4;

/** Discovery counts as complete once no new node has appeared for this long. */
constexpr std::chrono::milliseconds kDiscoverySettleTime(200);

/** Time constant of the smoothed rate at which a node uses a quota. A sudden
 * rise of a customer's demand shows within this time. */
constexpr double kUseRateTimeConstantSeconds = 0.7;

/** One announced address without any message is tolerated per this many known
 * nodes; that node may be down. */
constexpr size_t kPeersPerUnknownAddress = 5;

/** Nodes that restart together start within this time of each other. */
constexpr std::chrono::milliseconds kStartTimeTolerance(1500);

/** Largest number of prefix sends kept between two summaries. Bounds the memory
 * of a node that is slow to take summaries. */
constexpr size_t kMaxPendingPrefixes = 8192;

/** The same for crashes under requests. */
constexpr size_t kMaxPendingSuspects = 8192;

/** Largest sum of extension payloads kept between two summaries. */
constexpr size_t kMaxPendingExtensionBytes = size_t{1024} * 1024;

/** Smallest number of agreeing nodes that confirms a time of day. Two nodes are
 * not enough: if their clocks differ, either may be right. */
constexpr size_t kMinAgreeingNodes = 3;

/** Earlier incarnations remembered per address, to ignore datagrams of an ended
 * process that arrive after the first one of the next process. */
constexpr size_t kMaxFormerIncarnations = 8;

/** A node is removed from the table after this much silence. Network partitions
 * last only seconds. */
constexpr std::chrono::seconds kForgetPeerAfter(15);

}  // namespace

bool IsSilent(TimePoint last_message_at, Duration period, TimePoint now) {
  return now - last_message_at > kSilentPeriods * period;
}

std::optional<uint8_t> ForwardingFlags(const serving::PeerMessage& message) {
  constexpr auto kKind =
      static_cast<uint16_t>(serving::ExtensionKind::kForwarding);
  for (const serving::PeerExtension& extension : message.report.extensions) {
    if (extension.kind == kKind && extension.payload.size() == 1) {
      return static_cast<uint8_t>(extension.payload.front());
    }
  }
  return std::nullopt;
}

void UsageLedger::Merge(std::string_view node,
                        uint64_t incarnation,
                        const std::map<int64_t, serving::UsageCounts>& update) {
  if (update.empty()) {
    return;
  }
  ByWindow& known = this->counts[{std::string(node), incarnation}];
  for (const auto& [window, by_customer] : update) {
    for (const auto& [customer, count] : by_customer) {
      uint32_t& value = known[window][customer];
      value = std::max(value, count);
    }
  }
}

serving::UsageCounts UsageLedger::Total(int64_t window) const {
  serving::UsageCounts total;
  for (const auto& [process, by_window] : this->counts) {
    const auto found = by_window.find(window);
    if (found == by_window.end()) {
      continue;
    }
    for (const auto& [customer, count] : found->second) {
      total[customer] += count;
    }
  }
  return total;
}

std::vector<ProcessUsage> UsageLedger::Export(int64_t oldest) const {
  std::vector<ProcessUsage> exported;
  for (const auto& [process, by_window] : this->counts) {
    const auto first = by_window.lower_bound(oldest);
    if (first == by_window.end()) {
      continue;
    }
    exported.push_back(
        {process.first, process.second, {first, by_window.end()}});
  }
  return exported;
}

void UsageLedger::Forget(int64_t oldest) {
  for (auto& [process, by_window] : this->counts) {
    std::erase_if(by_window,
                  [&](const auto& window) { return window.first < oldest; });
  }
  std::erase_if(this->counts,
                [](const auto& entry) { return entry.second.empty(); });
}

void PeerTable::AddSeeds(const std::vector<std::string>& ips) {
  for (const std::string& ip : ips) {
    if (ip != this->self_ip) {
      this->seeds.insert(ip);
    }
  }
}

PeerTable::ReceiveResult PeerTable::Receive(const serving::PeerMessage& message,
                                            TimePoint now) {
  const serving::NodeStatus& status = message.status;
  if (message.format != serving::kPeerFormat || status.ip == this->self_ip) {
    return ReceiveResult::kDiscarded;
  }
  std::vector<std::string> announced_ips;
  for (const uint32_t ip : message.known_ips) {
    announced_ips.push_back(serving::UnpackIp(ip));
  }
  this->AddSeeds(announced_ips);
  const auto known = this->peers.find(status.ip);
  const bool same_process =
      known != this->peers.end() &&
      known->second.status.incarnation == status.incarnation;
  if (same_process && status.sequence <= known->second.status.sequence) {
    return ReceiveResult::kDiscarded;
  }
  const bool is_former_process =
      known != this->peers.end() &&
      std::ranges::count(known->second.former_incarnations,
                         status.incarnation) > 0;
  if (is_former_process) {
    return ReceiveResult::kDiscarded;
  }
  this->AddAdmitted(message, same_process ? &known->second : nullptr, now);
  this->AddPrefixes(message.report);
  this->AddSuspects(message.report, now);
  this->AddExtensions(message, now);
  if (!same_process) {
    this->last_new_process = now;
  }
  const bool has_restarted = known != this->peers.end() && !same_process;
  PeerEntry& entry = this->peers[status.ip];
  if (has_restarted) {
    entry.quota_use.clear();
    entry.former_incarnations.push_back(entry.status.incarnation);
    if (entry.former_incarnations.size() > kMaxFormerIncarnations) {
      entry.former_incarnations.pop_front();
    }
  }
  entry.status = status;
  const std::optional<uint8_t> flags = ForwardingFlags(message);
  entry.forwards = flags.has_value();
  if (same_process && flags && (*flags & serving::kPartial) != 0) {
    entry.report.admitted = message.report.admitted;
    entry.report.leaving = message.report.leaving;
  } else {
    entry.report = message.report;
    entry.report.prefixes.clear();
    if (entry.report.suspects) {
      *entry.report.suspects = {};
    }
    serving::SetTimes(entry.report.crash_evidence, now);
  }
  if (!same_process || now - entry.last_message_at > this->silent_after) {
    entry.heard_since = now;
  }
  entry.last_message_at = now;
  return same_process ? ReceiveResult::kUpdate : ReceiveResult::kNewProcess;
}

void PeerTable::AddAdmitted(const serving::PeerMessage& message,
                            PeerEntry* known,
                            TimePoint now) {
  for (const auto& [customer, total] : message.report.admitted) {
    if (known == nullptr) {
      // The saved quota levels already include what the peer admitted before
      // this process started.
      if (!this->StartedBeforeThisProcess(message.status, now)) {
        this->admitted[customer] += static_cast<double>(total);
      }
      continue;
    }
    const auto found = known->report.admitted.find(customer);
    const uint64_t before =
        found == known->report.admitted.end() ? 0 : found->second;
    // Refunds can lower the total, so it may be less than before.
    auto used = static_cast<double>(total > before ? total - before : 0);
    RemoteQuotaUse& quota_use = known->quota_use[customer];
    if (now - known->last_message_at > this->silent_after) {
      // While the peer was silent, its share of the rate was reserved for it.
      used = std::min(used, quota_use.estimated);
    } else {
      const double seconds_passed =
          std::chrono::duration<double>(now - known->last_message_at).count();
      if (seconds_passed > 0) {
        quota_use.rate += (used / seconds_passed - quota_use.rate) *
                          seconds_passed /
                          (seconds_passed + kUseRateTimeConstantSeconds);
      }
    }
    this->admitted[customer] += used - quota_use.estimated;
    quota_use.estimated = 0;
  }
}

bool PeerTable::StartedBeforeThisProcess(const serving::NodeStatus& status,
                                         TimePoint now) const {
  return std::chrono::milliseconds(status.uptime_ms) >
         now - this->started + kStartTimeTolerance;
}

void PeerTable::AddPrefixes(const serving::TrafficReport& report) {
  if (this->prefixes.size() < kMaxPendingPrefixes) {
    this->prefixes.insert(this->prefixes.end(), report.prefixes.begin(),
                          report.prefixes.end());
  }
}

void PeerTable::AddSuspects(const serving::TrafficReport& report,
                            TimePoint now) {
  if (!report.suspects ||
      this->suspects.crashes.size() >= kMaxPendingSuspects) {
    return;
  }
  serving::SuspectReport received = *report.suspects;
  serving::SetTimes(received, now);
  this->suspects.crashes.insert(this->suspects.crashes.end(),
                                received.crashes.begin(),
                                received.crashes.end());
  this->suspects.answers.insert(this->suspects.answers.end(),
                                received.answers.begin(),
                                received.answers.end());
}

void PeerTable::AddExtensions(const serving::PeerMessage& message,
                              TimePoint now) {
  constexpr auto kForwarding =
      static_cast<uint16_t>(serving::ExtensionKind::kForwarding);
  for (const serving::PeerExtension& extension : message.report.extensions) {
    if (extension.kind == kForwarding) {
      continue;  // For this table only.
    }
    const size_t bytes = extension.payload.size();
    if (this->extension_bytes + bytes > kMaxPendingExtensionBytes) {
      return;
    }
    this->extension_bytes += bytes;
    this->extensions.push_back({serving::PackIp(message.status.ip),
                                message.status.incarnation, now, extension.kind,
                                extension.payload});
  }
}

void PeerTable::AddEstimatedUse(PeerEntry& entry, TimePoint now) {
  const std::chrono::duration<double> unreported =
      entry.status.leaving
          ? Duration(0)
          : std::min(now - entry.last_message_at, this->silent_after);
  for (auto& [customer, quota_use] : entry.quota_use) {
    const double expected = quota_use.rate * unreported.count();
    this->admitted[customer] += expected - quota_use.estimated;
    quota_use.estimated = expected;
  }
}

void PeerTable::RecordFetchFailure(std::string_view ip, TimePoint now) {
  const auto found = this->peers.find(ip);
  if (found != this->peers.end()) {
    found->second.fetch_failed = now;
  }
}

bool PeerTable::HasFullView(TimePoint now) const {
  size_t unknown = 0;
  for (const std::string& ip : this->seeds) {
    unknown += this->peers.contains(ip) ? 0 : 1;
  }
  return !this->peers.empty() &&
         now - this->last_new_process > kDiscoverySettleTime &&
         unknown * kPeersPerUnknownAddress <= this->peers.size();
}

void PeerTable::Expire(TimePoint now) {
  std::erase_if(this->peers, [&](const auto& entry) {
    return now - entry.second.last_message_at > kForgetPeerAfter;
  });
}

std::vector<std::string> PeerTable::Targets() const {
  std::vector<std::string> targets;
  for (const auto& [ip, entry] : this->peers) {
    targets.push_back(ip);
  }
  for (const std::string& ip : this->seeds) {
    if (!this->peers.contains(ip)) {
      targets.push_back(ip);
    }
  }
  return targets;
}

std::vector<uint32_t> PeerTable::RecentIps(size_t bound, TimePoint now) const {
  std::vector<uint32_t> recent;
  for (const auto& [ip, entry] : this->peers) {
    if (now - entry.last_message_at < kForgetPeerAfter / 2) {
      recent.push_back(serving::PackIp(ip));
    }
  }
  if (recent.size() > bound) {
    // Starts at a position that depends on the time, so that all nodes are
    // announced in turn.
    const size_t start =
        static_cast<size_t>(now.time_since_epoch().count()) % recent.size();
    std::rotate(recent.begin(),
                recent.begin() + static_cast<std::ptrdiff_t>(start),
                recent.end());
    recent.resize(bound);
  }
  return recent;
}

serving::PeerSummary PeerTable::TakeSummary(Duration period, TimePoint now) {
  serving::PeerSummary summary;
  uint32_t silent = 0;
  this->silent_after = kSilentPeriods * period;
  summary.message_period = period;
  for (auto& [ip, entry] : this->peers) {
    summary.nodes += 1;
    const serving::CrashEvidence& evidence = entry.report.crash_evidence;
    if (!evidence.crashes.empty() || !evidence.blocked.empty() ||
        !evidence.successes.empty()) {
      summary.crash_evidence.push_back(evidence);
    }
    this->AddEstimatedUse(entry, now);
    if (!entry.report.suspects) {
      for (const auto& [fingerprint, count] : entry.report.crashes) {
        summary.crashes[fingerprint] += count;
      }
    }
    for (serving::LeavingServer leaving : entry.report.leaving) {
      leaving.age_ms += static_cast<uint32_t>(
          std::chrono::duration_cast<std::chrono::milliseconds>(
              now - entry.last_message_at)
              .count());
      summary.leaving.push_back(leaving);
    }
    if (IsSilent(entry.last_message_at, period, now)) {
      silent += entry.status.leaving ? 0 : 1;
      continue;  // Its requests have probably ended, so its load is left out.
    }
    summary.heard_ips.push_back(serving::PackIp(ip));
    for (const auto& [server, load] : entry.report.loads) {
      serving::ServerLoad& total = summary.loads[server];
      total.running += load.running;
      total.prefill_tokens += load.prefill_tokens;
    }
  }
  summary.silent_share = static_cast<double>(silent) / summary.nodes;
  summary.ready_nodes = static_cast<uint32_t>(this->Ready(period, now).size());
  summary.own_ip = serving::PackIp(this->self_ip);
  // A node that has just started knows more addresses than it has received
  // messages from.
  summary.nodes =
      std::max(summary.nodes, static_cast<uint32_t>(this->seeds.size()) + 1);
  summary.prefixes = std::move(this->prefixes);
  this->prefixes.clear();
  summary.suspects = std::exchange(this->suspects, {});
  summary.extensions = std::exchange(this->extensions, {});
  this->extension_bytes = 0;
  summary.admitted = std::move(this->admitted);
  this->admitted.clear();
  return summary;
}

std::vector<const PeerEntry*> PeerTable::Ready(Duration period,
                                               TimePoint now) const {
  std::vector<const PeerEntry*> ready;
  for (const auto& [ip, entry] : this->peers) {
    if (entry.status.ready && !entry.status.leaving &&
        !IsSilent(entry.last_message_at, period, now)) {
      ready.push_back(&entry);
    }
  }
  return ready;
}

WallTimeEstimate PeerTable::AgreedWallTime(const WallTimeEstimate& own,
                                           Duration period,
                                           TimePoint now) const {
  std::vector<WallTimeEstimate> estimates = {own};
  for (const auto& [ip, entry] : this->peers) {
    if (IsSilent(entry.last_message_at, period, now) ||
        entry.status.wall_ms == 0) {
      continue;
    }
    const auto since = std::chrono::duration_cast<std::chrono::milliseconds>(
        now - entry.last_message_at);
    const serving::NodeStatus& status = entry.status;
    estimates.push_back({status.wall_ms + since.count(),
                         std::chrono::milliseconds(status.wall_age_ms) + since,
                         status.wall_confirmed});
  }
  const size_t node_count = estimates.size();
  std::optional<Duration> oldest;
  for (const WallTimeEstimate& estimate : estimates) {
    if (estimate.confirmed) {
      oldest = std::max(oldest.value_or(estimate.age), estimate.age);
    }
  }
  if (oldest) {
    std::erase_if(estimates, [&](const WallTimeEstimate& estimate) {
      return !estimate.confirmed ||
             estimate.age + kSameStartTolerance < *oldest;
    });
  }
  const auto middle =
      estimates.begin() + static_cast<std::ptrdiff_t>(estimates.size() / 2);
  std::ranges::nth_element(estimates, middle, {}, &WallTimeEstimate::wall_ms);
  WallTimeEstimate agreed = *middle;
  if (!agreed.confirmed) {
    const auto agrees = [&](const WallTimeEstimate& estimate) {
      return std::abs(estimate.wall_ms - agreed.wall_ms) <= kClockTolerance;
    };
    const auto agreeing =
        static_cast<size_t>(std::ranges::count_if(estimates, agrees));
    const size_t nodes = std::max(node_count, this->seeds.size() + 1);
    agreed.confirmed = agreeing >= kMinAgreeingNodes && agreeing * 2 > nodes;
  }
  return agreed;
}

bool PeerTable::AnyPeerConfirmsWallTime(Duration period, TimePoint now) const {
  return std::ranges::any_of(this->peers, [&](const auto& peer) {
    const PeerEntry& entry = peer.second;
    return entry.status.wall_confirmed &&
           !IsSilent(entry.last_message_at, period, now);
  });
}

}  // namespace boragewharf::fleet
