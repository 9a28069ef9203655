/**
 * @file lease_test.cc
 * Duty leases: single state transitions of one member.
 */
#include <gtest/gtest.h>

#include "base/result_func.h"
#include "lease/lease_cmd.h"
#include "lease/lease_func.h"

namespace boragewharf::lease {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kDuty[] = "placement";

/** A single member whose events and clock are set by the test. */
class LeaseTest : public testing::Test {
 protected:
  void SetUp() override {
    this->state.self = MemberId{1};
    this->Apply(DutyWanted{kDuty, true});
  }

  void Apply(const LeaseEvent& event) {
    this->effects.clear();
    Reduce(this->state, event, this->now, this->effects);
  }

  template <class Effect>
  const Effect* Find() const {
    for (const LeaseEffect& effect : this->effects) {
      if (const auto* found = std::get_if<Effect>(&effect)) {
        return found;
      }
    }
    return nullptr;
  }

  bool HasPermit(ServerFencing fencing) const {
    return IssuePermit(this->state, kDuty, fencing, this->now).has_value();
  }

  /** Fencing number of a permit for servers that check it, if issued. */
  std::optional<FencingNumber> PermitFencing() const {
    const auto permit =
        IssuePermit(this->state, kDuty, ServerFencing::kChecked, this->now);
    return permit ? std::optional(permit->Fencing()) : std::nullopt;
  }

  /** Takes over a lease that another member released. */
  void Acquire() {
    this->Apply(
        LeaseRead{kDuty, {"v1"}, {MemberId{9}, FencingNumber{4}, 1, true}});
    ASSERT_NE(this->Find<WriteLease>(), nullptr);
    this->Apply(LeaseWritten{kDuty, {"v2"}});
    ASSERT_TRUE(this->HasPermit(ServerFencing::kChecked));
  }

