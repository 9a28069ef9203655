/**
 * @file admission_world.h
 * Nodes, servers and clients in virtual time, without a network.
 */
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <queue>
#include <random>

#include "admission/admission_base.h"

namespace boragewharf::admission {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** A client's request, through all of its attempts. */
struct WorldRequest {
  RequestProfile profile;  ///< Of the current attempt.
  TimePoint first_sent;
  TimePoint deadline;
  size_t group = 0;  ///< Index into the counts of the test.
  uint32_t refusals = 0;
  uint32_t sends = 0;   ///< To servers, in the current attempt.
  uint32_t starts = 0;  ///< Runs, in all attempts.
  bool ended = false;
};

/** Results of the requests of a group. */
struct GroupResult {
  double offered = 0;
  double served = 0;
  double in_time = 0;
  double tokens = 0;  ///< Of served requests.
  double refused = 0;
  double refused_twice = 0;
};

/** Properties of a run. */
struct WorldOptions {
  uint32_t nodes = 5;
  uint32_t servers = 8;
  uint32_t slots = 16;
  /** Requests that a server runs in fact; nodes assume 2.5 times the slots. */
  uint32_t real_limit = 40;
  double mean_ms = 500;  ///< Duration of a request.
  Duration objective = milliseconds(300);
  Duration patience = milliseconds(2000);
  Duration report_period = milliseconds(400);
  double lost_reports = 0.1;
  bool queue = true;
  bool invites = true;
  uint64_t seed = 1;
};

/** Runs a number of nodes and the servers of one service. */
class World {
 public:
  explicit World(const WorldOptions& run_options)
      : options(run_options), generator(run_options.seed) {
    for (uint32_t i = 0; i < this->options.servers; ++i) {
      Server server;
      server.server.id = "s" + std::to_string(i);
      server.server.service = "llm";
      server.server.slots = this->options.slots;
      this->servers.push_back(server);
    }
    for (uint32_t i = 0; i < this->options.nodes; ++i) {
      AdmissionOptions bounds;
      bounds.enabled = this->options.queue;
      bounds.invites_without_slot = this->options.invites;
      this->nodes.push_back(
          std::make_unique<Node>(bounds, this->options.seed * 1000 + i));
      this->nodes.back()->own.resize(this->options.servers);
      this->nodes.back()->peers.resize(this->options.servers);
      this->At(this->now + milliseconds(this->generator() % 50),
               [this, i] { this->Tick(i); });
      this->At(this->now + milliseconds(this->generator() % 400),
               [this, i] { this->Report(i); });
    }
    this->route.goal =
        std::chrono::duration_cast<milliseconds>(this->options.objective);
    this->measured_at = this->now;
  }

  /** Adds a source of requests with Poisson arrivals until @p end. */
  void AddSource(double per_second,
                 const RequestProfile& profile,
                 size_t group,
                 TimePoint begin,
                 TimePoint end) {
    this->groups.resize(std::max(this->groups.size(), group + 1));
    std::exponential_distribution<double> gap(per_second);
    const TimePoint next =
        begin + Duration(static_cast<int64_t>(gap(this->generator) * 1e6));
    if (next >= end) {
      return;
    }
    this->At(next, [this, per_second, profile, group, next, end] {
      this->Arrive(profile, group);
      this->AddSource(per_second, profile, group, next, end);
    });
  }

  /** Removes the last @p count servers; their requests are lost. */
  void SetAvailable(uint32_t count) { this->available = count; }

  void RunUntil(TimePoint end) {
    while (!this->events.empty() && this->events.top().at <= end) {
      const Event event = this->events.top();
      this->events.pop();
      this->Measure(event.at);
      this->now = event.at;
      event.run();
    }
    this->Measure(end);
    this->now = end;
  }

  void At(TimePoint at, std::function<void()> run) {
    this->events.push({at, this->sequence++, std::move(run)});
  }

  /** Capacity in requests per second. */
  double Capacity() const {
    return this->options.servers * this->options.real_limit * 1000.0 /
           this->options.mean_ms;
  }

