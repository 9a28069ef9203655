/**
 * @file lease_type.h
 * Duty leases: the stored record, and the events, effects and state of the
 * lease protocol. A duty is a task that at most one member performs at a time.
 */
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "base/object_type.h"
#include "base/result_type.h"
#include "base/strong_id_type.h"
#include "base/time_type.h"

namespace boragewharf::lease {

/** Format version of the record. Records with a higher version are never
 * overwritten. */
inline constexpr uint32_t kRecordFormat = 1;

/**
 * Validity of the lease after a write of the record. A successor waits this
 * long after it first read the record.
 */
inline constexpr Duration kLeaseTime = std::chrono::seconds(10);

/**
 * The holder treats its lease as expired this much earlier, in case its clock
 * runs slower than the successor's. Crystal oscillators differ by far less than
 * 5% over 10 s.
 */
inline constexpr Duration kExpiryMargin = std::chrono::milliseconds(500);

/**
 * Longest lifetime of an order: it takes effect within this time or not at all.
 * A successor waits this long before it sends orders to servers that ignore
 * fencing numbers.
 */
inline constexpr Duration kOrderLifetime = std::chrono::seconds(10);

/**
 * Longest time from the sending of a renewal to that of the next one, if the
 * store responds by then. Two in a row can fail before the lease expires: a
 * period, the backoffs and three calls of up to 1.9 s fit into the 9.5 s of its
 * validity. If the responses are lost, two reads come in between, and calls may
 * take 1.2 s.
 */
inline constexpr Duration kRenewPeriod = std::chrono::seconds(3);

/** Time between reads of a lease that another member holds. */
inline constexpr Duration kWatchPeriod = std::chrono::seconds(2);

/** Fencing number of the first holder of a duty. */
inline constexpr FencingNumber kFirstFencing{1};

/** Backoff after the first failed call; doubles with each further failure. */
inline constexpr Duration kBackoffFirst = std::chrono::milliseconds(250);

/** Upper bound of the backoff. */
inline constexpr Duration kBackoffLongest = std::chrono::seconds(4);

/** After StoreRegained, members call at random times within this time, so that
 * they do not all call at once. */
inline constexpr Duration kRegainedSpread = std::chrono::milliseconds(300);

/** Least time between calls that are made early for StoreRegained: a store that
 * alternates between answers and refusals is not called more often. */
inline constexpr Duration kRegainedPeriod = std::chrono::seconds(1);

/**
 * Timing parameters of the protocol; must be equal on all members of a
 * deployment. The defaults suit stores that respond within seconds.
 */
struct LeaseTiming {
  Duration lease_time = kLeaseTime;          ///< See kLeaseTime.
  Duration expiry_margin = kExpiryMargin;    ///< See kExpiryMargin.
  Duration order_lifetime = kOrderLifetime;  ///< See kOrderLifetime.
  Duration renew_period = kRenewPeriod;      ///< See kRenewPeriod.
  Duration watch_period = kWatchPeriod;      ///< See kWatchPeriod.
};

/** Stands for all instances but that of the record's holder. Used if the
 * record does not know who held the duty in a history that the store lost. */
inline constexpr char kAnyInstance[] = "*";

/** An instance that held the duty before and may have acted on it recently. */
struct FormerHolder {
  std::string instance;  ///< Or kAnyInstance.
  /** Time without taking over again, counted from the write of the record. */
  Duration excluded_for{};

  bool operator==(const FormerHolder&) const = default;
};

/** Content of the stored object leases/DUTY. */
struct LeaseRecord {
  MemberId holder;         ///< Member that wrote the record.
  FencingNumber fencing;   ///< Increases with each new holder.
  uint64_t write = 0;      ///< Unique among the holder's writes.
  bool released = false;   ///< Given up; others need not wait.
  std::string instance{};  ///< Instance of the holder; empty: unknown.

  /** Earlier holders that may not take over again yet. They are stored in the
   * record because a restarted process does not know that it was a holder. */
  std::vector<FormerHolder> former{};

  /**
   * Era of the store in which its writer read what the record replaced; 0: the
   * writer does not know eras. If the store answers with the record in another
   * era, the record is from a lost history or was executed late: it tells
   * neither who holds the duty nor that nobody does.
   */
  uint64_t era = 0;

