/**
 * @file fleet_type.h
 * Control state of a node, the events that change it and the effects that they
 * cause.
 */
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "base/time_type.h"
#include "fleet/departure_memory_base.h"
#include "fleet/duty_progress_type.h"
#include "fleet/peer_table_base.h"
#include "fleet/scaling_policy_base.h"
#include "fleet/stream_save_type.h"
#include "lease/lease_type.h"
#include "lease/permit_base.h"
#include "rollout/rollout_table_base.h"
#include "serving/config_type.h"
#include "serving/peer_type.h"
#include "serving/server_type.h"

namespace boragewharf::fleet {

/** Settings of the control state. They do not change while the process runs. */
struct FleetSettings {
  std::string node_name;
  std::string ip;
  std::string zone;
  std::string region;
  uint64_t incarnation = 0;
  std::vector<std::string> seed_ips;
  /** Length of a usage window; 0 if this deployment reports no usage. */
  Duration usage_window{};
  /** Deadline of a window's report, counted from the end of the window. */
  Duration usage_late{};
  bool orders_servers = false;  ///< Whether the duty holder orders servers.
  lease::LeaseTiming lease_timing;
  /** The deployment starts for the first time: nobody has held the duties. */
  bool first_start = true;
  /** Bounds of roll-outs; empty if this deployment has none. */
  std::optional<rollout::RolloutBounds> rollout_bounds;
};

/** Name of the lease that covers all duties: usage reports, server orders and
 * saving of progress. */
inline constexpr char kDutyLease[] = "duties";

/**
 * Factor from a store revision to a revision of the server list. It leaves free
 * numbers between two store revisions for removals that a node decides itself.
 */
inline constexpr uint64_t kRevisionStep = 65536;

// Events. Revisions are those of one era of the store: it rises whenever the
// store comes back without its latest acknowledged writes, whose revisions are
// then given out again. 0 if the store has no eras.

/** A configuration was read. It is ignored if it is older than the current one.
 */
struct ConfigRead {
  uint64_t revision = 0;
  std::shared_ptr<const serving::ServingConfig> config;
  std::string text;  ///< Text as stored, to be passed on to other nodes.
  uint64_t era = 0;  ///< Of the store.
};

/** The complete server list was read. */
struct ServersRead {
  uint64_t revision = 0;
  std::vector<serving::BackendServer> servers;
  bool from_peer = false;
  uint64_t era = 0;  ///< Of the store.
  /** Ids of those of servers that the other node keeps only in case they
   * return. */
  std::set<std::string> lapsed = {};
};

/** One server was changed, or removed if @c server is empty. */
struct ServerChanged {
  uint64_t revision = 0;
  std::string id;
  std::optional<serving::BackendServer> server;
  uint64_t era = 0;  ///< Of the store; not sent to other nodes.
};

/** Server changes that were fetched from another node. */
struct ServersPatched {
  uint64_t base = 0;      ///< Server list revision that the changes apply to.
  uint64_t revision = 0;  ///< Server list revision after the changes.
  std::vector<ServerChanged> changes;
  uint64_t era = 0;  ///< Of the store.
};

/** The store became reachable or unreachable. */
struct StoreReachable {
  bool reachable = true;
};

/** An answer of the store named a later era than any before. */
struct StoreEraRisen {
  uint64_t era = 0;
};

/** A datagram from another node arrived. */
struct PeerMessageReceived {
  serving::PeerMessage message;
};

/** The data plane sent its periodic report. */
struct TrafficReported {
  serving::TrafficReport report;
};

/** A FetchState effect has completed. */
struct FetchEnded {
  std::string ip;
  bool fetched = true;
  /** The other node answers too many fetches; another one may be asked now. */
  bool refused = false;
};

/** A result of a call for the duty lease. */
struct LeaseEvent {
  lease::LeaseEvent event;
};

/** A FixUsage effect has completed. */
struct UsageFixed {
  int64_t window = 0;
  /** Counts that are now final in the store; empty on failure. */
  std::optional<NamedCounts> counts;
  bool closed = false;  ///< The failure is permanent; see UsageRegister.
};

/** A SendUsage effect has completed. */
struct UsageSent {
  int64_t window = 0;
  bool accepted = false;
};

/** An OrderServers effect has completed. */
struct ServersOrdered {
  std::string service;
  std::string zone;
  bool reclaimable = false;
  uint32_t count = 0;
  bool accepted = false;
  /** No servers of this kind are available in the zone. */
  bool unavailable = false;
};

/** The progress that a duty holder saved in the store was read. */
struct ProgressRead {
  std::map<std::string, double> levels;  ///< Quota levels by customer name.
  /** Request counts of windows that were not yet reported. */
  std::vector<ProcessUsage> usage;
  int64_t saved_wall_ms = 0;
  /** This node's wall clock when the progress was read. */
  int64_t clock_wall_ms = 0;
  /** Parts of prompts that crash servers; ages as of the save. */
  std::vector<serving::BlockedPart> blocked_parts = {};
  /** Crashes under requests; ages as of the save. */
  serving::SuspectReport suspects = {};
  /** The progress was saved in an earlier era of the store: later saves may be
   * lost. */
  bool from_earlier_era = false;
};

/** The saved progress could not be read. */
struct ProgressReadFailed {
  ResultCode code = ResultCode::kStoreUnknown;
  /** Progress may be saved, and is to be read again. Otherwise there is none,
   * or none that can be decoded. */
  bool may_exist = true;
};

/** All roll-out requests were read. */
struct RolloutsRead {
  std::vector<rollout::RolloutRequest> requests;
  uint64_t era = 0;  ///< Of the store.
};

/** One roll-out request was created, changed or removed. */
struct RolloutChanged {
  rollout::RolloutRequest request;
  bool removed = false;
  uint64_t era = 0;  ///< Of the store.
};

/** A WriteRolloutStatus effect has completed. */
struct RolloutStatusWritten {
  rollout::WriteStatus write;
  ResultCode code = ResultCode::kStoreUnknown;
  /** The object after the call, if the response contained it. */
  std::optional<rollout::RolloutRequest> current;
};

/** The process was told to stop. */
struct StopRequested {
  /** When the signal arrived; empty: now. */
  std::optional<TimePoint> received = std::nullopt;
};

/** Periodic timer event, expected every kTickPeriod. */
struct Tick {
  int64_t clock_wall_ms = 0;  ///< This node's wall clock.
};

using Event = std::variant<ConfigRead,
                           ServersRead,
                           ServerChanged,
                           ServersPatched,
                           StoreReachable,
                           StoreEraRisen,
                           PeerMessageReceived,
                           TrafficReported,
                           FetchEnded,
                           LeaseEvent,
                           UsageFixed,
                           UsageSent,
                           ServersOrdered,
                           ProgressRead,
                           ProgressReadFailed,
                           RolloutsRead,
                           RolloutChanged,
                           RolloutStatusWritten,
                           StreamEvent,
                           StopRequested,
                           Tick>;

// Effects.

/** Hand a new configuration to the data plane. */
struct PublishConfig {
  std::shared_ptr<const serving::ServingConfig> config;
};

/** Hand a new server list to the data plane. */
struct PublishServers {
  std::shared_ptr<const serving::ServerSet> servers;
};

/** Hand a summary of the other nodes to the data plane. */
struct PublishPeers {
  serving::PeerSummary summary;
};

/** Send a datagram to each of the given nodes. */
struct SendToPeers {
  std::vector<std::string> ips;
  serving::PeerMessage message;
  bool compressed = false;  ///< All receivers understand compressed messages.
};

/** Fetch newer state from another node. Completes with FetchEnded. */
struct FetchState {
  std::string ip;
  uint64_t config_revision = 0;  ///< Revisions that this node has.
  uint64_t servers_revision = 0;
  uint64_t config_version = 0;  ///< See ServingConfig::version.
  uint64_t config_era = 0;      ///< Eras of the store for the revisions.
  uint64_t servers_era = 0;
};

/** Start or stop watching the store for changes. */
struct FollowStore {
  bool follow = true;
  /** Learn of server changes at once, at the cost of more store calls. */
  bool eager = true;
};

/** Make a store call for the duty lease. Completes with a LeaseEvent. */
struct LeaseCall {
  lease::LeaseEffect call;
};

/** Record a window's final counts in the store, before they are reported.
 * Completes with UsageFixed. */
struct FixUsage {
  int64_t window = 0;
  NamedCounts counts;
  /** The last window that an earlier holder of the duties may have reported. If
   * the store has lost the register, nothing is recorded for it and those
   * before it, except for @ref known. */
  int64_t may_be_reported_through = -1;
  /** Counts that this holder has had recorded since it gained the duties. */
  std::map<int64_t, NamedCounts> known = {};
};

/** Report a window's counts to the platform. Completes with UsageSent. */
struct SendUsage {
  int64_t window = 0;
  NamedCounts counts;
  lease::Permit permit;
};

/** Order servers from the platform. Completes with ServersOrdered. */
struct OrderServers {
  std::string service;
  std::string zone;
  bool reclaimable = false;
  uint32_t count = 0;
  lease::Permit permit;
};

/** Abort all calls made for duties: no further byte of them may be sent.
 * Emitted before the write that releases the lease. */
struct EndDutyCalls {};

/** Save the state that would be lost if all nodes were killed. Completes
 * without an event. */
struct SaveProgress {
  std::map<std::string, double> levels;  ///< Quota levels by customer name.
  /** Request counts of windows that were not yet reported. */
  std::vector<ProcessUsage> usage;
  int64_t wall_ms = 0;
  /** Parts of prompts that crash servers; ages as of the save. */
  std::vector<serving::BlockedPart> blocked_parts = {};
  /** Crashes under requests; ages as of the save. */
  serving::SuspectReport suspects = {};
};

/** Read the saved progress. Completes with ProgressRead or ProgressReadFailed.
 */
struct ReadProgress {};

/** Hand saved blocks of prompt parts to the data plane. */
struct RestoreBlockedParts {
  std::vector<serving::BlockedPart> blocked;  ///< Ages as of now.
};

/** Hand saved crashes under requests to the data plane. */
struct RestoreSuspects {
  serving::SuspectReport suspects;  ///< Ages as of now.
};

/** Hand saved quota levels to the data plane. */
struct RestoreQuotas {
  std::map<std::string, double> levels;
  Duration age{};
};

/** Replace the status of a roll-out request on condition of its revision.
 * Completes with RolloutStatusWritten. */
struct WriteRolloutStatus {
  rollout::WriteStatus write;
  lease::Permit permit;
};

/** Write a line to the event log. */
struct LogChange {
  std::string event;
  std::string detail;
  uint64_t revision = 0;
  std::optional<uint64_t> era = std::nullopt;  ///< Of a store revision.
};

using Effect = std::variant<PublishConfig,
                            PublishServers,
                            PublishPeers,
                            SendToPeers,
                            FetchState,
                            FollowStore,
                            LeaseCall,
                            FixUsage,
                            SendUsage,
                            OrderServers,
                            EndDutyCalls,
                            SaveProgress,
                            ReadProgress,
                            RestoreQuotas,
                            RestoreBlockedParts,
                            RestoreSuspects,
                            WriteRolloutStatus,
                            StreamEffect,
                            LogChange>;

// State.

/** A server that started draining or was removed. */
struct Departure {
  TimePoint seen;
  serving::NameHash server = 0;
};

/** A listed server whose lifetime is known to have ended before. */
struct WithheldServer {
  serving::BackendServer server;
  TimePoint since;
};

/** Control state of a node. Only Reduce() changes it. */
struct FleetState {
  explicit FleetState(FleetSettings own_settings);

