/**
 * @file acceptance_test.cc
 * The serving lease against the acceptance rule of configurations (section 3.5
 * of the design page) under random faults.
 */
#include <gtest/gtest.h>

#include <algorithm>
#include <iostream>

#include "simulation.h"

namespace boragewharf::membership {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kAcceptanceWait = seconds(5);
constexpr Duration kListLag = seconds(5);

// Six processes, some of them cut off, paused, killed and started again, while
// tickets are staged, fetched and accepted.
class AcceptanceRun {
 public:
  explicit AcceptanceRun(uint64_t seed)
      : simulation(seed, {.loss = 0.05 * static_cast<double>(seed % 4)}),
        random(seed) {
    this->simulation.AddNodes(6);
    this->observed.resize(6);
    this->simulation.Run(seconds(5));
    for (size_t i = 0; i < 6; ++i) {
      this->Hold(i, 1);
    }
    this->simulation.Run(seconds(6));
  }

  void Run(Duration time) {
    const TimePoint end = this->simulation.Now() + time;
    while (this->simulation.Now() < end) {
      this->simulation.Run(milliseconds(50));
      this->InjectFault();
      this->ReadInstanceList();
      this->FetchDocuments();
      this->StageTicket();
      this->Accept();
      this->CountLaggingServers();
    }
  }

  uint64_t accepted = 1;
  size_t lagging_servers = 0;  ///< Moments at which one held a lease.

 private:
  bool IsActive(size_t i) {
    const Node& node = this->simulation.At(i);
    return node.is_running && this->simulation.Now() >= node.paused_until;
  }

  uint64_t HeldBy(size_t i) {
    return this->simulation.At(i).state.self.report.held_revision.value;
  }

  void Hold(size_t i, uint64_t revision) {
    this->simulation.Post(i, LocalChanged{ConfigRevision{revision}, false, 0});
  }

  void InjectFault() {
    const TimePoint now = this->simulation.Now();
    if (now < this->next_fault) {
      return;
    }
    this->next_fault = now + milliseconds(500 + this->random() % 5000);
    const size_t i = this->random() % 6;
    switch (this->random() % 7) {
      case 0:
        this->cut_off = {i, this->random() % 6, this->random() % 6};
        break;
      case 1:
      case 2:
        this->cut_off.clear();
        break;
      case 3:
        if (this->IsActive(i)) {
          this->simulation.Pause(i, milliseconds(500 + this->random() % 15000));
        }
        break;
      case 4:
        if (this->killed.size() < 2 && this->simulation.At(i).is_running) {
          this->simulation.Kill(i);
          this->killed[i] = now;
        }
        break;
      case 5:
        if (!this->killed.empty()) {
          this->simulation.Restart(this->killed.begin()->first);
          this->killed.erase(this->killed.begin());
        }
        break;
      default:
        this->simulation.network.loss =
            0.05 * static_cast<double>(this->random() % 5);
    }
    this->simulation.Cut(this->cut_off);
  }

  void ReadInstanceList() {
    const TimePoint now = this->simulation.Now();
    if (now < this->next_list) {
      return;
    }
    this->next_list = now + seconds(2);
    InstancesListed listed;
    for (size_t i = 0; i < 6; ++i) {
      const auto found = this->killed.find(i);
      if (found == this->killed.end() || now - found->second < kListLag) {
        listed.names.push_back("entry-" + std::to_string(i));
      }
    }
    for (size_t i = 0; i < 6; ++i) {
      if (this->IsActive(i)) {
        this->simulation.Post(i, listed);
      }
    }
  }

  void FetchDocuments() {
    for (size_t i = 0; i < 6; ++i) {
      if (!this->IsActive(i)) {
        continue;
      }
      const Member best = HighestHeldRevision(this->simulation.At(i).state);
      for (size_t j = 0; j < 6; ++j) {
        if (this->simulation.IdOf(j) == best.id && this->IsActive(j) &&
            this->cut_off.contains(i) == this->cut_off.contains(j) &&
            this->HeldBy(j) > this->HeldBy(i)) {
          this->Hold(i, this->HeldBy(j));
        }
      }
    }
  }

  void StageTicket() {
    const size_t i = this->random() % 6;
    if (this->staged == this->accepted && this->IsActive(i) &&
        this->HeldBy(i) == this->staged && this->simulation.HoldsLease(i)) {
      ++this->staged;
      this->Hold(i, this->staged);
      for (auto& seen : this->observed) {
        seen.clear();
      }
    }
  }

  void Accept() {
    for (size_t i = 0; i < 6 && this->staged > this->accepted; ++i) {
      if (this->IsActive(i) && this->HeldBy(i) == this->staged &&
          this->MayAccept(i)) {
        this->accepted = this->staged;
      }
    }
  }

  bool MayAccept(size_t i) {
    const TimePoint now = this->simulation.Now();
    const MembershipState& state = this->simulation.At(i).state;
    const size_t unheard = UnheardMembers(state).size();
    TimePoint since = LastDeparture(state);
    bool do_all_hold = true;
    for (const Member& member : LiveMembers(state)) {
      if (member.report.held_revision.value < this->staged) {
        do_all_hold = false;
        continue;
      }
      const auto seen = this->observed[i].emplace(member.id, now).first;
      since = std::max(since, seen->second);
    }
    if (!do_all_hold || unheard >= 2) {
      return false;
    }
    const bool is_at_once = unheard == 0 && DigestsAgree(state) &&
                            now - LastDeparture(state) >= kAcceptanceWait;
    return is_at_once || now - since >= kAcceptanceWait;
  }

  void CountLaggingServers() {
    for (size_t i = 0; i < 6; ++i) {
      // A process without a configuration refuses everything.
      if (this->simulation.At(i).is_running && this->HeldBy(i) > 0 &&
          this->HeldBy(i) < this->accepted && this->simulation.HoldsLease(i)) {
        ++this->lagging_servers;
      }
    }
  }

  Simulation simulation;
  std::mt19937_64 random;
  std::set<size_t> cut_off;
  std::map<size_t, TimePoint> killed;
  std::vector<std::map<MemberId, TimePoint>> observed;
  TimePoint next_fault;
  TimePoint next_list;
  uint64_t staged = 1;
};

// Guards against a member that serves an earlier configuration after a later
// one was accepted (requirement R7).
TEST(AcceptanceTest, NobodyServesAnEarlierConfiguration) {
  constexpr uint64_t kSeeds = 100;
  uint64_t accepted = 0;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    AcceptanceRun run(seed);
    run.Run(seconds(240));
    EXPECT_EQ(run.lagging_servers, 0U) << "seed " << seed;
    accepted += run.accepted - 1;
  }
  std::cout << "seeds 1-" << kSeeds << ": " << accepted
            << " tickets accepted\n";
  EXPECT_GT(accepted, kSeeds * 5);
}

}  // namespace
}  // namespace boragewharf::membership
