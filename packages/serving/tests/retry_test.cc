/**
 * @file retry_test.cc
 * What may be sent again, and what the client is told.
 */
#include <gtest/gtest.h>

#include "serving/crash_suspects_base.h"
#include "serving/retry_base.h"

namespace boragewharf::serving {
namespace {

using std::chrono::seconds;

RetryFacts Facts(AttemptFailure failure, bool repeatable) {
  RetryFacts facts;
  facts.failure = failure;
  facts.repeatable = repeatable;
  facts.attempts = 1;
  facts.max_attempts = 2;
  return facts;
}

// Guards against a booking that runs twice.
TEST(DecideAfterFailureTest, NonIdempotentRequestIsNeverResentAfterItMayRun) {
  for (const AttemptFailure failure :
       {AttemptFailure::kConnectionLost, AttemptFailure::kMalformed,
        AttemptFailure::kTimedOut}) {
    EXPECT_EQ(DecideAfterFailure(Facts(failure, false), true),
              RetryDecision::kAnswerUnknown);
  }
  EXPECT_EQ(
      DecideAfterFailure(Facts(AttemptFailure::kServerError, false), true),
      RetryDecision::kForward);
}

// Guards against answering "not run" for a request that may have run before
// the last server rejected it.
TEST(DecideAfterFailureTest, RejectionAfterABrokenAttemptIsNotANotRun) {
  RetryFacts facts = Facts(AttemptFailure::kRejected, true);
  facts.attempts = 2;
  facts.may_have_run = true;
  EXPECT_EQ(DecideAfterFailure(facts, true), RetryDecision::kAnswerUnknown);
}

TEST(DecideAfterFailureTest, RejectedAndUnsentRequestsGoToAnotherServer) {
  EXPECT_EQ(DecideAfterFailure(Facts(AttemptFailure::kRejected, false), true),
            RetryDecision::kResend);
  EXPECT_EQ(DecideAfterFailure(Facts(AttemptFailure::kNotSent, false), true),
            RetryDecision::kResend);
  EXPECT_EQ(DecideAfterFailure(Facts(AttemptFailure::kRejected, false), false),
            RetryDecision::kAnswerNotRun);
}

TEST(DecideAfterFailureTest, MaxAttemptsBoundsSendsUnlessTheServerEnded) {
  RetryFacts facts = Facts(AttemptFailure::kConnectionLost, true);
  facts.attempts = 2;
  EXPECT_EQ(DecideAfterFailure(facts, true), RetryDecision::kAnswerUnknown);
  facts.server_ended = true;
  EXPECT_EQ(DecideAfterFailure(facts, true), RetryDecision::kResend);
}

TEST(DecideAfterFailureTest, StartedAnswerContinuesOnlyIfResumable) {
  RetryFacts facts = Facts(AttemptFailure::kConnectionLost, true);
  facts.answer_started = true;
  EXPECT_EQ(DecideAfterFailure(facts, true), RetryDecision::kAbort);
  facts.can_resume = true;
  EXPECT_EQ(DecideAfterFailure(facts, true), RetryDecision::kResend);
}

// Pattern: many requests fail at once. The nodes' shares add up to no more
// than the budget of all.
TEST(RetryBudgetTest, NodesTogetherStayWithinTheSharedBudget) {
  constexpr uint32_t kNodes = 6;
  const TimePoint now{seconds(100)};
  uint32_t repeats = 0;
  for (uint32_t node = 0; node < kNodes; ++node) {
    RetryBudget budget(0.2, 52, seconds(10));
    for (int i = 0; i < 100; ++i) {
      budget.CountRequest("llm", now);
    }
    while (budget.TakeRetry("llm", kNodes, now)) {
      ++repeats;
    }
  }
  EXPECT_LE(repeats, 0.2 * 600 + 52);
  EXPECT_GE(repeats, 0.2 * 600);
}

TEST(RetryBudgetTest, OldRequestsGiveNoBudget) {
  RetryBudget budget(1.0, 0, seconds(10));
  const TimePoint start{seconds(100)};
  for (int i = 0; i < 100; ++i) {
    budget.CountRequest("llm", start);
  }
  EXPECT_TRUE(budget.TakeRetry("llm", 1, start));
  EXPECT_FALSE(budget.TakeRetry("llm", 1, start + seconds(11)));
  EXPECT_FALSE(budget.TakeRetry("unknown", 1, start));
}

// Pattern: a request crashes each server that runs it and is sent again.
TEST(CrashSuspectsTest, ThirdCrashAtAnyNodeRefusesTheRequest) {
  const uint64_t poison = RequestFingerprint("school", "/a", "body");
  CrashSuspects suspects;
  const TimePoint now{seconds(100)};
  suspects.CountCrash(poison, now);
  EXPECT_FALSE(suspects.IsBlocked(poison));
  suspects.SetRemote({{poison, 2}});
  EXPECT_TRUE(suspects.IsBlocked(poison));
  EXPECT_FALSE(suspects.IsBlocked(RequestFingerprint("school", "/a", "other")));
  suspects.ClearCrashes(poison);
  EXPECT_FALSE(suspects.IsBlocked(poison));
}

TEST(CrashSuspectsTest, ReportIsBoundedAndNamesTheWorstFirst) {
  CrashSuspects suspects;
  const TimePoint now{seconds(100)};
  for (uint64_t request = 0; request < 1000; ++request) {
    suspects.CountCrash(request, now + seconds(request / 100));
  }
  suspects.CountCrash(999, now + seconds(10));
  const auto report = suspects.Report(now + seconds(10));
  EXPECT_LE(report.size(), 16U);
  EXPECT_TRUE(report.contains(999));
}

}  // namespace
}  // namespace boragewharf::serving