  size_t WaitingCount() const {
    size_t waiting = 0;
    for (const auto& node : this->nodes) {
      waiting += node->admission.WaitingCount();
    }
    return waiting;
  }

  /** Starts a new measurement of the utilization and of the groups. */
  void ResetMeasures() {
    this->groups.assign(this->groups.size(), {});
    this->busy_us = this->possible_us = 0;
  }

  /** Share of the slots used while any request waited. */
  double Utilization() const {
    return this->possible_us > 0 ? this->busy_us / this->possible_us : 1;
  }

  TimePoint now{seconds(1000)};
  std::vector<GroupResult> groups;
  std::vector<std::shared_ptr<WorldRequest>> requests;
  uint64_t server_rejections = 0;
  uint64_t overfull = 0;  ///< Requests that a server ran above its limit.
  Duration longest_vain_wait{};
  std::map<RefusalReason, uint64_t> reasons;
  double held_in_vain = 0;  ///< Longer than an eighth of the objective.
  double held = 0;

 private:
  struct Event {
    TimePoint at;
    uint64_t sequence;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return std::pair(this->at, this->sequence) >
             std::pair(other.at, other.sequence);
    }
  };
  struct Server {
    serving::BackendServer server;
    uint32_t running = 0;
  };
  struct Node {
    Node(const AdmissionOptions& bounds, uint64_t seed)
        : admission(bounds, seed) {}
    Admission admission;
    std::vector<uint32_t> own;    ///< Running, by server.
    std::vector<uint32_t> peers;  ///< As reported by the others.
    uint32_t running = 0;
    std::map<RequestId, std::shared_ptr<WorldRequest>> waiting;
    std::vector<serving::ReceivedExtension> inbox;
    /** Loads that each other node has last reported. */
    std::map<uint32_t, std::vector<uint32_t>> reported;
  };

  void Measure(TimePoint to) {
    const double passed = static_cast<double>((to - this->measured_at).count());
    this->measured_at = to;
    if (this->WaitingCount() == 0) {
      return;
    }
    uint32_t running = 0;
    for (uint32_t i = 0; i < this->available; ++i) {
      running += this->servers[i].running;
    }
    this->busy_us += passed * running;
    this->possible_us += passed * this->available * this->options.real_limit;
  }

  uint32_t Full() const {
    return static_cast<uint32_t>(std::ceil(2.5 * this->options.slots));
  }

  uint32_t LimitOf(const Node& node, uint32_t server) const {
    return node.admission.Limits().LimitOf(
        serving::HashName(this->servers[server].server.id), this->Full(),
        this->now);
  }

  ServiceCapacity CapacityOf(const Node& node) const {
    ServiceCapacity capacity;
    for (uint32_t i = 0; i < this->available; ++i) {
      const uint32_t limit = this->LimitOf(node, i);
      capacity.servers += 1;
      capacity.limit += limit;
      capacity.any_free |= node.own[i] + node.peers[i] < limit;
    }
    capacity.own_running = node.running;
    return capacity;
  }

  /** The server with the fewest requests that the node knows of. */
  std::optional<uint32_t> Choose(const Node& node,
                                 std::optional<uint32_t> excluded,
                                 bool by_limits) {
    std::optional<uint32_t> best;
    double least = 0;
    std::uniform_real_distribution<double> tie(0, 1);
    for (uint32_t i = 0; i < this->available; ++i) {
      const uint32_t known = node.own[i] + node.peers[i];
      const uint32_t limit = by_limits ? this->LimitOf(node, i) : this->Full();
      if (known >= limit || excluded == i) {
        continue;
      }
      const double load = known + tie(this->generator);
      if (!best || load < least) {
        best = i;
        least = load;
      }
    }
    return best;
  }