  bool operator==(const LeaseRecord&) const = default;
};

/** Whether a server rejects orders with an outdated fencing number. */
enum class ServerFencing : uint8_t {
  kChecked,  ///< The server rejects such orders.
  kIgnored,  ///< The server accepts any order.
};

// Events.

/**
 * This member becomes a candidate for a duty or stops being one. The load on
 * the store grows with the number of candidates, because each of them reads the
 * lease every kWatchPeriod.
 */
struct DutyWanted {
  std::string duty;     ///< Name of the duty.
  bool wanted = false;  ///< If false, a holder releases the lease.
};

/**
 * Response to ReadLease. The store's era, here and below, rises whenever the
 * store comes back without its latest acknowledged writes; 0 if the store has
 * no eras. Versions are given out again in a later era.
 */
struct LeaseRead {
  std::string duty;
  ObjectVersion version;
  LeaseRecord record;
  uint64_t era = 0;       ///< Of the store when it answered.
  uint64_t revision = 0;  ///< Rises with each write in an era; 0 without eras.
};

/** ReadLease failed, or the record could not be decoded. */
struct LeaseReadFailed {
  std::string duty;
  ResultCode code = ResultCode::kOk;  ///< kStoreNotFound: no object.
  uint64_t era = 0;                   ///< Of the store if it answered.
};

/** WriteLease succeeded. */
struct LeaseWritten {
  std::string duty;
  ObjectVersion version;
  /** Of the store when it answered; not that of the record if the store came
   * back from a copy in between. */
  uint64_t era = 0;
  uint64_t revision = 0;  ///< See LeaseRead.
};

/** WriteLease failed. */
struct LeaseWriteFailed {
  std::string duty;
  ResultCode code = ResultCode::kOk;
};

/**
 * The store is known to answer again, or to have come back from a copy, from
 * calls of other kinds or of other members. Makes the next call early if calls
 * have failed or the era is new. If that call fails as well, the backoff goes
 * on from where it was.
 */
struct StoreRegained {
  uint64_t era = 0;  ///< Of the store; 0 if unknown.
};

/** Periodic event, expected several times a second. */
struct Tick {};

using LeaseEvent = std::variant<DutyWanted,
                                LeaseRead,
                                LeaseReadFailed,
                                LeaseWritten,
                                LeaseWriteFailed,
                                StoreRegained,
                                Tick>;

// Effects. Each ReadLease and WriteLease is answered by exactly one event.
// Until then no other call for the same duty is started.

/** Requests a read of the object leases/DUTY. */
struct ReadLease {
  std::string duty;
};

/** Requests a conditional write of the object leases/DUTY. */
struct WriteLease {
  std::string duty;
  std::optional<ObjectVersion> expected;  ///< Empty: create the object.
  LeaseRecord record;
};

/** This member gained or lost a duty. Only used for metrics and logs. */
struct DutyChanged {
  std::string duty;
  FencingNumber fencing;              ///< Fencing number of the lease.
  bool held = false;                  ///< Gained (true) or lost.
  ResultCode code = ResultCode::kOk;  ///< Why it was lost.
  /** Record that the lease replaced when it was gained; empty if there was no
   * object. */
  std::optional<LeaseRecord> replaced{};
  uint64_t era = 0;  ///< Of the store when the lease was gained.
};

using LeaseEffect = std::variant<ReadLease, WriteLease, DutyChanged>;

// State.

/** The lease object as last read or written. */
struct Observation {
  std::optional<ObjectVersion> version;  ///< Empty: the object does not exist.
  LeaseRecord record;                    ///< Default if it does not exist.
  TimePoint first_seen;   ///< When this member first saw the version.
  uint64_t era = 0;       ///< Of the store when it was seen.
  uint64_t revision = 0;  ///< See LeaseRead; 0 if the object does not exist.
};

/** The lease of this member, known from its own confirmed writes. */
struct HeldLease {
  FencingNumber fencing;    ///< Fencing number for its orders.
  TimePoint expires;        ///< Counted from just before the write was sent.
  TimePoint unfenced_from;  ///< Orders of earlier holders are over from here
                            ///< on; allows servers that ignore fencing numbers.
  bool first = false;       ///< Nobody has held the duty before.
};

/** A WriteLease whose result is not known yet. */
struct PendingWrite {
  LeaseRecord record;    ///< Record as sent.
  TimePoint sent_at;     ///< Time just before it was sent.
  bool unknown = false;  ///< The response was lost; reading it back tells.
  std::optional<LeaseRecord> replaced{};  ///< Empty: there was no object.
  bool first = false;                     ///< See HeldLease.
};

/** State of one duty at this member. */
struct Duty {
  bool wanted = false;                  ///< This member is a candidate.
  bool call_in_flight = false;          ///< Waiting for a response.
  bool reported_held = false;           ///< Last DutyChanged had held = true.
  std::optional<Observation> seen;      ///< Empty before the first read.
  std::optional<HeldLease> held_lease;  ///< May have expired.
  std::optional<PendingWrite> pending;  ///< At most one at a time.
  FencingNumber highest;                ///< Highest fencing number seen.
  uint64_t era = 0;                     ///< Latest era of the store seen.
  bool answered = false;                ///< The store has answered a read.
  bool seen_earlier_era = false;        ///< Another era was seen before.
  /** Number that this member has as the first holder; empty if it is not. */
  std::optional<FencingNumber> first_fencing{};
  /** Former holders in the last record that was sent, and until when they are
   * excluded: the store may come back without that record. */
  std::map<std::string, TimePoint> excluded{};
  TimePoint next_call;    ///< Earliest time of the next call.
  uint32_t failures = 0;  ///< Consecutive failed calls.
  /** StoreRegained came during the call in flight. */
  bool regained_in_call = false;
  TimePoint next_regained;                 ///< See kRegainedPeriod.
  ResultCode last_code = ResultCode::kOk;  ///< Result of the last call.
};

/** All duties of this member. */
struct LeaseState {
  MemberId self;              ///< Random for each process start.
  LeaseTiming timing;         ///< Set before the first event.
  std::mt19937_64 generator;  ///< For jitter; seeded by the caller.
  uint64_t last_write = 0;    ///< Last used LeaseRecord::write.
  std::map<std::string, Duty, std::less<>> duties{};  ///< By name.
  std::string instance{};  ///< Instance of this member; may be empty.
  /** The deployment starts for the first time: nobody can have held a duty
   * whose object does not exist. */
  bool first_start = true;
};

}  // namespace boragewharf::lease