  LeaseState state;
  std::vector<LeaseEffect> effects;
  TimePoint now{seconds(1000)};
};

// Guards against orders of the previous holder that take effect after those of
// its successor on servers that ignore fencing numbers.
TEST_F(LeaseTest, SuccessorWaitsForOutstandingOrders) {
  this->Acquire();
  EXPECT_EQ(PermitFencing(), FencingNumber{5});
  EXPECT_FALSE(HasPermit(ServerFencing::kIgnored));
  const HeldLease held_lease = *state.duties.at(kDuty).held_lease;
  EXPECT_EQ(held_lease.unfenced_from - now, kOrderLifetime);
}

// Guards against seconds without a holder when a deployment starts: if no lease
// was ever written, there is no earlier holder to wait for.
TEST_F(LeaseTest, FirstHolderActsAtOnce) {
  this->Apply(LeaseReadFailed{kDuty, ResultCode::kStoreNotFound});
  const auto* write = Find<WriteLease>();
  ASSERT_NE(write, nullptr);
  EXPECT_FALSE(write->expected);
  this->Apply(LeaseWritten{kDuty, {"v1"}});
  EXPECT_TRUE(HasPermit(ServerFencing::kIgnored));
}

// Guards against a holder that counts its lease time from the arrival of the
// response, or that still sends orders after a pause.
TEST_F(LeaseTest, LeaseTimeStartsBeforeTheWriteIsSent) {
  this->Apply(
      LeaseRead{kDuty, {"v1"}, {MemberId{9}, FencingNumber{4}, 1, true}});
  const TimePoint sent = now;
  now += seconds(3);
  this->Apply(LeaseWritten{kDuty, {"v2"}});
  now = sent + kLeaseTime - kExpiryMargin - milliseconds(1);
  EXPECT_TRUE(HasPermit(ServerFencing::kChecked));
  now += milliseconds(1);
  EXPECT_FALSE(HasPermit(ServerFencing::kChecked))
      << "must expire without any event";
  EXPECT_EQ(LastReason().code, ResultCode::kLeaseLost);
}

// Guards against a takeover while the holder renews, and against a takeover
// that depends on the holder's clock.
TEST_F(LeaseTest, TakeoverRequiresAnUnchangedVersion) {
  const LeaseRecord other{MemberId{9}, FencingNumber{4}, 1, false};
  for (int renewal = 0; renewal < 10; ++renewal) {
    this->Apply(LeaseRead{kDuty, {"v" + std::to_string(renewal)}, other});
    EXPECT_EQ(Find<WriteLease>(), nullptr);
    now += seconds(9);
    this->Apply(Tick{});
    EXPECT_NE(Find<ReadLease>(), nullptr);
  }
  this->Apply(LeaseRead{kDuty, {"v9"}, other});
  now += seconds(2);
  this->Apply(Tick{});
  const auto* write = Find<WriteLease>();
  ASSERT_NE(write, nullptr);
  EXPECT_EQ(write->expected, ObjectVersion{"v9"});
  EXPECT_EQ(write->record.fencing, FencingNumber{5});
}

// Guards against treating a write whose response was lost as failed or as
// applied.
TEST_F(LeaseTest, LostWriteResponseIsResolvedByReadBack) {
  this->Acquire();
  const TimePoint before = state.duties.at(kDuty).held_lease->expires;
  now += kRenewPeriod;
  this->Apply(Tick{});
  const LeaseRecord renewal = Find<WriteLease>()->record;
  const TimePoint sent = now;
  this->Apply(LeaseWriteFailed{kDuty, ResultCode::kStoreUnknown});
  EXPECT_EQ(state.duties.at(kDuty).held_lease->expires, before);
  now += seconds(1);
  this->Apply(Tick{});
  ASSERT_NE(Find<ReadLease>(), nullptr);
  this->Apply(LeaseRead{kDuty, {"v3"}, renewal});
  EXPECT_EQ(state.duties.at(kDuty).held_lease->expires,
            sent + kLeaseTime - kExpiryMargin);
  EXPECT_EQ(renewal.fencing, FencingNumber{5})
      << "a renewal must keep the fencing number";
}

TEST_F(LeaseTest, HolderStopsWhenItReadsItsSuccessor) {
  this->Acquire();
  now += kRenewPeriod;
  this->Apply(Tick{});
  this->Apply(LeaseWriteFailed{kDuty, ResultCode::kStoreConflict});
  now += seconds(1);
  this->Apply(Tick{});
  this->Apply(
      LeaseRead{kDuty, {"v3"}, {MemberId{9}, FencingNumber{6}, 1, false}});
  EXPECT_FALSE(HasPermit(ServerFencing::kChecked));
  ASSERT_NE(Find<DutyChanged>(), nullptr);
  EXPECT_EQ(Find<DutyChanged>()->code, ResultCode::kLeaseLost);
}

// Guards against sending orders while the release is being written.
TEST_F(LeaseTest, ReleaseEndsPermissionAtOnce) {
  this->Acquire();
  this->Apply(DutyWanted{kDuty, false});
  EXPECT_FALSE(HasPermit(ServerFencing::kChecked));
  ASSERT_NE(Find<WriteLease>(), nullptr);
  EXPECT_TRUE(Find<WriteLease>()->record.released);
  this->Apply(LeaseWritten{kDuty, {"v3"}});
  now += seconds(60);
  this->Apply(Tick{});
  EXPECT_TRUE(effects.empty());
}

// Guards against overwriting a record of a newer software version.
TEST_F(LeaseTest, RecordInANewerFormatIsNotOverwritten) {
  for (int i = 0; i < 20; ++i) {
    this->Apply(LeaseReadFailed{kDuty, ResultCode::kNewerFormat});
    EXPECT_EQ(Find<WriteLease>(), nullptr);
    now += seconds(10);
    this->Apply(Tick{});
    EXPECT_EQ(Find<WriteLease>(), nullptr);
  }
}

// Guards against a decreasing fencing number and against two holders if an
// operator removes the object while a member holds the lease.
TEST_F(LeaseTest, RemovedObjectIsRecreatedWithAHigherFencingNumber) {
  this->Acquire();
  now += kRenewPeriod;
  this->Apply(Tick{});
  this->Apply(LeaseWriteFailed{kDuty, ResultCode::kStoreNotFound});
  now += seconds(1);
  this->Apply(Tick{});
  this->Apply(LeaseReadFailed{kDuty, ResultCode::kStoreNotFound});
  EXPECT_EQ(Find<WriteLease>(), nullptr)
      << "another holder may still send orders";
  now += kLeaseTime;
  this->Apply(Tick{});
  ASSERT_NE(Find<WriteLease>(), nullptr);
  EXPECT_FALSE(Find<WriteLease>()->expected);
  this->Apply(LeaseWritten{kDuty, {"v9"}});
  EXPECT_EQ(PermitFencing(), FencingNumber{6});
  EXPECT_FALSE(HasPermit(ServerFencing::kIgnored));
}

TEST(LeaseRecordTest, RoundTripsAndRejectsMalformedText) {
  LeaseRecord record{MemberId{UINT64_MAX}, FencingNumber{7}, 3, true};
  EXPECT_EQ(DecodeLease(EncodeLease(record)), record);
  record.former = {{"10.0.0.1", seconds(2)}, {"10.0.0.2", seconds(3)}};
  EXPECT_EQ(DecodeLease(EncodeLease(record)), record);
  for (const char* text :
       {"", "[]", "{", R"({"format":1})", R"({"format":1,"holder":"xyz",
        "fencing":1,"write":1,"released":false})",
        R"({"format":1,"holder":"1","fencing":-1,"write":1,"released":false})",
        R"({"format":1,"holder":"1","fencing":1,"write":1,"released":false,
        "former":[{"instance":"a","staysOutMs":-1}]})"}) {
    EXPECT_FALSE(DecodeLease(text)) << text;
    EXPECT_EQ(LastReason().code, ResultCode::kStoreMalformed);
  }
  EXPECT_FALSE(DecodeLease(R"({"format":2,"other":1})"));
  EXPECT_EQ(LastReason().code, ResultCode::kNewerFormat);
}

