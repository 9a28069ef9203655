/**
 * @file rollout_sim.h
 * Nodes, servers and a store in memory, with which roll-outs of good and bad
 * versions are run without a network and a clock.
 */
#pragma once

#include <cmath>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "rollout/rollout_agent_base.h"
#include "rollout/rollout_func.h"
#include "rollout/rollout_table_base.h"
#include "serving/peer_type.h"

namespace boragewharf::rollout {

/** How the target of a roll-out behaves. */
struct Behaviour {
  double failing = 0;       ///< Share of failures.
  double slower = 1;        ///< Factor of all times.
  double begins_s = 0;      ///< Time at which the fault begins.
  double under_load = 0;    ///< Least load of a server that shows the fault.
  bool one_route = false;   ///< Only on the route with 3 in 10 requests.
  double slow_server = 1;   ///< Factor of the times of one of its servers.
  bool zone_fails = false;  ///< A zone fails from 4 s on, with all versions.
};

/** Result of one run. */
struct Outcome {
  std::optional<StatusState> state;
  uint32_t requests = 0;         ///< Between the request and within_s.
  uint32_t exposed = 0;          ///< Before the version was accepted.
  uint32_t bad_responses = 0;    ///< Of the target.
  double last_send_after_s = 0;  ///< After the 50th bad response.
  std::string log;
};

/** One run. Times are multiples of 10 ms. */
class RolloutSim {
 public:
  RolloutSim(const Behaviour& target, uint64_t seed)
      : behaviour(target), generator(seed) {
    bounds.rollback = std::chrono::seconds(5);
    for (int i = 0; i < 2 * kServers; ++i) {
      serving::BackendServer server;
      const bool is_new = i >= kServers;
      server.id = (is_new ? "new-" : "old-") + std::to_string(i % kServers);
      server.service = "llm";
      server.version = is_new ? "v2" : "v1";
      server.zone = std::string(1, static_cast<char>('a' + i % 3));
      server.slots = kSlots;
      this->servers.push_back(server);
      const double speeds[] = {0.7, 0.7, 1.7};
      this->speed.push_back(speeds[(i / 2) % 3]);
    }
    if (target.slow_server != 1) {
      this->speed.back() /= target.slow_server;
    }
    this->running.resize(this->servers.size());
    serving::ServerSet set;
    set.servers = this->servers;
    for (uint64_t i = 0; i < kNodes; ++i) {
      this->agents.push_back(std::make_unique<RolloutAgent>(bounds, seed + i));
      this->agents.back()->SetServers(set);
    }
    this->routes.resize(3);
    for (size_t i = 0; i < this->routes.size(); ++i) {
      this->routes[i].name = "route-" + std::to_string(i);
      this->routes[i].goal = serving::Milliseconds(2000);
    }
    this->request = {"llm", 1, "v2", std::chrono::seconds(kWithinS), {}};
  }

  Outcome Run() {
    std::vector<Action> actions;
    this->table.ApplyRequest(this->request, this->now, actions);
    this->Handle(actions);
    const int steps = (kWithinS + 3) * 100;
    for (int step = 0; step < steps; ++step) {
      this->now += std::chrono::milliseconds(10);
      this->seconds = step * 0.01;
      this->EndRequests();
      std::poisson_distribution<int> arrivals(kRate * 0.01);
      for (int left = arrivals(this->generator); left > 0; --left) {
        this->Send();
      }
      if (step % 20 == 0) {
        this->Exchange();
      }
    }
    this->outcome.state = this->request.status
                              ? std::optional(this->request.status->state)
                              : std::nullopt;
    return this->outcome;
  }

  static constexpr int kServers = 6;
  static constexpr uint32_t kSlots = 16;
  static constexpr size_t kNodes = 8;
  static constexpr int kWithinS = 12;
  static constexpr double kRate = 200;

 private:
  struct Running {
    TimePoint end;
    TimePoint started;
    size_t node;
    size_t server;
    size_t route;
    uint32_t seen;
    bool fails;
  };

  double Uniform() {
    return std::uniform_real_distribution<double>(0, 1)(this->generator);
  }

