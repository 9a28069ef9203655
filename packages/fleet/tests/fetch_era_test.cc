/**
 * @file config_era_test.cc
 * Fetches from other nodes and the choice of store watchers when the store
 * comes back from an earlier copy.
 */
#include <gtest/gtest.h>

#include "fleet_fixture.h"

namespace boragewharf::fleet {
namespace {

class FetchEraTest : public FleetTest {
 protected:
  void Read(uint64_t version, uint64_t era, uint64_t revision) {
    this->Apply(ConfigRead{revision, Config(version),
                           "version " + std::to_string(version), era});
  }

  serving::PeerMessage Peer(const std::string& ip, uint64_t era) {
    serving::PeerMessage message = this->Message(ip, ++this->sequence);
    message.status.has_eras = true;
    message.status.config_era = era;
    message.status.servers_era = era;
    return message;
  }

  /** Fetches until there is one, at most for a second. */
  std::optional<FetchState> RunUntilFetch(const serving::PeerMessage& message) {
    this->Apply(FetchEnded{});
    serving::PeerMessage sent = message;
    for (int i = 0; i < 10; ++i) {
      sent.status.sequence = ++this->sequence;
      this->Apply(PeerMessageReceived{sent});
      if (const auto* fetch = this->Find<FetchState>()) {
        return *fetch;
      }
      this->now += kTickPeriod;
    }
    return std::nullopt;
  }

  uint64_t sequence = 0;
};

// Guards against nodes that stay at the state that the store had before,
// because their revisions are higher than those of the nodes that know better.
TEST_F(FetchEraTest, StateOfLaterEraIsFetched) {
  this->Read(5, 1, 500);
  this->Apply(ServersRead{500, {Server("s1")}, false, 1});
  serving::PeerMessage peer = this->Peer("10.0.0.2", 2);
  peer.status.config_version = 5;
  peer.status.config_revision = 300;
  peer.status.servers_revision = 300;
  const auto fetch = this->RunUntilFetch(peer);
  ASSERT_TRUE(fetch);
  EXPECT_EQ(fetch->config_version, 5U);
  EXPECT_EQ(fetch->config_era, 1U);
  EXPECT_EQ(fetch->servers_era, 1U);
  // An earlier era has nothing newer, whatever its revisions.
  this->Read(6, 3, 100);
  this->Apply(ServersRead{100, {Server("s1")}, false, 3});
  EXPECT_FALSE(this->RunUntilFetch(peer));
}

// Guards against nodes of the build before that overwrite what this one knows
// of a later era, and against a first start without any state.
TEST_F(FetchEraTest, EarlierBuildsAreUsedByNodesWithoutState) {
  serving::PeerMessage old_build = this->Message("10.0.0.2", 1);
  old_build.status.config_revision = 900;
  old_build.status.servers_revision = 900;
  EXPECT_TRUE(this->RunUntilFetch(old_build));
  this->Read(5, 2, 300);
  this->Apply(ServersRead{300, {Server("s1")}, false, 2});
  EXPECT_FALSE(this->RunUntilFetch(old_build));
}

// Guards against nodes that learn of no change because they rely on watchers of
// the build before, which stay at the state from before the return.
TEST_F(FetchEraTest, WatchersOfEarlierBuildsAreNotReliedOn) {
  for (const bool has_eras : {false, true}) {
    this->state = FleetState(MakeSettings("10.0.0.1"));
    this->Apply(StoreReachable{true});
    this->Read(5, 1, 500);
    this->Apply(ServersRead{500, {Server("s1")}, false, 1});
    for (int i = 0; i < 30; ++i) {
      // Enough nodes that some have lower hashes.
      for (int node = 2; node < 40; ++node) {
        serving::PeerMessage message =
            this->Message("10.0.0." + std::to_string(node), ++this->sequence);
        message.status.follows_store = true;
        message.status.has_eras = has_eras;
        this->Apply(PeerMessageReceived{message});
      }
      this->TickFor(kTickPeriod);
    }
    EXPECT_EQ(this->state.following, !has_eras);
  }
}

}  // namespace
}  // namespace boragewharf::fleet
