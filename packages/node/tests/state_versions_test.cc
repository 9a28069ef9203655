/**
 * @file state_versions_test.cc
 * Eras of the store in messages and fetches, also between builds of which one
 * does not know them.
 */
#include <gtest/gtest.h>

#include "node/peer_codec.h"

namespace boragewharf::node {
namespace {

constexpr auto kStateVersions =
    static_cast<uint16_t>(serving::ExtensionKind::kStateVersions);

serving::PeerMessage MessageWithEras() {
  serving::PeerMessage message;
  message.format = serving::kPeerFormat;
  message.status.ip = "10.0.0.2";
  message.status.config_revision = 300;
  message.status.has_eras = true;
  message.status.config_version = 38;
  message.status.config_era = 3;
  message.status.servers_era = 4;
  return message;
}

// Guards against eras that get lost with the parts that a partial or forwarded
// message leaves out.
TEST(StateVersionsTest, ErasAreInEachMessage) {
  serving::PeerMessage message = MessageWithEras();
  message.report.extensions.resize(serving::kMaxExtensions);
  for (const bool compressed : {false, true}) {
    const auto decoded =
        DecodePeerMessage(EncodePeerMessage(message, compressed));
    ASSERT_TRUE(decoded);
    EXPECT_TRUE(decoded->status.has_eras);
    EXPECT_EQ(decoded->status.config_version, 38U);
    EXPECT_EQ(decoded->status.config_era, 3U);
    EXPECT_EQ(decoded->status.servers_era, 4U);
    for (const auto& extension : decoded->report.extensions) {
      EXPECT_NE(extension.kind, kStateVersions);
    }
    // As a node that forwards the message sends it.
    const auto forwarded = DecodePeerMessage(EncodePeerMessage(*decoded));
    EXPECT_EQ(forwarded->status.servers_era, 4U);
  }
}

// Guards against messages that the build before cannot read: it ignores unknown
// extensions, and what it sends has none.
TEST(StateVersionsTest, MessagesOfEarlierBuildsHaveNoEras) {
  const serving::PeerMessage message = MessageWithEras();
  serving::PeerMessage old_build = message;
  old_build.status.has_eras = false;
  const std::string bytes = EncodePeerMessage(message);
  const std::string old_bytes = EncodePeerMessage(old_build);
  EXPECT_TRUE(bytes.starts_with(old_bytes)) << "only appended to";
  const auto decoded = DecodePeerMessage(old_bytes);
  ASSERT_TRUE(decoded);
  EXPECT_FALSE(decoded->status.has_eras);
  EXPECT_EQ(decoded->status.config_version, 0U);
  EXPECT_EQ(decoded->status.config_revision, 300U);
}

// Guards against bytes from the network that end a message or are taken for
// eras.
TEST(StateVersionsTest, UnreadableErasCountAsMissing) {
  serving::PeerMessage message = MessageWithEras();
  message.status.has_eras = false;
  for (const size_t size : {0, 1, 24}) {
    message.report.extensions = {{kStateVersions, std::string(size, '\1'), {}}};
    const auto decoded = DecodePeerMessage(EncodePeerMessage(message));
    ASSERT_TRUE(decoded) << size;
    EXPECT_FALSE(decoded->status.has_eras) << size;
    EXPECT_EQ(decoded->status.servers_era, 0U) << size;
  }
}

// Guards against fetched state whose era is lost, and against replies that one
// of the builds cannot read.
TEST(StateVersionsTest, FetchedStateHasErasAfterTheKnownFields) {
  PeerState state;
  state.servers.resize(1);
  state.config_era = 3;
  state.servers_era = 4;
  const std::string bytes = EncodePeerState(state);
  const auto decoded = DecodePeerState(bytes);
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded->config_era, 3U);
  EXPECT_EQ(decoded->servers_era, 4U);
  // The number of lapsed servers is the last field, the eras come before it.
  const size_t with_eras = bytes.size() - sizeof(uint64_t);
  const auto later_build = DecodePeerState(bytes.substr(0, with_eras));
  ASSERT_TRUE(later_build);
  EXPECT_EQ(later_build->servers_era, 4U);
  EXPECT_EQ(later_build->servers.size(), 1U);
  const auto old_build =
      DecodePeerState(bytes.substr(0, with_eras - 2 * sizeof(uint64_t)));
  ASSERT_TRUE(old_build);
  EXPECT_EQ(old_build->servers_era, 0U);
  EXPECT_EQ(old_build->servers.size(), 1U);
}

// Guards against changes that are sent to a node whose list is of another era,
// and against other answers than before to nodes of the build before.
TEST(StateVersionsTest, NodeOfAnotherEraGetsTheWholeState) {
  fleet::FleetState state{fleet::FleetSettings{}};
  auto config = std::make_shared<serving::ServingConfig>();
  config->version = 6;
  state.config = config;
  state.config_text = "text";
  state.config_revision = 300;
  state.config_era = 2;
  state.servers_known = true;
  state.servers_revision = 300;
  state.servers_era = 2;
  state.changes_base = 200;
  const KnownState same_era{300, 250, true, 6, 2, 2};
  EXPECT_FALSE(MakePeerState(state, same_era).full_list);
  EXPECT_TRUE(MakePeerState(state, same_era).config_text.empty());
  const KnownState earlier_era{500, 500, true, 5, 1, 1};
  const PeerState reply = MakePeerState(state, earlier_era);
  EXPECT_TRUE(reply.full_list);
  EXPECT_FALSE(reply.config_text.empty());
  EXPECT_EQ(reply.servers_era, 2U);
  const KnownState old_build{500, 500};
  EXPECT_FALSE(MakePeerState(state, old_build).full_list);
  EXPECT_TRUE(MakePeerState(state, old_build).config_text.empty());
}

}  // namespace
}  // namespace boragewharf::node
