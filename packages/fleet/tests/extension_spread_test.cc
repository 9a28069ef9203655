/**
 * @file extension_spread_test.cc
 * Extensions of messages: which nodes they are sent to, and what is kept of
 * those received.
 */
#include <gtest/gtest.h>

#include <map>

#include "fleet_fixture.h"

namespace boragewharf::fleet {
namespace {

using serving::ExtensionScope;

/** Kinds of the extensions sent to each address. */
std::map<std::string, std::vector<uint16_t>> SentKinds(
    const std::vector<Effect>& effects) {
  std::map<std::string, std::vector<uint16_t>> kinds;
  for (const Effect& effect : effects) {
    const auto* send = std::get_if<SendToPeers>(&effect);
    if (send == nullptr) {
      continue;
    }
    for (const std::string& ip : send->ips) {
      for (const auto& extension : send->message.report.extensions) {
        kinds[ip].push_back(extension.kind);
      }
    }
  }
  return kinds;
}

// Guards against state of one region that uses the link to the others.
TEST_F(FleetTest, ExtensionsAreSentToTheNodesOfTheirScope) {
  this->Configure();
  this->Apply(PeerMessageReceived{this->Message("10.0.0.2", 1)});
  serving::PeerMessage far = this->Message("10.0.0.3", 1);
  far.status.region = "r2";
  this->Apply(PeerMessageReceived{far});
  TrafficReported traffic;
  traffic.report.extensions = {{1, "near", ExtensionScope::kSameRegion},
                               {2, "all", ExtensionScope::kAllRegions}};
  this->Apply(traffic);
  std::map<std::string, std::vector<uint16_t>> kinds;
  for (int i = 0; i < 10; ++i) {
    this->TickFor(kTickPeriod);
    kinds.merge(SentKinds(this->effects));
  }
  EXPECT_EQ(kinds["10.0.0.2"], (std::vector<uint16_t>{1, 2}));
  EXPECT_EQ(kinds["10.0.0.3"], (std::vector<uint16_t>{2}));
}

// Guards against an extension that does not fit into a datagram, and so costs
// the whole message.
TEST_F(FleetTest, OversizedExtensionIsNotSent) {
  this->Configure();
  this->Apply(PeerMessageReceived{this->Message("10.0.0.2", 1)});
  TrafficReported traffic;
  traffic.report.extensions = {
      {1, std::string(serving::kMaxExtensionBytes + 1, 'x'),
       ExtensionScope::kAllRegions},
      {2, "fits", ExtensionScope::kAllRegions}};
  this->Apply(traffic);
  std::map<std::string, std::vector<uint16_t>> kinds;
  for (int i = 0; i < 10; ++i) {
    this->TickFor(kTickPeriod);
    kinds.merge(SentKinds(this->effects));
  }
  EXPECT_EQ(kinds["10.0.0.2"], (std::vector<uint16_t>{2}));
}

// Guards against memory that grows while the data plane takes no summary, and
// against extensions that are delivered twice.
TEST(PeerTableExtensionTest, ReceivedExtensionsAreBoundedAndDeliveredOnce) {
  PeerTable table("10.0.0.1");
  const TimePoint now{std::chrono::seconds(1000)};
  serving::PeerMessage message;
  message.format = serving::kPeerFormat;
  message.status.ip = "10.0.0.2";
  message.status.incarnation = 7;
  message.report.extensions = {
      {1, std::string(serving::kMaxExtensionBytes, 'x'), {}}};
  constexpr size_t kMessages = 1000;
  for (size_t i = 0; i < kMessages; ++i) {
    message.status.sequence += 1;
    table.Receive(message, now);
  }
  const auto period = std::chrono::milliseconds(200);
  const auto summary = table.TakeSummary(period, now);
  ASSERT_FALSE(summary.extensions.empty());
  EXPECT_LT(summary.extensions.size(), kMessages / 2);
  EXPECT_EQ(summary.extensions[0].sender, serving::PackIp("10.0.0.2"));
  EXPECT_EQ(summary.extensions[0].incarnation, 7U);
  EXPECT_TRUE(table.TakeSummary(period, now).extensions.empty());
}

}  // namespace
}  // namespace boragewharf::fleet
