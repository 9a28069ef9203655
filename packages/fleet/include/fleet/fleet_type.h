/**
 * @file fleet_type.h
 * Control state of a node: events, effects and the state itself.
 */
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/time_type.h"
#include "fleet/peer_table_base.h"
#include "fleet/scaling_policy_base.h"
#include "lease/lease_type.h"
#include "lease/permit_base.h"
#include "serving/config_type.h"
#include "serving/peer_type.h"
#include "serving/server_type.h"

namespace boragewharf::fleet {

/** Settings of the control state; fixed for the life of the process. */
struct FleetSettings {
  std::string node_name;
  std::string ip;
  std::string zone;
  std::string region;
  uint64_t incarnation = 0;
  std::vector<std::string> seed_ips;
  Duration usage_window{};  ///< Length of a usage window; 0: no such duty.
  Duration usage_late{};    ///< A window's report is due this long after it.
  bool orders_servers = false;  ///< Ordering servers is a duty here.
  lease::LeaseTiming lease_timing;
};

/** Requests that began to run in a usage window, by customer name. */
using NamedCounts = std::map<std::string, uint32_t>;

/** Names the lease of all duties. */
inline constexpr char kDutyLease[] = "duties";

/**
 * Revisions of the server list are those of the store times this, so that a
 * removal which a node decides itself has a number between two of the store's.
 */
inline constexpr uint64_t kRevisionStep = 65536;

// Events.

/** A configuration was read; older ones are ignored. */
struct ConfigRead {
  uint64_t revision = 0;
  std::shared_ptr<const serving::ServingConfig> config;
  std::string text;  ///< As in the store, for other nodes.
};

/** The complete list of servers was read. */
struct ServersRead {
  uint64_t revision = 0;
  std::vector<serving::BackendServer> servers;
  bool from_peer = false;
};

/** One server changed, or is gone if @c server is empty. */
struct ServerChanged {
  uint64_t revision = 0;
  std::string id;
  std::optional<serving::BackendServer> server;
};

/** Changes since a revision that another node told. */
struct ServersPatched {
  uint64_t base = 0;      ///< Revision that the changes apply to.
  uint64_t revision = 0;  ///< Revision after them.
  std::vector<ServerChanged> changes;
};

/** The store answers, or has stopped answering. */
struct StoreReachable {
  bool reachable = true;
};

/** A datagram arrived. */
struct PeerMessageReceived {
  serving::PeerMessage message;
};

/** The traffic side reported. */
struct TrafficReported {
  serving::TrafficReport report;
};

/** A FetchState effect ended. */
struct FetchEnded {
  std::string ip;
  bool fetched = true;
};

/** A result for the duty lease. */
struct LeaseEvent {
  lease::LeaseEvent event;
};

/** A FixUsage effect ended. */
struct UsageFixed {
  int64_t window = 0;
  std::optional<NamedCounts> counts;  ///< As fixed; empty: failed.
  bool closed = false;  ///< It failed and always will; see UsageRegister.
};

/** A SendUsage effect ended. */
struct UsageSent {
  int64_t window = 0;
  bool accepted = false;
};

/** An OrderServers effect ended. */
struct ServersOrdered {
  std::string service;
  std::string zone;
  bool reclaimable = false;
  uint32_t count = 0;
  bool accepted = false;
  bool unavailable = false;  ///< None of this kind are to be had there.
};

/** What a holder of the duties saved in the store was read. */
struct ProgressRead {
  std::map<std::string, double> levels;  ///< Of quotas, by customer.
  std::vector<ProcessUsage> usage;       ///< Of windows not yet reported.
  int64_t saved_wall_ms = 0;
  int64_t clock_wall_ms = 0;  ///< Reading of the time of day.
};

/** The signal to stop arrived. */
struct StopRequested {};

/** Time has passed; expected every kTickPeriod. */
struct Tick {
  int64_t clock_wall_ms = 0;  ///< Reading of the time of day.
};

using Event = std::variant<ConfigRead,
                           ServersRead,
                           ServerChanged,
                           ServersPatched,
                           StoreReachable,
                           PeerMessageReceived,
                           TrafficReported,
                           FetchEnded,
                           LeaseEvent,
                           UsageFixed,
                           UsageSent,
                           ServersOrdered,
                           ProgressRead,
                           StopRequested,
                           Tick>;

// Effects.

/** The traffic side takes over this configuration. */
struct PublishConfig {
  std::shared_ptr<const serving::ServingConfig> config;
};

/** The traffic side takes over these servers. */
struct PublishServers {
  std::shared_ptr<const serving::ServerSet> servers;
};

/** The traffic side takes over this summary. */
struct PublishPeers {
  serving::PeerSummary summary;
};

/** Send a datagram to each of these nodes. */
struct SendToPeers {
  std::vector<std::string> ips;
  serving::PeerMessage message;
};

/** Ask a node for what is newer than the own state; ends with FetchEnded. */
struct FetchState {
  std::string ip;
  uint64_t config_revision = 0;  ///< Own revisions.
  uint64_t servers_revision = 0;
};

/** Begin or stop to learn changes from the store itself. */
struct FollowStore {
  bool follow = true;
  bool eager = true;  ///< Learn of servers at once, at the price of more calls.
};

/** A call for the duty lease; ends with a LeaseEvent. */
struct LeaseCall {
  lease::LeaseEffect call;
};

/** Fix a window's counts in the store; ends with UsageFixed. */
struct FixUsage {
  int64_t window = 0;
  NamedCounts counts;
};

/** Report a window to the platform; ends with UsageSent. */
struct SendUsage {
  int64_t window = 0;
  NamedCounts counts;
  lease::Permit permit;
};

/** Order servers from the platform; ends with ServersOrdered. */
struct OrderServers {
  std::string service;
  std::string zone;
  bool reclaimable = false;
  uint32_t count = 0;
  lease::Permit permit;
};

/** No further byte of a duty's call is sent after this; comes before the
 * release of the lease is written. */
struct EndDutyCalls {};

/** Save what would be lost if all nodes were killed; no event. */
struct SaveProgress {
  std::map<std::string, double> levels;  ///< Of quotas, by customer.
  std::vector<ProcessUsage> usage;       ///< Of windows not yet reported.
  int64_t wall_ms = 0;
};

/** Read what was saved; ends with ProgressRead if there is anything. */
struct ReadProgress {};

/** The traffic side takes over saved quota levels. */
struct RestoreQuotas {
  std::map<std::string, double> levels;
  Duration age{};
};

/** A line for the log. */
struct LogChange {
  std::string event;
  std::string detail;
  uint64_t revision = 0;
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
                            LogChange>;

// State.

/** Progress of the report of one window. */
struct WindowProgress {
  enum class Step : uint8_t { kOpen, kFixing, kFixed, kSending, kDone };
  Step step = Step::kOpen;
  NamedCounts counts;
  TimePoint next_try;
};

/** Orders for one kind of server of a service in a zone. */
struct OrderState {
  std::optional<uint32_t> ordered;    ///< Last accepted number.
  std::optional<uint32_t> requested;  ///< Number of the newest open order.
  TimePoint next_try;
  TimePoint ordered_at;
  std::optional<TimePoint> lower_since;  ///< Fewer have been wanted since.
  TimePoint unavailable_until;
};

/** Scaling of one service. */
struct ScalingState {
  std::map<std::pair<std::string, bool>, OrderState> orders;  ///< Zone, kind.
  std::map<TimePoint, uint32_t> needed;  ///< Recent needs, by time.
  uint32_t initial_servers = 0;          ///< Found before the first order.
  std::optional<TimePoint> grown_at;     ///< When their number last grew.
  bool initial_counted = false;          ///< Their number is known.
  std::optional<TimePoint> first_demand;
};

/** A server that began to leave, or went. */
struct Departure {
  TimePoint seen;
  serving::NameHash server = 0;
};

/** Control state of a node; changed only by Reduce(). */
struct FleetState {
  explicit FleetState(FleetSettings fixed);

