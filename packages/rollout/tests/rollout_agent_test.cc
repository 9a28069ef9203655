/**
 * @file rollout_agent_test.cc
 * Selection of servers by version, and a node's own stop.
 */
#include "rollout/rollout_agent_base.h"

#include <gtest/gtest.h>

#include "rollout/rollout_func.h"

namespace boragewharf::rollout {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class RolloutAgentTest : public testing::Test {
 protected:
  RolloutAgentTest() {
    for (const char* id : {"old-1", "old-2", "new-1", "new-2"}) {
      serving::BackendServer server;
      server.id = id;
      server.service = "llm";
      server.version = id[0] == 'o' ? "v1" : "v2";
      this->set.servers.push_back(server);
    }
    this->agent.SetServers(this->set);
    this->decision.service = "llm";
    this->decision.target = "v2";
    this->decision.requested = this->now;
    this->decision.confirmed = this->now;
    this->route.name = "chat";
  }

  static RolloutBounds Bounds() {
    RolloutBounds bounds;
    bounds.rollback = seconds(5);
    return bounds;
  }

  /** Number of servers of a version that the next attempt may go to. */
  size_t Selected(const std::string& version) {
    std::vector<const serving::BackendServer*> candidates;
    for (const serving::BackendServer& server : this->set.servers) {
      candidates.push_back(&server);
    }
    const auto selected = this->agent.Select("llm", candidates, this->now);
    size_t count = 0;
    for (size_t i = 0; i < candidates.size(); ++i) {
      count += selected[i] && candidates[i]->version == version ? 1 : 0;
    }
    return count;
  }

  void End(const serving::BackendServer& server, bool failed) {
    this->agent.CountAttempt(server, true);
    const serving::AttemptView view{
        server, this->route, {},    serving::Distance::kSameZone,
        false,  0,           0,     0,
        false,  false,       false, this->now};
    this->agent.OnEnded(view,
                        failed ? serving::AttemptOutcome::kServerError
                               : serving::AttemptOutcome::kServed,
                        milliseconds(20), this->now);
  }

  serving::ServerSet set;
  serving::Route route;
  RolloutDecision decision;
  TimePoint now{seconds(1000)};
  RolloutAgent agent{Bounds(), 1};
};

/** Guards against effects on services without a roll-out. */
TEST_F(RolloutAgentTest, WithoutADecisionAllServersAreSelected) {
  EXPECT_EQ(this->Selected("v1"), 2U);
  EXPECT_EQ(this->Selected("v2"), 2U);
  std::vector<serving::PeerExtension> extensions;
  this->agent.AppendExtensions(extensions, this->now);
  EXPECT_TRUE(extensions.empty());
}

/** Guards against a bad version that goes on because the holder was killed. */
TEST_F(RolloutAgentTest, WithoutAHolderTheTargetGetsNoRequests) {
  this->decision.phase = Phase::kShift;
  this->agent.SetDecisions({this->decision});
  EXPECT_EQ(this->Selected("v2"), 2U);
  this->now += seconds(3);
  EXPECT_EQ(this->Selected("v2"), 0U);
  EXPECT_EQ(this->Selected("v1"), 2U);
  this->decision.confirmed = this->now;
  this->agent.SetDecisions({this->decision});
  EXPECT_EQ(this->Selected("v2"), 2U);
}

/** Guards against an outage where nothing runs another version. */
TEST_F(RolloutAgentTest, OnlyVersionIsNotLimited) {
  this->set.servers.erase(this->set.servers.begin(),
                          this->set.servers.begin() + 2);
  this->agent.SetServers(this->set);
  this->agent.SetDecisions({this->decision});
  this->now += seconds(10);
  EXPECT_EQ(this->Selected("v2"), 2U);
}

/** Guards against a node that waits for the holder although its own evidence is
 * enough, and against a stop that outlives `done` in the store. */
TEST_F(RolloutAgentTest, StopsOnItsOwnEvidence) {
  this->decision.phase = Phase::kShift;
  this->agent.SetDecisions({this->decision});
  std::vector<serving::PeerExtension> extensions;
  for (int i = 0; i < 40; ++i) {
    this->End(this->set.servers[static_cast<size_t>(i) % 2], false);
    this->End(this->set.servers[2 + static_cast<size_t>(i) % 2], i >= 20);
    if (i % 5 == 0) {
      extensions.clear();
      this->agent.AppendExtensions(extensions, this->now);
    }
  }
  EXPECT_EQ(this->Selected("v2"), 0U);
  EXPECT_TRUE(this->agent.TakeStopReason());
  const auto evidence = DecodeEvidence(extensions.at(0).payload);
  ASSERT_TRUE(evidence);
  EXPECT_TRUE(evidence->at(0).stopped);
  this->decision.phase = Phase::kDone;
  this->agent.SetDecisions({this->decision});
  EXPECT_EQ(this->Selected("v2"), 2U);
}

}  // namespace
}  // namespace boragewharf::rollout
