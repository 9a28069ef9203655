/**
 * @file lease_renewal_test.cc
 * Duty leases: times of the renewals before a store that is slow or loses
 * calls.
 */
#include <gtest/gtest.h>

#include <functional>

#include "lease/lease_cmd.h"
#include "lease/lease_func.h"

namespace boragewharf::lease {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kDuty[] = "placement";

/** A holder before a store whose calls all take the same time. */
class LeaseRenewalTest : public testing::Test {
 protected:
  /** Outcome of a write, given how many came before it. */
  enum class Outcome : uint8_t { kApplied, kRejected, kLost };
  using Plan = std::function<Outcome(int)>;

  static constexpr Duration kStep = milliseconds(10);
  static constexpr uint64_t kSeeds = 100;

  /** Starts a member that acquires the duty with its first write. */
  void Start(uint64_t seed) {
    this->state = {};
    this->state.self = MemberId{seed};
    this->state.generator.seed(seed);
    this->revision = 10;
    this->stored = {MemberId{9}, FencingNumber{4}, 1, true, "b", {}, 1};
    this->writes = 0;
    this->response.reset();
    this->held = false;
    this->Apply(DutyWanted{kDuty, true});
  }

  /** Runs for @p time. A call takes @p call_time.
   * @return Time without a permit after the first one. */
  Duration Run(Duration time, Duration call_time, const Plan& plan) {
    this->latency = call_time;
    this->outcome = plan;
    Duration without{};
    for (Duration passed{}; passed < time; passed += kStep) {
      this->now += kStep;
      if (this->response && this->now >= this->response_at) {
        const LeaseEvent event = *this->response;
        this->response.reset();
        this->Apply(event);
      } else {
        this->Apply(Tick{});
      }
      const bool holds =
          IssuePermit(this->state, kDuty, ServerFencing::kChecked, this->now)
              .has_value();
      this->held = this->held || holds;
      without += this->held && !holds ? kStep : Duration{};
    }
    EXPECT_TRUE(this->held);
    return without;
  }

 private:
  void Apply(const LeaseEvent& event) {
    std::vector<LeaseEffect> effects;
    Reduce(this->state, event, this->now, effects);
    for (const LeaseEffect& effect : effects) {
      if (const auto* write = std::get_if<WriteLease>(&effect)) {
        this->response = this->Execute(*write);
      } else if (std::holds_alternative<ReadLease>(effect)) {
        this->response =
            LeaseRead{kDuty, this->Version(), this->stored, 1, this->revision};
      } else {
        continue;
      }
      this->response_at = this->now + this->latency;
    }
  }

  LeaseEvent Execute(const WriteLease& write) {
    switch (this->outcome(this->writes++)) {
      case Outcome::kRejected:
        return LeaseWriteFailed{kDuty, ResultCode::kStoreUnavailable};
      case Outcome::kLost:
        return LeaseWriteFailed{kDuty, ResultCode::kStoreUnknown};
      case Outcome::kApplied:
        break;
    }
    EXPECT_EQ(write.expected, this->Version());
    ++this->revision;
    this->stored = write.record;
    return LeaseWritten{kDuty, this->Version(), 1, this->revision};
  }

  ObjectVersion Version() const {
    return {"1:" + std::to_string(this->revision)};
  }

  LeaseState state;
  TimePoint now{seconds(1000)};
  LeaseRecord stored;
  uint64_t revision = 0;
  int writes = 0;
  Duration latency{};
  Plan outcome;
  std::optional<LeaseEvent> response;
  TimePoint response_at;
  bool held = false;
};

// Guards against a lease that expires because the time to its renewal is
// counted from a late response, though the lease is counted from the sending
// (lease_simulation_test, seed 272): one renewal succeeds, two fail.
TEST_F(LeaseRenewalTest, TwoRenewalsMayFailBeforeASlowStore) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    this->Start(seed);
    EXPECT_EQ(this->Run(seconds(60), milliseconds(1750),
                        [](int write) {
                          return write % 3 == 0 ? Outcome::kApplied
                                                : Outcome::kRejected;
                        }),
              Duration{})
        << "seed " << seed;
  }
}

// Guards against a holder that waits a whole period more after it has found
// that its last renewal was lost.
TEST_F(LeaseRenewalTest, LostRenewalIsRepeatedOnceItIsReadBack) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    this->Start(seed);
    EXPECT_EQ(this->Run(seconds(60), seconds(1),
                        [](int write) {
                          return write % 3 == 0 ? Outcome::kApplied
                                                : Outcome::kLost;
                        }),
              Duration{})
        << "seed " << seed;
  }
}

// Guards against a store that is called without pause while it responds fast.
TEST_F(LeaseRenewalTest, RenewalsBeforeAFastStoreStayRare) {
  this->Start(1);
  int renewals = 0;
  this->Run(seconds(60), milliseconds(20), [&](int) {
    ++renewals;
    return Outcome::kApplied;
  });
  EXPECT_LE(renewals, seconds(60) / (kRenewPeriod / 2) + 1);
}

}  // namespace
}  // namespace boragewharf::lease
