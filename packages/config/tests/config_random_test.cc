/**
 * @file config_random_test.cc
 * Random runs of several reducers, see config_random_driver.h.
 */
#include "config_random_driver.h"

namespace boragewharf::config {
namespace {

// Guards against a revision that reverts, a serving member that lacks an
// accepted revision, two tickets for one revision, an answer that contradicts
// the store, and a ticket that stays staged forever.
TEST(ConfigRandomTest, KeepsInvariantsUnderFaults) {
  RunSeeds();
}

}  // namespace
}  // namespace boragewharf::config
