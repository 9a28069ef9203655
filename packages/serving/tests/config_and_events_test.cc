/**
 * @file config_and_events_test.cc
 * Lookups in a configuration, and splitting streams into events.
 */
#include <gtest/gtest.h>

#include "serving/config_type.h"
#include "serving/event_splitter_base.h"
#include "serving/peer_type.h"

namespace boragewharf::serving {
namespace {

ServingConfig TwoRoutes() {
  ServingConfig config;
  Route wide;
  wide.name = "wide";
  wide.host = "a.example";
  wide.path_prefix = "/x/";
  wide.targets = {{"llm", 1}};
  Route narrow = wide;
  narrow.name = "narrow";
  narrow.path_prefix = "/x/y/";
  config.routes = {wide, narrow};
  Customer customer;
  customer.name = "school";
  customer.keys = {"k1", "k2"};
  config.customers = {customer};
  IndexConfig(config);
  return config;
}

TEST(FindRouteTest, LongestPrefixOfTheHostWins) {
  const ServingConfig config = TwoRoutes();
  EXPECT_EQ(FindRoute(config, "a.example", "/x/y/z")->name, "narrow");
  EXPECT_EQ(FindRoute(config, "a.example", "/x/yy")->name, "wide");
  EXPECT_EQ(FindRoute(config, "b.example", "/x/y/z"), nullptr);
  EXPECT_EQ(FindRoute(config, "a.example", "/x"), nullptr);
}

TEST(FindCustomerTest, EachKeyMapsToItsCustomer) {
  const ServingConfig config = TwoRoutes();
  EXPECT_EQ(FindCustomer(config, "k2")->name, "school");
  EXPECT_EQ(FindCustomer(config, ""), nullptr);
}

TEST(PickTargetTest, DrawsByWeight) {
  Route route;
  route.targets = {{"a", 90}, {"b", 10}};
  EXPECT_EQ(PickTarget(route, 0.0), "a");
  EXPECT_EQ(PickTarget(route, 0.899), "a");
  EXPECT_EQ(PickTarget(route, 0.901), "b");
}

// Guards against forwarding an incomplete event, after which no other server
// could continue the stream.
TEST(EventSplitterTest, ReturnsOnlyCompleteEvents) {
  EventSplitter splitter;
  splitter.Append("id: 1\ndata: a\n\nid: 2\nda");
  const auto first = splitter.Next();
  ASSERT_TRUE(first);
  EXPECT_EQ(first->text, "id: 1\ndata: a\n\n");
  EXPECT_EQ(first->id, 1U);
  EXPECT_FALSE(splitter.Next());
  EXPECT_EQ(splitter.Rest(), "id: 2\nda");
  splitter.Append("ta: b\n\n");
  EXPECT_EQ(splitter.Next()->id, 2U);
  EXPECT_TRUE(splitter.Rest().empty());
}

TEST(EventSplitterTest, AcceptsCarriageReturnsAndMissingIds) {
  EventSplitter splitter;
  splitter.Append("id:7\r\ndata: a\r\n\r\ndata: b\n\n");
  EXPECT_EQ(splitter.Next()->id, 7U);
  const auto second = splitter.Next();
  ASSERT_TRUE(second);
  EXPECT_FALSE(second->id);
}

TEST(PackIpTest, IsReversible) {
  EXPECT_EQ(UnpackIp(PackIp("10.200.1.7")), "10.200.1.7");
  EXPECT_EQ(PackIp("not an address"), 0U);
}

}  // namespace
}  // namespace boragewharf::serving
