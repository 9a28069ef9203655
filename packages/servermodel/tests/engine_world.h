/**
 * @file engine_world.h
 * Engines with batches and chunked prompts, and nodes that learn their speeds
 * and know each other's load from delayed reports. Without network or clock.
 */
#pragma once

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <memory>
#include <numbers>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "servermodel/server_speeds_base.h"
#include "serving/peer_type.h"

namespace boragewharf::servermodel {

/** Prompt tokens per millisecond that nodes assume. */
inline constexpr double kTokensPerMs = 60;

/** How the nodes of a run get speeds. */
enum class Knowledge : uint8_t { kNone, kLearned, kTrue };

/** Parameters of a run; times in milliseconds. */
struct WorldModel {
  size_t nodes = 24;
  size_t servers = 30;
  size_t zones = 3;
  uint32_t slots = 16;
  double requests_per_s = 250;
  double wave = 0.5;  ///< Amplitude of each zone's demand, relative.
  double wave_period = 9000;
  double report_period = 500;
  double duration = 20000;
  double warm_up = 5000;  ///< Requests before are not counted.
  double long_share = 0.15;
  Knowledge knowledge = Knowledge::kLearned;
  /** True speed of a server at a time. */
  std::function<double(size_t, double)> speed = [](size_t, double) {
    return 1.0;
  };
  /** Share of a server's requests that fail at once. */
  std::function<double(size_t)> failing = [](size_t) { return 0.0; };
  bool separate = false;  ///< Long and short prompts, where it is called for.
  size_t false_reporters = 0;  ///< Nodes that report random speeds.
  double zone_lost_at = 1e9;   ///< Servers of zone 0 are gone from then on.
};

struct WorldResult {
  double in_time = 0;  ///< Share of first events within the objective.
  double short_in_time = 0;
  double failed = 0;
  std::vector<double> speeds;      ///< As node 0 estimates them at the end.
  std::vector<double> to_servers;  ///< Requests sent to each server.
  size_t report_bytes = 0;         ///< Of the longest report.
};

class EngineWorld {
 public:
  EngineWorld(WorldModel parameters, uint64_t seed)
      : model(std::move(parameters)), generator(seed) {
    serving::ServerSet set;
    for (size_t i = 0; i < this->model.servers; ++i) {
      serving::BackendServer server;
      server.id = "i-" + std::to_string(i * 7919);
      server.service = "llm";
      server.slots = this->model.slots;
      server.zone = std::to_string(i % this->model.zones);
      set.servers.push_back(server);
    }
    this->listed = set.servers;
    this->engines.resize(this->model.servers);
    this->result.to_servers.resize(this->model.servers);
    for (size_t i = 0; i < this->model.nodes; ++i) {
      Node& node = this->nodes.emplace_back();
      node.policy = serving::MakeExpectedDelayPolicy(seed * 1000 + i);
      node.speeds.SetServers(set, At(0));
      node.own.resize(this->model.servers);
      node.reported.resize(this->model.servers);
      this->Schedule(this->Uniform() * 200, [this, i] { this->Tick(i); });
    }
    this->route.name = "chat";
    this->route.goal = std::chrono::milliseconds(300);
    this->route.kind = serving::RouteKind::kStream;
  }

  WorldResult Run() {
    this->Schedule(0, [this] { this->Arrive(); });
    while (!this->events.empty() && this->now < this->model.duration) {
      const Event event = this->events.top();
      this->events.pop();
      this->now = event.time;
      event.run();
    }
    WorldResult& out = this->result;
    out.in_time = this->good / this->counted;
    out.short_in_time = this->short_good / this->short_counted;
    out.failed = this->failures / this->counted;
    for (const serving::BackendServer& server : this->listed) {
      out.speeds.push_back(this->nodes[0].speeds.EstimateOf(server).speed);
    }
    return out;
  }

 private:
  struct Request {
    size_t node = 0;
    size_t server = 0;
    double started = 0;
    double goal = 0;
    uint32_t tokens = 0;
    uint32_t left = 0;  ///< Prompt tokens to be read.
    int events_left = 0;
    double last_event = 0;
    bool first = false;
    bool is_short = false;
    uint32_t running_seen = 0;
    uint64_t prefill_seen = 0;
    std::vector<Duration> gaps;
  };
  using RequestPtr = std::shared_ptr<Request>;

  struct Engine {
    std::vector<RequestPtr> batch;
    std::deque<RequestPtr> queue;
    bool stepping = false;
  };

  struct Node {
    std::unique_ptr<serving::RoutingPolicy> policy;
    ServerSpeeds speeds;
    std::vector<serving::ServerLoad> own;
    std::vector<serving::ServerLoad> reported;
    double reported_at = -1e9;
    std::vector<serving::ReceivedExtension> inbox;
  };

