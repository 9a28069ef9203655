/**
 * @file server_pool_base.h
 * Backend servers with their connections, load and recent failures.
 */
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "httpio/http_channel_base.h"
#include "relay/upstream_connection_base.h"
#include "rollout/rollout_agent_base.h"
#include "serving/leaving_servers_base.h"
#include "serving/peer_type.h"
#include "serving/request_type.h"
#include "serving/retry_base.h"
#include "serving/routing_policy_base.h"
#include "serving/server_rate_limits_base.h"
#include "serving/server_type.h"

namespace boragewharf::relay {

/** A request whose connection to its server broke without a response. */
struct BrokenRequest {
  TimePoint broken_at;
  uint64_t fingerprint = 0;  ///< See serving::RequestFingerprint().
  std::string attempt_id;
  std::vector<uint64_t> shared_parts;  ///< Ids, in the order of the prompt.
};

/** A request that was running on a server when it crashed. */
struct CrashSuspect {
  std::string server_id;
  uint64_t server_started = 0;  ///< Unix milliseconds.
  std::string service;
  BrokenRequest request;
};

/** What a request requires of a server. */
struct ServerRequirements {
  std::string_view service;
  /** Version of the software; empty: any. */
  std::optional<std::string_view> version;
  std::vector<std::string> excluded;  ///< Ids of servers.
};

/** A backend server and this node's state for it. */
struct PooledServer {
  serving::BackendServer server;
  serving::Distance distance = serving::Distance::kSameZone;
  bool listed = true;  ///< False once it is missing from the platform's list.
  bool notice_requested = false;  ///< Asked when it will stop.
  TimePoint unlisted_at;
  std::optional<TimePoint> stops_at;  ///< Expected stop: reported by the
                                      ///< server, or assumed until then.
  serving::ServerLoad own_load;       ///< Load caused by this node.
  serving::ServerLoad peer_load;      ///< Load reported by the other nodes.
  double failure_rate = 0;            ///< Share of failed attempts, smoothed.
  uint32_t failures_in_row = 0;
  TimePoint avoid_until;
  double speed = 1;               ///< Learned; 1 is the service's average.
  double shared_failures = 0;     ///< Share of failed attempts at all nodes.
  bool for_long_prompts = false;  ///< Set aside for them.
  TimePoint cold_until;           ///< Warms up until then.
  /** Until then the server wants no requests from this node. */
  TimePoint no_requests_until;
  /** When a connection last failed. The entry may be that of a former lifetime
   * since, and the server may have another version; empty again once a report
   * shows that the lifetime has not changed. */
  std::optional<TimePoint> unreached_at;
  TimePoint next_lifetime_check;  ///< See TakeDueLifetimeChecks().
  std::deque<std::shared_ptr<UpstreamConnection>> idle;
  /** By prefix hash, when any node last sent a request with it here. */
  std::unordered_map<uint32_t, TimePoint> prefixes;
  std::unique_ptr<httpio::HttpChannel> call_channel;  ///< See CallChannel().
  std::deque<BrokenRequest> broken_requests;          ///< Oldest first.
  bool crash_probe_pending = false;  ///< See ServerPool::ProbeForCrash().
  /** A report has shown that the entry is that of a former lifetime. */
  bool restarted = false;
};

/** All backend servers. Not thread-safe; used on the traffic loop. */
class ServerPool {
 public:
  /** @param leaving_check_period Time after which a server that is leaving
   * but still listed as ready is asked again. */
  ServerPool(boost::asio::io_context& loop,
             std::string zone,
             std::string region,
             std::map<std::string, std::string> zone_regions,
             Duration leaving_check_period);

  /** Sets what selects servers by their version; not owned, may be nullptr. */
  void SetRolloutAgent(rollout::RolloutAgent* agent) {
    this->rollout_agent = agent;
  }

  /** Applies a new list. Requests that run on removed servers go on. */
  void Update(const serving::ServerSet& set, TimePoint now);

  /** Replaces the load that the other nodes reported. */
  void UpdatePeerLoads(
      const std::map<serving::NameHash, serving::ServerLoad>& loads,
      TimePoint now);

  /** Records that this node sends a request with a shared prefix to a server.
   */
  void RecordPrefix(PooledServer& server, uint64_t shared_part, TimePoint now);

  /** Records the prefixes that other nodes sent to servers. */
  void UpdatePeerPrefixes(const std::vector<serving::PrefixSend>& sends,
                          TimePoint now);

  /** Prefixes that this node recently sent to servers, oldest first. */
  const std::deque<serving::PrefixSend>& OwnPrefixes() const {
    return this->own_prefixes;
  }

  /** When UpdatePeerLoads() was last called. */
  TimePoint PeerLoadsAt() const { return this->peer_loads_at; }

  /** Server by id, or nullptr. */
  std::shared_ptr<PooledServer> Find(std::string_view id) const;

  /** Servers to which this node may send a request now. A required version
   * comes before the phase of a roll-out. */
  std::vector<std::shared_ptr<PooledServer>> Candidates(
      const ServerRequirements& required,
      TimePoint now) const;

  /** Candidates(), also those that would get more than their limit. */
  std::vector<std::shared_ptr<PooledServer>> CandidatesBeyondLimits(
      const ServerRequirements& required,
      TimePoint now) const;