  void Arrive(const RequestProfile& profile, size_t group) {
    auto request = std::make_shared<WorldRequest>();
    request->profile = profile;
    request->profile.service = "llm";
    request->profile.bytes = 1000;
    request->profile.fingerprint = this->generator();
    request->profile.objective = this->options.objective;
    request->first_sent = this->now;
    request->deadline = this->now + this->options.patience;
    request->group = group;
    this->groups[group].offered += 1;
    this->requests.push_back(request);
    this->Send(request);
  }

  void Send(const std::shared_ptr<WorldRequest>& request) {
    const uint32_t index =
        static_cast<uint32_t>(this->generator() % this->nodes.size());
    Node& node = *this->nodes[index];
    request->profile.arrived = this->now;
    request->profile.deadline = request->deadline;
    request->sends = 0;
    node.admission.CountArrival(request->profile, this->now);
    if (node.admission.HasWaiting("llm")) {
      this->Wait(index, request, false);
      return;
    }
    const auto server = this->Choose(node, std::nullopt, false);
    if (!server) {
      this->Wait(index, request, true);
      return;
    }
    node.admission.CountStart(request->profile, this->now);
    this->RunAt(index, request, *server);
  }

  void Wait(uint32_t index,
            const std::shared_ptr<WorldRequest>& request,
            bool tried) {
    Node& node = *this->nodes[index];
    ServiceCapacity capacity = this->CapacityOf(node);
    capacity.any_free = capacity.any_free && !tried;
    const RequestId id = ++this->last_id;
    const Decision decision =
        node.admission.Offer(id, request->profile, capacity, this->now);
    if (!decision.waits) {
      this->Refused(request, decision.refusal);
      return;
    }
    node.waiting[id] = request;
    this->EndRefused(node, decision.displaced);
    if (!tried) {
      this->Pump(index);
    }
  }

  void EndRefused(Node& node, const std::vector<Refusal>& refusals) {
    for (const Refusal& refusal : refusals) {
      const auto found = node.waiting.find(refusal.id);
      ASSERT_NE(found, node.waiting.end());
      const auto request = found->second;
      node.waiting.erase(found);
      this->Refused(request, refusal);
    }
  }

  void Refused(const std::shared_ptr<WorldRequest>& request,
               const Refusal& refusal) {
    ASSERT_FALSE(request->ended);
    GroupResult& group = this->groups[request->group];
    this->reasons[refusal.reason] += 1;
    this->longest_vain_wait = std::max(this->longest_vain_wait, refusal.waited);
    this->held_in_vain +=
        refusal.waited > this->options.objective / 8 + milliseconds(50) ? 1 : 0;
    request->refusals += 1;
    group.refused += request->refusals == 1 ? 1 : 0;
    group.refused_twice += request->refusals == 2 ? 1 : 0;
    const Duration left =
        std::max(Duration::zero(), request->deadline - this->now);
    EXPECT_LE(refusal.retry_after, left / 3);
    if (refusal.retry_after <= Duration::zero() ||
        this->now + refusal.retry_after >= request->deadline) {
      request->ended = true;
      return;
    }
    this->At(this->now + refusal.retry_after,
             [this, request] { this->Send(request); });
  }

  void Pump(uint32_t index) {
    Node& node = *this->nodes[index];
    while (node.admission.HasWaiting("llm")) {
      const auto id =
          node.admission.Next("llm", this->CapacityOf(node), this->now);
      if (!id) {
        return;
      }
      const auto server = this->Choose(node, std::nullopt, true);
      if (!server) {
        return;
      }
      const auto request = node.waiting.at(*id);
      node.waiting.erase(*id);
      node.admission.Start(*id, this->now);
      this->RunAt(index, request, *server);
    }
  }

  serving::AttemptView View(const Node& node, uint32_t server) const {
    return {this->servers[server].server,
            this->route,
            "",
            serving::Distance::kSameZone,
            true,
            node.own[server] + node.peers[server],
            0,
            0,
            false,
            false,
            false,
            this->now};
  }

