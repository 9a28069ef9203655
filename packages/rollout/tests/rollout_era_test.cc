/**
 * @file rollout_era_test.cc
 * Roll-outs when the store comes back from an earlier copy.
 */
#include <gtest/gtest.h>

#include "rollout/rollout_table_base.h"

namespace boragewharf::rollout {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class RolloutEraTest : public testing::Test {
 protected:
  static RolloutRequest Request(const std::string& target,
                                uint64_t revision,
                                std::optional<RolloutStatus> status = {}) {
    return {"llm", revision, target, seconds(60), std::move(status)};
  }

  void List(uint64_t era, const std::vector<RolloutRequest>& requests) {
    std::vector<Action> actions;
    this->table.ApplyList(requests, this->now, actions, era);
  }

  void Change(const RolloutRequest& request) {
    std::vector<Action> actions;
    this->table.ApplyRequest(request, this->now, actions);
  }

  /** Lets the holder act; keeps what it wants to write. */
  void Run(Duration time) {
    HolderFacts facts;
    facts.fencing = 1;
    facts.store_reachable = true;
    facts.message_period = milliseconds(200);
    facts.versions["llm"] = {{"v1", 6}, {"v2", 6}, {"v3", 6}};
    this->written.clear();
    const TimePoint end = this->now + time;
    while (this->now < end) {
      this->now += milliseconds(100);
      std::vector<Action> actions;
      this->table.Advance(facts, this->now, actions);
      for (const Action& action : actions) {
        if (const auto* write = std::get_if<WriteStatus>(&action)) {
          this->written.push_back(*write);
        }
      }
    }
  }

  void Answer(const WriteStatus& write, ResultCode code) {
    std::vector<Action> actions;
    this->table.ApplyWritten(write, code, std::nullopt, this->now, actions);
  }

  /** Makes the holder roll the target back because of a node's evidence. */
  void RollBack() {
    RolloutEvidence evidence;
    evidence.service = "llm";
    evidence.target = this->Decision().target;
    evidence.stopped = true;
    std::vector<Action> actions;
    this->table.MergeEvidence(1, {evidence}, this->now, actions);
  }

  RolloutDecision Decision() const { return this->table.Decisions().at(0); }

  RolloutTable table;
  TimePoint now{seconds(1000)};
  std::vector<WriteStatus> written;
};

// Guards against an operator who is never told of a result because the store
// has lost its status, and against a target that is tried again.
TEST_F(RolloutEraTest, LostStatusIsWrittenAgain) {
  this->List(1,
             {Request("v2", 500, RolloutStatus{StatusState::kRunning, "v2"})});
  this->RollBack();
  this->Run(seconds(1));
  ASSERT_EQ(this->written.size(), 1U);
  this->Answer(this->written[0], ResultCode::kOk);
  EXPECT_EQ(this->Decision().phase, Phase::kRolledBack);
  for (uint64_t era = 2; era < 5; ++era) {
    this->List(era, {Request("v2", 300 - era)});
    this->Run(seconds(1));
    ASSERT_EQ(this->written.size(), 1U) << era;
    EXPECT_EQ(this->written[0].revision, 300 - era);
    EXPECT_EQ(this->written[0].era, era);
    EXPECT_EQ(this->written[0].status.state, StatusState::kRolledBack);
    EXPECT_EQ(this->Decision().phase, Phase::kRolledBack);
    this->Answer(this->written[0], ResultCode::kOk);
  }
}

// Guards against a new request that is ignored, by this node or by others,
// because its revision is lower than that of an earlier one.
TEST_F(RolloutEraTest, NewTargetOfLaterEraReplacesTheEarlierOne) {
  this->List(1, {Request("v2", 500)});
  const DecisionList earlier = this->table.Decisions();
  this->List(2, {Request("v2", 300)});
  this->Change(Request("v3", 310));
  EXPECT_EQ(this->Decision().target, "v3");
  this->table.MergeDecisions(earlier, milliseconds(200), this->now);
  EXPECT_EQ(this->Decision().target, "v3");
  RolloutTable other;
  other.MergeDecisions(earlier, milliseconds(200), this->now);
  other.MergeDecisions(this->table.Decisions(), milliseconds(200), this->now);
  EXPECT_EQ(other.Decisions().at(0).target, "v3");
}

// Guards against a roll-out that is stopped, or whose target is banned, because
// the copy is older than its request.
TEST_F(RolloutEraTest, RequestThatTheStoreHasLostGoesOn) {
  const std::vector<RolloutRequest> copies[] = {{}, {Request("v1", 200)}};
  for (const auto& copy : copies) {
    this->table = {};
    this->List(1, {Request("v1", 200)});
    this->List(1, {Request("v2", 500)});
    this->Run(milliseconds(100));
    ASSERT_EQ(this->written.size(), 1U);
    this->Answer(this->written[0], ResultCode::kOk);
    this->List(2, copy);
    this->Run(seconds(2));
    EXPECT_TRUE(this->written.empty()) << "there is no object to write to";
    this->List(2, copy);
    EXPECT_EQ(this->Decision().target, "v2");
    EXPECT_EQ(this->Decision().phase, Phase::kObserve);
    this->Change(Request("v2", 310));
    this->Run(seconds(6));
    EXPECT_EQ(this->Decision().target, "v2");
    EXPECT_EQ(this->Decision().phase, Phase::kObserve);
    ASSERT_FALSE(this->written.empty());
    EXPECT_EQ(this->written[0].revision, 310U);
  }
}

// Guards against a roll-out that goes on forever without a request.
TEST_F(RolloutEraTest, LostRequestThatNobodyWritesAgainEnds) {
  this->List(1, {Request("v2", 500)});
  this->List(2, {});
  this->Run(seconds(6));
  EXPECT_EQ(this->Decision().phase, Phase::kStopped);
}

// Guards against an answer or a list from before the return that hides all
// later changes behind its higher revision.
TEST_F(RolloutEraTest, ListsAndResultsOfEarlierErasAreIgnored) {
  this->List(2, {Request("v2", 300)});
  this->List(1, {});
  EXPECT_EQ(this->Decision().phase, Phase::kObserve);
  this->Run(milliseconds(100));
  ASSERT_EQ(this->written.size(), 1U);
  this->List(3, {Request("v2", 250)});
  std::vector<Action> actions;
  this->table.ApplyWritten(this->written[0], ResultCode::kStoreNotFound,
                           std::nullopt, this->now, actions);
  EXPECT_EQ(this->Decision().phase, Phase::kObserve);
  this->table.ApplyWritten(this->written[0], ResultCode::kOk,
                           Request("v2", 900), this->now, actions);
  this->Change(Request("v3", 260));
  EXPECT_EQ(this->Decision().target, "v3");
}

// Guards against a holder that starts after the return and is overruled by
// decisions that other nodes remember, so that the request is never decided.
TEST_F(RolloutEraTest, HolderThatStartsLaterDecidesTheStoredRequest) {
  RolloutTable other;
  std::vector<Action> actions;
  other.ApplyList({Request("v1", 500)}, this->now, actions, 1);
  this->List(2, {Request("v2", 300)});
  this->table.MergeDecisions(other.Decisions(), milliseconds(200), this->now);
  EXPECT_EQ(this->Decision().target, "v1");
  this->Run(seconds(5));
  EXPECT_EQ(this->Decision().target, "v2");
  other.MergeDecisions(this->table.Decisions(), milliseconds(200), this->now);
  EXPECT_EQ(other.Decisions().at(0).target, "v2");
}

}  // namespace
}  // namespace boragewharf::rollout
