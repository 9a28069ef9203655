/**
 * @file peer_table_base.cc
 * Other nodes and their counts.
 */
#include "fleet/peer_table_base.h"

#include <algorithm>
#include <cstdlib>

namespace boragewharf::fleet {
namespace {

/** Periods without a datagram after which a node counts as silent; single
 * losses are frequent. */
constexpr int kSilentPeriods = 4;

/** No node has appeared for this long: discovery has ended. */
constexpr std::chrono::milliseconds kSettled(200);

/** Time constant of a node's rate of use; a hot customer shows within it. */
constexpr double kUseMemorySeconds = 0.7;

/** One in so many nodes may be unheard; it may be down. */
constexpr size_t kUnheardShare = 5;

/** Nodes that restart at the same time start within this. */
constexpr std::chrono::milliseconds kStartSpread(1500);

/** Prefix sends kept between two summaries; bounds the memory of a node that
 * is slow. */
constexpr size_t kMaxPrefixNews = 8192;

/** Least number of nodes that confirm a time of day: two clocks that differ say
 * nothing of which one is right. */
constexpr size_t kMinAgreeing = 3;

/** Earlier processes remembered at an address; their last datagrams may arrive
 * after the first of the next process. */
constexpr size_t kMaxFormer = 8;

/** A silent node is forgotten after this; a cut lasts seconds. */
constexpr std::chrono::seconds kForgetAfter(15);

}  // namespace

bool IsSilent(TimePoint heard, Duration period, TimePoint now) {
  return now - heard > kSilentPeriods * period;
}

void UsageLedger::Merge(std::string_view node,
                        uint64_t incarnation,
                        const std::map<int64_t, serving::UsageCounts>& news) {
  if (news.empty()) {
    return;
  }
  ByWindow& known = this->counts[{std::string(node), incarnation}];
  for (const auto& [window, by_customer] : news) {
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

PeerTable::News PeerTable::Hear(const serving::PeerMessage& message,
                                TimePoint now) {
  const serving::NodeStatus& status = message.status;
  if (message.format != serving::kPeerFormat || status.ip == this->self_ip) {
    return News::kNone;
  }
  std::vector<std::string> told;
  for (const uint32_t ip : message.known_ips) {
    told.push_back(serving::UnpackIp(ip));
  }
  this->AddSeeds(told);
  const auto known = this->peers.find(status.ip);
  const bool same_process =
      known != this->peers.end() &&
      known->second.status.incarnation == status.incarnation;
  if (same_process && status.sequence <= known->second.status.sequence) {
    return News::kNone;
  }
  const bool ended =
      known != this->peers.end() &&
      std::ranges::count(known->second.former, status.incarnation) > 0;
  if (ended) {
    return News::kNone;
  }
  this->NoteAdmitted(message, same_process ? &known->second : nullptr, now);
  this->NotePrefixes(message.report);
  if (!same_process) {
    this->last_new = now;
  }
  const bool has_restarted = known != this->peers.end() && !same_process;
  PeerEntry& entry = this->peers[status.ip];
  if (has_restarted) {
    entry.use.clear();
    entry.former.push_back(entry.status.incarnation);
    if (entry.former.size() > kMaxFormer) {
      entry.former.pop_front();
    }
  }
  entry.status = status;
  entry.report = message.report;
  entry.report.prefixes.clear();
  entry.heard = now;
  return same_process ? News::kUpdate : News::kNewProcess;
}

void PeerTable::NoteAdmitted(const serving::PeerMessage& message,
                             PeerEntry* known,
                             TimePoint now) {
  for (const auto& [customer, total] : message.report.admitted) {
    if (known == nullptr) {
      // What it admitted before this process started is in the saved levels.
      if (!this->StartedBefore(message.status, now)) {
        this->admitted[customer] += static_cast<double>(total);
      }
      continue;
    }
    const auto found = known->report.admitted.find(customer);
    const uint64_t before =
        found == known->report.admitted.end() ? 0 : found->second;
    // Refunds can lower the total.
    auto used = static_cast<double>(total > before ? total - before : 0);
    RemoteUse& use = known->use[customer];
    if (now - known->heard > this->silent_after) {
      // While it was silent its share of the rate was kept for it.
      used = std::min(used, use.assumed);
    } else {
      const double passed =
          std::chrono::duration<double>(now - known->heard).count();
      if (passed > 0) {
        use.rate +=
            (used / passed - use.rate) * passed / (passed + kUseMemorySeconds);
      }
    }
    this->admitted[customer] += used - use.assumed;
    use.assumed = 0;
  }
}

bool PeerTable::StartedBefore(const serving::NodeStatus& status,
                              TimePoint now) const {
  return std::chrono::milliseconds(status.uptime_ms) >
         now - this->started + kStartSpread;
}

void PeerTable::NotePrefixes(const serving::TrafficReport& report) {
  if (this->prefixes.size() < kMaxPrefixNews) {
    this->prefixes.insert(this->prefixes.end(), report.prefixes.begin(),
                          report.prefixes.end());
  }
}

void PeerTable::AssumeAdmitted(PeerEntry& entry, TimePoint now) {
  const std::chrono::duration<double> since =
      entry.status.leaving ? Duration(0)
                           : std::min(now - entry.heard, this->silent_after);
  for (auto& [customer, use] : entry.use) {
    const double expected = use.rate * since.count();
    this->admitted[customer] += expected - use.assumed;
    use.assumed = expected;
  }
}

void PeerTable::NoteFetchFailed(std::string_view ip, TimePoint now) {
  const auto found = this->peers.find(ip);
  if (found != this->peers.end()) {
    found->second.fetch_failed = now;
  }
}

bool PeerTable::Informed(TimePoint now) const {
  size_t unheard = 0;
  for (const std::string& ip : this->seeds) {
    unheard += this->peers.contains(ip) ? 0 : 1;
  }
  return !this->peers.empty() && now - this->last_new > kSettled &&
         unheard * kUnheardShare <= this->peers.size();
}

void PeerTable::Expire(TimePoint now) {
  std::erase_if(this->peers, [&](const auto& entry) {
    return now - entry.second.heard > kForgetAfter;
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
    if (now - entry.heard < kForgetAfter / 2) {
      recent.push_back(serving::PackIp(ip));
    }
  }
  if (recent.size() > bound) {
    // Rotates through the table, so that each node is named in turn.
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
  for (auto& [ip, entry] : this->peers) {
    summary.nodes += 1;
    this->AssumeAdmitted(entry, now);
    for (const auto& [fingerprint, count] : entry.report.crashes) {
      summary.crashes[fingerprint] += count;
    }
    if (IsSilent(entry.heard, period, now)) {
      silent += entry.status.leaving ? 0 : 1;
      continue;  // Its requests have probably ended.
    }
    for (const auto& [server, load] : entry.report.loads) {
      serving::ServerLoad& total = summary.loads[server];
      total.running += load.running;
      total.prefill_tokens += load.prefill_tokens;
    }
  }
  summary.silent_share = static_cast<double>(silent) / summary.nodes;
  // A node that has just started has been told of more than it has heard.
  summary.nodes =
      std::max(summary.nodes, static_cast<uint32_t>(this->seeds.size()) + 1);
  summary.prefixes = std::move(this->prefixes);
  this->prefixes.clear();
  summary.admitted = std::move(this->admitted);
  this->admitted.clear();
  return summary;
}

std::vector<const PeerEntry*> PeerTable::Ready(Duration period,
                                               TimePoint now) const {
  std::vector<const PeerEntry*> ready;
  for (const auto& [ip, entry] : this->peers) {
    if (entry.status.ready && !entry.status.leaving &&
        !IsSilent(entry.heard, period, now)) {
      ready.push_back(&entry);
    }
  }
  return ready;
}

WallEstimate PeerTable::AgreedWall(const WallEstimate& own,
                                   Duration period,
                                   TimePoint now) const {
  std::vector<WallEstimate> estimates = {own};
  for (const auto& [ip, entry] : this->peers) {
    if (IsSilent(entry.heard, period, now) || entry.status.wall_ms == 0) {
      continue;
    }
    const auto since = std::chrono::duration_cast<std::chrono::milliseconds>(
        now - entry.heard);
    const serving::NodeStatus& status = entry.status;
    estimates.push_back({status.wall_ms + since.count(),
                         std::chrono::milliseconds(status.wall_age_ms) + since,
                         status.wall_confirmed});
  }
  const size_t heard = estimates.size();
  std::optional<Duration> oldest;
  for (const WallEstimate& estimate : estimates) {
    if (estimate.confirmed) {
      oldest = std::max(oldest.value_or(estimate.age), estimate.age);
    }
  }
  if (oldest) {
    std::erase_if(estimates, [&](const WallEstimate& estimate) {
      return !estimate.confirmed || estimate.age + kSameAge < *oldest;
    });
  }
  const auto middle =
      estimates.begin() + static_cast<std::ptrdiff_t>(estimates.size() / 2);
  std::ranges::nth_element(estimates, middle, {}, &WallEstimate::wall_ms);
  WallEstimate agreed = *middle;
  if (!agreed.confirmed) {
    const auto agrees = [&](const WallEstimate& estimate) {
      return std::abs(estimate.wall_ms - agreed.wall_ms) <= kClockTolerance;
    };
    const auto agreeing =
        static_cast<size_t>(std::ranges::count_if(estimates, agrees));
    const size_t nodes = std::max(heard, this->seeds.size() + 1);
    agreed.confirmed = agreeing >= kMinAgreeing && agreeing * 2 > nodes;
  }
  return agreed;
}

bool PeerTable::AnyConfirmsWall(Duration period, TimePoint now) const {
  return std::ranges::any_of(this->peers, [&](const auto& peer) {
    const PeerEntry& entry = peer.second;
    return entry.status.wall_confirmed && !IsSilent(entry.heard, period, now);
  });
}

}  // namespace boragewharf::fleet
