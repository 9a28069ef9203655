/**
 * @file policy_test.cc
 * Tests of routing, admission and retry policies.
 */
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <mutex>
#include <thread>

#include "policy/admission_base.h"
#include "policy/retry_base.h"
#include "policy/routing_base.h"

namespace boragewharf::policy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(100)};

std::vector<BackendView> Views(size_t count) {
  std::vector<BackendView> views(count);
  for (BackendView& view : views) {
    view.reported = true;
  }
  return views;
}

RouteRequest Route(uint64_t seed = 0) {
  RouteRequest request;
  request.prompt_tokens = 500;
  request.expected_length = seconds(5);
  request.seed = seed;
  return request;
}

/** All policies, for what must hold for each of them. */
class AnyRoutingTest : public testing::TestWithParam<int> {
 protected:
  std::unique_ptr<RoutingPolicy> Make() const {
    switch (GetParam()) {
      case 0:
        return std::make_unique<RoundRobinPolicy>();
      case 1:
        return std::make_unique<LeastInFlightPolicy>();
      default:
        return std::make_unique<PredictedTimePolicy>(PredictionOptions{});
    }
  }
};

// Guards against work for a server that is leaving, ejected or was tried, and
// against a suspect on a server that runs something else.
TEST_P(AnyRoutingTest, ChoosesOnlyUsableServers) {
  const auto policy = this->Make();
  std::vector<BackendView> views = Views(5);
  views[0].status = backend::BackendStatus::kLeaving;
  views[1].status = backend::BackendStatus::kEjected;
  views[2].own_in_flight = 1;
  views[3].reported_running = 1;
  const std::vector<BackendIndex> excluded{BackendIndex{4}};
  for (uint64_t seed = 0; seed < 20; ++seed) {
    RouteRequest request = Route(seed);
    request.alone = true;
    EXPECT_EQ(policy->Choose(request, views), BackendIndex{4});
    request.excluded = excluded;
    EXPECT_EQ(policy->Choose(request, views), std::nullopt);
    request.alone = false;
    const auto choice = policy->Choose(request, views);
    EXPECT_TRUE(choice == BackendIndex{2} || choice == BackendIndex{3});
  }
  EXPECT_EQ(policy->Choose(Route(), {}), std::nullopt);
}

INSTANTIATE_TEST_SUITE_P(Policies, AnyRoutingTest, testing::Range(0, 3));

// Guards against a report that is trusted although it is old: the server that
// was idle long ago is not better than the others.
TEST(PredictedTimeTest, OldReportsCountLittle) {
  const PredictedTimePolicy policy{PredictionOptions{}};
  BackendView idle = Views(1)[0];
  BackendView busy = idle;
  busy.reported_running = 8;
  const double fresh = policy.PredictCost(Route(), busy, 4) -
                       policy.PredictCost(Route(), idle, 4);
  idle.report_age = busy.report_age = seconds(20);
  const double old = policy.PredictCost(Route(), busy, 4) -
                     policy.PredictCost(Route(), idle, 4);
  EXPECT_GT(fresh, 0);
  EXPECT_LT(old, fresh / 100);
}

// Guards against own requests that count twice once they are reported.
TEST(PredictedTimeTest, OwnRequestsCountOnce) {
  const PredictedTimePolicy policy{PredictionOptions{}};
  BackendView view = Views(1)[0];
  view.own_in_flight = view.own_at_report = view.reported_running = 4;
  BackendView unreported = view;
  unreported.reported_running = 0;
  EXPECT_DOUBLE_EQ(policy.PredictCost(Route(), view, 0),
                   policy.PredictCost(Route(), unreported, 0));
}

