/**
 * @file duty_rules_base.h
 * Who may write the lease of a duty, and with which record.
 */
#pragma once

#include <map>
#include <string>

#include "lease/lease_type.h"

namespace boragewharf::lease {

/** Answers questions on the state of one duty. The methods need a lease object
 * that was read, unless they say otherwise. Not thread-safe. */
class DutyRules {
 public:
  /** @param lease_state, duty_entry Must outlive this object. */
  DutyRules(const LeaseState& lease_state,
            const Duty& duty_entry,
            TimePoint time)
      : state(lease_state), duty(duty_entry), now(time) {}

  /** Whether the last seen record names this member as the holder. */
  bool IsRecordedHolder() const;

  /** Whether the last seen record is from another era of the store than the
   * answer that had it. @pre The object has been read. */
  bool IsVoid() const;

  /** Whether no member has held the duty so far. Members never remove the
   * object, so this is the case if it does not exist, this member has never
   * seen it, and the store cannot have lost it. @pre The object has been read.
   */
  bool NeverHeld() const;

  /** Whether this member's lease has been valid since before the store came
   * back, so that nobody else can have taken over. Also if there is a void
   * record of another member: it was sent in an earlier era, so its writer does
   * not count as the holder. Members that do not know eras do, and win with a
   * higher number. @pre The object has been read. */
  bool MayWriteAgain() const;

  /** Whether the object names another holder that followed this member. A lower
   * fencing number than that of the held lease comes from a stale read.
   * @pre The object has been read, and there is a held lease. */
  bool IsSuperseded() const;

  /** Whether the holder was an earlier process of this instance, which has
   * therefore ended. */
  bool HolderProcessEnded() const;

  bool CanWrite() const;

  /** Earliest time at which this member may take over the lease.
   * @pre The object has been read. */
  TimePoint AvailableFrom() const;

  /**
   * Former holders and until when they are excluded, including the holder whose
   * record is being replaced.
   * @param continues Whether the write continues this member's own lease.
   */
  std::map<std::string, TimePoint> CollectFormerHolders(bool continues) const;

  /** Fencing number of a new holder. Without eras it is one higher than the
   * highest one seen. */
  FencingNumber NextFencing() const;

 private:
  const LeaseState& state;
  const Duty& duty;
  const TimePoint now;
};

}  // namespace boragewharf::lease
