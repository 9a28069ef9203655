/**
 * @file crash_attribution_test.cc
 * Tests of the evidence against prompt parts that crash servers.
 */
#include "serving/crash_attribution_base.h"
#include "serving/crash_evidence_func.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <initializer_list>

namespace boragewharf::serving {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr NameHash kService = 7;
constexpr milliseconds kSettle(400);
constexpr uint64_t kFirstPart = 1;  // Shared by all requests.
constexpr uint64_t kSubject = 2;    // Shared with sound requests.
constexpr uint64_t kBadPart = 66;

class CrashAttributionTest : public testing::Test {
 protected:
  void Crash(CrashAttribution& node,
             uint32_t crash,
             uint32_t request,
             std::initializer_list<uint64_t> parts) {
    node.RecordCrash({crash, request, kService, parts, 0, this->now},
                     this->now);
  }

  void Succeed(CrashAttribution& node, std::initializer_list<uint64_t> parts) {
    const std::vector<uint64_t> list(parts);
    node.RecordSuccess(kService, list, this->now);
  }

  /** Responses to requests without shared parts. */
  void AnswerOthers(CrashAttribution& node) {
    for (int i = 0; i < 10; ++i) {
      node.RecordFirstEvent(kService, this->now);
    }
  }

  bool IsBlocked(const CrashAttribution& node, uint64_t part) const {
    const std::vector<uint64_t> parts{kFirstPart, part};
    return node.BlockedFor(kService, parts, this->now).has_value();
  }

  /** Passes on the evidence as a message does. */
  BlockChanges Tell(const CrashAttribution& from, CrashAttribution& to) const {
    CrashEvidence evidence = from.Report(this->now);
    SetAges(evidence, this->now);
    SetTimes(evidence, this->now);
    return to.Merge(evidence, this->now);
  }

  /** Lets evidence settle while other requests are answered. */
  std::vector<PartVerdict> Settle(CrashAttribution& node) {
    this->now += kSettle;
    this->AnswerOthers(node);
    return node.Evaluate(kSettle, this->now);
  }

  /** Crashes under different requests with the bad part. */
  void CrashWithBadPart(CrashAttribution& node, uint32_t count) {
    for (uint32_t i = 0; i < count; ++i) {
      this->now += milliseconds(100);
      this->Crash(node, 100 + i, 200 + i, {kFirstPart, kSubject, kBadPart});
    }
  }

