/**
 * @file duty_fixture.h
 * Fixture of a node that holds the duties.
 */
#pragma once

#include <gtest/gtest.h>

#include "fleet_fixture.h"
#include "lease/lease_func.h"

namespace boragewharf::fleet {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Fixture with a node that acquires the duty lease. */
class DutyTest : public FleetTest {
 protected:
  void GainDuties() {
    this->Configure();
    for (int i = 0; i < 200 && !this->HoldsDutiesNow(); ++i) {
      this->now += kTickPeriod;
      this->Apply(
          Tick{kStartWallMs + (this->now - TimePoint{}) / milliseconds(1)});
      this->AnswerLease();
    }
    ASSERT_TRUE(this->HoldsDutiesNow());
  }

  /** A configuration with a service whose number of servers is scaled. */
  static std::shared_ptr<serving::ServingConfig> ScaledConfig() {
    auto config = Config(5);
    serving::Service service;
    service.name = "llm";
    service.engine.emplace();
    service.engine->slots = 12;
    service.scaling.emplace();
    service.scaling->min = 1;
    service.scaling->max = 60;
    service.scaling->zone_price = {{"a", 1.0}, {"b", 1.0}, {"c", 1.0}};
    config->services.push_back(service);
    return config;
  }

  bool HoldsDutiesNow() const {
    return lease::IssuePermit(this->state.lease, kDutyLease,
                              lease::ServerFencing::kIgnored, this->now)
        .has_value();
  }

  /** Answers the calls for the lease, and reads of progress: there is none. */
  void AnswerLease() {
    const std::vector<Effect> calls = this->effects;
    for (const Effect& effect : calls) {
      if (std::holds_alternative<ReadProgress>(effect)) {
        this->Apply(ProgressReadFailed{ResultCode::kStoreNotFound, false});
      }
      const auto* call = std::get_if<LeaseCall>(&effect);
      if (call == nullptr) {
        continue;
      }
      if (std::holds_alternative<lease::ReadLease>(call->call)) {
        this->Apply(LeaseEvent{
            lease::LeaseReadFailed{kDutyLease, ResultCode::kStoreNotFound}});
        this->AnswerLease();
      } else if (std::holds_alternative<lease::WriteLease>(call->call)) {
        ++this->version;
        this->Apply(LeaseEvent{
            lease::LeaseWritten{kDutyLease, {std::to_string(this->version)}}});
        this->AnswerLease();
      }
    }
  }

  /** Runs ticks until an effect of the given type appears, and answers lease
   * calls. */
  template <class Wanted>
  std::optional<Wanted> RunUntil(Duration limit) {
    const TimePoint end = this->now + limit;
    while (this->now < end) {
      this->now += kTickPeriod;
      this->Apply(
          Tick{kStartWallMs + (this->now - TimePoint{}) / milliseconds(1)});
      // Lease calls from the same tick are answered as well.
      std::vector<Effect> seen = this->effects;
      this->AnswerLease();
      this->effects = std::move(seen);
      if (const Wanted* found = this->Find<Wanted>()) {
        return *found;
      }
    }
    return std::nullopt;
  }

  uint64_t version = 0;
};

}  // namespace boragewharf::fleet
