/**
 * @file membership_test.cc
 * Tests of the membership protocol on a simulated network.
 */
#include <gtest/gtest.h>

#include <algorithm>
#include <iostream>

#include "simulation.h"

namespace boragewharf::membership {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

size_t CountChanges(const Node& node, MemberStatus status) {
  return static_cast<size_t>(std::count_if(
      node.news.begin(), node.news.end(), [&](const MembershipEffect& effect) {
        const auto* changed = std::get_if<MemberChanged>(&effect);
        return changed != nullptr && changed->member.status == status &&
               changed->previous != status;
      }));
}

// Guards against members that never find each other at a simultaneous start,
// also with lost datagrams.
TEST(MembershipTest, ColdStartConverges) {
  for (const double loss : {0.0, 0.2}) {
    for (uint64_t seed = 1; seed <= 10; ++seed) {
      SCOPED_TRACE(seed);
      Simulation simulation(seed, {.loss = loss});
      simulation.AddNodes(6);
      Settle(simulation);
      EXPECT_LT(simulation.Now() - TimePoint(seconds(1000)), seconds(30));
    }
  }
}

// Guards against a killed process that callers are still sent to. Twice the
// time to refute bounds the failure at all members.
TEST(MembershipTest, KilledMemberIsNoticed) {
  for (const size_t count : {6, 24, 96}) {
    Duration worst_suspected{};
    Duration worst_failed{};
    for (uint64_t seed = 1; seed <= 5; ++seed) {
      Simulation simulation(seed, {});
      simulation.AddNodes(count);
      Settle(simulation);
      simulation.Kill(0);
      const Duration suspected = simulation.RunUntil(seconds(20), [&] {
        return AllBut(simulation, 0, [&](size_t i) {
          return simulation.StatusAt(i, 0) != MemberStatus::kAlive;
        });
      });
      const Duration failed = suspected + simulation.RunUntil(seconds(20), [&] {
        return AllBut(simulation, 0, [&](size_t i) {
          return simulation.StatusAt(i, 0) == MemberStatus::kFailed;
        });
      });
      worst_suspected = std::max(worst_suspected, suspected);
      worst_failed = std::max(worst_failed, failed);
    }
    std::cout << count << " members, seeds 1-5: suspected by all within "
              << worst_suspected.count() / 1000 << " ms, failed within "
              << worst_failed.count() / 1000 << " ms\n";
    EXPECT_LT(worst_failed, seconds(10)) << count;
  }
}

// Guards against the removal of members that run, and against leases that
// lapse, on a network that loses and reorders datagrams.
TEST(MembershipTest, LossRemovesNobody) {
  for (const size_t count : {6, 24}) {
    for (uint64_t seed = 1; seed <= 5; ++seed) {
      SCOPED_TRACE(seed);
      Simulation simulation(seed,
                            {.loss = 0.1, .max_delay = milliseconds(120)});
      simulation.AddNodes(count);
      Settle(simulation);
      size_t lapses = 0;
      simulation.RunUntil(seconds(120), [&] {
        for (size_t i = 0; i < count; ++i) {
          lapses += simulation.HoldsLease(i) ? 0 : 1;
        }
        return false;
      });
      size_t suspicions = 0;
      for (size_t i = 0; i < count; ++i) {
        suspicions += CountChanges(simulation.At(i), MemberStatus::kSuspect);
        EXPECT_EQ(CountChanges(simulation.At(i), MemberStatus::kFailed), 0U);
      }
      std::cout << count << " members, seed " << seed
                << ", 10% loss: " << suspicions
                << " suspicions seen, all refuted\n";
      EXPECT_EQ(lapses, 0U);
    }
  }
}

// Guards against a short pause that removes a member.
TEST(MembershipTest, ShortPauseIsRefuted) {
  Simulation simulation(3, {});
  simulation.AddNodes(6);
  Settle(simulation);
  simulation.Pause(2, seconds(4));
  simulation.Run(seconds(15));
  EXPECT_GT(simulation.At(2).state.self.incarnation, 0U);
  for (size_t i = 0; i < 6; ++i) {
    EXPECT_EQ(CountChanges(simulation.At(i), MemberStatus::kFailed), 0U);
    EXPECT_EQ(simulation.StatusAt(i, 2), MemberStatus::kAlive);
  }
}

// Guards against a paused process that serves when it resumes, and one that
// accuses others of the silence that it caused itself.
TEST(MembershipTest, PausedProcessFindsItsLeaseLapsed) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    SCOPED_TRACE(seed);
    Simulation simulation(seed, {});
    simulation.AddNodes(6);
    Settle(simulation);
    simulation.Pause(1, seconds(20));
    simulation.Run(seconds(20) - milliseconds(10));
    EXPECT_FALSE(simulation.HoldsLease(1));
    EXPECT_TRUE(AllBut(simulation, 1, [&](size_t i) {
      return simulation.StatusAt(i, 1) == MemberStatus::kFailed &&
             simulation.HoldsLease(i);
    }));
    const Duration returned = simulation.RunUntil(seconds(30), [&] {
      return simulation.HoldsLease(1) && AllBut(simulation, 1, [&](size_t i) {
               return simulation.StatusAt(i, 1) == MemberStatus::kAlive;
             });
    });
    EXPECT_LT(returned, seconds(15));
    EXPECT_EQ(CountChanges(simulation.At(1), MemberStatus::kSuspect), 0U);
  }
}

