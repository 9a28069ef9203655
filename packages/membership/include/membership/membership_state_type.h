/**
 * @file membership_state_type.h
 * State of the membership reducer.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/endpoint_type.h"
#include "base/strong_id_type.h"
#include "base/time_type.h"
#include "membership/member_type.h"
#include "membership/message_type.h"

namespace boragewharf::membership {

/** Periods and bounds of the protocol. */
struct MembershipOptions {
  /// One member is probed per period.
  Duration probe_period = std::chrono::milliseconds(500);
  /// Without an answer for this long, others are asked to ping the member.
  Duration probe_timeout = std::chrono::milliseconds(200);
  size_t indirect_probes = 2;  ///< Members that are asked.
  /// Time in which a suspected member can refute.
  Duration suspicion = std::chrono::seconds(5);
  /// Validity of a serving lease, from the time the ping was sent.
  Duration lease = std::chrono::seconds(4);
  /// Further members are pinged at this interval while less than half of the
  /// lease is left, so that lost datagrams do not let it lapse.
  Duration renewal_interval = std::chrono::milliseconds(250);
  /// A member pings one failed member per this many periods on average, so
  /// that regions find each other again after they lost contact.
  uint32_t failed_probe_rarity = 4;
  /// An update is sent this many times log2 of the number of members.
  double transmissions_factor = 3;
  size_t max_updates = 24;         ///< Updates per datagram.
  size_t max_update_bytes = 1150;  ///< Encoded updates per datagram.
  /// A longer gap between ticks means that this process was paused; its
  /// timers are then postponed, because answers wait unread.
  Duration max_tick_gap = std::chrono::milliseconds(250);
  /// Between requests for the member table of a seed.
  Duration join_interval = std::chrono::seconds(1);
  /// Between requests for the member table of a member with another digest.
  Duration sync_interval = std::chrono::seconds(5);
  /// Digests may differ for this long, while updates are spreading.
  Duration sync_grace = std::chrono::seconds(3);
  /// A member that was never listed is forgotten after it failed for this
  /// long; the instance list has a lag.
  Duration unlisted_grace = std::chrono::seconds(60);
  /// Entries of left and forgotten members are kept against late news.
  Duration tombstone_lifetime = std::chrono::minutes(10);
  /// Lifetime of application updates.
  Duration crash_lifetime = std::chrono::minutes(10);
  Duration leaving_lifetime = std::chrono::minutes(60);
  /// A member spreads its own report if digests still differ this long after
  /// it changed; at 1,300 members a HeldSetUpdate has reached all by then.
  Duration report_delay = std::chrono::seconds(8);
  /// Between checks of all members for expired times.
  Duration sweep_interval = std::chrono::milliseconds(100);
  size_t max_members = 8192;           ///< Further ones are not recorded.
  size_t max_leaving_backends = 4096;  ///< Beyond, the oldest is dropped.
  size_t max_crashes = 1024;           ///< Beyond, the oldest is dropped.
  size_t max_relays = 256;             ///< Pings on behalf of others at once.
  /// Members whose acknowledgements confirm a process, if that many are known.
  size_t max_witnesses = 16;
  /// Time within which they must arrive, counted from the ping. With the lease
  /// it stays below the 5 s that an acceptance waits.
  Duration witness_lifetime = std::chrono::milliseconds(500);
  /// If set, a process that knows of no member serves only after it has read
  /// an instance list without other entry instances.
  bool needs_list_to_serve_alone = false;
};

/** Another member with what this process knows of it. */
struct MemberEntry {
  Member member;              ///< Record.
  TimePoint suspicion_end;    ///< For suspected ones: when they fail.
  TimePoint failed_since;     ///< For failed ones.
  TimePoint last_heard;       ///< Last direct acknowledgement.
  TimePoint tombstone_end;    ///< For left and forgotten ones.
  bool is_forgotten = false;  ///< Kept as a tombstone only.
  bool was_listed = false;    ///< Its instance was in an instance list.
  bool knows_self = false;    ///< It has this process's record.
};

