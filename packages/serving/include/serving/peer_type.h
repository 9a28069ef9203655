/**
 * @file peer_type.h
 * What the nodes tell each other, and what a node derives from it.
 */
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/time_type.h"

namespace boragewharf::serving {

/** Short identifier of a name in messages; collisions only blur load. */
using NameHash = uint32_t;

/** Hash of a customer, service or server name. @note Thread-safe. */
NameHash HashName(std::string_view name);

/** Short identifier of a part of a prompt. @note Thread-safe. */
inline uint32_t HashPromptPart(uint64_t part) {
  constexpr int kHalfBits = 32;
  return static_cast<uint32_t>(part ^ (part >> kHalfBits));
}

/** Load that one node puts on one server. */
struct ServerLoad {
  uint32_t running = 0;         ///< Requests sent and not ended.
  uint32_t prefill_tokens = 0;  ///< Prompt tokens without a first event.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->running, this->prefill_tokens);
  }
};

/** Demand that one node sees for one service. */
struct ServiceDemand {
  uint32_t running = 0;             ///< Requests in progress.
  uint32_t prefill_per_second = 0;  ///< Prompt tokens of arrivals, smoothed.
  uint32_t refused = 0;  ///< Refused for lack of servers, since the start.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->running, this->prefill_per_second, this->refused);
  }
};

/** Requests of one customer that began to run in a usage window. */
using UsageCounts = std::map<NameHash, uint32_t>;

/** A request with a shared prefix was sent to a server, which then holds it. */
struct PrefixSend {
  uint32_t prefix = 0;  ///< HashPromptPart() of the last shared part.
  NameHash server = 0;
  TimePoint sent;  ///< On the own clock; not told to others.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->prefix, this->server);
  }
};

/** State of a node's traffic that other nodes need. */
struct TrafficReport {
  std::map<NameHash, uint64_t> admitted;  ///< Quota units since the start.
  std::map<NameHash, ServerLoad> loads;   ///< Servers with load only.
  std::map<NameHash, ServiceDemand> demand;
  std::map<int64_t, UsageCounts> usage;        ///< By window, recent ones.
  std::map<uint64_t, uint32_t> crashes;        ///< Servers crashed by request.
  std::vector<PrefixSend> prefixes;            ///< Recent ones.
  std::map<std::string, double> quota_levels;  ///< By customer; kept local.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->admitted, this->loads, this->demand, this->usage,
            this->crashes, this->prefixes);
  }
};

/** A node as it presents itself to the others. */
struct NodeStatus {
  std::string name;
  std::string ip;
  std::string zone;
  std::string region;
  uint64_t incarnation = 0;       ///< Names the process; has no order.
  int64_t uptime_ms = 0;          ///< Time since the process started.
  uint64_t sequence = 0;          ///< Rises with each message.
  bool ready = false;             ///< Serves requests.
  bool leaving = false;           ///< Received the signal to stop.
  int64_t leaving_ms = 0;         ///< Time since that signal.
  bool follows_store = false;     ///< Learns changes from the store itself.
  bool holds_duties = false;      ///< Holds the lease of the duties.
  uint64_t config_revision = 0;   ///< Store revision of its configuration.
  uint64_t servers_revision = 0;  ///< Store revision of its server list.
  int64_t wall_ms = 0;            ///< Its estimate of the time of day.
  int64_t wall_age_ms = 0;        ///< For how long processes have handed it on.
  bool wall_confirmed = false;    ///< Most nodes agreed on it once.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->name, this->ip, this->zone, this->region, this->incarnation,
            this->uptime_ms, this->sequence, this->ready, this->leaving,
            this->leaving_ms, this->follows_store, this->holds_duties,
            this->config_revision, this->servers_revision, this->wall_ms,
            this->wall_age_ms, this->wall_confirmed);
  }
};

/** A datagram between nodes. */
struct PeerMessage {
  uint32_t format = 0;  ///< kPeerFormat.
  NodeStatus status;
  TrafficReport report;
  std::vector<uint32_t> known_ips;  ///< Other nodes heard recently.
  /** Servers that began to leave, or went, a moment ago. They get no new work
   * even before the list of servers has been fetched. */
  std::vector<NameHash> departures;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->format, this->status, this->report, this->known_ips,
            this->departures);
  }
};

/** Messages of another format are dropped. */
inline constexpr uint32_t kPeerFormat = 3;

/** IPv4 number of a dotted address, or 0. @note Thread-safe. */
uint32_t PackIp(const std::string& ip);

/** Inverse of PackIp(). @note Thread-safe. */
std::string UnpackIp(uint32_t ip);

/** What the traffic side needs to know of the other nodes. */
struct PeerSummary {
  bool informed = false;       ///< All known nodes report.
  uint32_t nodes = 1;          ///< Known nodes, this one included.
  double silent_share = 0;     ///< Share of nodes that may be cut off.
  int64_t wall_offset_ms = 0;  ///< Time of day minus the boot clock.
  /** Quota units since the last summary; negative where too much was assumed
   * before. */
  std::map<NameHash, double> admitted;
  std::map<NameHash, ServerLoad> loads;  ///< Of all other nodes.
  std::map<uint64_t, uint32_t> crashes;  ///< Of all other nodes.
  std::vector<PrefixSend> prefixes;      ///< Of all, since the last summary.
};

}  // namespace boragewharf::serving
