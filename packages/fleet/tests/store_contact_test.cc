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

  /** Receives messages of two nodes that do not watch the store. */
  void HearOthers(Duration time) {
    for (const TimePoint end = this->now + time; this->now < end;) {
      this->sequence += 1;
      for (const char* ip : {"10.0.0.2", "10.0.0.3"}) {
        this->Apply(PeerMessageReceived{this->Message(ip, this->sequence)});
      }
      this->TickFor(kTickPeriod);
    }
  }

  /** Whether the last event made a call for the confirmation of the list. */
  bool AsksForConfirmation() const { return this->FindStream<ConfirmList>(); }

  template <class Wanted>
  const Wanted* FindStream() const {
    for (const Effect& effect : this->effects) {
      const auto* stream = std::get_if<StreamEffect>(&effect);
      const auto* found =
          stream == nullptr ? nullptr : std::get_if<Wanted>(&stream->effect);
      if (found != nullptr) {
        return found;
      }
    }
    return nullptr;
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

// Guards against a node that is cut off from the store and the others, and
// takes the store for followed until its watches have timed out (review case
// 9).
TEST_F(StoreContactTest, NodeThatHearsFewNeedsRecentAnswers) {
  this->Configure();
  this->HearOthers(seconds(2));
  ASSERT_TRUE(this->state.following);
  uint32_t calls = 0;
  const auto wait = [&](bool store_answers) {
    for (int i = 0; i < 30; ++i) {
      this->TickFor(kTickPeriod);
      if (this->AsksForConfirmation()) {
        calls += 1;
        this->Apply(StreamEvent{ListConfirmed{store_answers}});
      }
    }
  };
  wait(true);
  EXPECT_TRUE(this->StoreFollowed());
  EXPECT_GE(calls, 3U);
  wait(false);
  EXPECT_FALSE(this->StoreFollowed());
  EXPECT_LE(calls, 14U) << "store calls are billed";
  this->HearOthers(milliseconds(300));
  EXPECT_TRUE(this->StoreFollowed());
}

// Guards against a confirmation that reaches the data plane before the list
// that it is about, which is published with the next tick if it is large.
TEST_F(StoreContactTest, ConfirmedListIsPublishedFirst) {
  this->Configure();
  constexpr int kServers = 300;
  std::vector<serving::BackendServer> servers;
  servers.reserve(kServers);
  for (int i = 0; i < kServers; ++i) {
    servers.push_back(Server("s" + std::to_string(i)));
  }
  this->Apply(ServersRead{12, servers, false});
  this->Apply(StreamEvent{ListConfirmationWanted{}});
  ASSERT_TRUE(this->AsksForConfirmation());
  const TimePoint asked = this->now;
  this->now += milliseconds(10);
  this->Apply(ServerChanged{13, "new", Server("new")});
  EXPECT_EQ(this->Find<PublishServers>(), nullptr);
  this->Apply(StreamEvent{ListConfirmed{true}});
  ASSERT_EQ(this->effects.size(), 2U);
  const auto* published = std::get_if<PublishServers>(this->effects.data());
  ASSERT_NE(published, nullptr);
  EXPECT_EQ(published->servers->servers.size(), 301U);
  ASSERT_NE(this->FindStream<ReportListConfirmed>(), nullptr);
  EXPECT_EQ(this->FindStream<ReportListConfirmed>()->asked, asked);
}

// Guards against a confirmed list that lacks servers whose entries lapsed while
// the store was away, or were lost with it, and are about to be written again.
TEST_F(StoreContactTest, ListIsNotConfirmedUntilEntriesAreBack) {
  this->Configure();
  this->TickFor(seconds(3));
  const auto is_confirmed = [&] {
    this->Apply(StreamEvent{ListConfirmationWanted{}});
    EXPECT_TRUE(this->AsksForConfirmation());
    this->Apply(StreamEvent{ListConfirmed{true}});
    return this->FindStream<ReportListConfirmed>() != nullptr;
  };
  EXPECT_TRUE(is_confirmed());
  this->Apply(StoreReachable{false});
  this->TickFor(seconds(1));
  this->Apply(StoreReachable{true});
  EXPECT_FALSE(is_confirmed());
  this->TickFor(seconds(2));
  EXPECT_TRUE(is_confirmed());
  this->Apply(StoreEraRisen{1});
  this->Apply(ServersRead{5, {Server("s1"), Server("s2")}, false, 1});
  this->TickFor(kTickPeriod);
  EXPECT_FALSE(is_confirmed());
  this->TickFor(seconds(2));
  EXPECT_TRUE(is_confirmed());
}

// Guards against requests to a removed server at nodes that have fetched the
// list of a node which kept the server in case it returned, and which no longer
// watched the store when it gave up (DRAIN on ascb-wharf-grown, day
// outage-of-some-beside-leaves).
TEST_F(StoreContactTest, ServerThatAnotherNodeKeepsInCaseItReturnsIsRemoved) {
  this->Configure();
  this->HearFollowers(seconds(3));
  ASSERT_FALSE(this->state.following);
  const std::vector<serving::BackendServer> both = {Server("s1"), Server("s2")};
  this->Apply(ServersRead{30, both, true, 0, {"s1"}});
  EXPECT_TRUE(this->state.servers.contains("s1"));
  this->HearFollowers(seconds(1));
  this->Apply(ServersRead{31, both, true, 0, {"s1"}});
  EXPECT_TRUE(this->state.servers.contains("s1"));
  this->HearFollowers(seconds(1));
  EXPECT_FALSE(this->state.servers.contains("s1"));
  this->Apply(ServersRead{32, both, true, 0, {"s1"}});
  EXPECT_FALSE(this->state.servers.contains("s1")) << "known as removed";
  this->HearFollowers(seconds(3));
  EXPECT_TRUE(this->state.servers.contains("s2"));
  this->Apply(ServersRead{33, both, true});
  EXPECT_TRUE(this->state.servers.contains("s1")) << "it has returned";
  this->HearFollowers(seconds(3));
  EXPECT_TRUE(this->state.servers.contains("s1"));
}

// Guards against new requests to a server whose departure was announced, at a
// node that fetches a list which still has it.
TEST_F(StoreContactTest, AnnouncedDepartureOutlastsListWithLapsedServer) {
  this->Configure();
  this->HearFollowers(seconds(3));
  auto message = this->Message(Followers().front(), 1000);
  message.departures = {serving::HashName("s1")};
  message.status.servers_revision = 30;
  this->Apply(PeerMessageReceived{message});
  ASSERT_TRUE(this->state.servers.at("s1").draining);
  this->Apply(ServersRead{30, {Server("s1"), Server("s2")}, true, 0, {"s1"}});
  EXPECT_TRUE(this->state.servers.at("s1").draining);
}

// Guards against calls at the same time, a wish that is lost while a call is
// under way, and calls in quick succession.
TEST_F(StoreContactTest, ConfirmationsAreAskedForOneByOne) {
  this->Configure();
  this->TickFor(kTickPeriod);
  this->Apply(StreamEvent{ListConfirmationWanted{}});
  EXPECT_TRUE(this->AsksForConfirmation());
  this->Apply(StreamEvent{ListConfirmationWanted{}});
  EXPECT_FALSE(this->AsksForConfirmation());
  this->Apply(StreamEvent{ListConfirmed{false}});
  EXPECT_EQ(this->FindStream<ReportListConfirmed>(), nullptr);
  EXPECT_FALSE(this->AsksForConfirmation()) << "at once after the last one";
  this->TickFor(kTickPeriod);
  EXPECT_TRUE(this->AsksForConfirmation());
}

// Guards against a node that none of the store's watchers answers, and that
// asks nobody: it has to watch the store itself.
TEST_F(StoreContactTest, NodeWithoutAnswersBeginsToWatch) {
  this->Configure();
  this->HearFollowers(seconds(3));
  ASSERT_FALSE(this->state.following);
  this->Apply(StreamEvent{ListConfirmationWanted{false}});
  EXPECT_FALSE(this->AsksForConfirmation());
  EXPECT_FALSE(this->state.following);
  this->Apply(StreamEvent{ListConfirmationWanted{true}});
  ASSERT_NE(this->Find<FollowStore>(), nullptr);
  EXPECT_TRUE(this->AsksForConfirmation());
  this->HearFollowers(seconds(2));
  EXPECT_TRUE(this->state.following);
  this->HearFollowers(seconds(4));
  EXPECT_FALSE(this->state.following) << "the others are heard";
}

}  // namespace
}  // namespace boragewharf::fleet
