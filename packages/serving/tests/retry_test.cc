/**
 * @file retry_test.cc
 * Which failed requests are sent again, and what the client is told otherwise.
 */
#include <gtest/gtest.h>

#include "serving/retry_base.h"

namespace boragewharf::serving {
namespace {

using std::chrono::seconds;

RetryFacts MakeFacts(AttemptFailure failure, bool repeatable) {
  RetryFacts facts;
  facts.failure = failure;
  facts.repeatable = repeatable;
  facts.attempts = 1;
  facts.max_attempts = 2;
  return facts;
}

// Guards against running a non-idempotent request twice, such as a booking.
TEST(DecideAfterFailureTest,
     NonIdempotentRequestIsNeverResentAfterItMayHaveRun) {
  for (const AttemptFailure failure :
       {AttemptFailure::kConnectionLost, AttemptFailure::kMalformed,
        AttemptFailure::kTimedOut}) {
    EXPECT_EQ(DecideAfterFailure(MakeFacts(failure, false), true),
              RetryDecision::kAnswerUnknown);
  }
  EXPECT_EQ(
      DecideAfterFailure(MakeFacts(AttemptFailure::kServerError, false), true),
      RetryDecision::kForward);
}

// Guards against reporting "not run" for a request that an earlier server may
// have run before the last one rejected it.
TEST(DecideAfterFailureTest,
     RejectionAfterALostConnectionIsNotReportedAsNotRun) {
  RetryFacts facts = MakeFacts(AttemptFailure::kRejected, true);
  facts.attempts = 2;
  facts.may_have_run = true;
  EXPECT_EQ(DecideAfterFailure(facts, true), RetryDecision::kAnswerUnknown);
}

TEST(DecideAfterFailureTest, RejectedAndUnsentRequestsGoToAnotherServer) {
  EXPECT_EQ(
      DecideAfterFailure(MakeFacts(AttemptFailure::kRejected, false), true),
      RetryDecision::kResend);
  EXPECT_EQ(
      DecideAfterFailure(MakeFacts(AttemptFailure::kNotSent, false), true),
      RetryDecision::kResend);
  EXPECT_EQ(
      DecideAfterFailure(MakeFacts(AttemptFailure::kRejected, false), false),
      RetryDecision::kAnswerNotRun);
}

TEST(DecideAfterFailureTest, MaxAttemptsBoundsSendsUnlessTheServerEnded) {
  RetryFacts facts = MakeFacts(AttemptFailure::kConnectionLost, true);
  facts.attempts = 2;
  EXPECT_EQ(DecideAfterFailure(facts, true), RetryDecision::kAnswerUnknown);
  facts.server_ended = true;
  EXPECT_EQ(DecideAfterFailure(facts, true), RetryDecision::kResend);
}

TEST(DecideAfterFailureTest, StartedResponseContinuesOnlyIfResumable) {
  RetryFacts facts = MakeFacts(AttemptFailure::kConnectionLost, true);
  facts.answer_started = true;
  EXPECT_EQ(DecideAfterFailure(facts, true), RetryDecision::kAbort);
  facts.can_resume = true;
  EXPECT_EQ(DecideAfterFailure(facts, true), RetryDecision::kResend);
}

// Many requests fail at once. The retries of all nodes together must stay
// within the shared budget.
TEST(RetryBudgetTest, NodesTogetherStayWithinTheSharedBudget) {
  constexpr uint32_t kNodes = 6;
  const TimePoint now{seconds(100)};
  uint32_t retries = 0;
  for (uint32_t node = 0; node < kNodes; ++node) {
    RetryBudget budget(0.2, 52, seconds(10));
    for (int i = 0; i < 100; ++i) {
      budget.CountRequest("llm", now);
    }
    while (budget.TakeRetry("llm", kNodes, now)) {
      ++retries;
    }
  }
  EXPECT_LE(retries, 0.2 * 600 + 52);
  EXPECT_GE(retries, 0.2 * 600);
}

TEST(RetryBudgetTest, ExpiredRequestsGiveNoBudget) {
  RetryBudget budget(1.0, 0, seconds(10));
  const TimePoint start{seconds(100)};
  for (int i = 0; i < 100; ++i) {
    budget.CountRequest("llm", start);
  }
  EXPECT_TRUE(budget.TakeRetry("llm", 1, start));
  EXPECT_FALSE(budget.TakeRetry("llm", 1, start + seconds(11)));
  EXPECT_FALSE(budget.TakeRetry("unknown", 1, start));
}

}  // namespace
}  // namespace boragewharf::serving