  TimePoint now{seconds(1000)};
};

// Guards against missing a part that only different requests have in common.
TEST_F(CrashAttributionTest,
       PartOfDifferentRequestsIsBlockedAfterThreeCrashes) {
  CrashAttribution node;
  this->Succeed(node, {kFirstPart, kSubject});
  this->CrashWithBadPart(node, 2);
  EXPECT_TRUE(this->Settle(node).empty());
  this->CrashWithBadPart(node, 3);
  const auto verdicts = this->Settle(node);
  ASSERT_EQ(verdicts.size(), 1U);
  EXPECT_EQ(verdicts[0].blocked.key, (PartKey{kService, kBadPart}));
  EXPECT_TRUE(this->IsBlocked(node, kBadPart));
  EXPECT_FALSE(this->IsBlocked(node, kSubject));
}

// Guards against blocking sound parts that are always beside the bad one, also
// on a node that knows no response to either: the most specific part is taken.
TEST_F(CrashAttributionTest, PartsBesideTheCauseAreNotBlocked) {
  CrashAttribution node;
  this->CrashWithBadPart(node, 10);
  ASSERT_EQ(this->Settle(node).size(), 1U);
  this->CrashWithBadPart(node, 20);
  EXPECT_TRUE(this->Settle(node).empty());
  EXPECT_FALSE(this->IsBlocked(node, kSubject));
  EXPECT_FALSE(this->IsBlocked(node, 9));
}

// Guards against blocking parts of sound requests that ran beside the bad ones
// when servers crashed.
TEST_F(CrashAttributionTest, CrashesThatAreExplainedAreNoEvidence) {
  CrashAttribution node;
  for (uint32_t i = 0; i < 8; ++i) {
    this->now += milliseconds(200);
    this->Crash(node, i, 100 + i, {kFirstPart, kSubject, kBadPart});
    this->Crash(node, i, 200 + i, {kFirstPart, 9});
  }
  ASSERT_EQ(this->Settle(node).size(), 1U);
  EXPECT_TRUE(this->IsBlocked(node, kBadPart));
  EXPECT_FALSE(this->IsBlocked(node, 9));
}

// Guards against blocking parts because all servers crash: nothing else is
// answered then.
TEST_F(CrashAttributionTest, NoPartIsBlockedWhileNothingIsAnswered) {
  CrashAttribution node;
  this->AnswerOthers(node);
  this->CrashWithBadPart(node, 8);
  this->now += seconds(2);
  EXPECT_TRUE(node.Evaluate(kSettle, this->now).empty());
}

// Guards against blocking a part with which requests are answered, after many
// servers were lost at one moment.
TEST_F(CrashAttributionTest, ServersLostAtOneMomentBlockNoPartInUse) {
  CrashAttribution node;
  this->Succeed(node, {kFirstPart, kSubject});
  this->now += milliseconds(10);
  for (uint32_t crash = 0; crash < 12; ++crash) {
    this->Crash(node, crash, 100 + crash, {kFirstPart, kSubject});
  }
  EXPECT_TRUE(this->Settle(node).empty());
}

// Guards against blocking the parts of a sound request that ran beside one that
// crashes servers by itself, again and again.
TEST_F(CrashAttributionTest, PartsOfARequestThatCrashesServersAreNotBlocked) {
  for (const bool answered_before : {false, true}) {
    CrashAttribution node;
    if (answered_before) {
      this->Succeed(node, {kFirstPart, kSubject});
    }
    for (uint32_t crash = 0; crash < 6; ++crash) {
      this->now += milliseconds(200);
      this->Crash(node, crash, 100, {kFirstPart, kSubject});
    }
    this->Crash(node, 0, 200, {kFirstPart, kSubject});
    this->Crash(node, 3, 300, {kFirstPart, kSubject});
    EXPECT_TRUE(this->Settle(node).empty()) << answered_before;
  }
}

// Guards against blocking a part that was never answered because servers were
// lost at two moments under requests with it.
TEST_F(CrashAttributionTest, ServersLostAtTwoMomentsBlockNoNewPart) {
  CrashAttribution node;
  for (uint32_t crash = 0; crash < 4; ++crash) {
    this->now += milliseconds(crash == 2 ? 1000 : 10);
    this->Crash(node, crash, 100 + crash, {kFirstPart, kSubject});
  }
  EXPECT_TRUE(this->Settle(node).empty());
}

// Guards against taking the crashes that a node has seen itself for all of a
// reclaim: it knows few of the others, as their requests had no suspect part.
TEST_F(CrashAttributionTest, CrashesThatOthersSawBesideAreNoEvidence) {
  for (const bool told : {false, true}) {
    CrashAttribution node;
    CrashAttribution other;
    for (uint32_t i = 0; i < 4; ++i) {
      this->now += milliseconds(500);
      this->AnswerOthers(node);
      this->Crash(node, i, 100 + i, {kBadPart});
      for (uint32_t crash = 0; crash < 4; ++crash) {
        this->Crash(other, 1000 + 10 * i + crash, 2000 + crash, {});
      }
    }
    if (told) {
      this->Tell(other, node);
    }
    EXPECT_EQ(this->Settle(node).size(), told ? 0U : 1U);
  }
}

// Guards against blocking a sound part that ran in the same crashes as one that
// was never answered, because fewer parts like the sound one are suspect.
TEST_F(CrashAttributionTest, PartThatWasAnsweredIsNotBlockedBeforeTheOther) {
  CrashAttribution node;
  this->Succeed(node, {kFirstPart, kSubject});
  for (uint32_t other = 0; other < 20; ++other) {
    this->now += milliseconds(60);
    this->Crash(node, 1000 + other, 1000 + other, {1000 + other});
  }
  this->CrashWithBadPart(node, 6);
  this->now += kSettle;
  // Enough against one of two suspect parts, not against one of 21.
  for (int responses = 0; responses < 2; ++responses) {
    node.RecordFirstEvent(kService, this->now);
  }
  EXPECT_TRUE(node.Evaluate(kSettle, this->now).empty());
}

// Guards against taking a request that is sent from one server of a reclaim to
// the next for the cause of all these crashes.
TEST_F(CrashAttributionTest, RepeatsWithinAReclaimAreNoEvidence) {
  CrashAttribution node;
  for (uint32_t i = 0; i < 4; ++i) {
    this->now += milliseconds(500);
    this->AnswerOthers(node);
    for (const uint32_t crash : {1, 2}) {
      this->Crash(node, 10 * i + crash, 100 + i, {kBadPart});
      this->Crash(node, 10 * i + crash + 2, 200 + 10 * i + crash, {});
    }
  }
  EXPECT_TRUE(this->Settle(node).empty());
}

// Guards against a sound part that is blocked because the responses to it are
// not told: many other parts crashed more often, and all nodes tell the same.
TEST_F(CrashAttributionTest, ResponsesThatNoNodeHasToldAreToldFirst) {
  CrashAttribution node;
  CrashAttribution other;
  constexpr uint32_t kParts = 12;  // As many as a message holds.
  constexpr uint64_t kRare = 9999;
  const auto crash_all = [&](CrashAttribution& at, uint32_t first) {
    for (uint32_t part = 0; part < kParts; ++part) {
      this->now += milliseconds(60);
      this->Crash(at, first + part, first + part, {100 + part});
    }
  };
  for (CrashAttribution* at : {&node, &other}) {
    for (const uint32_t first : {1000, 2000, 3000}) {
      crash_all(*at, first);
    }
    for (uint32_t part = 0; part < kParts; ++part) {
      this->Succeed(*at, {100 + part});
    }
  }
  for (const uint32_t crash : {1, 2}) {
    this->Crash(node, crash, crash, {kRare});
  }
  this->Succeed(node, {kRare});
  this->Tell(other, node);
  const CrashEvidence evidence = node.Report(this->now);
  ASSERT_FALSE(evidence.successes.empty());
  EXPECT_EQ(evidence.successes[0].key.part, kRare);
}

// Guards against verdicts that come about by chance where many parts are
// suspect and many requests fail.
TEST_F(CrashAttributionTest, ManySuspectPartsNeedMoreEvidenceAgainstEach) {
  for (const bool others_are_answered : {true, false}) {
    CrashAttribution node;
    const auto crash_others = [&](uint32_t first) {
      for (uint32_t other = first; other < first + 10; ++other) {
        this->now += milliseconds(60);
        this->Crash(node, other, other, {other});
      }
    };
    crash_others(1000);
    this->CrashWithBadPart(node, 3);
    this->AnswerOthers(node);
    for (int i = 0; i < 5; ++i) {
      this->now += milliseconds(10);
      this->AnswerOthers(node);
    }
    crash_others(2000);
    for (uint32_t other = 0; others_are_answered && other < 10; ++other) {
      this->Succeed(node, {1000 + other, 2000 + other});
    }
    EXPECT_EQ(this->Settle(node).size(), others_are_answered ? 1U : 0U);
  }
}

// Guards against missing a part that was sound at first, such as before a new
// version of the model.
TEST_F(CrashAttributionTest, PartThatTurnsBadIsBlocked) {
  CrashAttribution node;
  this->Succeed(node, {kFirstPart, kBadPart});
  for (uint32_t i = 0; i < 4; ++i) {
    this->now += milliseconds(300);
    this->Crash(node, i, 100 + i, {kFirstPart, kBadPart});
    this->Succeed(node, {kFirstPart});
  }
  EXPECT_EQ(this->Settle(node).size(), 1U);
  EXPECT_TRUE(this->IsBlocked(node, kBadPart));
}

// Guards against blocking the parts of a single request that crashes servers.
TEST_F(CrashAttributionTest, OneRequestThatIsRepeatedBlocksNoPart) {
  CrashAttribution node;
  for (uint32_t crash = 0; crash < 8; ++crash) {
    this->now += milliseconds(200);
    this->Crash(node, crash, 5, {kFirstPart, kSubject});
  }
  EXPECT_TRUE(this->Settle(node).empty());
}

// Guards against counting one crash once for each node that lost a request.
TEST_F(CrashAttributionTest, CrashSeenByManyNodesCountsOnce) {
  CrashAttribution node;
  for (uint32_t other = 0; other < 6; ++other) {
    CrashAttribution reporter;
    this->Crash(reporter, 1, 100 + other, {kFirstPart, kBadPart});
    this->Tell(reporter, node);
  }
  EXPECT_TRUE(this->Settle(node).empty());
}

// Guards against nodes that each see too few crashes for a verdict.
TEST_F(CrashAttributionTest, EvidenceOfAllNodesIsMerged) {
  CrashAttribution node;
  for (uint32_t other = 0; other < 3; ++other) {
    CrashAttribution reporter;
    this->now += milliseconds(100);
    this->Crash(reporter, other, 100 + other, {kFirstPart, kSubject, kBadPart});
    this->Tell(reporter, node);
  }
  this->Succeed(node, {kFirstPart, kSubject});
  EXPECT_EQ(this->Settle(node).size(), 1U);
  EXPECT_TRUE(this->IsBlocked(node, kBadPart));
}

// Guards against blocking a part that is answered on other nodes.
TEST_F(CrashAttributionTest, ResponsesOnOtherNodesExonerateAPart) {
  CrashAttribution node;
  CrashAttribution other;
  for (uint32_t crash = 0; crash < 3; ++crash) {
    this->now += milliseconds(100);
    this->Crash(node, crash, 100 + crash, {kFirstPart, kSubject});
  }
  this->Succeed(other, {kFirstPart, kSubject});
  this->Tell(node, other);
  this->Tell(other, node);
  EXPECT_TRUE(this->Settle(node).empty());
}

// Guards against nodes that send requests with the part although others have
// blocked it, also after a restart.
TEST_F(CrashAttributionTest, BlockIsToldToOtherNodes) {
  CrashAttribution node;
  CrashAttribution restarted;
  this->CrashWithBadPart(node, 5);
  this->Settle(node);
  this->now += seconds(30);
  EXPECT_EQ(this->Tell(node, restarted).blocked.size(), 1U);
  EXPECT_TRUE(this->IsBlocked(restarted, kBadPart));
  EXPECT_TRUE(this->Tell(node, restarted).blocked.empty());
}

// Guards against a wrong verdict that lasts: a request that was already running
// is answered.
TEST_F(CrashAttributionTest, ResponseEndsABlockOnAllNodes) {
  CrashAttribution node;
  CrashAttribution other;
  this->CrashWithBadPart(node, 5);
  this->Settle(node);
  this->Tell(node, other);
  this->now += milliseconds(50);
  this->Succeed(other, {kFirstPart, kBadPart});
  EXPECT_FALSE(this->IsBlocked(other, kBadPart));
  this->Tell(node, other);
  EXPECT_FALSE(this->IsBlocked(other, kBadPart)) << "blocked again by a peer";
  this->Tell(other, node);
  EXPECT_FALSE(this->IsBlocked(node, kBadPart));
}

// Guards against blocks that never end, and against as many crashes again after
// each: the first one renews the block for longer.
TEST_F(CrashAttributionTest, ExpiredBlockIsRenewedByOneCrash) {
  CrashAttribution node;
  this->CrashWithBadPart(node, 5);
  this->Settle(node);
  this->now += minutes(2) + seconds(1);
  EXPECT_FALSE(this->IsBlocked(node, kBadPart));
  this->Crash(node, 500, 600, {kFirstPart, kBadPart});
  const auto verdicts = node.Evaluate(kSettle, this->now);
  ASSERT_EQ(verdicts.size(), 1U);
  EXPECT_EQ(verdicts[0].blocked.times, 2U);
  this->now += minutes(3);
  EXPECT_TRUE(this->IsBlocked(node, kBadPart));
}

// Guards against reports that outgrow a datagram, and against leaving out the
// evidence that is nearest to a verdict.
TEST_F(CrashAttributionTest, ReportIsBoundedAndTellsTheWorstFirst) {
  CrashAttribution node;
  for (uint32_t i = 0; i < 500; ++i) {
    this->now += milliseconds(5);
    this->Crash(node, 1000 + i, 1000 + i, {10000 + i, 20000 + i});
  }
  this->CrashWithBadPart(node, 2);
  const CrashEvidence evidence = node.Report(this->now);
  EXPECT_LE(evidence.crashes.size(), 8U);
  ASSERT_FALSE(evidence.crashes.empty());
  EXPECT_EQ(evidence.crashes.front().parts.back(), kBadPart);
}

}  // namespace
}  // namespace boragewharf::serving