  void Send() {
    const size_t node = this->generator() % kNodes;
    const double draw = this->Uniform();
    const size_t route = draw < 0.5 ? 0 : draw < 0.8 ? 1 : 2;
    std::vector<const serving::BackendServer*> candidates;
    for (const serving::BackendServer& server : this->servers) {
      if (!this->done || server.version == "v2") {
        candidates.push_back(&server);
      }
    }
    const size_t first = this->servers.size() - candidates.size();
    const auto selected =
        this->agents[node]->Select("llm", candidates, this->now);
    std::optional<size_t> best;
    for (size_t i = 0; i < candidates.size(); ++i) {
      const size_t server = first + i;
      if (selected[i] &&
          (!best || this->running[server] < this->running[*best] ||
           (this->running[server] == this->running[*best] &&
            this->Uniform() < 0.5))) {
        best = server;
      }
    }
    if (this->seconds < kWithinS) {
      this->outcome.requests += 1;
    }
    if (!best) {
      return;
    }
    this->agents[node]->CountAttempt(this->servers[*best], true);
    const bool is_new = *best >= kServers;
    if (is_new) {
      this->outcome.exposed += this->accepted ? 0 : 1;
      if (this->fiftieth) {
        this->outcome.last_send_after_s = this->seconds - *this->fiftieth;
      }
    }
    const uint32_t seen = this->running[*best]++;
    const double load = static_cast<double>(seen) / kSlots;
    const bool faulty = is_new && this->seconds >= this->behaviour.begins_s &&
                        load >= this->behaviour.under_load &&
                        (!this->behaviour.one_route || route == 1);
    bool fails = this->Uniform() < (faulty && this->behaviour.failing > 0
                                        ? this->behaviour.failing
                                        : 0.002);
    if (this->behaviour.zone_fails && this->seconds >= 4 &&
        this->servers[*best].zone == "a") {
      fails = fails || this->Uniform() < 0.5;
    }
    std::normal_distribution<double> noise(0, 0.4);
    const double ms = 120 * (1 + 2 * load) * std::exp(noise(this->generator)) /
                      this->speed[*best] *
                      (faulty ? this->behaviour.slower : 1);
    this->in_progress.push_back(
        {this->now + std::chrono::milliseconds(static_cast<int>(ms)), this->now,
         node, *best, route, seen, fails});
  }

  void EndRequests() {
    std::erase_if(this->in_progress, [&](const Running& ended) {
      if (ended.end > this->now) {
        return false;
      }
      this->running[ended.server] -= 1;
      const serving::AttemptView view{this->servers[ended.server],
                                      this->routes[ended.route],
                                      {},
                                      serving::Distance::kSameZone,
                                      false,
                                      ended.seen,
                                      0,
                                      0,
                                      false,
                                      false,
                                      false,
                                      ended.started};
      this->agents[ended.node]->OnEnded(
          view,
          ended.fails ? serving::AttemptOutcome::kServerError
                      : serving::AttemptOutcome::kServed,
          this->now - ended.started, this->now);
      const bool late =
          this->behaviour.slower > 1 &&
          this->now - ended.started > std::chrono::milliseconds(400);
      if (ended.server >= kServers && (ended.fails || late)) {
        this->outcome.bad_responses += 1;
        if (this->outcome.bad_responses == 50) {
          this->fiftieth = this->seconds;
        }
      }
      return true;
    });
  }

  /** A message period: evidence reaches the holder and decisions the nodes, of
   * which some are lost. */
  void Exchange() {
    std::vector<Action> actions;
    for (size_t i = 0; i < kNodes; ++i) {
      std::vector<serving::PeerExtension> extensions;
      this->agents[i]->AppendExtensions(extensions, this->now);
      if (extensions.empty() || (i != 0 && this->Uniform() < 0.2)) {
        continue;
      }
      const auto evidence = DecodeEvidence(extensions.front().payload);
      if (evidence) {
        this->table.MergeEvidence(i + 1, *evidence, this->now, actions);
      }
    }
    HolderFacts facts;
    facts.fencing = 1;
    facts.store_reachable = true;
    facts.message_period = std::chrono::milliseconds(200);
    facts.versions["llm"] = {{"v1", this->done ? 0 : kServers},
                             {"v2", kServers}};
    this->table.Advance(facts, this->now, actions);
    this->Handle(actions);
    const DecisionList decisions = this->table.Decisions();
    for (size_t i = 0; i < kNodes; ++i) {
      if (i == 0 || this->Uniform() >= 0.2) {
        this->agents[i]->SetDecisions(decisions);
      }
    }
    this->accepted |= decisions.front().phase == Phase::kShift;
  }

  void Handle(std::vector<Action> actions) {
    while (!actions.empty()) {
      const std::vector<Action> current = std::exchange(actions, {});
      for (const Action& action : current) {
        if (const auto* log = std::get_if<LogRollout>(&action)) {
          this->outcome.log += std::to_string(this->seconds) + " " +
                               log->event + " " + log->detail + "\n";
          continue;
        }
        const auto& write = std::get<WriteStatus>(action);
        ResultCode code = ResultCode::kStoreConflict;
        if (write.revision == this->request.revision) {
          code = ResultCode::kOk;
          this->request.revision += 1;
          this->request.status = write.status;
          this->done |= write.status.state == StatusState::kDone;
        }
        this->table.ApplyWritten(write, code, this->request, this->now,
                                 actions);
      }
    }
  }

  Behaviour behaviour;
  std::mt19937_64 generator;
  RolloutBounds bounds;
  std::vector<serving::BackendServer> servers;
  std::vector<double> speed;
  std::vector<uint32_t> running;
  std::vector<serving::Route> routes;
  std::vector<std::unique_ptr<RolloutAgent>> agents;
  std::vector<Running> in_progress;
  RolloutTable table;
  RolloutRequest request;
  TimePoint now{std::chrono::seconds(1000)};
  double seconds = 0;
  bool done = false;
  bool accepted = false;
  std::optional<double> fiftieth;
  Outcome outcome;
};

}  // namespace boragewharf::rollout
