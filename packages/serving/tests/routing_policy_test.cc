/**
 * @file routing_policy_test.cc
 * Routing under heavy and uneven load.
 */
#include <gtest/gtest.h>

#include <algorithm>
#include <random>

#include "serving/routing_policy_base.h"

namespace boragewharf::serving {
namespace {

/** Servers of one service and their known load. */
class RoutingTest : public testing::Test {
 protected:
  void AddServer(const std::string& id, Distance distance, uint32_t slots) {
    auto server = std::make_unique<BackendServer>();
    server->id = id;
    server->slots = slots;
    ServerView view;
    view.server = server.get();
    view.distance = distance;
    this->servers.push_back(std::move(server));
    this->views.push_back(view);
  }

  std::vector<std::unique_ptr<BackendServer>> servers;
  std::vector<ServerView> views;
  std::unique_ptr<RoutingPolicy> engine = MakeExpectedDelayPolicy(1);
  std::unique_ptr<RoutingPolicy> plain = MakeLeastRunningPolicy();
};

// Head-of-line blocking: a long prompt delays the short ones behind it. Guards
// against comparing the number of requests instead of their prompt tokens.
TEST_F(RoutingTest, ShortPromptAvoidsServerWithALongPrefill) {
  this->AddServer("reads-long-prompt", Distance::kSameZone, 48);
  this->AddServer("runs-three", Distance::kSameZone, 48);
  this->views[0].running = 1;
  this->views[0].prefill_tokens = 50000;
  this->views[1].running = 3;
  RouteRequest request;
  request.prompt_tokens = 600;
  EXPECT_EQ(this->engine->Choose(request, this->views)->index, 1U);
}

// Batch reports share a prefix of thousands of tokens. Guards against computing
// it again on each server.
TEST_F(RoutingTest, NodesAgreeOnTheServerOfASharedPrefix) {
  for (int i = 0; i < 12; ++i) {
    this->AddServer("server-" + std::to_string(i), Distance::kSameZone, 48);
  }
  std::mt19937_64 generator(7);
  for (uint64_t part = 1; part <= 200; ++part) {
    RouteRequest request;
    request.prompt_tokens = 12000;
    request.shared_tokens = 5400;
    request.shared_part = part * 7919;
    const auto choice = this->engine->Choose(request, this->views);
    auto reordered_views = this->views;
    std::shuffle(reordered_views.begin(), reordered_views.end(), generator);
    const auto reordered_choice =
        this->engine->Choose(request, reordered_views);
    EXPECT_EQ(this->views[choice->index].server->id,
              reordered_views[reordered_choice->index].server->id);
  }
}

// Hot key: one prefix gets much of the traffic. Its server must not get all of
// it while others are idle.
TEST_F(RoutingTest, HotPrefixSpillsOverWhenItsServerIsBusy) {
  for (int i = 0; i < 4; ++i) {
    this->AddServer("server-" + std::to_string(i), Distance::kSameZone, 48);
  }
  RouteRequest request;
  request.prompt_tokens = 12000;
  request.shared_tokens = 5400;
  request.shared_part = 42;
  const size_t owner = this->engine->Choose(request, this->views)->index;
  this->views[owner].prefill_tokens = 60000;
  EXPECT_NE(this->engine->Choose(request, this->views)->index, owner);
}

/** A request with a long shared prefix that servers can copy. */
RouteRequest SharedRequest() {
  RouteRequest request;
  request.prompt_tokens = 12000;
  request.shared_tokens = 5400;
  request.shared_part = 42;
  request.copy_ms_per_token = 18432 * 8 / 88e6;
  return request;
}

// Batch reports share a prefix. Guards against needless copies while the server
// that has it cached is not busy.
TEST_F(RoutingTest, ServerThatHoldsThePrefixIsPreferredToACopy) {
  this->AddServer("idle", Distance::kSameZone, 48);
  this->AddServer("holder", Distance::kSameZone, 48);
  this->views[1].prefix_cached = true;
  this->views[1].running = 10;
  const auto choice = this->engine->Choose(SharedRequest(), this->views);
  EXPECT_EQ(choice->index, 1U);
  EXPECT_FALSE(choice->copy_from);
  EXPECT_EQ(choice->read_tokens, 6600U);
}

// Hot key. Guards against computing the prefix again on each server that its
// requests spill over to.
TEST_F(RoutingTest, PrefixIsCopiedWhereItsHolderIsBusy) {
  this->AddServer("idle", Distance::kSameZone, 48);
  this->AddServer("holder", Distance::kSameZone, 48);
  this->views[1].prefix_cached = true;
  this->views[1].prefill_tokens = 60000;
  const auto choice = this->engine->Choose(SharedRequest(), this->views);
  EXPECT_EQ(choice->index, 0U);
  EXPECT_EQ(choice->copy_from, 1U);
  EXPECT_EQ(choice->read_tokens, 6600U) << "only the request's own tokens";
}

// Servers whose engines cannot copy compute the prefix.
TEST_F(RoutingTest, PrefixIsRecomputedWhereItCannotBeCopied) {
  this->AddServer("idle", Distance::kSameZone, 48);
  this->AddServer("holder", Distance::kSameZone, 48);
  this->views[1].prefix_cached = true;
  this->views[1].prefill_tokens = 60000;
  RouteRequest request = SharedRequest();
  request.copy_ms_per_token = 0;
  const auto choice = this->engine->Choose(request, this->views);
  EXPECT_EQ(choice->index, 0U);
  EXPECT_FALSE(choice->copy_from);
  EXPECT_EQ(choice->read_tokens, 12000U);
}

// Traffic between regions is expensive, but a long queue costs more.
TEST_F(RoutingTest, OtherRegionOnlyWhenTheOwnIsOverloaded) {
  this->AddServer("near", Distance::kSameZone, 48);
  this->AddServer("far", Distance::kOtherRegion, 48);
  RouteRequest request;
  request.prompt_tokens = 6600;
  request.prefill_tokens_per_ms = 130;
  request.body_bytes = 12000;
  this->views[0].prefill_tokens = 10000;
  EXPECT_EQ(this->engine->Choose(request, this->views)->index, 0U);
  this->views[0].prefill_tokens = 100000;
  EXPECT_EQ(this->engine->Choose(request, this->views)->index, 1U);
}

// Overload. Guards against sending requests that a server would reject.
TEST_F(RoutingTest, FullServersAreNotChosen) {
  this->AddServer("full", Distance::kSameZone, 6);
  this->views[0].running = 15;
  EXPECT_FALSE(this->engine->Choose({}, this->views));
  EXPECT_FALSE(this->plain->Choose({}, this->views));
  this->views[0].running = 14;
  EXPECT_TRUE(this->plain->Choose({}, this->views));
}

// Gray failure: health checks pass, but requests fail.
TEST_F(RoutingTest, FailingServerIsAvoidedWhileOthersAreFree) {
  this->AddServer("fails", Distance::kSameZone, 6);
  this->AddServer("works", Distance::kSameRegion, 6);
  this->views[0].failure_rate = 0.5;
  this->views[1].running = 2;
  EXPECT_EQ(this->plain->Choose({}, this->views)->index, 1U);
}

TEST_F(RoutingTest, NoCandidatesGiveNoChoice) {
  EXPECT_FALSE(this->engine->Choose({}, {}));
  EXPECT_FALSE(this->plain->Choose({}, {}));
}

}  // namespace
}  // namespace boragewharf::serving