  FleetSettings settings;
  PeerTable peers;
  UsageLedger usage;
  lease::LeaseState lease;
  std::shared_ptr<const serving::ServingConfig> config;
  std::string config_text;
  uint64_t config_revision = 0;
  uint64_t config_era = 0;  ///< Era of the store for config_revision.
  std::map<std::string, serving::BackendServer> servers;
  uint64_t servers_revision = 0;
  uint64_t servers_era = 0;  ///< Era of the store for servers_revision.
  /** When a list of a later era last replaced an earlier one. */
  std::optional<TimePoint> servers_era_began;
  DepartureMemory departed;
  /** Listed servers that are not used yet, by id. */
  std::map<std::string, WithheldServer> withheld_servers;
  /** Recent changes, kept for nodes that are behind. */
  std::deque<ServerChanged> changes;
  /** @ref changes holds all changes after this revision. */
  uint64_t changes_base = 0;
  /** Recent departures, announced to other nodes. */
  std::deque<Departure> departures;
  /** Servers whose store entries lapsed around an outage, by id, with the time
   * when this was seen. They are removed unless they return. */
  std::map<std::string, TimePoint> lapsed_servers;
  std::optional<TimePoint> enough_followers_since;
  std::optional<TimePoint> store_regained;
  TimePoint next_fetch;
  TimePoint last_fetch;
  uint64_t fetches = 0;         ///< Started; varies the choice of the source.
  TimePoint servers_published;  ///< When the list was last published.
  /** Since when other nodes have had newer state. */
  std::optional<TimePoint> behind_since;
  serving::TrafficReport report;
  uint64_t sequence = 0;
  TimePoint started;    ///< Time of the first event.
  TimePoint last_tick;  ///< Time of the last Tick event.
  TimePoint next_message;
  TimePoint last_message;
  TimePoint last_message_to_all;  ///< To the nodes of all regions.
  uint64_t message_rounds = 0;    ///< Number of periodic messages.
  TimePoint next_urgent;          ///< Earliest time of the next urgent message.
  TimePoint forwards_counted_since;
  /** Estimated time of day minus the boot clock. */
  std::optional<int64_t> wall_offset_ms;
  /** Since when this estimate has been passed on from process to process. */
  TimePoint wall_since;
  /** A majority of the nodes has agreed on this estimate. */
  bool wall_confirmed = false;
  /** Since when the majority has disagreed with the estimate. */
  std::optional<TimePoint> majority_disagrees_since;
  /** Since when this node's clock has disagreed with the estimate. */
  std::optional<TimePoint> own_clock_disagrees_since;
  /** This node's clock has disagreed for too long. */
  bool wall_in_doubt = false;
  std::map<serving::NameHash, std::string> customer_names;
  std::map<int64_t, WindowProgress> windows;
  std::map<std::string, ScalingState> scaling;
  TimePoint next_scaling;
  TimePoint next_save;
  ProgressReadState progress_read;
  TimePoint duties_gained_at;  ///< Of the last time.
  std::optional<TimePoint> duties_lost_at;
  std::shared_ptr<const ScalingPolicy> scaling_policy;
  bool servers_known = false;  ///< A server list has been received.
  bool following = true;       ///< This node watches the store.
  /** This node learns of server changes at once: no other node is known to do
   * so. */
  bool eager = true;
  bool store_reachable = false;
  /** A StoreReachable event has been received. */
  bool store_state_known = false;
  /** Latest era of the store that this node or another one has learnt. */
  uint64_t store_era = 0;
  /** When the process woke from a freeze, or began to watch the store again; no
   * call that was made since has been answered. */
  std::optional<TimePoint> store_uncertain_since;
  bool fetching = false;
  bool leaving = false;
  TimePoint leaving_since;
  /** The next message goes to all regions, not only to this node's own. */
  bool next_message_to_all = false;
  /** The list has changed since servers_published; it is published with the
   * next tick. */
  bool servers_unpublished = false;
  /** A departure or a configuration is to be announced before the next periodic
   * message. */
  bool urgent_pending = false;
  uint32_t forwards = 0;  ///< Messages forwarded in the current second.
  rollout::RolloutTable rollouts;
  StreamRestoreState streams;
  ListConfirmationState list_confirmation;
};

/** Interval between saves of quota levels and usage counts. It bounds how
 * much is lost when all nodes restart. */
inline constexpr std::chrono::milliseconds kSavePeriod(1000);

/** Period of the Tick event. */
inline constexpr std::chrono::milliseconds kTickPeriod(100);

}  // namespace boragewharf::fleet