// Guards against a lease for a member that missed a revision: 4 s after all
// others hold it, it must have none, whatever is lost or delayed.
TEST(MembershipTest, LaggingMemberLosesItsLease) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    SCOPED_TRACE(seed);
    Simulation simulation(seed, {.loss = 0.1, .max_delay = milliseconds(400)});
    simulation.AddNodes(6);
    Settle(simulation);
    for (size_t i = 0; i < 5; ++i) {
      simulation.Run(milliseconds(700));
      Raise(simulation, i, 6);
    }
    simulation.Run(seconds(4));
    size_t moments_with_lease = 0;
    simulation.RunUntil(seconds(30), [&] {
      moments_with_lease += simulation.HoldsLease(5) ? 1 : 0;
      return false;
    });
    EXPECT_EQ(moments_with_lease, 0U);
    EXPECT_TRUE(AllBut(simulation, 5,
                       [&](size_t i) { return simulation.HoldsLease(i); }));
    Raise(simulation, 5, 6);
    EXPECT_LT(simulation.RunUntil(seconds(10),
                                  [&] { return simulation.HoldsLease(5); }),
              seconds(5));
  }
}

// Guards against an isolated member that grants itself the right to serve once
// it has marked all others failed.
TEST(MembershipTest, IsolatedMemberServesNothing) {
  Simulation simulation(5, {});
  simulation.AddNodes(6);
  Settle(simulation);
  simulation.Cut({0});
  simulation.Run(seconds(4));
  size_t moments_with_lease = 0;
  simulation.RunUntil(seconds(60), [&] {
    moments_with_lease += simulation.HoldsLease(0) ? 1 : 0;
    return false;
  });
  EXPECT_EQ(moments_with_lease, 0U);
  EXPECT_EQ(UnheardMembers(simulation.At(0).state).size(), 5U);
  EXPECT_EQ(LiveMembers(simulation.At(0).state).size(), 1U);
  // Only the instance list can tell that the others are gone.
  simulation.Post(0, InstancesListed{{"entry-0"}});
  EXPECT_TRUE(simulation.HoldsLease(0));
  EXPECT_EQ(ServingLeaseEnd(simulation.At(0).state), TimePoint::max());
}

// Guards against leases that never begin again after all have lapsed.
TEST(MembershipTest, LeasesBeginAgainAfterATotalOutage) {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    SCOPED_TRACE(seed);
    Simulation simulation(seed, {});
    simulation.AddNodes(6);
    Settle(simulation);
    simulation.network.loss = 1;
    simulation.Run(seconds(30));
    EXPECT_TRUE(AllBut(simulation, kNone,
                       [&](size_t i) { return !simulation.HoldsLease(i); }));
    simulation.network.loss = 0;
    const Duration resumed = simulation.RunUntil(seconds(60), [&] {
      return AllBut(simulation, kNone,
                    [&](size_t i) { return simulation.HoldsLease(i); });
    });
    std::cout << "seed " << seed << ": all hold leases "
              << resumed.count() / 1000 << " ms after the outage\n";
    EXPECT_LT(resumed, seconds(30));
  }
}

// Guards against a region that stops serving when it is cut off, and one that
// does not find the other again.
TEST(MembershipTest, PartitionServesOnAndHeals) {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    SCOPED_TRACE(seed);
    Simulation simulation(seed, {});
    simulation.AddNodes(6);
    Settle(simulation);
    simulation.Cut({0, 1, 2});
    size_t lapses = 0;
    simulation.RunUntil(seconds(60), [&] {
      lapses += AllBut(simulation, kNone,
                       [&](size_t i) { return simulation.HoldsLease(i); })
                    ? 0
                    : 1;
      return false;
    });
    EXPECT_EQ(lapses, 0U);
    EXPECT_EQ(UnheardMembers(simulation.At(0).state).size(), 3U);
    simulation.Heal();
    const Duration healed = simulation.RunUntil(seconds(60), [&] {
      return AllBut(simulation, kNone, [&](size_t i) {
        return LiveMembers(simulation.At(i).state).size() == 6;
      });
    });
    std::cout << "seed " << seed << ": healed after " << healed.count() / 1000
              << " ms\n";
    EXPECT_LT(healed, seconds(30));
  }
}