// All processes are killed and restart. Guards against seconds without a holder
// until the lease of the killed process expires.
TEST_F(LeaseTest, RestartedHolderTakesOverFromItsEndedProcess) {
  this->state.instance = "10.0.0.1";
  this->state.timing.order_lifetime = seconds(1);
  const LeaseRecord ended{MemberId{9}, FencingNumber{4}, 7, false, "10.0.0.1"};
  this->Apply(LeaseRead{kDuty, {"v1"}, ended});
  const auto* write = this->Find<WriteLease>();
  ASSERT_NE(write, nullptr);
  EXPECT_EQ(write->record.fencing, FencingNumber{5});
  EXPECT_EQ(write->record.instance, "10.0.0.1");
  this->Apply(LeaseWritten{kDuty, {"v2"}});
  EXPECT_TRUE(this->HasPermit(ServerFencing::kChecked));
  EXPECT_FALSE(this->HasPermit(ServerFencing::kIgnored))
      << "orders of the killed process may be outstanding";
  this->now += this->state.timing.order_lifetime;
  this->Apply(Tick{});
  EXPECT_TRUE(this->HasPermit(ServerFencing::kIgnored));
}

TEST_F(LeaseTest, LeaseOfAnotherInstanceMustExpireFirst) {
  this->state.instance = "10.0.0.1";
  const LeaseRecord other{MemberId{9}, FencingNumber{4}, 7, false, "10.0.0.2"};
  this->Apply(LeaseRead{kDuty, {"v1"}, other});
  EXPECT_EQ(this->Find<WriteLease>(), nullptr);
}

// Guards against two instances that alternate as holders (incident ONE on
// kbtc-wharf): the first holder and its successor were both stopped, and the
// first instance restarted without knowing that it had been the holder.
TEST_F(LeaseTest, RestartedFormerHolderWaitsForALeaseTime) {
  this->state.instance = "10.0.0.1";
  LeaseRecord released{MemberId{9}, FencingNumber{4}, 7, true, "10.0.0.2"};
  released.former = {{"10.0.0.1", seconds(4)}};
  this->Apply(LeaseRead{kDuty, {"v1"}, released});
  const auto tick_and_read = [&] {
    this->Apply(Tick{});
    if (this->Find<ReadLease>() != nullptr) {
      this->Apply(LeaseRead{kDuty, {"v1"}, released});
    }
  };
  EXPECT_EQ(this->Find<WriteLease>(), nullptr);
  this->now += seconds(4) - milliseconds(1);
  tick_and_read();
  EXPECT_EQ(this->Find<WriteLease>(), nullptr);
  this->now += milliseconds(1);
  tick_and_read();
  ASSERT_NE(this->Find<WriteLease>(), nullptr);
  // The holder in between may have sent orders just now.
  EXPECT_EQ(this->Find<WriteLease>()->record.former,
            (std::vector<FormerHolder>{
                {"10.0.0.2", this->state.timing.lease_time - seconds(4)}}));
}