// Guards against a long report on an instance that ends before it does, and
// against charged traffic for a small gain.
TEST(PredictedTimeTest, WeighsRemainingLifeAndDistance) {
  PredictedTimePolicy policy{PredictionOptions{}};
  std::vector<BackendView> views = Views(2);
  views[0].remaining = seconds(4);
  views[1].own_in_flight = views[1].own_at_report = 4;
  EXPECT_EQ(policy.Choose(Route(), views), BackendIndex{1});
  views[0].remaining = seconds(6);
  EXPECT_EQ(policy.Choose(Route(), views), BackendIndex{0});
  views[0].distance = Distance::kOtherRegion;
  EXPECT_EQ(policy.Choose(Route(), views), BackendIndex{1});
}

// Guards against retries that multiply an overload, repeat what may run once,
// or pass the deadline; and against a reclaim that spends the budget.
TEST(RetryTest, KeepsToTheBudget) {
  BudgetRetryPolicy policy{RetryBudgetOptions{0.1, 0.5, 20}};
  RetryRequest request;
  request.idempotent = true;
  request.max_retries = 2;
  request.deadline = kStart + seconds(30);
  int granted = 0;
  for (int i = 0; i < 1000; ++i) {
    policy.NoteRequest(kStart);
    granted += policy.MayRetry(request, kStart) ? 1 : 0;
  }
  EXPECT_GE(granted, 100);
  EXPECT_LE(granted, 120);
  EXPECT_FALSE(policy.MayRetry(request, kStart));
  EXPECT_TRUE(policy.MayRetry(request, kStart + seconds(3))) << "floor";
  EXPECT_FALSE(policy.MayRetry(request, kStart + seconds(31)));
  request.server_leaving = true;
  EXPECT_TRUE(policy.MayRetry(request, kStart));
  request.idempotent = false;
  request.may_have_run = true;
  EXPECT_FALSE(policy.MayRetry(request, kStart));
}

AdmissionRequest Work(uint64_t id,
                      const std::string& customer,
                      WorkClass work = WorkClass::kLookup,
                      uint64_t cost = 100) {
  return {AdmissionId{id}, customer, 1, work, cost, kStart + seconds(600)};
}

// Guards against a customer that takes the turns of the others by queueing
// first or by sending larger requests.
TEST(FairAdmissionTest, SharesByCost) {
  AdmissionOptions options;
  options.capacity = 1;
  options.ageing_per_second = 0;
  FairAdmissionPolicy policy(options);
  AdmissionChanges changes;
  policy.Offer(Work(1, "a"), kStart, changes);
  for (uint64_t i = 2; i < 200; ++i) {
    policy.Offer(Work(i, "a", WorkClass::kLookup, 400), kStart, changes);
  }
  for (uint64_t i = 200; i < 400; ++i) {
    policy.Offer(Work(i, "b", WorkClass::kLookup, 100), kStart, changes);
  }
  AdmissionId current{1};
  uint64_t cost_a = 0;
  uint64_t cost_b = 0;
  for (int i = 0; i < 100; ++i) {
    AdmissionChanges next;
    policy.Finish(current, kStart, next);
    ASSERT_EQ(next.started.size(), 1U);
    current = next.started[0];
    (current.value < 200 ? cost_a : cost_b) += current.value < 200 ? 400 : 100;
  }
  EXPECT_NEAR(static_cast<double>(cost_a), static_cast<double>(cost_b), 800);
}

// Guards against batch work that waits forever behind interactive work of the
// same customer.
TEST(FairAdmissionTest, BatchIsNotStarved) {
  AdmissionOptions options;
  options.capacity = 1;
  FairAdmissionPolicy policy(options);
  AdmissionChanges changes;
  policy.Offer(Work(1, "a"), kStart, changes);
  policy.Offer(Work(2, "a", WorkClass::kBatch, 5000), kStart, changes);
  TimePoint now = kStart;
  AdmissionId current{1};
  int turns = 0;
  for (uint64_t id = 10; current != AdmissionId{2}; ++id) {
    ASSERT_LT(++turns, 400) << "batch request did not start";
    policy.Offer(Work(id, "a", WorkClass::kInteractive), now, changes);
    now += milliseconds(200);
    AdmissionChanges next;
    policy.Finish(current, now, next);
    ASSERT_EQ(next.started.size(), 1U);
    current = next.started[0];
  }
}