  FleetSettings settings;
  PeerTable peers;
  UsageLedger usage;
  lease::LeaseState lease;
  std::shared_ptr<const serving::ServingConfig> config;
  std::string config_text;
  uint64_t config_revision = 0;
  std::map<std::string, serving::BackendServer> servers;
  uint64_t servers_revision = 0;
  std::deque<ServerChanged> changes;  ///< Recent ones, for other nodes.
  uint64_t changes_base = 0;          ///< All since this revision are kept.
  std::deque<Departure> departures;   ///< Recent ones, for other nodes.
  std::map<std::string, TimePoint> missing;  ///< Gone after an outage, since.
  std::optional<TimePoint> enough_followers_since;
  std::optional<TimePoint> store_regained;
  TimePoint next_fetch;
  std::optional<TimePoint> behind_since;  ///< Others have newer state.
  serving::TrafficReport report;
  uint64_t sequence = 0;
  TimePoint started;  ///< First event.
  TimePoint next_message;
  std::optional<int64_t> wall_offset_ms;
  TimePoint wall_since;         ///< Since when processes have handed it on.
  bool wall_confirmed = false;  ///< Most nodes agreed on it once.
  std::optional<TimePoint> off_since;  ///< Most other nodes disagree since.
  std::optional<TimePoint> clock_off_since;  ///< The own clock disagrees since.
  bool doubts_wall = false;                  ///< It has for too long.
  std::map<serving::NameHash, std::string> customer_names;
  std::map<int64_t, WindowProgress> windows;
  std::map<std::string, ScalingState> scaling;
  TimePoint next_scaling;
  TimePoint next_save;
  std::optional<TimePoint> lost_duty;
  std::shared_ptr<const ScalingPolicy> scaling_policy;
  bool servers_known = false;
  bool following = true;  ///< Learns from the store itself.
  bool eager = true;      ///< Nobody else is known to learn at once.
  bool store_reachable = false;
  bool store_seen = false;  ///< Whether it is reachable has been told.
  bool fetching = false;
  bool leaving = false;
  TimePoint leaving_since;
  bool far_turn = false;  ///< The next message goes to all regions.
};

/** Time between saves of quota levels and usage counts; bounds what a restart
 * of all nodes forgets. */
inline constexpr std::chrono::milliseconds kSavePeriod(1000);

/** Period of the Tick event. */
inline constexpr std::chrono::milliseconds kTickPeriod(100);

}  // namespace boragewharf::fleet
