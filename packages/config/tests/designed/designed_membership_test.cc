/**
 * @file designed_membership_test.cc
 * The random runs with the membership rules of docs/design.md, 3.4, as they
 * stand. Listed in KNOWN-RED.txt.
 */
#include "config_random_driver.h"

namespace boragewharf::config {
namespace {

// Guards against a serving member that lacks an accepted revision although
// every member follows the page. Fails: a member that others disregard as the
// only unheard one can still serve, see KNOWN-RED.txt.
TEST(DesignedMembershipTest, KeepsInvariantsUnderFaults) {
  RunSeeds(MembershipRules::kAsDesigned);
}

}  // namespace
}  // namespace boragewharf::config
