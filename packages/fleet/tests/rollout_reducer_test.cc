/**
 * @file rollout_reducer_test.cc
 * Roll-outs in the reducer: who writes, who is told, and nothing without
 * bounds.
 */
#include <gtest/gtest.h>

#include "duty_fixture.h"
#include "rollout/rollout_func.h"

namespace boragewharf::fleet {
namespace {

constexpr auto kStateKind =
    static_cast<uint16_t>(serving::ExtensionKind::kRolloutState);
constexpr auto kEvidenceKind =
    static_cast<uint16_t>(serving::ExtensionKind::kRolloutEvidence);

class RolloutReducerTest : public DutyTest {
 protected:
  void SetBounds() {
    this->state.settings.rollout_bounds = rollout::RolloutBounds{};
  }

  void ReadServersOfBothVersions() {
    std::vector<serving::BackendServer> servers;
    for (const char* id : {"s1", "s2", "n1", "n2"}) {
      servers.push_back(Server(id));
      servers.back().version = id[0] == 's' ? "v1" : "v2";
    }
    this->Apply(ServersRead{100, servers, false});
  }

  static rollout::RolloutRequest Request(uint64_t revision) {
    return {"llm", revision, "v2", seconds(12), {}};
  }

  /** Decisions in the first message of the last event to a node. */
  std::optional<rollout::DecisionList> Sent() const {
    const auto* send = this->Find<SendToPeers>();
    if (send == nullptr) {
      return std::nullopt;
    }
    for (const auto& extension : send->message.report.extensions) {
      if (extension.kind == kStateKind) {
        return rollout::DecodeDecisions(extension.payload, this->now);
      }
    }
    return std::nullopt;
  }
};

/** Guards against store calls and bytes in deployments without bounds. */
TEST_F(RolloutReducerTest, NothingHappensWithoutBounds) {
  this->GainDuties();
  this->ReadServersOfBothVersions();
  serving::PeerMessage message = this->Message("10.0.0.2", 1);
  rollout::RolloutDecision decision;
  decision.service = "llm";
  decision.target = "v2";
  message.report.extensions = {{kStateKind,
                                rollout::EncodeDecisions({decision}, this->now),
                                serving::ExtensionScope::kAllRegions}};
  this->Apply(PeerMessageReceived{message});
  EXPECT_FALSE(this->RunUntil<WriteRolloutStatus>(seconds(2)));
  EXPECT_TRUE(this->state.rollouts.Empty());
  EXPECT_FALSE(this->Sent());
}

/** Guards against bytes and writes without a request. */
TEST_F(RolloutReducerTest, NothingIsSentWithoutRequest) {
  this->SetBounds();
  this->GainDuties();
  this->Apply(PeerMessageReceived{this->Message("10.0.0.2", 1)});
  EXPECT_FALSE(this->RunUntil<WriteRolloutStatus>(seconds(2)));
  EXPECT_FALSE(this->Sent());
}

/** Guards against a request that the other nodes and the operator do not learn
 * of, and against a second write while one is on its way. */
TEST_F(RolloutReducerTest, HolderWritesRunningAndTellsTheOthers) {
  this->SetBounds();
  this->GainDuties();
  this->ReadServersOfBothVersions();
  this->Apply(PeerMessageReceived{this->Message("10.0.0.2", 1)});
  this->Apply(RolloutChanged{Request(200), false});
  const auto write = this->RunUntil<WriteRolloutStatus>(seconds(1));
  ASSERT_TRUE(write);
  EXPECT_EQ(write->write.revision, 200U);
  EXPECT_EQ(write->write.status,
            (rollout::RolloutStatus{rollout::StatusState::kRunning, "v2"}));
  EXPECT_FALSE(this->RunUntil<WriteRolloutStatus>(seconds(1)));
  rollout::RolloutRequest current = Request(201);
  current.status = write->write.status;
  this->Apply(RolloutStatusWritten{write->write, ResultCode::kOk, current});
  ASSERT_TRUE(this->RunUntil<SendToPeers>(seconds(1)));
  const auto sent = this->Sent();
  ASSERT_TRUE(sent);
  EXPECT_EQ(sent->at(0).target, "v2");
  EXPECT_GT(sent->at(0).fencing, 0U);
  const auto* peers = this->Find<PublishPeers>();
  ASSERT_NE(peers, nullptr);
  EXPECT_EQ(peers->summary.extensions.back().kind, kStateKind);
}

/** Guards against nodes that write without the duties, and against nodes that
 * do not repeat what they were told. */
TEST_F(RolloutReducerTest, OtherNodesRepeatDecisionsAndWriteNothing) {
  this->SetBounds();
  this->Configure();
  this->ReadServersOfBothVersions();
  serving::PeerMessage message = this->Message("10.0.0.2", 1);
  rollout::RolloutDecision decision;
  decision.service = "llm";
  decision.target = "v2";
  decision.fencing = 3;
  decision.phase = rollout::Phase::kLoad;
  decision.confirmed = this->now;
  decision.requested = this->now;
  message.report.extensions = {{kStateKind,
                                rollout::EncodeDecisions({decision}, this->now),
                                serving::ExtensionScope::kAllRegions}};
  this->Apply(PeerMessageReceived{message});
  this->now += milliseconds(500);
  this->Apply(StopRequested{});
  const auto sent = this->Sent();
  ASSERT_TRUE(sent);
  EXPECT_EQ(sent->at(0).phase, rollout::Phase::kLoad);
  EXPECT_GE(sent->at(0).decision_age_ms, 400U);
  EXPECT_EQ(this->Find<WriteRolloutStatus>(), nullptr);
}

/** Guards against a node's own stop that the holder does not act on. */
TEST_F(RolloutReducerTest, HolderRollsBackWhatANodeHasStopped) {
  this->SetBounds();
  this->GainDuties();
  this->ReadServersOfBothVersions();
  this->Apply(RolloutChanged{Request(200), false});
  const auto running = this->RunUntil<WriteRolloutStatus>(seconds(1));
  ASSERT_TRUE(running);
  rollout::RolloutRequest current = Request(201);
  current.status = running->write.status;
  this->Apply(RolloutStatusWritten{running->write, ResultCode::kOk, current});
  rollout::RolloutEvidence evidence;
  evidence.service = "llm";
  evidence.target = "v2";
  evidence.stopped = true;
  serving::PeerMessage message = this->Message("10.0.0.2", 1);
  message.report.extensions = {{kEvidenceKind,
                                rollout::EncodeEvidence({evidence}),
                                serving::ExtensionScope::kAllRegions}};
  this->Apply(PeerMessageReceived{message});
  const auto write = this->RunUntil<WriteRolloutStatus>(seconds(1));
  ASSERT_TRUE(write);
  EXPECT_EQ(write->write.revision, 201U);
  EXPECT_EQ(write->write.status.state, rollout::StatusState::kRolledBack);
}

}  // namespace
}  // namespace boragewharf::fleet
