/**
 * @file server_rate_limits_base.h
 * Limits that servers in need name for the requests of all nodes together.
 */
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

#include "base/time_type.h"
#include "serving/leaving_servers_base.h"
#include "serving/shared_state_base.h"

namespace boragewharf::serving {

/** What a node tells the others of the limit of a server. */
struct RateLimitEntry {
  NameHash server = 0;
  uint64_t started = 0;    ///< Start of its lifetime, in Unix milliseconds.
  double per_second = -1;  ///< Negative: the server no longer names a limit.
  uint32_t age_ms = 0;     ///< Time since the answer.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->server, this->started, this->per_second, this->age_ms);
  }
};

/** Payload of ExtensionKind::kServerLimits. */
struct RateLimitReport {
  std::vector<RateLimitEntry> entries;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->entries);
  }
};

/**
 * Keeps the requests of all nodes to a server below the limit that the server
 * names in its answers, until an answer names none.
 *
 * Nodes do not ask each other for each request. Each limit is divided among as
 * many nodes as get about one request per second, chosen by rendezvous hashing
 * over the nodes that are heard, also those that are stopping; the others do
 * not use the server. If instead all nodes had a share, 100 nodes that each
 * send one request at once would exceed most limits.
 *
 * Pure state, without any I/O. Not thread-safe; times are passed in.
 */
class ServerRateLimits : public SharedState {
 public:
  ServerRateLimits();

  /**
   * Records the head of an answer.
   * @param per_second Limit that it names, not negative; empty if none.
   * @param sent When its request was sent. An answer without a limit counts
   *     only if that was after the last answer with one.
   */
  void RecordAnswer(const ServerLifetime& server,
                    std::optional<double> per_second,
                    TimePoint sent,
                    TimePoint now);

  /** Requests per second that the server takes; empty if not limited. */
  std::optional<double> LimitOf(const ServerLifetime& server,
                                TimePoint now) const;

  /** Whether this node may send a request to the server now. */
  bool Allows(const ServerLifetime& server, TimePoint now) const;

  /** Time until Allows(); empty if this node has no share of the limit. */
  std::optional<Duration> TimeUntilAllowed(const ServerLifetime& server,
                                           TimePoint now) const;

  /** Counts a request that this node sends to the server. */
  void CountRequest(const ServerLifetime& server, TimePoint now);

  /**
   * Servers of which this node has a share but has had no answer for a while.
   * They have to be asked whether the limit is still in force, since the nodes
   * without a share can't see its end. Each is returned once per period.
   */
  std::vector<ServerLifetime> TakeDueChecks(TimePoint now);

  /** Forgets all lifetimes that are not in @p present. */
  void Retain(const std::set<ServerLifetime>& present);

  /** Reports that could not be decoded, since start. */
  uint64_t InvalidReports() const { return this->invalid_reports; }

  void AppendExtensions(std::vector<PeerExtension>& extensions,
                        TimePoint now) override;
  void MergePeers(const PeerSummary& summary, TimePoint now) override;

 private:
  /** What an answer has said of the limit. */
  struct Notice {
    std::optional<double> per_second;  ///< Empty: no limit any more.
    TimePoint answered;
  };

  struct Entry {
    std::optional<Notice> own;    ///< From an answer to this node.
    std::optional<Notice> heard;  ///< From another node.
    TimePoint heard_at;           ///< When heard was last told.
    double allowance = 0;         ///< Requests that may be sent, as of updated.
    TimePoint updated;
    TimePoint next_check;  ///< See TakeDueChecks().
  };

  /** The newest notice; nullptr if none is known. */
  const Notice* Newest(const Entry& entry, TimePoint now) const;
  /** Requests per second of this node; 0 if it has no share. */
  double ShareOf(const ServerLifetime& server, double per_second) const;
  /** ShareOf() the limit in force; empty without one. */
  std::optional<double> RateOf(const ServerLifetime& server,
                               const Entry& entry,
                               TimePoint now) const;
  /** Requests that may be sent now; negative after too many. */
  static double AllowanceOf(const Entry& entry, double rate, TimePoint now);
  void MergeEntry(const RateLimitEntry& told, TimePoint received);
  /** Drops what is too old to be relied on. */
  void Expire(TimePoint now);
  /** Whether a notice of this node itself is too old. */
  bool IsOutdated(const ServerLifetime& server,
                  const Notice& own,
                  TimePoint now) const;

  std::map<ServerLifetime, Entry> entries;
  uint32_t own_ip = 0;
  std::vector<uint32_t> other_nodes;  ///< That are heard; PackIp().
  Duration heard_time;  ///< For which a notice holds if it is not repeated.
  uint64_t invalid_reports = 0;
};

}  // namespace boragewharf::serving
