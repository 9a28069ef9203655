/**
 * @file store_return_test.cc
 * Duty leases: a store that comes back from a copy, without its latest writes.
 */
#include <gtest/gtest.h>

#include "lease/lease_cmd.h"
#include "lease/lease_func.h"

namespace boragewharf::lease {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kDuty[] = "placement";

/** A single member whose events and clock are set by the test. */
class StoreReturnTest : public testing::Test {
 protected:
  void SetUp() override {
    this->state.self = MemberId{1};
    this->state.instance = "a";
    this->Apply(DutyWanted{kDuty, true});
  }

  void Apply(const LeaseEvent& event) {
    this->effects.clear();
    Reduce(this->state, event, this->now, this->effects);
  }

  /** A record of another member. */
  static LeaseRecord Other(uint64_t era, bool released = false) {
    return {MemberId{9}, FencingNumber{4}, 1, released, "b", {}, era};
  }

  void Read(uint64_t era, uint64_t revision, const LeaseRecord& record) {
    this->Apply(
        LeaseRead{kDuty,
                  {std::to_string(era) + ":" + std::to_string(revision)},
                  record,
                  era,
                  revision});
  }

  std::optional<WriteLease> Written() const {
    for (const LeaseEffect& effect : this->effects) {
      if (const auto* write = std::get_if<WriteLease>(&effect)) {
        return *write;
      }
    }
    return std::nullopt;
  }

  /** Answers the last write. */
  void Confirm(uint64_t era, uint64_t revision) {
    this->Apply(
        LeaseWritten{kDuty,
                     {std::to_string(era) + ":" + std::to_string(revision)},
                     era,
                     revision});
  }

  bool Holds() const {
    return IssuePermit(this->state, kDuty, ServerFencing::kChecked, this->now)
        .has_value();
  }

  /** Takes over a released lease in era 1. */
  LeaseRecord Acquire() {
    this->Read(1, 10, Other(1, true));
    LeaseRecord record = this->Written().value().record;
    this->Confirm(1, 11);
    EXPECT_TRUE(this->Holds());
    return record;
  }

  /** Checks that the member waits a lease time before it writes. */
  void ExpectWait() {
    EXPECT_FALSE(this->Written());
    this->now += kLeaseTime - milliseconds(1);
    this->Apply(Tick{});
    EXPECT_FALSE(this->Written());
  }

