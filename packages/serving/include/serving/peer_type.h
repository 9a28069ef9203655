/**
 * @file peer_type.h
 * Messages between nodes, and the summary that a node derives from them.
 */
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time_type.h"
#include "serving/crash_evidence_type.h"
#include "serving/crash_suspects_type.h"
#include "serving/peer_extension_type.h"
#include "serving/prefill_speed_base.h"

namespace boragewharf::serving {

/** Hash of a customer, service or server name. @note Thread-safe. */
NameHash HashName(std::string_view name);

/** Short identifier of a prompt part in messages. @note Thread-safe. */
inline uint32_t HashPromptPart(uint64_t part) {
  constexpr int kHalfBits = 32;
  return static_cast<uint32_t>(part ^ (part >> kHalfBits));
}

/** Load on one server from one node, or from several. */
struct ServerLoad {
  uint32_t running = 0;         ///< Requests sent and not finished.
  uint32_t prefill_tokens = 0;  ///< Prompt tokens before their first event.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->running, this->prefill_tokens);
  }
};

/** Demand for one service at one node. */
struct ServiceDemand {
  uint32_t running = 0;             ///< Requests in progress.
  uint32_t prefill_per_second = 0;  ///< Arriving prompt tokens, smoothed.
  uint32_t refused = 0;  ///< Rejected for lack of servers, since start.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->running, this->prefill_per_second, this->refused);
  }
};

/** Requests that began to run in a usage window, by customer. */
using UsageCounts = std::map<NameHash, uint32_t>;

/** Records that a request with a shared prefix was sent to a server, which has
 * the prefix in its cache from then on. */
struct PrefixSend {
  uint32_t prefix = 0;  ///< HashPromptPart() of the last shared part.
  NameHash server = 0;
  TimePoint sent;  ///< Local boot clock; not part of messages.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->prefix, this->server);
  }
};

/** A server that has said in an answer that it is about to stop. */
struct LeavingServer {
  NameHash server = 0;
  uint64_t started = 0;  ///< Start of its lifetime, in Unix milliseconds.
  uint32_t age_ms = 0;   ///< Time since the answer when the message was sent.
  TimePoint answered;    ///< Local boot clock; not part of messages.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->server, this->started, this->age_ms);
  }
};

/** Traffic data of a node that other nodes need. */
struct TrafficReport {
  /** Admitted quota units since start, by customer. */
  std::map<NameHash, uint64_t> admitted;
  std::map<NameHash, ServerLoad> loads;  ///< By server; only those with load.
  std::map<NameHash, ServiceDemand> demand;  ///< By service.
  std::map<int64_t, UsageCounts> usage;  ///< By window; recent windows only.
  /** Crashes that this node has seen, by request fingerprint; for nodes of
   * earlier versions. */
  std::map<uint64_t, uint32_t> crashes;
  std::vector<PrefixSend> prefixes;            ///< Recent prefixes.
  std::map<std::string, double> quota_levels;  ///< By customer; not sent.
  std::vector<LeavingServer> leaving;          ///< Sent in PeerMessageTail.
  /** By service; sent in PeerMessageTail. */
  std::map<NameHash, PrefillSpeed> prefill_speeds;
  CrashEvidence crash_evidence;  ///< Sent after PeerMessageTail.
  /** Sent after crash_evidence, in parts; empty if an earlier version sent the
   * message. */
  std::optional<SuspectReport> suspects;
  /** Sent after suspects, if there are any. At most kMaxExtensions, one of a
   * kind. */
  std::vector<PeerExtension> extensions;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->admitted, this->loads, this->demand, this->usage,
            this->crashes, this->prefixes);
  }
};