  struct Event {
    double time = 0;
    std::function<void()> run;
    bool operator<(const Event& other) const { return this->time > other.time; }
  };

  static TimePoint At(double ms) {
    return TimePoint(Duration(1000000 + static_cast<int64_t>(ms * 1000)));
  }
  static Duration Span(double ms) {
    return Duration(static_cast<int64_t>(ms * 1000));
  }
  double Uniform() {
    return std::uniform_real_distribution<double>(0, 1)(this->generator);
  }
  void Schedule(double time, std::function<void()> run) {
    this->events.push({time, std::move(run)});
  }
  bool Gone(size_t server) const {
    return this->now >= this->model.zone_lost_at &&
           server % this->model.zones == 0;
  }

  /** Merges what arrived, and reports when it is time. */
  void Tick(size_t index) {
    Node& node = this->nodes[index];
    this->Schedule(this->now + 200, [this, index] { this->Tick(index); });
    serving::PeerSummary summary;
    summary.extensions = std::exchange(node.inbox, {});
    summary.prefill_speeds[serving::HashName("llm")] = kTokensPerMs;
    summary.nodes = static_cast<uint32_t>(this->model.nodes);
    summary.message_period = Span(this->model.report_period);
    node.speeds.MergePeers(summary, At(this->now));
    if (this->now - node.reported_at < this->model.report_period) {
      return;
    }
    node.reported_at = this->now;
    node.reported = node.own;
    std::vector<serving::PeerExtension> extensions;
    node.speeds.AppendExtensions(extensions, At(this->now));
    for (serving::PeerExtension& extension : extensions) {
      this->result.report_bytes =
          std::max(this->result.report_bytes, extension.payload.size());
      if (index < this->model.false_reporters) {
        for (size_t i = 13; i < extension.payload.size(); ++i) {
          extension.payload[i] = static_cast<char>(this->generator());
        }
      }
      for (size_t other = 0; other < this->nodes.size(); ++other) {
        if (other != index) {
          this->nodes[other].inbox.push_back({static_cast<uint32_t>(index), 1,
                                              At(this->now), extension.kind,
                                              extension.payload});
        }
      }
    }
  }

  void Arrive() {
    this->Schedule(
        this->now - std::log(1 - this->Uniform()) * 1000 /
                        (this->model.requests_per_s * (1 + this->model.wave)),
        [this] { this->Arrive(); });
    const auto index = static_cast<size_t>(
        this->Uniform() * static_cast<double>(this->model.nodes));
    const size_t zone = index % this->model.zones;
    const double phase =
        2 * std::numbers::pi *
        (this->now / this->model.wave_period +
         static_cast<double>(zone) / static_cast<double>(this->model.zones));
    const double demand = 1 + this->model.wave * std::sin(phase);
    if (this->Uniform() * (1 + this->model.wave) > demand) {
      return;
    }
    auto request = std::make_shared<Request>();
    request->node = index;
    request->started = this->now;
    request->is_short = this->Uniform() >= this->model.long_share;
    if (request->is_short) {
      request->tokens = static_cast<uint32_t>(800 + 1600 * this->Uniform());
    } else {
      std::lognormal_distribution<double> prompt(std::log(12000.0) - 0.32, 0.8);
      request->tokens = static_cast<uint32_t>(
          std::clamp(prompt(this->generator), 3000.0, 54600.0));
    }
    request->goal = request->is_short ? 300 : 1000;
    request->events_left = static_cast<int>(30 + 20 * this->Uniform());
    if (this->now > this->model.warm_up) {
      this->counted += 1;
      this->short_counted += request->is_short ? 1 : 0;
    }
    this->Send(request);
  }

