/**
 * @file peer_table_base.h
 * Table of the other nodes, built from their datagrams.
 */
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/time_type.h"
#include "serving/peer_type.h"

namespace boragewharf::fleet {

/** Request counts of one process, by usage window. */
struct ProcessUsage {
  std::string ip;
  uint64_t incarnation = 0;
  std::map<int64_t, serving::UsageCounts> counts;
};

/** Request counts by node address and incarnation of its process. */
class UsageLedger {
 public:
  /** Merges in a process's counts. Keeps the higher count of each window and
   * customer, because the counts of one process never decrease. */
  void Merge(std::string_view node,
             uint64_t incarnation,
             const std::map<int64_t, serving::UsageCounts>& counts);

  /** Sum of the counts of all processes for one window. */
  serving::UsageCounts Total(int64_t window) const;

  /** Counts of all processes from window @p oldest on. Processes without any
   * are left out. */
  std::vector<ProcessUsage> Export(int64_t oldest) const;

  /** Removes windows before @p oldest. */
  void Forget(int64_t oldest);

 private:
  using ByWindow = std::map<int64_t, serving::UsageCounts>;
  std::map<std::pair<std::string, uint64_t>, ByWindow> counts;
};

/** Another node's use of one customer's quota. */
struct RemoteQuotaUse {
  double rate = 0;  ///< Units per second, smoothed.
  /** Units since the last report that were estimated from the rate and already
   * passed to the data plane. */
  double estimated = 0;
};

/** Latest state of another node. */
struct PeerEntry {
  serving::NodeStatus status;
  serving::TrafficReport report;
  TimePoint last_message_at;  ///< Arrival of its last message.
  /** First message of its process, or the first one after it was silent. */
  TimePoint heard_since;
  std::map<serving::NameHash, RemoteQuotaUse> quota_use;  ///< By customer.
  /** Last time that fetching state from it failed. */
  std::optional<TimePoint> fetch_failed;
  /** It forwards messages and understands compressed ones. */
  bool forwards = false;
  /** Incarnations of earlier processes at this address. */
  std::deque<uint64_t> former_incarnations;
};

/** An estimate of the time of day. */
struct WallTimeEstimate {
  int64_t wall_ms = 0;
  /** How long the estimate has been passed on from process to process. */
  Duration age{};
  /** A majority of the nodes has agreed on this estimate. */
  bool confirmed = false;
};

/** Estimates that differ by at most this many milliseconds count as equal. */
inline constexpr int64_t kClockTolerance = 300;

/** Estimates whose ages differ by less than this date from the same start of
 * the deployment, whose processes start within a second of each other. */
inline constexpr std::chrono::seconds kSameStartTolerance(2);

/** Flags of the message's kForwarding extension; empty if it has none. */
std::optional<uint8_t> ForwardingFlags(const serving::PeerMessage& message);

/** Table of all other nodes. Not thread-safe. */
class PeerTable {
 public:
  /**
   * @param self Address of this node. Messages from it are ignored.
   * @param start When this process started.
   */
  explicit PeerTable(std::string self, TimePoint start = {})
      : self_ip(std::move(self)), started(start) {}

  /** Sets when this process started. */
  void SetStarted(TimePoint start) { this->started = start; }

  /** Adds addresses at which other nodes may run. */
  void AddSeeds(const std::vector<std::string>& ips);

  /** Result of processing a datagram. */
  enum class ReceiveResult : uint8_t {
    kDiscarded,   ///< Duplicate, out of order, or not usable by this
                  ///< node.
    kUpdate,      ///< Newer state of a known process.
    kNewProcess,  ///< First message of a node that is new or has restarted.
  };

  /** Processes a datagram. */
  ReceiveResult Receive(const serving::PeerMessage& message, TimePoint now);

  /** Records that fetching state from a node failed. */
  void RecordFetchFailure(std::string_view ip, TimePoint now);

  /**
   * Whether nearly all nodes are known: no new node has appeared for a while,
   * and few of the announced addresses have sent no message yet.
   */
  bool HasFullView(TimePoint now) const;

  /** Removes nodes that have been silent for a long time. */
  void Expire(TimePoint now);

  /** Addresses to send messages to: all known nodes, and announced addresses
   * that have not been heard from. */
  std::vector<std::string> Targets() const;

  /** At most @p bound addresses of nodes heard from recently, to be announced
   * to other nodes. */
  std::vector<uint32_t> RecentIps(size_t bound, TimePoint now) const;

  /**
   * Summary of the other nodes for the data plane. It contains the quota units
   * that they have admitted since the last call, including an estimate of what
   * each node has admitted since its last report. Later summaries correct the
   * estimate when the report arrives.
   */
  serving::PeerSummary TakeSummary(Duration period, TimePoint now);

  /** Nodes that are ready and not silent, see IsSilent(). */
  std::vector<const PeerEntry*> Ready(Duration period, TimePoint now) const;

  /**
   * Time of day that the nodes agree on: the median of all estimates, including
   * @p own. If any estimate is confirmed, only confirmed estimates of about the
   * highest age count, because a process that has just started knows only its
   * own clock.
   */
  WallTimeEstimate AgreedWallTime(const WallTimeEstimate& own,
                                  Duration period,
                                  TimePoint now) const;

  /** Whether any node that is not silent has a confirmed time of day. */
  bool AnyPeerConfirmsWallTime(Duration period, TimePoint now) const;

  const std::map<std::string, PeerEntry, std::less<>>& All() const {
    return this->peers;
  }

  /** Number of nodes that are known or announced; at least that of All(). */
  size_t KnownAddresses() const {
    return std::max(this->peers.size(), this->seeds.size());
  }

 private:
  void AddAdmitted(const serving::PeerMessage& message,
                   PeerEntry* known,
                   TimePoint now);
  void AddEstimatedUse(PeerEntry& entry, TimePoint now);
  bool StartedBeforeThisProcess(const serving::NodeStatus& status,
                                TimePoint now) const;
  void AddPrefixes(const serving::TrafficReport& report);
  void AddSuspects(const serving::TrafficReport& report, TimePoint now);
  void AddExtensions(const serving::PeerMessage& message, TimePoint now);

  std::string self_ip;
  TimePoint started;
  std::map<std::string, PeerEntry, std::less<>> peers;
  /** Addresses from settings or other nodes. */
  std::set<std::string, std::less<>> seeds;
  TimePoint last_new_process;  ///< When a process last sent its first message.
  /** Silence after which a node counts as silent. */
  Duration silent_after = Duration::max();
  /** Prefix sends reported since the last summary. */
  std::vector<serving::PrefixSend> prefixes;
  /** Crashes under requests reported since the last summary. */
  serving::SuspectReport suspects;
  /** Extensions received since the last summary. */
  std::vector<serving::ReceivedExtension> extensions;
  size_t extension_bytes = 0;  ///< Sum of their payloads.
  /** Units by customer since the last summary. */
  std::map<serving::NameHash, double> admitted;
};

/** Whether a node whose last message arrived at @p last_message_at counts as
 * silent. */
bool IsSilent(TimePoint last_message_at, Duration period, TimePoint now);

}  // namespace boragewharf::fleet
