/**
 * @file rollout_table_test.cc
 * Decisions of the duty holder: conditions of requests, hand-over between
 * holders, and random events.
 */
#include "rollout/rollout_table_base.h"

#include <gtest/gtest.h>

#include <random>

#include "rollout/rollout_func.h"

namespace boragewharf::rollout {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Store with one request; writes are conditional on its revision. */
struct FakeStore {
  std::optional<RolloutRequest> request;
  uint64_t revision = 10;
  std::vector<RolloutStatus> written;

  void Put(const std::string& target) {
    const auto status = this->request ? this->request->status : std::nullopt;
    this->request =
        RolloutRequest{"llm", ++this->revision, target, seconds(12), status};
  }

  ResultCode Write(const WriteStatus& write) {
    if (!this->request) {
      return ResultCode::kStoreNotFound;
    }
    if (this->request->revision != write.revision) {
      return ResultCode::kStoreConflict;
    }
    this->request->status = write.status;
    this->request->revision = ++this->revision;
    this->written.push_back(write.status);
    return ResultCode::kOk;
  }
};

class RolloutTableTest : public testing::Test {
 protected:
  HolderFacts Facts() const {
    HolderFacts facts;
    facts.fencing = 1;
    facts.store_reachable = true;
    facts.message_period = milliseconds(200);
    facts.versions["llm"] = {{"v1", 6}, {"v2", 6}};
    return facts;
  }

  /** Lets the holder act, and the store answer its writes. */
  void Step(RolloutTable& table, const HolderFacts& facts) {
    this->now += milliseconds(100);
    std::vector<Action> actions;
    table.Advance(facts, this->now, actions);
    while (!actions.empty()) {
      for (const Action& action : std::exchange(actions, {})) {
        if (const auto* line = std::get_if<LogRollout>(&action)) {
          this->log.push_back(line->event);
          continue;
        }
        const auto& write = std::get<WriteStatus>(action);
        const ResultCode code = this->store.Write(write);
        table.ApplyWritten(write, code, this->store.request, this->now,
                           actions);
      }
    }
  }

  void Read(RolloutTable& table) {
    std::vector<Action> actions;
    if (this->store.request) {
      table.ApplyRequest(*this->store.request, this->now, actions);
    } else {
      table.ApplyRemoval("llm", ++this->store.revision, actions);
    }
    for (const Action& action : actions) {
      this->log.push_back(std::get<LogRollout>(action).event);
    }
  }

  size_t Logged(std::string_view event) const {
    return static_cast<size_t>(
        std::count(this->log.begin(), this->log.end(), event));
  }

  Phase PhaseOf(const RolloutTable& table) const {
    return table.Decisions().at(0).phase;
  }

  /** Evidence of a process with so many served attempts at both versions. */
  static EvidenceList Good(uint32_t attempts, uint32_t failures = 0) {
    RolloutEvidence evidence;
    evidence.service = "llm";
    evidence.target = "v2";
    evidence.requests = 11 * attempts;
    evidence.exposed = attempts;
    evidence.failures = {{1, 1, 0, 10 * attempts, 0},
                         {1, 1, 5, attempts / 2, failures / 2},
                         {1, 1, 6, attempts / 2, failures / 2}};
    return {evidence};
  }

  void Tell(RolloutTable& table, const EvidenceList& evidence) {
    std::vector<Action> actions;
    table.MergeEvidence(7, evidence, this->now, actions);
  }

