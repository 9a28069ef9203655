/**
 * @file lease_backoff_test.cc
 * Duty leases: times of the calls after failed ones.
 */
#include <gtest/gtest.h>

#include <algorithm>
#include <map>

#include "lease/lease_cmd.h"

namespace boragewharf::lease {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kDuty[] = "placement";

/** A single member whose calls are answered by the test. */
class LeaseBackoffTest : public testing::Test {
 protected:
  void SetUp() override { this->Start(1); }

  /** Starts a new member, which makes its first call. */
  void Start(uint64_t seed) {
    this->state = {};
    this->state.self = MemberId{seed};
    this->state.generator.seed(seed);
    this->Apply(DutyWanted{kDuty, true});
  }

  void Apply(const LeaseEvent& event) {
    this->effects.clear();
    Reduce(this->state, event, this->now, this->effects);
  }

  /** Whether the last event has started a call. */
  bool HasCall() const {
    return std::ranges::any_of(this->effects, [](const LeaseEffect& effect) {
      return !std::holds_alternative<DutyChanged>(effect);
    });
  }

  /** Advances the time until the next call. @return The time that passed. */
  Duration WaitForCall() {
    const TimePoint from = this->now;
    do {
      this->now += milliseconds(1);
      this->Apply(Tick{});
    } while (!this->HasCall() && this->now - from < seconds(60));
    return this->now - from;
  }

  /** Fails reads until the backoff has reached its upper bound. The last one is
   * not repeated yet. */
  void FailReads(ResultCode code = ResultCode::kStoreUnavailable) {
    for (int i = 0; i < 8; ++i) {
      this->Apply(LeaseReadFailed{kDuty, code});
      this->WaitForCall();
    }
    this->Apply(LeaseReadFailed{kDuty, code});
  }

  /** A lease that another member has released. */
  static LeaseRead Released() {
    return {kDuty,
            {"1:10"},
            {MemberId{9}, FencingNumber{4}, 1, true, "b", {}, 1},
            1,
            10};
  }

