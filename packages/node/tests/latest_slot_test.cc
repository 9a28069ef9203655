/**
 * @file latest_slot_test.cc
 * Values passed between the loops of a node.
 */
#include <gtest/gtest.h>

#include "node/latest_slot_base.h"
#include "node/peer_codec.h"
#include "serving/peer_type.h"

namespace boragewharf::node {
namespace {

// Guards against a queue of server lists that grows while the data plane is
// busy.
TEST(LatestSlotTest, ReceiverIsToldOnceAndTakesTheNewest) {
  LatestSlot<int> slot;
  EXPECT_TRUE(slot.Put(1));
  EXPECT_FALSE(slot.Put(2));
  EXPECT_EQ(slot.Take(), 2);
  EXPECT_EQ(slot.Take(), std::nullopt);
  EXPECT_TRUE(slot.Put(3));
}

// Guards against quota units that are lost or counted twice when the data plane
// takes two summaries at once, and against memory that grows until it does.
TEST(LatestSlotTest, MergedSummaryHasAllUnitsAndBoundedLists) {
  serving::PeerSummary pending;
  for (int i = 0; i < 10000; ++i) {
    serving::PeerSummary newer;
    newer.nodes = 5;
    newer.admitted[1] = 2;
    newer.admitted[2] = -1;
    newer.prefixes.resize(3);
    newer.extensions.resize(2);
    serving::MergeSummary(pending, std::move(newer));
  }
  EXPECT_EQ(pending.nodes, 5U);
  EXPECT_EQ(pending.admitted.at(1), 20000);
  EXPECT_EQ(pending.admitted.at(2), -10000);
  EXPECT_LE(pending.prefixes.size(), 10000U);
  EXPECT_LE(pending.extensions.size(), 10000U);
}

serving::PeerMessage CompressibleMessage() {
  serving::PeerMessage message;
  message.format = serving::kPeerFormat;
  message.status.name = "node";
  for (uint32_t i = 0; i < 50; ++i) {
    message.report.loads[i * 7919] = {i, 1000};
  }
  message.report.extensions = {{1, std::string(300, 'x'), {}}};
  return message;
}

// Guards against messages that only one of two nodes understands.
TEST(CompressedMessageTest, DecodesToTheSameMessage) {
  const auto message = CompressibleMessage();
  const std::string plain = EncodePeerMessage(message);
  const std::string compressed = EncodePeerMessage(message, true);
  EXPECT_LT(compressed.size(), plain.size());
  const auto decoded = DecodePeerMessage(compressed);
  ASSERT_TRUE(decoded);
  EXPECT_EQ(EncodePeerMessage(*decoded), plain);
}

// Guards against a datagram that ends the process or makes it allocate without
// a bound.
TEST(CompressedMessageTest, DamagedMessagesAreHarmless) {
  const std::string bytes = EncodePeerMessage(CompressibleMessage(), true);
  for (size_t at = 0; at < bytes.size(); ++at) {
    EXPECT_FALSE(DecodePeerMessage(bytes.substr(0, at)));
    for (const char value : {'\x00', '\x7f', '\xff'}) {
      std::string changed = bytes;
      changed[at] = value;
      DecodePeerMessage(changed);
    }
  }
  const std::string bomb = Compress(std::string(size_t{8} * 1024 * 1024, 'x'));
  EXPECT_FALSE(DecodePeerMessage(bomb));
}

}  // namespace
}  // namespace boragewharf::node