  FakeStore store;
  TimePoint now{seconds(1000)};
  std::vector<std::string> log;
};

/** Guards against a good version that is not completed, and against `done`
 * while old servers still run requests. */
TEST_F(RolloutTableTest, CompletesGoodVersionOnceOldServersAreEmpty) {
  RolloutTable table;
  this->store.Put("v2");
  this->Read(table);
  for (uint32_t i = 1; i <= 109; ++i) {
    EvidenceList evidence = Good(8 * i);
    evidence[0].old_running = 3;
    this->Tell(table, evidence);
    this->Step(table, this->Facts());
  }
  EXPECT_EQ(this->PhaseOf(table), Phase::kShift);
  EXPECT_EQ(this->store.request->status->state, StatusState::kRunning);
  this->Tell(table, Good(900));
  this->Step(table, this->Facts());
  this->Step(table, this->Facts());
  ASSERT_EQ(this->store.request->status,
            (RolloutStatus{StatusState::kDone, "v2"}));
  EXPECT_EQ(this->PhaseOf(table), Phase::kDone);
}

/** Guards against waiting for the store before a bad version is stopped. */
TEST_F(RolloutTableTest, StopsBadVersionWithoutStore) {
  RolloutTable table;
  this->store.Put("v2");
  this->Read(table);
  HolderFacts facts = this->Facts();
  facts.store_reachable = false;
  this->Tell(table, Good(60));
  std::vector<Action> actions;
  table.Advance(facts, this->now, actions);
  this->Tell(table, Good(100, 20));
  table.Advance(facts, this->now, actions);
  EXPECT_EQ(this->PhaseOf(table), Phase::kStopped);
  EXPECT_EQ(table.Decisions().at(0).banned, std::vector<std::string>{"v2"});
}

/** Guards against a rolled back target that gets requests again. */
TEST_F(RolloutTableTest, RepeatedTargetStaysRolledBack) {
  RolloutTable table;
  this->store.Put("v2");
  this->Read(table);
  this->Tell(table, Good(60));
  this->Step(table, this->Facts());
  this->Tell(table, Good(100, 20));
  for (int i = 0; i < 6; ++i) {  // Past the time between two writes.
    this->Step(table, this->Facts());
  }
  ASSERT_EQ(this->store.request->status->state, StatusState::kRolledBack);
  this->store.request.reset();
  this->Read(table);
  this->store.Put("v2");
  this->store.request->status.reset();
  this->Read(table);
  for (int i = 0; i < 10; ++i) {
    this->Step(table, this->Facts());
  }
  EXPECT_EQ(this->store.request->status,
            (RolloutStatus{StatusState::kRolledBack, "v2"}));
}

/** Guards against requests without a defined state, and a line for each tick.
 */
TEST_F(RolloutTableTest, OddRequestsAreLoggedOnceAndAffectNothing) {
  RolloutTable table;
  this->store.Put("");
  this->Read(table);
  for (int i = 0; i < 30; ++i) {
    this->Step(table, this->Facts());
  }
  EXPECT_EQ(this->Logged("rollout_unreadable"), 1U);
  EXPECT_TRUE(this->store.written.empty());
  EXPECT_TRUE(table.Decisions().empty());
  this->store.Put("v2");
  this->Read(table);
  HolderFacts facts = this->Facts();
  facts.versions.clear();
  facts.versions["other"];
  for (int i = 0; i < 30; ++i) {
    this->Step(table, facts);
  }
  EXPECT_EQ(this->Logged("rollout_ignored"), 1U);
  EXPECT_TRUE(this->store.written.empty());
}

/** Guards against a target without servers that stays open. */
TEST_F(RolloutTableTest, TargetWithoutServersIsRolledBackInTheEnd) {
  RolloutTable table;
  this->store.Put("v9");
  this->Read(table);
  for (int i = 0; i < 125; ++i) {
    this->Step(table, this->Facts());
  }
  EXPECT_EQ(this->Logged("rollout_waits"), 1U);
  EXPECT_EQ(this->store.request->status,
            (RolloutStatus{StatusState::kRolledBack, "v9"}));
}

/** Guards against an outage when the target is what all servers run. */
TEST_F(RolloutTableTest, TargetThatAllServersRunIsDone) {
  RolloutTable table;
  this->store.Put("v1");
  this->Read(table);
  HolderFacts facts = this->Facts();
  facts.versions["llm"] = {{"v1", 6}};
  for (int i = 0; i < 20; ++i) {
    this->Step(table, facts);
  }
  EXPECT_EQ(this->store.request->status,
            (RolloutStatus{StatusState::kDone, "v1"}));
}

/** Guards against a withdrawn target that keeps getting requests, and one that
 * can't be requested again. */
TEST_F(RolloutTableTest, WithdrawnTargetStopsAndMayBeRepeated) {
  RolloutTable table;
  this->store.Put("v2");
  this->Read(table);
  this->Step(table, this->Facts());
  this->store.request.reset();
  this->Read(table);
  this->Step(table, this->Facts());
  const RolloutDecision withdrawn = table.Decisions().at(0);
  EXPECT_EQ(withdrawn.phase, Phase::kStopped);
  this->store.Put("v2");
  this->Read(table);
  this->Step(table, this->Facts());
  RolloutDecision elsewhere = withdrawn;
  EXPECT_TRUE(
      MergeDecision(elsewhere, table.Decisions().at(0), seconds(1), this->now));
  EXPECT_EQ(elsewhere.phase, Phase::kObserve);
}

/** Guards against a share that is raised on an old decision. */
TEST_F(RolloutTableTest, StaleDecisionDoesNotRaise) {
  RolloutDecision known;
  known.service = "llm";
  known.target = "v2";
  known.fencing = 1;
  known.confirmed = this->now;
  RolloutDecision told = known;
  told.sequence = 1;
  told.phase = Phase::kShift;
  told.confirmed = this->now - seconds(2);
  EXPECT_FALSE(MergeDecision(known, told, seconds(1), this->now));
  EXPECT_EQ(known.phase, Phase::kObserve);
  told.confirmed = this->now;
  EXPECT_TRUE(MergeDecision(known, told, seconds(1), this->now));
  EXPECT_EQ(known.phase, Phase::kShift);
  told.sequence = 2;
  told.phase = Phase::kStopped;
  told.confirmed = this->now - seconds(2);
  EXPECT_TRUE(MergeDecision(known, told, seconds(1), this->now));
  EXPECT_EQ(known.phase, Phase::kStopped);
}

/** Guards against an end of a roll-out that a later holder, a lost response or
 * two holders at once change; against writes without a permit; and against a
 * stopped target that gets requests without being done in the store. */
TEST_F(RolloutTableTest, RandomEventsKeepTheInvariants) {
  for (uint64_t seed = 1; seed <= 200; ++seed) {
    std::mt19937_64 generator(seed);
    const auto chance = [&](double share) {
      return std::uniform_real_distribution<double>(0, 1)(generator) < share;
    };
    this->store = {};
    this->store.Put("v2");
    std::vector<RolloutTable> nodes(3);
    struct Delayed {
      size_t node;
      WriteStatus write;
      TimePoint at;
    };
    std::vector<Delayed> delayed;
    uint64_t fencing = 1;
    size_t holder = 0;
    std::optional<size_t> late_holder;  // Believes that it still holds.
    std::map<std::string, RolloutStatus> final_status;
    uint32_t attempts = 0;
    uint32_t failures = 0;
    const bool bad = chance(0.5);
    for (int step = 0; step < 200; ++step) {
      this->now += milliseconds(100);
      attempts += 8;
      failures += bad && chance(0.4) ? 2 : 0;
      if (chance(0.03)) {
        late_holder = chance(0.5) ? std::optional(holder) : std::nullopt;
        const bool killed = !late_holder;
        if (killed) {
          nodes[holder] = RolloutTable();
        }
        holder = generator() % nodes.size();
        fencing += 1;
      }
      for (size_t i = 0; i < nodes.size(); ++i) {
        if (chance(0.5)) {
          this->Read(nodes[i]);
        }
        if (chance(0.7)) {
          this->Tell(nodes[i], Good(attempts, failures));
        }
        const size_t from = generator() % nodes.size();
        if (chance(0.7)) {
          const auto told = DecodeDecisions(
              EncodeDecisions(nodes[from].Decisions(), this->now), this->now);
          ASSERT_TRUE(told);
          nodes[i].MergeDecisions(*told, milliseconds(200), this->now);
        }
        HolderFacts facts = this->Facts();
        facts.fencing.reset();
        if (i == holder) {
          facts.fencing = fencing;
        } else if (late_holder == i) {
          facts.fencing = fencing - 1;
        }
        facts.store_reachable = !chance(0.1);
        std::vector<Action> actions;
        nodes[i].Advance(facts, this->now, actions);
        for (const Action& action : actions) {
          if (const auto* write = std::get_if<WriteStatus>(&action)) {
            ASSERT_TRUE(facts.fencing) << "seed " << seed;
            delayed.push_back(
                {i, *write, this->now + milliseconds(generator() % 900)});
          }
        }
      }
      std::erase_if(delayed, [&](const Delayed& call) {
        if (call.at > this->now) {
          return false;
        }
        std::vector<Action> actions;
        if (chance(0.15)) {  // Had no effect.
          nodes[call.node].ApplyWritten(call.write,
                                        ResultCode::kStoreUnavailable, {},
                                        this->now, actions);
          return true;
        }
        const ResultCode code = this->store.Write(call.write);
        if (chance(0.15)) {  // The response is lost.
          nodes[call.node].ApplyWritten(call.write, ResultCode::kStoreUnknown,
                                        {}, this->now, actions);
          return true;
        }
        nodes[call.node].ApplyWritten(call.write, code, this->store.request,
                                      this->now, actions);
        return true;
      });
      if (chance(0.01)) {
        this->store.Put(this->store.request->target);
      }
      const auto& status = this->store.request->status;
      if (status && status->state != StatusState::kRunning) {
        const auto known = final_status.try_emplace(status->target, *status);
        ASSERT_EQ(known.first->second, *status) << "seed " << seed;
      }
      if (!final_status.empty()) {
        ASSERT_NE(status->state, StatusState::kRunning) << "seed " << seed;
      }
      for (const RolloutTable& node : nodes) {
        for (const RolloutDecision& decision : node.Decisions()) {
          const bool is_done =
              final_status.contains(decision.target) &&
              final_status.at(decision.target).state == StatusState::kDone;
          if (decision.phase == Phase::kDone) {
            ASSERT_TRUE(is_done) << "seed " << seed;
          }
          if (decision.phase == Phase::kRolledBack) {
            ASSERT_FALSE(is_done) << "seed " << seed;
          }
        }
      }
    }
    // Without further faults, all nodes come to know the end.
    for (int step = 0; step < 200; ++step) {
      for (RolloutTable& node : nodes) {
        this->Read(node);
      }
      HolderFacts facts = this->Facts();
      facts.fencing = fencing;
      attempts += 8;
      failures += bad ? 2 : 0;
      this->Tell(nodes[holder], Good(attempts, failures));
      this->Step(nodes[holder], facts);
    }
    ASSERT_TRUE(this->store.request->status);
    EXPECT_NE(this->store.request->status->state, StatusState::kRunning)
        << "seed " << seed;
  }
}

}  // namespace
}  // namespace boragewharf::rollout
