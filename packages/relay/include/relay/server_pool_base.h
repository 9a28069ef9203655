/**
 * @file server_pool_base.h
 * Backend servers with their connections, load and recent failures.
 */
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "httpio/http_channel_base.h"
#include "relay/upstream_connection_base.h"
#include "serving/peer_type.h"
#include "serving/retry_base.h"
#include "serving/routing_policy_base.h"
#include "serving/server_type.h"

namespace boragewharf::relay {

/** A server as this node uses it. */
struct PooledServer {
  serving::BackendServer server;
  serving::Distance distance = serving::Distance::kSameZone;
  bool listed = true;  ///< False once the platform no longer lists it.
  TimePoint unlisted_at;
  bool asked_when = false;             ///< It has been asked for the notice.
  std::optional<TimePoint> leaves_at;  ///< End of the notice, as assumed.
  serving::ServerLoad own;             ///< Load from this node.
  serving::ServerLoad peers;           ///< Load from the others, as reported.
  double failure_rate = 0;             ///< Smoothed share of failures.
  uint32_t failures_in_row = 0;
  TimePoint avoid_until;
  std::deque<std::shared_ptr<UpstreamConnection>> idle;
  /** When a request with a shared prefix was last sent here by any node. */
  std::unordered_map<uint32_t, TimePoint> prefixes;
  std::unique_ptr<httpio::HttpChannel> calls;  ///< Reports, moves, copies.
  /** Requests whose connection broke without an answer, by time. */
  std::deque<std::pair<TimePoint, uint64_t>> broken;
};

/** All servers. Not thread-safe; used on the traffic loop. */
class ServerPool {
 public:
  ServerPool(boost::asio::io_context& loop,
             std::string zone,
             std::string region,
             std::map<std::string, std::string> zone_regions);

  /** Takes over a new list. Requests that run on removed servers go on. */
  void Update(const serving::ServerSet& set, TimePoint now);

  /** Takes over the load of the other nodes. */
  void UpdatePeerLoads(
      const std::map<serving::NameHash, serving::ServerLoad>& loads,
      TimePoint now);

  /** Records that a request of this node with a prefix goes to a server. */
  void NotePrefix(PooledServer& server, uint64_t shared_part, TimePoint now);

  /** Takes over which prefixes the other nodes sent where. */
  void TakePrefixes(const std::vector<serving::PrefixSend>& sends,
                    TimePoint now);

  /** Prefixes that this node sent to servers a moment ago, oldest first. */
  const std::deque<serving::PrefixSend>& OwnPrefixes() const {
    return this->own_prefixes;
  }

  /** When the load of the other nodes was last taken over. */
  TimePoint PeerLoadsAt() const { return this->peer_loads_at; }

  /** Server by id, or nullptr. */
  std::shared_ptr<PooledServer> Find(std::string_view id) const;

  /** Servers that may take new requests of a service. */
  std::vector<std::shared_ptr<PooledServer>> Candidates(
      std::string_view service,
      const std::vector<std::string>& excluded) const;

  /** The policy's view of a candidate. */
  serving::ServerView View(const PooledServer& server,
                           uint64_t shared_part,
                           TimePoint now) const;

  /**
   * Takes an idle connection or makes a new one.
   * @param max_idle Connections idle for longer are not used.
   */
  std::shared_ptr<UpstreamConnection> Acquire(PooledServer& server,
                                              Duration max_idle,
                                              TimePoint now);

  /** Channel for calls to a server about its requests, one at a time. */
  httpio::HttpChannel& CallChannel(PooledServer& pooled);

  /** Returns a connection after a complete response. */
  void Release(PooledServer& server,
               std::shared_ptr<UpstreamConnection> connection);

  /** Records how an attempt ended. */
  void NoteSuccess(PooledServer& server);
  void NoteFailure(PooledServer& server,
                   serving::AttemptFailure failure,
                   TimePoint now);

  /** Records that a request's connection broke without an answer. */
  void NoteBroken(PooledServer& server, uint64_t fingerprint, TimePoint now);

  /**
   * Requests that were running on servers which turned out to have crashed.
   * A lost answer alone is no crash: the server has to be unreachable, gone
   * or restarted soon after.
   */
  std::vector<uint64_t> TakeCrashers();

  /** Closes connections that were idle for too long. */
  void CheckTime(TimePoint now);

  const std::map<std::string, std::shared_ptr<PooledServer>, std::less<>>& All()
      const {
    return this->servers;
  }

 private:
  serving::Distance DistanceTo(std::string_view other_zone) const;
  void ConfirmCrash(PooledServer& server, TimePoint now);

  boost::asio::io_context& loop;
  std::string zone;
  std::string region;
  std::map<std::string, std::string> zone_regions;
  std::map<std::string, std::shared_ptr<PooledServer>, std::less<>> servers;
  std::unordered_map<serving::NameHash, PooledServer*> by_hash;
  std::deque<serving::PrefixSend> own_prefixes;
  std::vector<uint64_t> crashers;
  TimePoint peer_loads_at;
};

}  // namespace boragewharf::relay
