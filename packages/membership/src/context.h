/**
 * @file context.h
 * Arguments that all commands of the reducer share, internal to the package.
 */
#pragma once

#include <utility>
#include <vector>

#include "base/time_type.h"
#include "membership/membership_event_type.h"
#include "membership/membership_state_type.h"

namespace boragewharf::membership {

/** One call of Reduce(). */
struct Context {
  MembershipState& state;                  ///< To change.
  TimePoint now;                           ///< Time of the event.
  std::vector<MembershipEffect>& effects;  ///< To extend.

  void Emit(MembershipEffect effect) const {
    this->effects.push_back(std::move(effect));
  }
};

}  // namespace boragewharf::membership
