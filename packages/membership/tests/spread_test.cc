/**
 * @file spread_test.cc
 * Tests of updates, their cost, and bad messages.
 */
#include <gtest/gtest.h>

#include <algorithm>
#include <iostream>

#include "simulation.h"

namespace boragewharf::membership {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against news that miss a member: all learn that all hold a revision,
// and that a backend server is leaving (bound 3 s, requirement R5).
TEST(SpreadTest, NewsReachEveryMember) {
  for (const size_t count : {6, 24, 96}) {
    Simulation simulation(count, {.loss = 0.02});
    simulation.AddNodes(count);
    Settle(simulation);
    simulation.Post(0, BackendLeavingSeen{"wharf-llm-3"});
    const auto has_learned = [&](size_t i) {
      return std::any_of(
          simulation.At(i).news.begin(), simulation.At(i).news.end(),
          [](const MembershipEffect& effect) {
            return std::holds_alternative<BackendLeavingLearned>(effect);
          });
    };
    const Duration leaving = simulation.RunUntil(
        seconds(20), [&] { return AllBut(simulation, 0, has_learned); });
    for (size_t i = 0; i < count; ++i) {
      Raise(simulation, i, 6);
    }
    const Duration held = simulation.RunUntil(seconds(60), [&] {
      return AllBut(simulation, kNone, [&](size_t i) {
        const auto live = LiveMembers(simulation.At(i).state);
        return std::all_of(live.begin(), live.end(), [](const Member& member) {
          return member.report.held_revision == ConfigRevision{6};
        });
      });
    });
    std::cout << count << " members, 2% loss: leaving backend server known to "
              << "all after " << leaving.count() / 1000
              << " ms, held revision of all after " << held.count() / 1000
              << " ms\n";
    EXPECT_LT(leaving, seconds(3)) << count;
    EXPECT_LT(held, seconds(16)) << count;
  }
}

// Guards against a crash that is counted twice or not at all, and a member
// that joins later and does not know of it.
TEST(SpreadTest, CrashesAreCountedOverAllMembers) {
  Simulation simulation(11, {});
  simulation.AddNodes(6);
  Settle(simulation);
  simulation.Post(0, CrashSeen{77});
  simulation.Post(4, CrashSeen{77});
  simulation.Run(seconds(10));
  const size_t late = simulation.AddNode();
  simulation.Post(late,
                  SeedsListed{{simulation.At(0).state.self.peer_address}});
  simulation.Run(seconds(10));
  for (size_t i = 0; i < simulation.size(); ++i) {
    uint32_t total = 0;
    for (const MembershipEffect& effect : simulation.At(i).news) {
      const auto* crash = std::get_if<CrashLearned>(&effect);
      total = crash != nullptr ? crash->total : total;
    }
    EXPECT_EQ(total, 2U) << i;
  }
}

// Guards against a cost per member that grows with the fleet; the target is
// 8 KB/s for all control traffic.
TEST(SpreadTest, CostPerMemberStaysBounded) {
  struct Cost {
    size_t count;
    double idle;
    double changing;
  };
  std::vector<Cost> costs;
  for (const size_t count : {6, 24, 96}) {
    Simulation simulation(count, {});
    simulation.AddNodes(count);
    Settle(simulation);
    simulation.Run(seconds(120));
    const auto sent = [&] {
      uint64_t bytes = 0;
      for (size_t i = 0; i < count; ++i) {
        bytes += simulation.At(i).sent_bytes;
      }
      return static_cast<double>(bytes) / static_cast<double>(count);
    };
    const double start = sent();
    simulation.Run(seconds(60));
    const double middle = sent();
    // 4,100 changes a day are one in 21 s; each raises every held revision.
    for (uint64_t revision = 1; revision <= 3; ++revision) {
      for (size_t i = 0; i < count; ++i) {
        Raise(simulation, i, revision);
      }
      simulation.Run(seconds(20));
    }
    costs.push_back(Cost{count, (middle - start) / 60, (sent() - middle) / 60});
    std::cout << count << " members: " << costs.back().idle
              << " B/s per member idle, " << costs.back().changing
              << " B/s with a ticket in 20 s\n";
    for (size_t i = 0; i < count; ++i) {
      EXPECT_LE(simulation.At(i).largest_datagram, 1400U);
    }
    EXPECT_LT(costs.back().changing, 8000);
  }
  const auto slope = [&](double Cost::*value) {
    return (costs[2].*value - costs[0].*value) / (96 - 6);
  };
  std::cout << "slope from 6 to 96: " << slope(&Cost::idle)
            << " B/s per member idle, " << slope(&Cost::changing)
            << " B/s per member with tickets\n";
  EXPECT_LT(std::abs(slope(&Cost::idle)), 0.5);
}

// Guards against hidden state: the same events give the same effects on a
// copy.
TEST(SpreadTest, CopiesBehaveAlike) {
  Simulation simulation(15, {});
  simulation.AddNodes(6);
  Settle(simulation);
  MembershipState a = simulation.At(0).state;
  MembershipState b = a;
  for (int step = 1; step <= 200; ++step) {
    const TimePoint now = simulation.Now() + milliseconds(50) * step;
    std::vector<MembershipEffect> effects_a;
    std::vector<MembershipEffect> effects_b;
    Reduce(a, Tick{}, now, effects_a);
    Reduce(b, Tick{}, now, effects_b);
    ASSERT_EQ(effects_a.size(), effects_b.size());
  }
  EXPECT_EQ(a.random, b.random);
}

// Guards against messages of strangers, and absurd values, that change the
// table or end the process.
TEST(SpreadTest, BadMessagesChangeNothing) {
  Simulation simulation(16, {});
  simulation.AddNodes(3);
  Settle(simulation);
  MembershipState& state = simulation.At(0).state;
  Member bad = simulation.At(1).state.self;
  bad.id = MemberId{99};
  bad.instance = std::string(5000, 'x');
  Member odd = simulation.At(1).state.self;
  odd.id = MemberId{98};
  odd.status = static_cast<MemberStatus>(77);
  const MemberId peer = simulation.IdOf(1);
  const std::vector<Update> updates = {
      JoinUpdate{bad},
      JoinUpdate{odd},
      StatusUpdate{MemberId{97}, MemberStatus::kFailed, UINT32_MAX},
      StatusUpdate{peer, static_cast<MemberStatus>(9), UINT32_MAX},
      BackendLeavingUpdate{""},
      BackendLeavingUpdate{std::string(5000, 'y')},
      CrashUpdate{1, peer, 0}};
  const uint64_t digest = MemberSetDigest(state);
  const Endpoint from{"127.0.0.1", 2};
  const Ping for_another{5, MemberId{55}, false, {}, updates};
  const Ping ping{5, state.self.id, false, {}, updates};
  const Ack ack{5, peer, 4000, false, {}, updates};
  for (const MemberId sender : {peer, MemberId{1234}}) {
    simulation.Post(0, PingReceived{from, sender, 0, for_another});
    simulation.Post(0, PingReceived{from, sender, 0, ping});
    simulation.Post(0, AckReceived{from, sender, 0, ack});
    simulation.Post(
        0, PingRequestReceived{from, sender, 0, {5, MemberId{1}, {}, updates}});
    simulation.Post(0, JoinReceived{sender, JoinRequest{bad}});
  }
  simulation.Post(0, TableReceived{from, {{bad, odd}, {}}});
  // News of a stranger are not taken, also if they are well formed.
  simulation.Post(
      0, PingReceived{from, MemberId{1234}, 0,
                      Ping{6,
                           state.self.id,
                           false,
                           {},
                           {StatusUpdate{peer, MemberStatus::kLeaving, 5}}}});
  EXPECT_EQ(MemberSetDigest(state), digest);
  EXPECT_EQ(LiveMembers(state).size(), 3U);
  EXPECT_TRUE(state.leaving_backends.empty());
  EXPECT_TRUE(state.crashes.empty());
  EXPECT_EQ(state.members.size(), 2U);
}

// Guards against a bit set that fits no table, e.g. of another size.
TEST(SpreadTest, OddHeldSetsChangeNothing) {
  Simulation simulation(17, {});
  simulation.AddNodes(3);
  Settle(simulation);
  MembershipState& state = simulation.At(0).state;
  const uint64_t digest = MemberSetDigest(state);
  const MemberId peer = simulation.IdOf(1);
  Ping ping;
  ping.target = state.self.id;
  for (const std::string& bits :
       {std::string(), std::string(5000, '\xff'), std::string("\xff")}) {
    for (const uint64_t set_digest : {digest, uint64_t{5}}) {
      ++ping.number;
      ping.report = state.members.at(peer).member.report;
      ping.updates = {HeldSetUpdate{set_digest, ConfigRevision{0}, bits}};
      simulation.Post(0, PingReceived{Endpoint{"127.0.0.1", 2}, peer, 0, ping});
      simulation.Run(seconds(1));
    }
  }
  EXPECT_EQ(MemberSetDigest(state), digest);
  EXPECT_EQ(HighestHeldRevision(state).report.held_revision, ConfigRevision{0});
  EXPECT_TRUE(DigestsAgree(state));
}

}  // namespace
}  // namespace boragewharf::membership
