/**
 * @file store_regained_test.cc
 * Calls for the duty lease after the store has come back.
 */
#include <gtest/gtest.h>

#include "fleet_fixture.h"

namespace boragewharf::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Time until the next call: a random share of 300 ms, and a tick. */
constexpr milliseconds kPromptly(400);

/** A candidate for the duties whose lease calls fail. */
class StoreRegainedTest : public FleetTest {
 protected:
  /** Fails lease calls for long enough that the next one is made seconds later.
   */
  void FailLeaseCalls() {
    this->Configure();
    const TimePoint end = this->now + seconds(30);
    bool failed = false;
    while (this->now < end || !failed) {
      this->TickFor(kTickPeriod);
      failed = this->FailCall();
    }
  }

  /** Whether the last event has started a lease call; answers it. */
  bool FailCall() {
    if (this->Find<LeaseCall>() == nullptr) {
      return false;
    }
    this->Apply(LeaseEvent{
        lease::LeaseReadFailed{kDutyLease, ResultCode::kStoreUnavailable}});
    return true;
  }

  /** Time until the next lease call. */
  Duration WaitForCall() {
    const TimePoint from = this->now;
    while (this->Find<LeaseCall>() == nullptr &&
           this->now - from < seconds(9)) {
      this->TickFor(kTickPeriod);
    }
    return this->now - from;
  }
};

// Guards against duties that nobody has for seconds after an outage of the
// store (drill_soak, seed 8), as failed lease calls are repeated up to 4 s
// later.
TEST_F(StoreRegainedTest, LeaseIsReadSoonAfterTheStoreIsReachableAgain) {
  this->FailLeaseCalls();
  this->Apply(StoreReachable{false});
  EXPECT_EQ(this->Find<LeaseCall>(), nullptr);
  this->Apply(StoreReachable{true});
  EXPECT_LE(this->WaitForCall(), kPromptly);
}

// The same for a node that does not watch the store itself.
TEST_F(StoreRegainedTest, LeaseIsReadSoonAfterAnotherNodeTellsOfALaterEra) {
  this->FailLeaseCalls();
  auto message = Message("10.0.0.9", 1);
  message.status.has_eras = true;
  message.status.servers_era = 2;
  this->Apply(PeerMessageReceived{message});
  EXPECT_LE(this->WaitForCall(), kPromptly);
}

// Guards against an outage that is too short for the watches to report it.
TEST_F(StoreRegainedTest, LeaseIsReadSoonAfterAnAnswerNamesALaterEra) {
  this->FailLeaseCalls();
  this->Apply(StoreEraRisen{2});
  EXPECT_LE(this->WaitForCall(), kPromptly);
}

}  // namespace
}  // namespace boragewharf::fleet
