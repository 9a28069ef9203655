/**
 * @file acceptance_func.cc
 * The rule that decides when a staged ticket may be accepted.
 */
#include "config/acceptance_func.h"

namespace boragewharf::config {

AcceptanceDecision DecideAcceptance(const AcceptanceInputs& inputs) {
  if (!inputs.members_observed || !inputs.heard_all_hold) {
    return AcceptanceDecision::kWaitForHolders;
  }
  if (inputs.unheard >= 2) {
    return AcceptanceDecision::kWaitForUnheard;
  }
  if (inputs.since_departure < kLeaseRunOut) {
    return AcceptanceDecision::kWaitForLeases;
  }
  if (inputs.unheard == 0 && inputs.digests_agree) {
    return AcceptanceDecision::kAccept;
  }
  const Duration wait = inputs.unheard == 0 ? kLeaseRunOut : kUnheardRunOut;
  return inputs.since_last_hold >= wait ? AcceptanceDecision::kAccept
                                        : AcceptanceDecision::kWaitForLeases;
}

}  // namespace boragewharf::config
