/**
 * @file leaving_servers_test.cc
 * Marks of servers that say in their answers that they are about to stop.
 */
#include "serving/leaving_servers_base.h"

#include <gtest/gtest.h>

namespace boragewharf::serving {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr ServerLifetime kServer{7, 1000};
constexpr Duration kPeriod = seconds(10);
const TimePoint kStart{seconds(100)};

/** What another node receives @p delay after the announcement was made. */
std::vector<LeavingServer> Sent(const LeavingServers& from, TimePoint now) {
  std::vector<LeavingServer> announced = from.Announce();
  for (LeavingServer& leaving : announced) {
    leaving.age_ms = static_cast<uint32_t>(
        std::chrono::duration_cast<milliseconds>(now - leaving.answered)
            .count());
    leaving.answered = {};
  }
  return announced;
}

TEST(LeavingServersTest, MarkEndsWithTheLifetime) {
  LeavingServers servers(kPeriod);
  EXPECT_TRUE(servers.Mark(kServer, kStart));
  EXPECT_FALSE(servers.Mark(kServer, kStart + seconds(1)));
  EXPECT_TRUE(servers.Contains(kServer));
  EXPECT_FALSE(servers.Contains({kServer.id, kServer.started + 1}))
      << "the same id after a restart";
  servers.Retain({{kServer.id, kServer.started + 1}});
  EXPECT_FALSE(servers.Contains(kServer));
}

// A node that restarts has lost its marks; its peers still have them.
TEST(LeavingServersTest, PeersRestoreTheMarksOfARestartedNode) {
  LeavingServers first(kPeriod);
  LeavingServers second(kPeriod);
  first.Mark(kServer, kStart);
  for (const LeavingServer& leaving : Sent(first, kStart + seconds(1))) {
    EXPECT_TRUE(second.Merge(leaving, kStart + seconds(1)));
  }
  LeavingServers restarted(kPeriod);
  for (const LeavingServer& leaving : Sent(second, kStart + seconds(2))) {
    restarted.Merge(leaving, kStart + seconds(2));
  }
  EXPECT_TRUE(restarted.Contains(kServer));
}

// Guards against a server that is lost for good to a wrong mark.
TEST(LeavingServersTest, ClearedMarkIsNotRestoredByItsAnnouncements) {
  LeavingServers own(kPeriod);
  LeavingServers peer(kPeriod);
  own.Mark(kServer, kStart);
  for (const LeavingServer& leaving : Sent(own, kStart + milliseconds(300))) {
    peer.Merge(leaving, kStart + milliseconds(300));
  }
  const TimePoint check = kStart + kPeriod;
  EXPECT_TRUE(own.TakeDueChecks(check - milliseconds(1)).empty());
  EXPECT_EQ(own.TakeDueChecks(check).size(), 1U);
  EXPECT_TRUE(own.TakeDueChecks(check).empty()) << "once per period";
  own.Clear(kServer, check);
  EXPECT_FALSE(own.Contains(kServer));
  for (const LeavingServer& leaving : Sent(peer, check + seconds(1))) {
    EXPECT_FALSE(own.Merge(leaving, check + seconds(1)));
  }
  EXPECT_FALSE(own.Contains(kServer));
  EXPECT_TRUE(own.Mark(kServer, check + seconds(2))) << "it says so again";
}

// Nodes repeat each other's announcements, which must not make a mark newer.
TEST(LeavingServersTest, AnnouncementsDoNotRenewEachOther) {
  LeavingServers a(kPeriod);
  LeavingServers b(kPeriod);
  a.Mark(kServer, kStart);
  TimePoint now = kStart;
  for (int round = 0; round < 100; ++round) {
    now += milliseconds(200);
    for (const LeavingServer& leaving : Sent(a, now)) {
      b.Merge(leaving, now + milliseconds(150));
    }
    for (const LeavingServer& leaving : Sent(b, now)) {
      a.Merge(leaving, now + milliseconds(150));
    }
  }
  ASSERT_EQ(b.Announce().size(), 1U);
  EXPECT_LT(b.Announce()[0].answered, kStart + seconds(1));
}

TEST(LeavingServersTest, AnswerSentBeforeTheMarkDoesNotClearIt) {
  LeavingServers servers(kPeriod);
  servers.Mark(kServer, kStart);
  servers.Clear(kServer, kStart - milliseconds(1));
  EXPECT_TRUE(servers.Contains(kServer));
}

}  // namespace
}  // namespace boragewharf::serving
