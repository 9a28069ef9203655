/**
 * @file store_contact_test.cc
 * What a node tells its data plane of its contact with the store.
 */
#include <gtest/gtest.h>

#include "fleet/fleet_cmd.h"
#include "fleet_fixture.h"

namespace boragewharf::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class StoreContactTest : public FleetTest {
 protected:
  /** Whether the next summary says that the changes of the store reach this
   * node or one that it hears. */
  bool StoreFollowed() {
    for (int ticks = 0; ticks < 10; ++ticks) {
      this->TickFor(kTickPeriod);
      if (const auto* publish = this->Find<PublishPeers>()) {
        return publish->summary.store_followed;
      }
    }
    ADD_FAILURE() << "no summary";
    return false;
  }

  /** Lets the saves be read until the call is made. */
  void AskForSaves() {
    this->Apply(StreamEvent{StreamRestoreWanted{}});
    this->TickFor(kTickPeriod);
  }

  void AnswerWithSaves() {
    StreamsRead read;
    read.read = true;
    this->Apply(StreamEvent{read});
  }

  /** Addresses of nodes that come before this one as watchers of the store, as
   * many as are enough. */
  static std::vector<std::string> Followers() {
    std::vector<std::string> ips;
    for (int last = 2; ips.size() < 3; ++last) {
      const std::string ip = "10.0.0." + std::to_string(last);
      if (serving::HashName(ip) < serving::HashName("10.0.0.1")) {
        ips.push_back(ip);
      }
    }
    return ips;
  }

  /** Receives messages of nodes that watch the store. */
  void HearFollowers(Duration time) {
    const std::vector<std::string> ips = Followers();
    for (const TimePoint end = this->now + time; this->now < end;) {
      this->sequence += 1;
      for (const std::string& ip : ips) {
        serving::PeerMessage message = this->Message(ip, this->sequence);
        message.status.follows_store = true;
        message.status.has_eras = true;
        message.status.config_revision = this->state.config_revision;
        message.status.config_version = 3;
        message.status.servers_revision = this->state.servers_revision;
        this->Apply(PeerMessageReceived{message});
      }
      this->TickFor(kTickPeriod);
    }
  }

  uint64_t sequence = 0;
};

// Guards against taking the store for followed after a freeze, during which it
// may have been lost, as its loss was not noticed yet.
TEST_F(StoreContactTest, WokenNodeFollowsTheStoreOnlyAfterAnAnswer) {
  this->Configure();
  EXPECT_TRUE(this->StoreFollowed()) << "the first contact is enough";
  this->AskForSaves();
  this->now += seconds(4);
  EXPECT_FALSE(this->StoreFollowed());
  this->AnswerWithSaves();
  EXPECT_FALSE(this->StoreFollowed()) << "asked for before the freeze";
  this->AskForSaves();
  this->TickFor(seconds(1));
  this->AnswerWithSaves();
  EXPECT_TRUE(this->StoreFollowed());
}

// Guards against taking the store for followed by a node that has not called it
// since the nodes that watched it were last heard.
TEST_F(StoreContactTest, NodeThatBeginsToFollowNeedsAnAnswer) {
  this->Configure();
  this->HearFollowers(seconds(3));
  ASSERT_FALSE(this->state.following);
  EXPECT_TRUE(this->StoreFollowed()) << "by the others";
  this->TickFor(seconds(1));
  ASSERT_TRUE(this->state.following);
  EXPECT_FALSE(this->StoreFollowed());
  this->AskForSaves();
  this->AnswerWithSaves();
  EXPECT_TRUE(this->StoreFollowed());
}

// Guards against refusing streams after a freeze although others that are heard
// follow the store.
TEST_F(StoreContactTest, WokenNodeReliesOnNodesThatItHears) {
  this->Configure();
  this->HearFollowers(seconds(1));
  this->now += seconds(4);
  this->HearFollowers(milliseconds(300));
  EXPECT_TRUE(this->StoreFollowed());
}

}  // namespace
}  // namespace boragewharf::fleet
