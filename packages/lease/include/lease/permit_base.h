/**
 * @file permit_base.h
 * The right of a holder to give orders, as an order carries it.
 */
#pragma once

#include <optional>
#include <string_view>

#include "base/strong_id_type.h"
#include "lease/lease_type.h"

namespace boragewharf::lease {

/**
 * The right to give orders with a fencing number until a time. An order that
 * waits or is paused on its way checks it again when it leaves. Only
 * IssuePermit() makes one. Immutable, hence thread-safe.
 */
class Permit {
 public:
  /** The number that the order carries. */
  FencingNumber Fencing() const { return this->number; }

  /** Boot clock time from which no order leaves. A renewal of the lease does
   * not extend it; before a release the holder cancels its orders. */
  TimePoint ExpiresAt() const { return this->ends; }

 private:
  friend std::optional<Permit> IssuePermit(const LeaseState& state,
                                           std::string_view duty,
                                           ServerFencing fencing,
                                           TimePoint now);

  Permit(FencingNumber fencing, TimePoint end) : number(fencing), ends(end) {}

  FencingNumber number;
  TimePoint ends;
};

}  // namespace boragewharf::lease