// Guards against requests that are neither run nor refused, and against a
// full queue that refuses the small customer instead of the large one.
TEST(FairAdmissionTest, ShedsTheHeaviestCustomer) {
  AdmissionOptions options;
  options.capacity = 1;
  options.queue_limit = 10;
  FairAdmissionPolicy policy(options);
  AdmissionChanges changes;
  for (uint64_t i = 1; i <= 11; ++i) {
    EXPECT_NE(policy.Offer(Work(i, "large"), kStart, changes).verdict,
              AdmissionVerdict::kRefused);
  }
  EXPECT_EQ(policy.Offer(Work(12, "large"), kStart, changes).code,
            ResultCode::kOverloaded);
  EXPECT_EQ(policy.Offer(Work(13, "small"), kStart, changes).verdict,
            AdmissionVerdict::kQueued);
  ASSERT_EQ(changes.refused.size(), 1U);
  EXPECT_EQ(changes.refused[0].id, AdmissionId{11});
  policy.Cancel(AdmissionId{13});
  EXPECT_EQ(policy.Queued(), 9U);
  policy.Expire(kStart + seconds(600), changes);
  EXPECT_EQ(changes.refused.size(), 10U);
  EXPECT_EQ(policy.Queued(), 0U);
}

// Guards against requests that wait although they cannot start in time.
TEST(FairAdmissionTest, RefusesUnreachableDeadlinesAtOnce) {
  AdmissionOptions options;
  options.capacity = 1;
  FairAdmissionPolicy policy(options);
  AdmissionChanges changes;
  policy.Offer(Work(1, "a"), kStart, changes);
  policy.Finish(AdmissionId{1}, kStart + seconds(1), changes);
  for (uint64_t i = 2; i < 12; ++i) {
    policy.Offer(Work(i, "a"), kStart + seconds(1), changes);
  }
  AdmissionRequest urgent = Work(20, "a");
  urgent.start_by = kStart + seconds(3);
  EXPECT_EQ(policy.Offer(urgent, kStart + seconds(1), changes).code,
            ResultCode::kDeadlineUnreachable);
}

/** Passes on the starts that other threads' calls cause. */
struct Starts {
  std::mutex mutex;
  std::vector<AdmissionId> ids;
};

void OfferAndFinish(AdmissionPolicy& policy, Starts& starts, uint64_t first) {
  for (uint64_t id = first; id < first + 2000; ++id) {
    AdmissionChanges changes;
    const auto decision =
        policy.Offer(Work(id, std::to_string(id % 7)), kStart, changes);
    const std::lock_guard lock(starts.mutex);
    if (decision.verdict == AdmissionVerdict::kRun) {
      starts.ids.push_back(AdmissionId{id});
    }
    if (!starts.ids.empty()) {
      policy.Finish(starts.ids.back(), kStart, changes);
      starts.ids.pop_back();
    }
    starts.ids.insert(starts.ids.end(), changes.started.begin(),
                      changes.started.end());
  }
}

// Guards against data races, and against requests that are lost or started
// beyond the capacity when many traffic threads call at once.
TEST(FairAdmissionTest, ManyThreads) {
  AdmissionOptions options;
  options.capacity = 8;
  FairAdmissionPolicy policy(options);
  Starts starts;
  std::vector<std::thread> threads;
  for (uint64_t i = 0; i < 4; ++i) {
    threads.emplace_back(OfferAndFinish, std::ref(policy), std::ref(starts),
                         i * 10000);
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  EXPECT_LE(starts.ids.size(), options.capacity);
  while (!starts.ids.empty()) {
    AdmissionChanges changes;
    policy.Finish(starts.ids.back(), kStart, changes);
    starts.ids.pop_back();
    starts.ids.insert(starts.ids.end(), changes.started.begin(),
                      changes.started.end());
  }
  EXPECT_EQ(policy.Queued(), 0U);
}

}  // namespace
}  // namespace boragewharf::policy
