/**
 * @file peer_table_base.h
 * The other nodes, from their datagrams.
 */
#pragma once

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

/** Counts of runs of one process, by window. */
struct ProcessUsage {
  std::string ip;
  uint64_t incarnation = 0;
  std::map<int64_t, serving::UsageCounts> counts;
};

/** Counts of runs by node and start of its process. */
class UsageLedger {
 public:
  /** Takes over a node's counts; counts of one process only rise. */
  void Merge(std::string_view node,
             uint64_t incarnation,
             const std::map<int64_t, serving::UsageCounts>& counts);

  /** Sum over all nodes for one window. */
  serving::UsageCounts Total(int64_t window) const;

  /** Counts of all processes that have any, from window @p oldest on. */
  std::vector<ProcessUsage> Export(int64_t oldest) const;

  /** Forgets windows before @p oldest. */
  void Forget(int64_t oldest);

 private:
  using ByWindow = std::map<int64_t, serving::UsageCounts>;
  std::map<std::pair<std::string, uint64_t>, ByWindow> counts;
};

/** Use of one customer's quota by another node. */
struct RemoteUse {
  double rate = 0;     ///< Units per second, smoothed.
  double assumed = 0;  ///< Units told to the traffic side before the report.
};

/** A node as last heard. */
struct PeerEntry {
  serving::NodeStatus status;
  serving::TrafficReport report;
  TimePoint heard;
  std::map<serving::NameHash, RemoteUse> use;  ///< By customer.
  std::optional<TimePoint> fetch_failed;  ///< Last failure to get its state.
  std::deque<uint64_t> former;  ///< Incarnations of earlier processes there.
};

/** An estimate of the time of day. */
struct WallEstimate {
  int64_t wall_ms = 0;
  Duration age{};          ///< For how long processes have handed it on.
  bool confirmed = false;  ///< Most nodes agreed on it once.
};

/** Estimates that agree this closely are taken as equal, in milliseconds. */
inline constexpr int64_t kClockTolerance = 300;

/** Estimates whose ages differ by less come from one start of the deployment;
 * its processes start within a second. */
inline constexpr std::chrono::seconds kSameAge(2);

/** All other nodes. Not thread-safe. */
class PeerTable {
 public:
  /**
   * @param self Address of this node; its own messages are ignored.
   * @param start When this process started.
   */
  explicit PeerTable(std::string self, TimePoint start = {})
      : self_ip(std::move(self)), started(start) {}

  /** Sets when this process started. */
  void SetStarted(TimePoint start) { this->started = start; }

  /** Addresses at which other nodes may be, besides those heard of. */
  void AddSeeds(const std::vector<std::string>& ips);

  /** What a datagram brought. */
  enum class News : uint8_t {
    kNone,        ///< Repeated, overtaken, or not for us.
    kUpdate,      ///< Newer state of a known process.
    kNewProcess,  ///< A node that was not known, or has restarted.
  };

  /** Takes over a datagram. */
  News Hear(const serving::PeerMessage& message, TimePoint now);

  /** A fetch of a node's state failed. */
  void NoteFetchFailed(std::string_view ip, TimePoint now);

  /**
   * Whether the reports of nearly all nodes arrive: none has appeared for a
   * while, and few of those told of are unheard.
   */
  bool Informed(TimePoint now) const;

  /** Forgets nodes that have been silent for long. */
  void Expire(TimePoint now);

  /** Addresses to send to. */
  std::vector<std::string> Targets() const;

  /** Addresses heard recently, to tell others; at most @p bound. */
  std::vector<uint32_t> RecentIps(size_t bound, TimePoint now) const;

  /**
   * What the traffic side needs; consumes the admitted quota units. What a
   * node has probably admitted since its last report is told in advance, and
   * corrected once the report arrives.
   */
  serving::PeerSummary TakeSummary(Duration period, TimePoint now);

  /** Nodes that have been heard within a few periods and are ready. */
  std::vector<const PeerEntry*> Ready(Duration period, TimePoint now) const;

  /**
   * The time of day that counts: the median of the estimates, @p own included.
   * If any is confirmed, only those that are, and have been handed on for as
   * long as any; a process that has just started knows only its own clock.
   */
  WallEstimate AgreedWall(const WallEstimate& own,
                          Duration period,
                          TimePoint now) const;

  /** Whether any node that is heard holds to a confirmed time of day. */
  bool AnyConfirmsWall(Duration period, TimePoint now) const;

  const std::map<std::string, PeerEntry, std::less<>>& All() const {
    return this->peers;
  }

 private:
  void NoteAdmitted(const serving::PeerMessage& message,
                    PeerEntry* known,
                    TimePoint now);
  void AssumeAdmitted(PeerEntry& entry, TimePoint now);
  bool StartedBefore(const serving::NodeStatus& status, TimePoint now) const;
  void NotePrefixes(const serving::TrafficReport& report);

  std::string self_ip;
  TimePoint started;
  std::map<std::string, PeerEntry, std::less<>> peers;
  std::set<std::string, std::less<>> seeds;  ///< Told of.
  TimePoint last_new;                        ///< When a node was first heard.
  Duration silent_after = Duration::max();
  std::vector<serving::PrefixSend> prefixes;  ///< Since the last summary.
  std::map<serving::NameHash, double> admitted;
};

/** Whether a node heard at @p heard counts as silent. */
bool IsSilent(TimePoint heard, Duration period, TimePoint now);

}  // namespace boragewharf::fleet