  void Send(const RequestPtr& request) {
    Node& node = this->nodes[request->node];
    std::vector<serving::ServerView> views;
    std::vector<size_t> servers;
    for (size_t i = 0; i < this->listed.size(); ++i) {
      if (this->Gone(i)) {
        continue;
      }
      serving::ServerView view;
      view.server = &this->listed[i];
      view.distance = i % this->model.zones == request->node % this->model.zones
                          ? serving::Distance::kSameZone
                          : serving::Distance::kSameRegion;
      view.running = node.own[i].running;
      view.prefill_tokens = node.own[i].prefill_tokens;
      for (const Node& other : this->nodes) {
        if (&other != &node) {
          view.running += other.reported[i].running;
          view.prefill_tokens += other.reported[i].prefill_tokens;
        }
      }
      view.for_long_prompts = node.speeds.EstimateOf(this->listed[i]).for_long;
      if (this->model.knowledge == Knowledge::kLearned) {
        const ServerEstimate estimate = node.speeds.EstimateOf(this->listed[i]);
        view.speed = estimate.speed;
        view.failure_rate = estimate.failure_share;
      } else if (this->model.knowledge == Knowledge::kTrue) {
        view.speed = this->model.speed(i, this->now);
        view.failure_rate = this->model.failing(i);
      }
      views.push_back(view);
      servers.push_back(i);
    }
    serving::RouteRequest wanted;
    wanted.prompt_tokens = request->tokens;
    wanted.prefill_tokens_per_ms = kTokensPerMs;
    if (this->model.separate) {
      node.speeds.ClassifyLength("llm", wanted);
    }
    const auto choice = node.policy->Choose(wanted, views);
    if (!choice) {
      return;
    }
    request->server = servers[choice->index];
    request->running_seen = views[choice->index].running;
    request->prefill_seen = views[choice->index].prefill_tokens;
    request->left = request->tokens;
    this->result.to_servers[request->server] += 1;
    if (this->Uniform() < this->model.failing(request->server)) {
      node.speeds.OnEnded(this->View(*request),
                          serving::AttemptOutcome::kServerError, Span(5),
                          At(this->now));
      this->failures += this->now > this->model.warm_up ? 1 : 0;
      return;
    }
    node.own[request->server].running += 1;
    node.own[request->server].prefill_tokens += request->tokens;
    Engine& engine = this->engines[request->server];
    engine.queue.push_back(request);
    if (!engine.stepping) {
      this->Step(request->server);
    }
  }

  serving::AttemptView View(const Request& request) {
    serving::AttemptView view{this->listed[request.server], this->route};
    view.engine = true;
    view.running_seen = request.running_seen;
    view.prefill_seen = request.prefill_seen;
    view.read_tokens = request.tokens;
    const size_t server = request.server;
    for (const Node& other : this->nodes) {
      const bool own = &other == &this->nodes[request.node];
      const auto& load = own ? other.own[server] : other.reported[server];
      view.running_now += load.running;
      view.prefill_now += load.prefill_tokens;
    }
    return view;
  }

  /** One step of an engine: up to 1,024 prompt tokens, and one event of each
   * request whose prompt has been read. */
  void Step(size_t index) {
    Engine& engine = this->engines[index];
    while (engine.batch.size() < this->model.slots && !engine.queue.empty()) {
      engine.batch.push_back(engine.queue.front());
      engine.queue.pop_front();
    }
    engine.stepping = !engine.batch.empty() && !this->Gone(index);
    if (!engine.stepping) {
      return;
    }
    uint32_t chunk = 1024;
    std::vector<RequestPtr> emitting;
    for (const RequestPtr& request : engine.batch) {
      const uint32_t read = std::min(chunk, request->left);
      request->left -= read;
      chunk -= read;
      if (request->left == 0) {
        emitting.push_back(request);
      }
    }
    const double took = (8 + 0.4 * static_cast<double>(engine.batch.size()) +
                         (1024 - chunk) / 100.0) /
                        this->model.speed(index, this->now);
    this->Schedule(this->now + took, [this, index, emitting] {
      for (const RequestPtr& request : emitting) {
        this->Emit(request);
      }
      std::erase_if(this->engines[index].batch, [](const RequestPtr& request) {
        return request->events_left == 0;
      });
      this->Step(index);
    });
  }

  void Emit(const RequestPtr& request) {
    Node& node = this->nodes[request->node];
    const double after = this->now - request->started;
    if (!request->first) {
      request->first = true;
      node.speeds.OnFirstEvent(this->View(*request), Span(after),
                               At(this->now));
      node.own[request->server].prefill_tokens -= request->tokens;
      if (request->started > this->model.warm_up && after <= request->goal) {
        this->good += 1;
        this->short_good += request->is_short ? 1 : 0;
      }
    } else {
      request->gaps.push_back(Span(this->now - request->last_event));
    }
    request->last_event = this->now;
    request->events_left -= 1;
    if (request->gaps.size() >= 8 || request->events_left == 0) {
      node.speeds.OnEventGaps(this->View(*request), request->gaps,
                              At(this->now));
      request->gaps.clear();
    }
    if (request->events_left == 0) {
      node.speeds.OnEnded(this->View(*request),
                          serving::AttemptOutcome::kServed, Span(after),
                          At(this->now));
      node.own[request->server].running -= 1;
    }
  }

  WorldModel model;
  std::mt19937_64 generator;
  std::vector<serving::BackendServer> listed;
  serving::Route route;
  std::vector<Engine> engines;
  std::deque<Node> nodes;
  std::priority_queue<Event> events;
  WorldResult result;
  double now = 0;
  double counted = 0;
  double good = 0;
  double short_counted = 0;
  double short_good = 0;
  double failures = 0;
};

}  // namespace boragewharf::servermodel
