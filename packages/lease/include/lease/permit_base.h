/**
 * @file permit_base.h
 * Permission of a lease holder to send orders.
 */
#pragma once

#include <optional>
#include <string_view>

#include "base/strong_id_type.h"
#include "lease/lease_type.h"

namespace boragewharf::lease {

/**
 * Permission to send orders with a fencing number until an expiry time. An
 * order that was queued or paused checks the permit again just before it is
 * sent. Only IssuePermit() creates permits. Immutable, hence thread-safe.
 */
class Permit {
 public:
  /** Fencing number that the order carries. */
  FencingNumber Fencing() const { return this->fencing; }

  /** Whether the holder is the first one of its duty. */
  bool IsFirst() const { return this->first; }

  /** Boot clock time from which no order may be sent. Renewing the lease does
   * not extend an issued permit. Before it releases a lease, the holder cancels
   * its orders. */
  TimePoint ExpiresAt() const { return this->expires; }

 private:
  friend std::optional<Permit> IssuePermit(const LeaseState& state,
                                           std::string_view duty,
                                           ServerFencing fencing,
                                           TimePoint now);

  Permit(FencingNumber fencing_number, TimePoint expiry, bool first_holder)
      : fencing(fencing_number), expires(expiry), first(first_holder) {}

  FencingNumber fencing;
  TimePoint expires;
  bool first;
};

}  // namespace boragewharf::lease
