/**
 * @file capacity_test.cc
 * Limits after rejections, shares of nodes, and the message between nodes.
 */
#include <gtest/gtest.h>

#include "admission/capacity_base.h"
#include "base/body_func.h"

namespace boragewharf::admission {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::seconds(1000)};

serving::ReceivedExtension Message(uint32_t sender,
                                   const ServiceRoom& room,
                                   TimePoint now) {
  serving::ReceivedExtension extension;
  extension.sender = sender;
  extension.received = now;
  extension.kind = static_cast<uint16_t>(serving::ExtensionKind::kServiceRoom);
  extension.payload = EncodeBody(room);
  return extension;
}

ServiceRoom Room(uint32_t running, uint32_t waiting) {
  ServiceRoom room;
  room.needs.push_back({serving::HashName("llm"), running, waiting, 0, 0});
  return room;
}

// Guards against sending on to a server that has just rejected a request, and
// against keeping it out of use for longer than a second.
TEST(ServerLimitsTest, RejectionLowersTheLimitWhichRecoversInASecond) {
  ServerLimits limits;
  EXPECT_EQ(limits.LimitOf(1, 15, kStart), 15U);
  limits.RecordRejection(1, 6, kStart);
  EXPECT_EQ(limits.LimitOf(1, 15, kStart), 6U);
  const uint32_t half = limits.LimitOf(1, 15, kStart + milliseconds(500));
  EXPECT_GT(half, 8U);
  EXPECT_LT(half, 12U);
  EXPECT_EQ(limits.LimitOf(1, 15, kStart + milliseconds(1000)), 15U);
  EXPECT_EQ(limits.LimitOf(2, 15, kStart), 15U);
}

// Guards against nodes that together take more than the capacity.
TEST(PeerNeedsTest, SharesFollowNeedAndAddUpToOne) {
  PeerNeeds first;
  first.Merge(Message(2, Room(10, 20), kStart));
  first.SetNodes(2, kStart);
  PeerNeeds second;
  second.Merge(Message(1, Room(10, 0), kStart));
  second.SetNodes(2, kStart);
  EXPECT_DOUBLE_EQ(first.ShareOf("llm", 10), 0.25);
  EXPECT_DOUBLE_EQ(second.ShareOf("llm", 30), 0.75);
}

TEST(PeerNeedsTest, SilentNodesCountWithAnEqualShare) {
  PeerNeeds needs;
  needs.SetNodes(4, kStart);
  EXPECT_DOUBLE_EQ(needs.ShareOf("llm", 8), 0.25);
  needs.Merge(Message(2, Room(8, 0), kStart));
  needs.SetNodes(4, kStart + milliseconds(100));
  EXPECT_DOUBLE_EQ(needs.ShareOf("llm", 8), 0.25);
  needs.SetNodes(4, kStart + PeerNeeds::kFresh + milliseconds(1));
  EXPECT_EQ(needs.Heard(), 0U);
  EXPECT_DOUBLE_EQ(needs.ShareOf("llm", 8), 0.25);
}

TEST(PeerNeedsTest, SingleNodeHasEverything) {
  PeerNeeds needs;
  EXPECT_DOUBLE_EQ(needs.ShareOf("llm", 1), 1);
}

// Guards against a message that makes a node take nothing: the numbers of one
// sender are bounded, and what is not a whole message is dropped.
TEST(ServiceRoomTest, InvalidMessagesAreDroppedAndNumbersBounded) {
  PeerNeeds needs;
  const std::string valid = EncodeBody(Room(1, 2));
  for (size_t size = 0; size < valid.size(); ++size) {
    EXPECT_FALSE(DecodeServiceRoom(valid.substr(0, size)));
  }
  EXPECT_FALSE(DecodeServiceRoom(valid + "x"));
  ServiceRoom large;
  large.needs.resize(kMaxServices + 1);
  EXPECT_FALSE(DecodeServiceRoom(EncodeBody(large)));
  const auto bounded =
      DecodeServiceRoom(EncodeBody(Room(4000000000U, 4000000000U)));
  ASSERT_TRUE(bounded);
  EXPECT_LE(bounded->needs[0].running, 100000U);
  large.needs.resize(kMaxServices);
  EXPECT_LE(EncodeBody(large).size(), 1200U);
}

// Guards against a mean that the first samples dominate, and against one
// length's time being used for another's.
TEST(AttemptDurationsTest, ResponsesAreKeptByPromptLength) {
  AttemptDurations durations;
  EXPECT_EQ(durations.Total(milliseconds(70)), milliseconds(70));
  for (int i = 0; i < 100; ++i) {
    durations.AddResponse(1000, milliseconds(40));
    durations.AddResponse(50000, milliseconds(600));
    durations.AddTotal(milliseconds(20));
  }
  EXPECT_EQ(durations.Total(milliseconds(70)), milliseconds(20));
  EXPECT_EQ(durations.Response(900), milliseconds(40));
  EXPECT_EQ(durations.Response(54000), milliseconds(600));
  EXPECT_GT(durations.Response(5000), milliseconds(40));
}

}  // namespace
}  // namespace boragewharf::admission