  LeaseState state;
  std::vector<LeaseEffect> effects;
  TimePoint now{seconds(1000)};
};

// Guards against a former holder that finds its own lease in the copy and acts
// on it, after others have held the duty.
TEST_F(StoreReturnTest, OwnLeaseFromACopyIsNotContinuedOnceItHasExpired) {
  const LeaseRecord own = this->Acquire();
  this->now += kLeaseTime;
  this->Apply(LeaseReadFailed{kDuty, ResultCode::kStoreUnavailable});
  this->Read(2, 11, own);
  this->ExpectWait();
  this->now += milliseconds(1);
  this->Read(2, 11, own);
  ASSERT_TRUE(this->Written());
  EXPECT_GT(this->Written()->record.fencing, own.fencing);
}

// Guards against seconds without a holder after each return of the store.
TEST_F(StoreReturnTest, HolderWritesItsUnexpiredLeaseAgain) {
  const LeaseRecord own = this->Acquire();
  this->now += seconds(4);
  this->Apply(Tick{});
  this->Apply(LeaseWriteFailed{kDuty, ResultCode::kStoreConflict});
  this->now += seconds(1);
  this->Apply(Tick{});
  this->Read(2, 5, Other(1));
  ASSERT_TRUE(this->Written());
  EXPECT_EQ(this->Written()->expected, ObjectVersion{"2:5"});
  EXPECT_EQ(this->Written()->record.fencing, own.fencing);
  EXPECT_EQ(this->Written()->record.era, 2U);
  this->Confirm(2, 6);
  this->now += seconds(8);
  EXPECT_TRUE(this->Holds());
}

// Guards against a number that is given out a second time: the one in the lost
// history, or the one of a holder whose record a write of an earlier era has
// replaced.
TEST_F(StoreReturnTest, NewNumbersAreAboveThoseThatWereLost) {
  this->Read(2, 20, Other(1));
  this->now += kLeaseTime;
  this->Read(2, 20, Other(1));
  ASSERT_TRUE(this->Written());
  const FencingNumber first = this->Written()->record.fencing;
  EXPECT_GT(first.value, uint64_t{2} << 32);
  this->Apply(LeaseWriteFailed{kDuty, ResultCode::kStoreConflict});

  LeaseState later;
  later.self = MemberId{2};
  std::swap(this->state, later);
  this->Apply(DutyWanted{kDuty, true});
  this->Read(2, 22, Other(1));
  this->now += kLeaseTime;
  this->Read(2, 22, Other(1));
  ASSERT_TRUE(this->Written());
  EXPECT_GT(this->Written()->record.fencing, first);
}

// Guards against a takeover without waiting, for a reason that the store may
// have lost: a release, the end of a process, or an object that never existed.
TEST_F(StoreReturnTest, NothingFromALostHistoryAllowsATakeoverAtOnce) {
  const auto restart = [&] {
    this->state = {};
    this->SetUp();
  };
  this->Read(2, 20, Other(1, true));
  this->ExpectWait();
  restart();
  LeaseRecord own_instance = Other(1);
  own_instance.instance = "a";
  this->Read(2, 20, own_instance);
  this->ExpectWait();
  restart();
  this->Apply(LeaseReadFailed{kDuty, ResultCode::kStoreNotFound, 2});
  this->ExpectWait();
  restart();
  this->state.first_start = false;
  this->Apply(LeaseReadFailed{kDuty, ResultCode::kStoreNotFound, 1});
  this->ExpectWait();
  restart();
  this->Apply(LeaseReadFailed{kDuty, ResultCode::kStoreNotFound, 1});
  ASSERT_TRUE(this->Written());
  this->Confirm(1, 2);
  const auto permit =
      IssuePermit(this->state, kDuty, ServerFencing::kIgnored, this->now);
  ASSERT_TRUE(permit);
  EXPECT_TRUE(permit->IsFirst());
}

// Guards against a holder that counts on a write that was executed in a later
// era, whose record does not keep others from taking over.
TEST_F(StoreReturnTest, WriteThatWasExecutedInALaterEraIsNotConfirmed) {
  this->Read(1, 10, Other(1, true));
  const LeaseRecord sent = this->Written().value().record;
  this->Confirm(2, 11);
  EXPECT_FALSE(this->Holds());
  this->Read(2, 11, sent);
  EXPECT_FALSE(this->Holds());
  this->ExpectWait();
}

// Guards against holders in the order A, B, A inside a lease time: nobody knows
// who held the duty in the lost history.
TEST_F(StoreReturnTest, TakeoverOfALostLeaseExcludesAllOthersForALeaseTime) {
  this->Read(2, 20, Other(1));
  this->now += kLeaseTime;
  this->Read(2, 20, Other(1));
  LeaseRecord record = this->Written().value().record;
  record.released = true;

  this->state = {};
  this->SetUp();
  this->Read(2, 22, record);
  EXPECT_TRUE(this->Written()) << "its own instance need not wait";
  this->state = {};
  this->state.instance = "c";
  this->Apply(DutyWanted{kDuty, true});
  this->Read(2, 22, record);
  this->ExpectWait();
}

// Guards against a takeover from a holder that renews its lease, but whose
// build does not know eras.
TEST_F(StoreReturnTest, HolderWithoutErasIsNotOvertaken) {
  for (uint64_t write = 0; write < 5; ++write) {
    LeaseRecord record = Other(0);
    record.write = write;
    this->Read(1, 10 + write, record);
    EXPECT_FALSE(this->Written());
    this->now += kLeaseTime - seconds(1);
  }
}

// Guards against records that builds without eras can't read, and the reverse.
TEST_F(StoreReturnTest, EraIsOptionalInTheRecord) {
  LeaseRecord record = Other(3);
  EXPECT_EQ(DecodeLease(EncodeLease(record)), record);
  record.era = 0;
  EXPECT_EQ(EncodeLease(record).find("era"), std::string::npos);
  EXPECT_EQ(DecodeLease(EncodeLease(record)), record);
}

}  // namespace
}  // namespace boragewharf::lease
