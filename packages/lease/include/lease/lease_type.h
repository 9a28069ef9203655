/**
 * @file lease_type.h
 * Duty leases: the record in the store, events, effects and state.
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

/** Format number of the record; a higher one is left unchanged. */
inline constexpr uint32_t kRecordFormat = 1;

/**
 * Time for which a write of the record entitles its holder, and for which a
 * successor waits after it first saw the record.
 */
inline constexpr Duration kLeaseTime = std::chrono::seconds(10);

/**
 * The holder stops this much earlier, in case its clock runs slower than the
 * successor's; crystal oscillators differ by far less than 5% over 10 s.
 */
inline constexpr Duration kExpiryMargin = std::chrono::milliseconds(500);

/**
 * Bound on outstanding orders: an order takes effect within this time or not
 * at all. A successor waits for it before it gives orders to servers that
 * ignore fencing numbers.
 */
inline constexpr Duration kOrderLifetime = std::chrono::seconds(10);

/** Time between renewals; two of them can fail before the lease lapses. */
inline constexpr Duration kRenewPeriod = std::chrono::seconds(3);

/** Time between reads of a lease that another member holds. */
inline constexpr Duration kWatchPeriod = std::chrono::seconds(2);

/** Number of the first holder of a duty. */
inline constexpr FencingNumber kFirstFencing{1};

/** Delay after the first failed call; doubles with each further one. */
inline constexpr Duration kBackoffFirst = std::chrono::milliseconds(250);

/** Longest delay between calls. */
inline constexpr Duration kBackoffLongest = std::chrono::seconds(4);

/**
 * Times of the protocol; equal on all members of a deployment. The defaults
 * suit stores that are reached in seconds.
 */
struct LeaseTiming {
  Duration lease_time = kLeaseTime;          ///< See kLeaseTime.
  Duration expiry_margin = kExpiryMargin;    ///< See kExpiryMargin.
  Duration order_lifetime = kOrderLifetime;  ///< See kOrderLifetime.
  Duration renew_period = kRenewPeriod;      ///< See kRenewPeriod.
  Duration watch_period = kWatchPeriod;      ///< See kWatchPeriod.
};

/** An instance that held the duty before and may have acted recently. */
struct FormerHolder {
  std::string instance;
  Duration stays_out{};  ///< Counted from the write of the record.

  bool operator==(const FormerHolder&) const = default;
};

/** The object leases/DUTY. */
struct LeaseRecord {
  MemberId holder;         ///< Who wrote it.
  FencingNumber fencing;   ///< Rises with each holder.
  uint64_t write = 0;      ///< Unique among the holder's writes.
  bool released = false;   ///< Given up; a successor need not wait.
  std::string instance{};  ///< Where the holder runs; empty: not told.

  /** Holders before this one that may not yet act again; a process that
   * restarts would forget that it was one of them. */
  std::vector<FormerHolder> former{};

  bool operator==(const LeaseRecord&) const = default;
};

/** Whether a server refuses orders with an old fencing number. */
enum class ServerFencing : uint8_t {
  kChecked,  ///< It does.
  kIgnored,  ///< It accepts any order.
};

// Events.

/**
 * This member becomes a candidate for a duty or stops being one. The number
 * of candidates decides the load on the store: each reads the lease every
 * kWatchPeriod.
 */
struct DutyWanted {
  std::string duty;     ///< Name of the lease object.
  bool wanted = false;  ///< Candidate or not; a holder then releases.
};

/** Answer to ReadLease. */
struct LeaseRead {
  std::string duty;
  ObjectVersion version;
  LeaseRecord record;
};

/** Failure of ReadLease, or of decoding the record. */
struct LeaseReadFailed {
  std::string duty;
  ResultCode code = ResultCode::kOk;  ///< kStoreNotFound: no such object.
};

/** Confirmation of WriteLease. */
struct LeaseWritten {
  std::string duty;
  ObjectVersion version;
};

/** Failure of WriteLease. */
struct LeaseWriteFailed {
  std::string duty;
  ResultCode code = ResultCode::kOk;
};

/** Time has passed; expected several times a second. */
struct Tick {};

using LeaseEvent = std::variant<DutyWanted,
                                LeaseRead,
                                LeaseReadFailed,
                                LeaseWritten,
                                LeaseWriteFailed,
                                Tick>;

// Effects. Each ReadLease and WriteLease is answered by exactly one event;
// until then the duty has no other call in flight.

/** Read the object leases/DUTY. */
struct ReadLease {
  std::string duty;
};

/** Write the object leases/DUTY. */
struct WriteLease {
  std::string duty;
  std::optional<ObjectVersion> expected;  ///< Empty: create the object.
  LeaseRecord record;
};

/** This member gained or lost a duty; for counters and logs only. */
struct DutyChanged {
  std::string duty;
  FencingNumber fencing;              ///< Number gained or lost.
  bool held = false;                  ///< Gained or lost.
  ResultCode code = ResultCode::kOk;  ///< Why it was lost.
};

using LeaseEffect = std::variant<ReadLease, WriteLease, DutyChanged>;

// State.

/** The lease object as last seen. */
struct Observation {
  std::optional<ObjectVersion> version;  ///< Empty: there is no object.
  LeaseRecord record;                    ///< Default if there is no object.
  TimePoint first_seen;  ///< When this version was first seen, own clock.
};

/** The right of this member, from its own confirmed writes. */
struct Holding {
  FencingNumber fencing;   ///< Number for orders.
  TimePoint expires;       ///< Counted from before the write was sent.
  TimePoint settled_from;  ///< Earlier holders' orders have ended.
};

/** A WriteLease whose result is open. */
struct PendingWrite {
  LeaseRecord record;    ///< As sent.
  TimePoint sent_at;     ///< Before it was sent.
  bool unknown = false;  ///< The answer was lost; a read-back resolves it.
};

/** One duty as this member sees it. */
struct Duty {
  bool wanted = false;                     ///< This member is a candidate.
  bool call_in_flight = false;             ///< An answer is outstanding.
  bool announced = false;                  ///< Last DutyChanged said held.
  std::optional<Observation> seen;         ///< Empty before the first read.
  std::optional<Holding> holding;          ///< May have expired.
  std::optional<PendingWrite> pending;     ///< At most one.
  FencingNumber highest;                   ///< Highest number seen or used.
  TimePoint next_call;                     ///< Not before.
  uint32_t failures = 0;                   ///< Calls failed in a row.
  ResultCode last_code = ResultCode::kOk;  ///< Of the last call.
};

/** All duties of this member. */
struct LeaseState {
  MemberId self;              ///< Random per process start.
  LeaseTiming timing;         ///< Set before the first event.
  std::mt19937_64 generator;  ///< For jitter; seeded by the owner.
  uint64_t last_write = 0;    ///< Source of LeaseRecord::write.
  std::map<std::string, Duty, std::less<>> duties{};  ///< By name.
  std::string instance{};  ///< Where this member runs; may be empty.
};

}  // namespace boragewharf::lease