/** Identity and state of a node, as sent to the other nodes. */
struct NodeStatus {
  std::string name;
  std::string ip;
  std::string zone;
  std::string region;
  uint64_t incarnation = 0;       ///< Identifies the process; not ordered.
  int64_t uptime_ms = 0;          ///< Time since the process started.
  uint64_t sequence = 0;          ///< Increases with each message.
  bool ready = false;             ///< Accepts requests.
  bool leaving = false;           ///< Received the stop signal.
  int64_t leaving_ms = 0;         ///< Time since that signal.
  bool follows_store = false;     ///< Watches the store itself.
  bool holds_duties = false;      ///< Holds the lease of the duties.
  uint64_t config_revision = 0;   ///< Store revision of its configuration.
  uint64_t servers_revision = 0;  ///< Store revision of its server list.
  int64_t wall_ms = 0;            ///< Estimated time of day.
  int64_t wall_age_ms = 0;        ///< Time for which nodes have passed it on.
  bool wall_confirmed = false;    ///< A majority of nodes has agreed on it.
  // Sent in the extension kStateVersions; earlier versions send none of them.
  bool has_eras = false;        ///< The sender knows of the store's eras.
  uint64_t config_version = 0;  ///< See ServingConfig::version.
  uint64_t config_era = 0;      ///< Era of the store for config_revision.
  uint64_t servers_era = 0;     ///< Era of the store for servers_revision.

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
  uint32_t format = 0;  ///< kPeerFormat of the sender.
  NodeStatus status;
  TrafficReport report;
  std::vector<uint32_t> known_ips;  ///< Nodes heard from recently.
  /** Servers that recently began to drain or were removed. They get no new
   * requests even before the receiver has fetched the new server list. */
  std::vector<NameHash> departures;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->format, this->status, this->report, this->known_ips,
            this->departures);
  }
};

/** Encoded after a PeerMessage, before its CrashEvidence. Earlier versions
 * ignore what they don't know; a message without it leaves the defaults. */
struct PeerMessageTail {
  std::vector<LeavingServer> leaving;
  std::map<NameHash, PrefillSpeed> prefill_speeds;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->leaving, this->prefill_speeds);
  }
};

/** Format version of PeerMessage; messages of other versions are dropped. */
inline constexpr uint32_t kPeerFormat = 3;

/** Number of a dotted IPv4 address; 0 if invalid. @note Thread-safe. */
uint32_t PackIp(const std::string& ip);

/** Inverse of PackIp(). @note Thread-safe. */
std::string UnpackIp(uint32_t ip);

/** Data of the other nodes that request handling needs. */
struct PeerSummary {
  bool informed = false;            ///< All known nodes have reported.
  uint32_t nodes = 1;               ///< Known nodes, this one included.
  uint32_t ready_nodes = 0;         ///< Other nodes that accept requests.
  uint32_t own_ip = 0;              ///< PackIp() of this node.
  std::vector<uint32_t> heard_ips;  ///< PackIp() of the nodes not silent.
  double silent_share = 0;          ///< Share of nodes that may be unreachable.
  /** This node, or one that is heard, follows the store. */
  bool store_followed = false;
  bool watches_store = false;            ///< This node itself.
  std::vector<uint32_t> store_watchers;  ///< Those of heard_ips that do.
  int64_t wall_offset_ms = 0;            ///< Time of day minus the boot clock.
  /** Quota units admitted by other nodes since the last summary, by customer;
   * negative to correct an earlier estimate that was too high. */
  std::map<NameHash, double> admitted;
  std::map<NameHash, ServerLoad> loads;  ///< Sum of all other nodes.
  /** Sum of the nodes that send no SuspectReport. */
  std::map<uint64_t, uint32_t> crashes;
  /** Of all nodes since the last summary, with times of the local boot clock.
   */
  SuspectReport suspects;
  std::vector<PrefixSend> prefixes;  ///< Of all nodes, since the last summary.
  std::vector<LeavingServer> leaving;  ///< Of all nodes; ages as of now.
  /** Prompt tokens per millisecond of a server, by service, as all nodes have
   * measured it. */
  std::map<NameHash, double> prefill_speeds;
  /** Of all other nodes, with times of the local boot clock. */
  std::vector<CrashEvidence> crash_evidence;
  /** Of all other nodes since the last summary, in order of arrival. */
  std::vector<ReceivedExtension> extensions;
  Duration message_period{};  ///< Time between two messages of a node.
};

/**
 * Merges a summary into an earlier one that the data plane has not taken yet.
 * Quota units are added up. Of prefixes, crashes and extensions, the newest are
 * kept up to a bound; everything else is replaced.
 * @note Thread-safe.
 */
void MergeSummary(PeerSummary& pending, PeerSummary newer);

}  // namespace boragewharf::serving