// Guards against a leaving member that still counts, or that vouches for one
// that missed a revision.
TEST(MembershipTest, LeavingMemberCountsNoLonger) {
  Simulation simulation(8, {});
  simulation.AddNodes(6);
  Settle(simulation);
  simulation.Post(3, LocalChanged{ConfigRevision{0}, true, 2});
  const Duration known = simulation.RunUntil(seconds(10), [&] {
    return AllBut(simulation, 3, [&](size_t i) {
      return simulation.StatusAt(i, 3) == MemberStatus::kLeaving &&
             DigestsAgree(simulation.At(i).state);
    });
  });
  EXPECT_LT(known, seconds(3));
  EXPECT_GT(LastDeparture(simulation.At(0).state), TimePoint());
  std::vector<MembershipEffect> effects;
  MembershipState leaving = simulation.At(3).state;
  Reduce(leaving,
         PingReceived{Endpoint{"127.0.0.1", 1}, simulation.IdOf(0), 0,
                      Ping{1, simulation.IdOf(3), false, {}, {}}},
         simulation.Now(), effects);
  const auto& sent = std::get<SendDatagram>(effects.back());
  EXPECT_EQ(std::get<Ack>(sent.message).lease_milliseconds, 0U);
  simulation.Kill(3);
  simulation.Run(seconds(20));
  EXPECT_TRUE(UnheardMembers(simulation.At(0).state).empty());
  EXPECT_EQ(LiveMembers(simulation.At(0).state).size(), 5U);
}

// Guards against a member that is forgotten while it may be serving, and one
// that is waited for forever.
TEST(MembershipTest, ForgetsOnlyFailedMembersThatAreGone) {
  Simulation simulation(12, {});
  simulation.AddNodes(6);
  Settle(simulation);
  const InstancesListed without_5{
      {"entry-0", "entry-1", "entry-2", "entry-3", "entry-4"}};
  simulation.Post(0, without_5);
  EXPECT_EQ(simulation.StatusAt(0, 5), MemberStatus::kAlive);
  simulation.Kill(5);
  simulation.Run(seconds(20));
  EXPECT_EQ(UnheardMembers(simulation.At(0).state).size(), 1U);
  EXPECT_EQ(UnheardMembers(simulation.At(1).state).size(), 1U);
  simulation.Post(0, without_5);
  EXPECT_TRUE(UnheardMembers(simulation.At(0).state).empty());
  simulation.Run(seconds(20));
  EXPECT_TRUE(UnheardMembers(simulation.At(0).state).empty());
  EXPECT_EQ(UnheardMembers(simulation.At(1).state).size(), 1U);
}

// Guards against a restarted process whose predecessor stays unheard while
// the instance list cannot be read.
TEST(MembershipTest, RestartReplacesThePredecessor) {
  Simulation simulation(13, {});
  simulation.AddNodes(6);
  Settle(simulation);
  simulation.Restart(2);
  simulation.Run(seconds(20));
  for (size_t i = 0; i < 6; ++i) {
    const MembershipState& state = simulation.At(i).state;
    EXPECT_TRUE(UnheardMembers(state).empty());
    EXPECT_EQ(LiveMembers(state).size(), 6U);
    EXPECT_TRUE(DigestsAgree(state));
    EXPECT_TRUE(simulation.HoldsLease(i));
  }
}

// Guards against a new member that vouches for others before it holds the
// configuration of the members that it joined.
TEST(MembershipTest, NewMemberGrantsNothingUntilItHasCaughtUp) {
  Simulation simulation(14, {});
  simulation.AddNodes(2);
  Settle(simulation);
  Raise(simulation, 0, 6);
  Raise(simulation, 1, 6);
  const size_t fresh = simulation.AddNode();
  simulation.Post(fresh,
                  SeedsListed{{simulation.At(0).state.self.peer_address}});
  simulation.Run(seconds(5));
  const PingReceived ping{Endpoint{"127.0.0.1", 1}, simulation.IdOf(0), 0,
                          Ping{1, simulation.IdOf(fresh), false, {}, {}}};
  const auto grants = [&] {
    std::vector<MembershipEffect> effects;
    PingReceived up_to_date = ping;
    up_to_date.ping.report = simulation.At(0).state.self.report;
    MembershipState copy = simulation.At(fresh).state;
    Reduce(copy, up_to_date, simulation.Now(), effects);
    const auto& sent = std::get<SendDatagram>(effects.back());
    return std::get<Ack>(sent.message).lease_milliseconds > 0;
  };
  EXPECT_FALSE(grants());
  EXPECT_FALSE(simulation.HoldsLease(fresh));
  Raise(simulation, fresh, 6);
  EXPECT_TRUE(grants());
}

}  // namespace
}  // namespace boragewharf::membership
