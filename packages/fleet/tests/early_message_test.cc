/**
 * @file early_message_test.cc
 * Messages that are sent early, because there is something new to tell.
 */
#include <gtest/gtest.h>

#include <map>
#include <string>

#include "fleet_fixture.h"

namespace boragewharf::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class EarlyMessageTest : public FleetTest {
 protected:
  /** Hears of nodes, each second one of another region. */
  void HearNodes(int count) {
    for (int i = 2; i <= count; ++i) {
      serving::PeerMessage message =
          this->Message("10.0.0." + std::to_string(i), 1);
      message.status.region = i % 2 == 0 ? "r1" : "r2";
      this->Apply(PeerMessageReceived{message});
      this->CountMessages();
    }
  }

  /** Lets time pass while a server changes in each tick. */
  void RunWithChanges(Duration time) {
    for (const TimePoint end = this->now + time; this->now < end;) {
      this->revision += 1;
      this->Apply(ServerChanged{this->revision, "s1", Server("s1")});
      this->CountMessages();
      this->TickFor(kTickPeriod);
      this->CountMessages();
    }
  }

  void CountMessages() {
    for (const Effect& effect : this->effects) {
      if (const auto* send = std::get_if<SendToPeers>(&effect)) {
        for (const std::string& ip : send->ips) {
          this->sent[ip] += 1;
        }
      }
    }
  }

  uint64_t revision = 100;
  std::map<std::string, int> sent;  ///< Messages by receiver.
};

// Guards against a message to all nodes for each change of a server or each
// node that starts: with 72 nodes they filled the link between the regions, and
// half of all datagrams were lost (ascb-wharf-grown, day rejoined).
TEST_F(EarlyMessageTest, ChangesDoNotMultiplyTheMessages) {
  this->Configure();
  this->HearNodes(72);
  this->sent.clear();
  this->RunWithChanges(seconds(10));
  // The period is 71 times 6 ms.
  constexpr double kPeriods = 10000.0 / 426;
  EXPECT_LE(this->sent["10.0.0.2"], 2 * kPeriods + 1) << "same region";
  EXPECT_LE(this->sent["10.0.0.3"], kPeriods + 1) << "other region";
  EXPECT_GE(this->sent["10.0.0.3"], kPeriods / 2 - 1) << "other region";
}

// Guards against changes that reach the other nodes only with the next periodic
// message.
TEST_F(EarlyMessageTest, ChangeIsToldWithinHalfAPeriodInTheRegion) {
  this->Configure();
  this->HearNodes(72);
  for (int i = 0; i < 8; ++i) {
    this->TickFor(milliseconds(700));
    this->sent.clear();
    this->revision += 1;
    this->Apply(ServerChanged{this->revision, "s1", Server("s1")});
    for (const TimePoint end = this->now + milliseconds(213) + kTickPeriod;
         this->now < end;) {
      this->TickFor(kTickPeriod);
      this->CountMessages();
    }
    EXPECT_GE(this->sent["10.0.0.2"], 1);
  }
}

}  // namespace
}  // namespace boragewharf::fleet