  /** Whether a server is listed that meets the requirements and is not
   * stopping, even if it wants no requests now. */
  bool Serves(const ServerRequirements& required) const;

  /**
   * Time until the first server accepts requests again.
   * @return Empty if one accepts requests now, or none will.
   */
  std::optional<Duration> TimeUntilCandidate(const ServerRequirements& required,
                                             TimePoint now) const;

  /** Whether a server is leaving, by its own answers or another node's word. */
  bool IsLeaving(const PooledServer& server) const;

  /** Whether requests that run on a server may be cut off by its end. */
  bool IsStopping(const PooledServer& server) const {
    return !server.listed || server.server.draining || this->IsLeaving(server);
  }

  /**
   * Records what a server says of itself in the head of any answer.
   * @param sent When the request was sent.
   * @return Whether it says for the first time that it is leaving.
   */
  bool RecordAnswer(PooledServer& server,
                    const serving::ResponseFacts& facts,
                    TimePoint sent,
                    TimePoint now);

  /** Counts a request of any kind that is sent to a server. */
  void CountRequest(const PooledServer& server, TimePoint now) {
    this->rate_limits.CountRequest(LifetimeOf(server), now);
  }

  /** Whether the entry of a server may be that of a former lifetime, so that
   * its version is not known. */
  static bool IsOutdated(const PooledServer& server, TimePoint now);

  /** Servers whose report is to tell now whether their entry is outdated. */
  std::vector<std::shared_ptr<PooledServer>> TakeDueLifetimeChecks(
      TimePoint now);

  /**
   * Compares the start time that a server reports with that of its entry.
   * @param started Unix milliseconds; empty if the report states none.
   * @param sent When the report was requested.
   */
  static void RecordStart(PooledServer& server,
                          std::optional<uint64_t> started,
                          TimePoint sent);

  /** Records that a server could not be reached, and may have restarted. */
  static void RecordUnreached(PooledServer& server, TimePoint now);

  /** Limits that servers have named, as known to this node and to others. */
  serving::ServerRateLimits& RateLimits() { return this->rate_limits; }

  /** Servers that are leaving, as known to this node and to others. */
  serving::LeavingServers& Leaving() { return this->leaving; }

  /** Lifetime of a server. */
  static serving::ServerLifetime LifetimeOf(const PooledServer& server);

  /** Data about a candidate for the routing policy. */
  serving::ServerView View(const PooledServer& server,
                           uint64_t shared_part,
                           TimePoint now) const;

  /**
   * Returns an idle connection, or a new one if none can be reused.
   * @param max_idle Connections that were idle for longer are closed.
   */
  std::shared_ptr<UpstreamConnection> Acquire(PooledServer& server,
                                              Duration max_idle,
                                              TimePoint now);

  /** Channel for reports, moves and freeing copies; one call at a time. */
  httpio::HttpChannel& CallChannel(PooledServer& pooled);

  /** Puts a connection back into the pool after a complete response. */
  void Release(PooledServer& server,
               std::shared_ptr<UpstreamConnection> connection);

  /** Records the result of an attempt. */
  void RecordSuccess(PooledServer& server);
  void RecordFailure(PooledServer& server,
                     serving::AttemptFailure failure,
                     TimePoint now);

  /** Records that a request's connection broke without a response, and probes
   * whether the server has crashed. */
  void RecordBrokenRequest(const std::shared_ptr<PooledServer>& server,
                           BrokenRequest request);

  /**
   * Returns and clears the requests that were running on servers when these
   * crashed. A lost response alone does not count as a
   * crash: the server also has to be unreachable, removed or restarted soon
   * after.
   */
  std::vector<CrashSuspect> TakeCrashSuspects();

  /** Closes connections that were idle for too long and drops old prefixes. */
  void CheckTime(TimePoint now);

  const std::map<std::string, std::shared_ptr<PooledServer>, std::less<>>& All()
      const {
    return this->servers;
  }

 private:
  std::vector<std::shared_ptr<PooledServer>> FindCandidates(
      const ServerRequirements& required,
      bool within_limits,
      TimePoint now) const;
  /** Whether a server meets the requirements and is not stopping. */
  bool Meets(const PooledServer& server,
             const ServerRequirements& required) const;
  serving::Distance DistanceTo(std::string_view other_zone) const;
  void ConfirmCrash(PooledServer& server, TimePoint now);
  /** Opens a connection to see whether the server still accepts any; a refused
   * connection confirms a crash. */
  void ProbeForCrash(const std::shared_ptr<PooledServer>& server);

  boost::asio::io_context& loop;
  std::string zone;
  std::string region;
  std::map<std::string, std::string> zone_regions;
  std::map<std::string, std::shared_ptr<PooledServer>, std::less<>> servers;
  /** Services with a server that states its version, also a removed one. */
  std::set<std::string, std::less<>> versioned_services;
  std::unordered_map<serving::NameHash, PooledServer*> by_hash;
  std::deque<serving::PrefixSend> own_prefixes;
  serving::LeavingServers leaving;
  serving::ServerRateLimits rate_limits;
  std::vector<CrashSuspect> crash_suspects;
  rollout::RolloutAgent* rollout_agent = nullptr;
  TimePoint peer_loads_at;
};

}  // namespace boragewharf::relay
