/**
 * @file usage_spread_test.cc
 * Which nodes are told the request counts that the holder of the duties needs.
 */
#include <gtest/gtest.h>

#include <set>
#include <string>

#include "fleet_fixture.h"

namespace boragewharf::fleet {
namespace {

class UsageSpreadTest : public FleetTest {
 protected:
  UsageSpreadTest() {
    this->Configure();
    TrafficReported traffic;
    traffic.report.usage[7][serving::HashName("school")] = 3;
    this->Apply(traffic);
  }

  void Hear(int number, uint64_t sequence, bool holds_duties) {
    serving::PeerMessage message =
        this->Message("10.0.0." + std::to_string(number), sequence);
    message.status.region = number % 2 == 0 ? "r1" : "r2";
    message.status.holds_duties = holds_duties;
    this->Apply(PeerMessageReceived{message});
  }

  /** Nodes that get counts within half a second, before others are silent. */
  std::set<std::string> ToldNodes() {
    std::set<std::string> told;
    for (int i = 0; i < 5; ++i) {
      this->TickFor(kTickPeriod);
      for (const Effect& effect : this->effects) {
        const auto* send = std::get_if<SendToPeers>(&effect);
        if (send != nullptr && !send->message.report.usage.empty()) {
          told.insert(send->ips.begin(), send->ips.end());
        }
      }
    }
    return told;
  }
};

// Guards against missing counts while this node does not hear the holder of the
// duties, which hears this node: with the link between two regions full in one
// direction, a region's requests of five seconds were not reported
// (ascb-wharf-grown, day rejoined).
TEST_F(UsageSpreadTest, AllNodesAreToldCountsWhileNoHolderIsKnown) {
  for (int number = 2; number <= 30; ++number) {
    this->Hear(number, 1, false);
  }
  EXPECT_EQ(this->ToldNodes().size(), 29U);
}

// Guards against the same after the holder was heard for the last time.
TEST_F(UsageSpreadTest, AllNodesAreToldCountsWhileTheHolderIsSilent) {
  for (int number = 2; number <= 30; ++number) {
    this->Hear(number, 1, number == 29);
  }
  this->TickFor(std::chrono::seconds(2));
  EXPECT_EQ(this->ToldNodes().size(), 29U);
}

// Guards against counts for all nodes, which would take room on the links.
TEST_F(UsageSpreadTest, OnlyDutyNodesAreToldCountsOnceAHolderIsKnown) {
  for (int number = 2; number <= 30; ++number) {
    this->Hear(number, 1, number == 29);
  }
  const std::set<std::string> told = this->ToldNodes();
  EXPECT_TRUE(told.contains("10.0.0.29"));
  EXPECT_LT(told.size(), 10U);
}

}  // namespace
}  // namespace boragewharf::fleet