// Guards against a time without a holder because former holders are excluded.
TEST_F(LeaseTest, OtherInstancesTakeOverAReleasedLeaseAtOnce) {
  this->state.instance = "10.0.0.3";
  LeaseRecord released{MemberId{9}, FencingNumber{4}, 7, true, "10.0.0.2"};
  released.former = {{"10.0.0.1", seconds(4)}};
  this->Apply(LeaseRead{kDuty, {"v1"}, released});
  ASSERT_NE(this->Find<WriteLease>(), nullptr);
  EXPECT_EQ(
      this->Find<WriteLease>()->record.former,
      (std::vector<FormerHolder>{{"10.0.0.1", seconds(4)},
                                 {"10.0.0.2", this->state.timing.lease_time}}));
}

// Guards against instances that are excluded forever.
TEST_F(LeaseTest, RenewalsShortenTheExclusionOfFormerHolders) {
  this->state.instance = "10.0.0.2";
  this->Apply(LeaseRead{
      kDuty, {"v1"}, {MemberId{9}, FencingNumber{4}, 7, true, "10.0.0.1"}});
  int version = 1;
  Duration left = this->state.timing.lease_time;
  for (int i = 0; i < 20; ++i) {
    const auto* write = this->Find<WriteLease>();
    ASSERT_NE(write, nullptr);
    if (left <= Duration::zero()) {
      EXPECT_TRUE(write->record.former.empty());
    } else {
      ASSERT_EQ(write->record.former.size(), 1U);
      EXPECT_EQ(write->record.former[0].excluded_for, left);
    }
    this->Apply(LeaseWritten{kDuty, {"v" + std::to_string(++version)}});
    this->now += kRenewPeriod;
    left -= kRenewPeriod;
    this->Apply(Tick{});
  }
}

// Guards against a member that does not recognize its own write when it reads
// it back, because the JSON text stores coarser durations than the clock.
TEST_F(LeaseTest, LostWriteResponseIsResolvedWithFormerHolders) {
  this->state.instance = "10.0.0.2";
  this->Apply(LeaseRead{
      kDuty, {"v1"}, {MemberId{9}, FencingNumber{4}, 7, true, "10.0.0.1"}});
  this->Apply(LeaseWritten{kDuty, {"v2"}});
  this->now += kRenewPeriod + std::chrono::microseconds(337);
  this->Apply(Tick{});
  ASSERT_NE(this->Find<WriteLease>(), nullptr);
  const std::string stored = EncodeLease(this->Find<WriteLease>()->record);
  const TimePoint renewed = this->now;
  this->Apply(LeaseWriteFailed{kDuty, ResultCode::kStoreUnknown});
  this->now += kBackoffFirst;
  this->Apply(Tick{});
  ASSERT_NE(this->Find<ReadLease>(), nullptr);
  this->Apply(LeaseRead{kDuty, {"v3"}, *DecodeLease(stored)});
  EXPECT_EQ(this->state.duties.at(kDuty).held_lease->expires,
            renewed + this->state.timing.lease_time -
                this->state.timing.expiry_margin);
}

// Guards against excluding a holder whose lease expired for too short a time:
// it may have sent orders until the expiry, which is later than the time at
// which its record was first seen.
TEST_F(LeaseTest, ExpiredHolderIsExcludedFromItsExpiry) {
  this->state.instance = "10.0.0.2";
  const LeaseRecord held{MemberId{9}, FencingNumber{4}, 7, false, "10.0.0.1"};
  this->Apply(LeaseRead{kDuty, {"v1"}, held});
  this->now += this->state.timing.lease_time;
  this->Apply(Tick{});
  if (this->Find<ReadLease>() != nullptr) {
    this->Apply(LeaseRead{kDuty, {"v1"}, held});
  }
  ASSERT_NE(this->Find<WriteLease>(), nullptr);
  EXPECT_EQ(this->Find<WriteLease>()->record.former,
            (std::vector<FormerHolder>{
                {"10.0.0.1", this->state.timing.lease_time -
                                 this->state.timing.expiry_margin}}));
}

TEST_F(LeaseTest, RecordWithoutAnInstanceMustExpireFirst) {
  const LeaseRecord unnamed{MemberId{9}, FencingNumber{4}, 7, false, ""};
  this->Apply(LeaseRead{kDuty, {"v1"}, unnamed});
  EXPECT_EQ(this->Find<WriteLease>(), nullptr);
}

}  // namespace
}  // namespace boragewharf::lease