  LeaseState state;
  std::vector<LeaseEffect> effects;
  TimePoint now{seconds(1000)};
};

// Guards against a duty without a holder for seconds after an outage of the
// store: it answers, but the calls that failed before still delay the next one.
TEST_F(LeaseBackoffTest, AnAnswerWithoutALeaseEndsTheBackoff) {
  this->FailReads();
  this->WaitForCall();
  this->Apply(LeaseReadFailed{kDuty, ResultCode::kStoreNotFound});
  ASSERT_TRUE(this->HasCall()) << "nobody has held the duty";
  this->Apply(LeaseWriteFailed{kDuty, ResultCode::kStoreUnavailable});
  EXPECT_LE(this->WaitForCall(), kBackoffFirst + milliseconds(1));
}

TEST_F(LeaseBackoffTest, AConflictEndsTheBackoff) {
  this->Apply(Released());
  ASSERT_TRUE(this->HasCall());
  for (int i = 0; i < 8; ++i) {
    this->Apply(LeaseWriteFailed{kDuty, ResultCode::kStoreUnavailable});
    this->WaitForCall();
  }
  this->Apply(LeaseWriteFailed{kDuty, ResultCode::kStoreConflict});
  EXPECT_LE(this->WaitForCall(), kBackoffFirst + milliseconds(1));
}

// Guards against a load that keeps a store from recovering.
TEST_F(LeaseBackoffTest, CallsToAStoreThatRefusesThemStayRare) {
  for (const ResultCode code :
       {ResultCode::kStoreBusy, ResultCode::kStoreUnavailable}) {
    this->Start(1);
    this->FailReads(code);
    for (int i = 0; i < 5; ++i) {
      EXPECT_GE(this->WaitForCall(), kBackoffLongest / 2);
      this->Apply(LeaseReadFailed{kDuty, code});
    }
  }
}

// Guards against a duty without a holder for seconds after an outage of the
// store (drill_soak, seed 8): the backoff reaches 4 s, and a lease time
// follows.
TEST_F(LeaseBackoffTest, CallFollowsSoonAfterTheStoreIsRegained) {
  this->FailReads();
  this->Apply(StoreRegained{});
  EXPECT_LE(this->WaitForCall(), kRegainedSpread + milliseconds(1));
}

// The same if a call of before the return fails after it.
TEST_F(LeaseBackoffTest, CallThatFailsAfterTheStoreIsRegainedIsRepeatedSoon) {
  this->FailReads();
  this->WaitForCall();
  this->Apply(StoreRegained{});
  EXPECT_FALSE(this->HasCall());
  this->now += seconds(1);
  this->Apply(LeaseReadFailed{kDuty, ResultCode::kStoreUnavailable});
  EXPECT_LE(this->WaitForCall(), kRegainedSpread + milliseconds(1));
}

// Guards against a lease time that is counted from the next periodic read, as
// no call has failed while the store came back from a copy.
TEST_F(LeaseBackoffTest, LeaseIsReadSoonAfterTheEraHasRisen) {
  LeaseRead held = Released();
  held.record.released = false;
  this->Apply(held);
  this->Apply(StoreRegained{1});
  EXPECT_GE(this->WaitForCall(), kWatchPeriod / 2) << "the era is known";
  this->Apply(held);
  this->Apply(StoreRegained{2});
  EXPECT_LE(this->WaitForCall(), kRegainedSpread + milliseconds(1));
  EXPECT_TRUE(std::holds_alternative<ReadLease>(this->effects.front()));
}

// Guards against a write that depends on a revision of an earlier era.
TEST_F(LeaseBackoffTest, HolderReadsItsLeaseAgainAfterTheEraHasRisen) {
  this->Apply(Released());
  this->Apply(LeaseWritten{kDuty, {"1:11"}, 1, 11});
  this->Apply(StoreRegained{2});
  EXPECT_LE(this->WaitForCall(), kRegainedSpread + milliseconds(1));
  EXPECT_TRUE(std::holds_alternative<ReadLease>(this->effects.front()));
}

// Guards against a load that keeps a store from recovering: it refuses the
// lease calls, but some of its answers tell that it is back.
TEST_F(LeaseBackoffTest, RefusedCallsStayRareThoughTheStoreIsRegainedOften) {
  for (const ResultCode code :
       {ResultCode::kStoreBusy, ResultCode::kStoreUnavailable}) {
    this->Start(1);
    this->FailReads(code);
    int calls = 0;
    for (int step = 0; step < 200; ++step) {
      this->now += milliseconds(100);
      this->Apply(step % 2 == 0 ? LeaseEvent(StoreRegained{})
                                : LeaseEvent(Tick{}));
      if (this->HasCall()) {
        ++calls;
        this->Apply(StoreRegained{});
        this->Apply(LeaseReadFailed{kDuty, code});
      }
    }
    EXPECT_LE(calls, 21) << "in 20 s";
    // Without such answers, the backoff is as long as before.
    this->WaitForCall();
    this->Apply(LeaseReadFailed{kDuty, code});
    EXPECT_GE(this->WaitForCall(), kBackoffLongest / 2);
  }
}

// Guards against members that all call at the same moment after an outage.
TEST_F(LeaseBackoffTest, MembersCallAtDifferentTimesAfterTheStoreIsRegained) {
  std::map<Duration, int> calls;
  constexpr int kMembers = 100;
  for (uint64_t seed = 1; seed <= kMembers; ++seed) {
    this->Start(seed);
    this->FailReads();
    this->Apply(StoreRegained{});
    ++calls[this->WaitForCall()];
  }
  const Duration range = calls.rbegin()->first - calls.begin()->first;
  EXPECT_GE(range, kRegainedSpread * 3 / 4);
  for (const auto& [delay, count] : calls) {
    EXPECT_LE(count, kMembers / 10) << delay / milliseconds(1) << " ms";
  }
}

}  // namespace
}  // namespace boragewharf::lease