/** A ping that waits for its answer. */
struct PendingPing {
  MemberId target;    ///< Member pinged.
  TimePoint sent_at;  ///< Start of the lease it may grant.
};

/** A ping on behalf of another member. */
struct RelayedPing {
  MemberId target;             ///< Member pinged.
  MemberId origin;             ///< Member that asked.
  uint64_t origin_number = 0;  ///< Number that it waits for.
  TimePoint sent_at;           ///< For expiry.
};

/** The probe of the current period. */
struct CurrentProbe {
  MemberId target;            ///< Member probed.
  uint64_t number = 0;        ///< Of its ping.
  TimePoint sent_at;          ///< When the period began.
  bool asked_others = false;  ///< Indirect probes were sent.
};

/** What an update is about; a newer one replaces an older one. */
struct UpdateKey {
  uint8_t priority = 0;   ///< Lower ones are sent first; one per kind.
  uint64_t id = 0;        ///< Member or fingerprint.
  uint64_t observer = 0;  ///< Of a crash.
  std::string name;       ///< Instance.

  auto operator<=>(const UpdateKey&) const = default;
};

/** An update that is still being sent. */
struct QueuedUpdate {
  Update update;            ///< Content.
  uint32_t sent_count = 0;  ///< Datagrams that carried it.
};

/** Crashes of one request as one member saw them. */
struct CrashEntry {
  uint32_t count = 0;  ///< Highest count received.
  TimePoint end;       ///< When it is dropped.
};

/** Everything the reducer knows. Copyable. */
struct MembershipState {
  MembershipOptions options;                ///< Not changed by the reducer.
  Member self;                              ///< This process.
  std::map<MemberId, MemberEntry> members;  ///< Others, with tombstones.
  std::mt19937_64 random;                   ///< Only source of randomness.

  std::vector<MemberId> probe_order;        ///< Shuffled; walked from the end.
  std::optional<CurrentProbe> probe;        ///< Of the current period.
  std::map<uint64_t, PendingPing> pending;  ///< By ping number.
  std::map<uint64_t, RelayedPing> relays;   ///< By ping number.
  TimePoint next_probe;                     ///< Start of the next period.
  TimePoint next_confirmation;  ///< Earliest time of the next burst of pings.
  TimePoint next_renewal;       ///< Earliest time of the next extra ping.
  TimePoint last_tick;          ///< Of the previous Tick; epoch at first.
  TimePoint lease_end;          ///< End of the serving lease.

  /// Members that acknowledged a ping, with the time that it was sent; only
  /// while this process is not confirmed.
  std::map<MemberId, TimePoint> witnesses;
  bool is_confirmed = false;      ///< Enough members know this process.
  TimePoint confirmed_until;      ///< Unless the lease lasts longer.
  ConfigRevision grant_revision;  ///< Leases are granted only from this one.

  HeldSetUpdate held_set;  ///< Members known to hold the highest revision.
  std::optional<TimePoint> report_due;  ///< See report_delay.
  TimePoint next_sweep;                 ///< See sweep_interval.

  std::map<UpdateKey, QueuedUpdate> updates;          ///< Being spread.
  std::map<std::string, TimePoint> leaving_backends;  ///< With their ends.
  std::map<std::pair<uint64_t, MemberId>, CrashEntry> crashes;

  std::vector<Endpoint> seeds;         ///< Of the last SeedsListed.
  std::set<std::string> listed;        ///< Of the last InstancesListed.
  std::optional<TimePoint> listed_at;  ///< When that was read.
  bool has_joined = false;             ///< A table was received.
  TimePoint next_join;                 ///< Next request to a seed.
  TimePoint next_sync;                 ///< Next request to a member.
  TimePoint digest_changed_at;         ///< Last change of the own digest.
  TimePoint last_departure;            ///< See LastDeparture().
};

}  // namespace boragewharf::membership
