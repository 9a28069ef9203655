/**
 * @file config_random_driver.h
 * Random runs of several reducers against faults of store, network and
 * processes. BORAGEWHARF_SEED=n replays one seed, BORAGEWHARF_RUNS=n sets the
 * number of seeds.
 */
#pragma once

#include <gtest/gtest.h>

#include <cstdio>
#include <cstdlib>

#include "config/ticket_func.h"
#include "config_world.h"

namespace boragewharf::config {

using nlohmann::json;

inline constexpr uint64_t kFirstSeed = 1;
inline constexpr uint64_t kDefaultRuns = 150;
inline constexpr int kActions = 120;
inline constexpr Duration kHealTime = seconds(60);

inline uint64_t EnvironmentOr(const char* name, uint64_t fallback) {
  const char* text = std::getenv(name);
  return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

/** Issues random actions against a world. */
class RandomDriver {
 public:
  explicit RandomDriver(uint64_t seed) : world(seed) {}

  void Run() {
    const int members = this->world.Pick(3, 5);
    for (int i = 0; i < members; ++i) {
      this->world.Start(0);
    }
    for (int i = 0; i < kActions && !testing::Test::HasFailure(); ++i) {
      this->Act();
      this->world.RunUntil(this->world.now +
                           milliseconds(this->world.Pick(20, 1500)));
    }
    this->HealAndCheck();
  }

  uint64_t Accepted() const {
    return this->world.Stored().accepted.revision.value;
  }

 private:
  Node& Any() {
    std::vector<Node*> running = this->world.Running();
    return *this->world.PickOne(running);
  }

  json RandomObject() {
    const std::string service = "s" + std::to_string(this->world.Pick(0, 3));
    if (this->world.Chance(70)) {
      return {{"kind", "service"},
              {"name", service},
              {"type", "model"},
              {"deadlineMs", this->world.Pick(100, 100000)}};
    }
    return {{"kind", "model"},
            {"name", "m" + std::to_string(this->world.Pick(0, 2))},
            {"service", service},
            {"version", "1"}};
  }

  void SubmitTicket() {
    if (!this->bodies.empty() && this->world.Chance(20)) {
      this->SubmitBody(this->world.PickOne(this->bodies));
      return;
    }
    const uint64_t newest = this->Accepted();
    const uint64_t behind = this->world.Chance(25) ? this->world.Pick(0, 4) : 0;
    json ticket = {{"ticket", this->world.Pick(1, 2000)},
                   {"base", newest - std::min(newest, behind)}};
    ticket["set"] = json::array({this->RandomObject()});
    if (this->world.Chance(15)) {
      ticket["remove"] = {{{"kind", "model"}, {"name", "m0"}}};
    }
    this->bodies.push_back(ticket.dump());
    this->SubmitBody(this->bodies.back());
  }

  void SubmitBody(const std::string& body) {
    std::vector<JsonFault> faults;
    const std::optional<Ticket> ticket = ParseTicket(body, faults);
    this->world.Submit(this->Any(), body, TicketDigest(*ticket));
  }

  void Act() {
    const int action = this->world.Pick(1, 100);
    if (action <= 45) {
      this->SubmitTicket();
    } else if (action <= 55) {
      this->world.store_out = !this->world.store_out;
    } else if (action <= 63) {
      this->Any().paused_until =
          this->world.now + milliseconds(this->world.Pick(500, 15000));
    } else if (action <= 69) {
      this->CrashOne();
    } else if (action <= 77 && this->world.Running().size() < 5) {
      this->world.Start(this->Any().group);
    } else if (action <= 85) {
      this->Any().group = this->world.Pick(0, 1);
      this->world.store_group = this->world.Pick(-1, 1);
    } else if (action <= 92) {
      this->HealNetwork();
    }
  }

  void CrashOne() {
    if (this->world.Running().size() > 2) {
      this->world.Crash(this->Any());
    }
  }

  void HealNetwork() {
    this->world.store_group = -1;
    for (Node* node : this->world.Running()) {
      node->group = 0;
    }
  }

  void HealAndCheck() {
    this->HealNetwork();
    this->world.store_out = false;
    this->world.fault_rates = {0, 0, 0, 0};
    this->world.RunUntil(this->world.now + kHealTime);
    const std::string body = json{{"ticket", 5000},
                                  {"base", this->Accepted()},
                                  {"set", json::array({{{"kind", "service"},
                                                        {"name", "last"},
                                                        {"type", "plain"}}})}}
                                 .dump();
    this->SubmitBody(body);
    this->world.RunUntil(this->world.now + seconds(20));
    if (testing::Test::HasFailure()) {
      return;
    }
    const Document stored = this->world.Stored();
    EXPECT_FALSE(stored.staged);
    EXPECT_TRUE(stored.accepted.services.contains("last"))
        << "no ticket is accepted after all faults have ended";
    for (const Node* node : this->world.Running()) {
      EXPECT_EQ(node->published, stored.accepted.revision) << node->instance;
      EXPECT_TRUE(node->state.tickets.empty()) << node->instance;
    }
    this->CheckRefusals(stored);
  }

  /** Guards against a ticket in force that every answer called not run. */
  void CheckRefusals(const Document& stored) {
    for (const auto& entry : this->world.history) {
      const std::string& digest = entry.first;
      const TicketHistory& history = entry.second;
      const bool all_answered =
          history.submissions == static_cast<int>(history.answers.size());
      const bool all_refused =
          std::ranges::all_of(history.answers, [](ResultCode code) {
            const ResultInfo& info = GetResultInfo(code);
            return info.http_status >= 400 &&
                   info.run_state == RunState::kNotRun;
          });
      const bool in_force = std::ranges::any_of(
          stored.tickets,
          [&](const TicketRecord& record) { return record.digest == digest; });
      EXPECT_FALSE(all_answered && all_refused && in_force) << digest;
    }
  }

  ConfigWorld world;
  std::vector<std::string> bodies;
};

/** Runs all seeds, or the one to be replayed, until the first failure. */
inline void RunSeeds() {
  const uint64_t replay = EnvironmentOr("BORAGEWHARF_SEED", 0);
  const uint64_t runs =
      replay != 0 ? 1 : EnvironmentOr("BORAGEWHARF_RUNS", kDefaultRuns);
  const uint64_t first = replay != 0 ? replay : kFirstSeed;
  uint64_t accepted = 0;
  for (uint64_t seed = first; seed < first + runs; ++seed) {
    SCOPED_TRACE("replay with BORAGEWHARF_SEED=" + std::to_string(seed));
    RandomDriver driver(seed);
    driver.Run();
    accepted += driver.Accepted();
    if (testing::Test::HasFailure()) {
      std::printf("failed; replay with BORAGEWHARF_SEED=%lu\n", seed);
      return;
    }
  }
  std::printf("%lu seeds, %lu tickets accepted\n", runs, accepted);
  EXPECT_GT(accepted, runs);
}

}  // namespace boragewharf::config