  void RunAt(uint32_t index,
             const std::shared_ptr<WorldRequest>& request,
             uint32_t target) {
    Node& node = *this->nodes[index];
    Server& server = this->servers[target];
    request->sends += 1;
    if (server.running >= this->options.real_limit) {
      this->server_rejections += 1;
      node.admission.OnEnded(this->View(node, target),
                             serving::AttemptOutcome::kRejected,
                             milliseconds(1), this->now);
      if (request->sends < 2) {
        const auto other = this->Choose(node, target, false);
        if (other) {
          this->RunAt(index, request, *other);
          return;
        }
        node.admission.TakeBackStart(request->profile, this->now);
        this->Wait(index, request, true);
        return;
      }
      node.admission.TakeBackStart(request->profile, this->now);
      this->Refused(request, node.admission.RefuseNow(
                                 request->profile, RefusalReason::kTooLate,
                                 this->CapacityOf(node), this->now));
      return;
    }
    request->starts += 1;
    EXPECT_EQ(request->starts, 1U);
    const Duration started_after = this->now - request->first_sent;
    const serving::AttemptView view = this->View(node, target);
    server.running += 1;
    node.own[target] += 1;
    node.running += 1;
    std::exponential_distribution<double> service(1 / this->options.mean_ms);
    const Duration duration(
        1000 + static_cast<int64_t>(service(this->generator) * 1000));
    node.admission.OnFirstEvent(view, milliseconds(10), this->now);
    this->At(this->now + duration, [this, index, request, target, duration,
                                    started_after] {
      Node& owner = *this->nodes[index];
      this->servers[target].running -= 1;
      const serving::AttemptView ended = this->View(owner, target);
      owner.own[target] -= 1;
      owner.running -= 1;
      owner.admission.OnEnded(ended, serving::AttemptOutcome::kServed, duration,
                              this->now);
      EXPECT_FALSE(request->ended);
      request->ended = true;
      GroupResult& group = this->groups[request->group];
      group.served += 1;
      group.tokens += std::max(1U, request->profile.tokens);
      group.in_time +=
          started_after + milliseconds(10) <= this->options.objective ? 1 : 0;
      this->Pump(index);
    });
  }

  void Tick(uint32_t index) {
    Node& node = *this->nodes[index];
    node.admission.CheckTime(this->now);
    this->Pump(index);
    this->EndRefused(node, node.admission.TakeExpired(
                               "llm", this->CapacityOf(node), this->now));
    this->At(this->now + milliseconds(50),
             [this, index] { this->Tick(index); });
  }

  void Report(uint32_t index) {
    Node& node = *this->nodes[index];
    node.admission.SetRunning("llm", node.running);
    std::vector<serving::PeerExtension> extensions;
    node.admission.AppendExtensions(extensions, this->now);
    std::uniform_real_distribution<double> draw(0, 1);
    for (uint32_t i = 0; i < this->nodes.size(); ++i) {
      if (i == index || draw(this->generator) < this->options.lost_reports) {
        continue;
      }
      Node& other = *this->nodes[i];
      other.reported[index] = node.own;
      serving::PeerSummary summary;
      summary.nodes = this->options.nodes;
      for (const serving::PeerExtension& extension : extensions) {
        summary.extensions.push_back(
            {index + 1, 1, this->now, extension.kind, extension.payload});
      }
      std::ranges::fill(other.peers, 0);
      for (const auto& [sender, loads] : other.reported) {
        for (size_t server = 0; server < loads.size(); ++server) {
          other.peers[server] += loads[server];
        }
      }
      other.admission.MergePeers(summary, this->now);
      this->Pump(i);
    }
    this->At(this->now + this->options.report_period,
             [this, index] { this->Report(index); });
  }

  WorldOptions options;
  std::mt19937_64 generator;
  serving::Route route;
  std::vector<Server> servers;
  std::vector<std::unique_ptr<Node>> nodes;
  std::priority_queue<Event> events;
  uint64_t sequence = 0;
  RequestId last_id = 0;
  uint32_t available = this->options.servers;
  TimePoint measured_at;
  double busy_us = 0;
  double possible_us = 0;
};

}  // namespace boragewharf::admission
