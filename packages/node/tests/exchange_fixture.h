/**
 * @file exchange_fixture.h
 * A deployment of many reducers without a network, which counts the bytes that
 * the nodes send to each other.
 */
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fleet/fetch_budget_base.h"
#include "fleet/fleet_cmd.h"
#include "node/peer_codec.h"

namespace boragewharf::node {

/** Bytes and messages of one kind. */
struct TrafficCount {
  uint64_t messages = 0;
  uint64_t bytes = 0;

  void Add(uint64_t size) {
    this->messages += 1;
    this->bytes += size;
  }
};

/** Shape of a deployment, and what its network does. */
struct ExchangeOptions {
  size_t nodes = 30;
  size_t servers = 300;
  /** All servers register within this time from the start. */
  Duration registration = std::chrono::seconds(4);
  /** Share of the datagrams that are lost. */
  double loss = 0.01;
};

/** Bytes of the IP and UDP headers of a datagram. */
inline constexpr size_t kDatagramHeaderBytes = 28;

/** Reducers of all nodes, a store, and a network with latency and losses. */
class ExchangeModel {
 public:
  static constexpr size_t kRegions = 2;
  static constexpr size_t kZonesPerRegion = 3;
  static constexpr std::chrono::milliseconds kStep{10};

  explicit ExchangeModel(const ExchangeOptions& model_options)
      : options(model_options) {
    std::vector<std::string> seeds;
    for (size_t i = 0; i < options.nodes; ++i) {
      seeds.push_back(Ip(i));
    }
    for (size_t i = 0; i < options.nodes; ++i) {
      fleet::FleetSettings settings;
      settings.node_name = "node-" + std::to_string(i);
      settings.ip = Ip(i);
      settings.zone = ZoneOf(i);
      settings.region = RegionOf(i);
      settings.incarnation = fleet::MakeIncarnation(kWallMs, 7 + i);
      settings.seed_ips = seeds;
      this->nodes.push_back(std::make_unique<Node>(std::move(settings)));
      this->index[Ip(i)] = i;
      // Processes of one deployment start within half a second.
      this->nodes[i]->start =
          this->now + std::chrono::milliseconds(this->random() % 500);
      this->nodes[i]->next_tick = this->nodes[i]->start;
      this->nodes[i]->next_report = this->nodes[i]->start;
    }
  }

  /** Runs all nodes; servers register from the start on. */
  void RunFor(Duration time) {
    const TimePoint end = this->now + time;
    while (this->now < end) {
      this->now += kStep;
      this->RegisterServers();
      this->DeliverDue();
      for (size_t i = 0; i < this->nodes.size(); ++i) {
        this->RunNode(i);
      }
    }
  }

  /** Changes an entry in the store, or removes it. */
  void ChangeServer(const std::string& id, bool draining, bool removed) {
    this->revision += 1;
    auto& server = this->store[id];
    server.id = id;
    server.draining = draining;
    fleet::ServerChanged change{this->revision * fleet::kRevisionStep, id,
                                server};
    if (removed) {
      this->store.erase(id);
      change.server.reset();
    }
    for (size_t i = 0; i < this->nodes.size(); ++i) {
      if (this->nodes[i]->follows && this->nodes[i]->listed) {
        this->Post(i, this->nodes[i]->eager ? kWatchDelay : kStandbyDelay,
                   change);
      }
    }
  }

  /** Writes a configuration revision to the store. */
  void ChangeConfig() {
    this->config_version += 1;
    this->revision += 1;
    this->config_revision = this->revision;
    for (size_t i = 0; i < this->nodes.size(); ++i) {
      if (this->nodes[i]->follows && this->nodes[i]->listed) {
        this->Post(i, kWatchDelay, this->Config());
      }
    }
  }

  /** Sets all counters back. */
  void ResetCounts() {
    this->by_kind.clear();
    this->by_part.clear();
    this->between_regions = {};
    this->published_servers = 0;
    for (auto& node : this->nodes) {
      node->sent = 0;
      node->received = 0;
      node->published_bytes = 0;
    }
  }

  /** Bytes per second of all nodes in and out, in ascending order. */
  std::vector<double> RatesSince(TimePoint start) const {
    std::vector<double> rates;
    const double seconds =
        std::chrono::duration<double>(this->now - start).count();
    for (const auto& node : this->nodes) {
      rates.push_back(static_cast<double>(node->sent + node->received) /
                      seconds);
    }
    std::ranges::sort(rates);
    return rates;
  }

  /** Number of nodes whose reducer satisfies @p predicate. */
  template <class Predicate>
  size_t CountNodes(Predicate predicate) const {
    return static_cast<size_t>(std::ranges::count_if(
        this->nodes, [&](const auto& node) { return predicate(node->state); }));
  }

  static std::string ServerId(size_t i) {
    return "backend-server-" + std::to_string(10000 + i);
  }

  struct Node {
    explicit Node(fleet::FleetSettings settings) : state(std::move(settings)) {}

    fleet::FleetState state;
    fleet::FetchBudget budget;
    bool follows = true;
    bool eager = true;
    bool listed = false;   ///< Has read the list from the store.
    bool stopped = false;  ///< Neither sends nor receives.
    TimePoint start;
    TimePoint next_tick;
    TimePoint next_report;
    uint64_t sent = 0;
    uint64_t received = 0;
    uint64_t published_bytes = 0;  ///< Of server lists for the data plane.
    uint64_t admitted = 0;         ///< Of the one customer, at this node.
    double seen_admitted = 0;      ///< Of all others, from the summaries.
  };

  ExchangeOptions options;
  TimePoint now{std::chrono::seconds(1000)};
  std::vector<std::unique_ptr<Node>> nodes;
  std::map<std::string, TrafficCount> by_kind;
  /** Bytes of parts of messages, before compression. */
  std::map<std::string, uint64_t> by_part;
  TrafficCount between_regions;
  uint64_t published_servers = 0;  ///< Server lists handed to the data plane.
  std::map<std::string, serving::BackendServer> store;
  uint64_t lists_read = 0;  ///< Complete lists read from the store.
  bool admitting = true;    ///< Nodes go on to admit units of the customer.
  uint64_t revision = 1;
  uint64_t config_revision = 1;
  uint64_t config_version = 1;

 private:
  static constexpr int64_t kWallMs = 1784182260000;
  static constexpr std::chrono::milliseconds kWatchDelay{30};
  static constexpr std::chrono::milliseconds kStandbyDelay{500};
  static constexpr std::chrono::milliseconds kReportPeriod{200};
  /** Requests of a node go to this many servers at a time. */
  static constexpr size_t kServersWithLoad = 40;
  /** Encoded sizes of an entry of a report. */
  static constexpr size_t kLoadBytes = 12;
  static constexpr size_t kUnitsBytes = 12;
  static constexpr size_t kPrefixBytes = 8;
  /** Of a node's link. */
  static constexpr double kLinkBytesPerSecond = 1.25e6;

  struct Delivery {
    TimePoint due;
    uint64_t order = 0;
    size_t node = 0;
    std::shared_ptr<const fleet::Event> event;
    uint64_t bytes = 0;
    /** A fetch to be answered by this node, if @c event is empty. */
    std::shared_ptr<const fleet::FetchState> fetch;
    size_t asking = 0;

    bool operator>(const Delivery& other) const {
      return std::pair(this->due, this->order) >
             std::pair(other.due, other.order);
    }
  };

  static std::string Ip(size_t i) {
    return "10.0." + std::to_string(i / 200) + "." +
           std::to_string(1 + i % 200);
  }
  static std::string ZoneOf(size_t i) {
    return RegionOf(i) + "-zone-" +
           std::to_string(i / kRegions % kZonesPerRegion);
  }
  static std::string RegionOf(size_t i) {
    return "region-" + std::to_string(i % kRegions);
  }

  std::chrono::milliseconds Latency(size_t from, size_t to) const {
    return std::chrono::milliseconds(RegionOf(from) == RegionOf(to) ? 1 : 12);
  }

  fleet::ConfigRead Config() const {
    auto config = std::make_shared<serving::ServingConfig>();
    config->version = this->config_version;
    return {this->config_revision, config, "{}"};
  }

  void Post(size_t node, Duration delay, fleet::Event event) {
    this->queue.push({this->now + delay, this->next_order++, node,
                      std::make_shared<const fleet::Event>(std::move(event)), 0,
                      nullptr, 0});
  }

  void RegisterServers() {
    const double passed = std::chrono::duration<double>(
                              this->now - TimePoint(std::chrono::seconds(1000)))
                              .count();
    const double share =
        passed /
        std::chrono::duration<double>(this->options.registration).count();
    const auto wanted = static_cast<size_t>(
        std::min(1.0, share) * static_cast<double>(this->options.servers));
    while (this->registered < wanted) {
      const std::string id = ServerId(this->registered);
      serving::BackendServer& server = this->store[id];
      server.service = "service-" + std::to_string(this->registered % 4);
      server.address =
          Endpoint{"10.1." + std::to_string(this->registered / 200) + "." +
                       std::to_string(this->registered % 200),
                   8000};
      server.zone = ZoneOf(this->registered);
      server.slots = 16;
      server.started = kWallMs + this->registered;
      server.version = "v1";
      this->registered += 1;
      this->ChangeServer(id, false, false);
    }
  }

  void DeliverDue() {
    while (!this->queue.empty() && this->queue.top().due <= this->now) {
      const Delivery delivery = this->queue.top();
      this->queue.pop();
      Node& node = *this->nodes[delivery.node];
      if (node.stopped || node.start > this->now) {
        continue;
      }
      if (delivery.fetch) {
        this->AnswerFetch(delivery);
        continue;
      }
      node.received += delivery.bytes;
      this->Apply(delivery.node, *delivery.event);
    }
  }

  void RunNode(size_t i) {
    Node& node = *this->nodes[i];
    if (node.stopped || this->now < node.next_tick) {
      return;
    }
    node.next_tick += fleet::kTickPeriod;
    this->Apply(i, fleet::Tick{kWallMs + this->now.time_since_epoch() /
                                             std::chrono::milliseconds(1)});
    if (!node.listed && node.follows) {
      node.listed = true;
      this->lists_read += 1;
      this->Apply(i, fleet::StoreReachable{true});
      this->Apply(i, this->Config());
      fleet::ServersRead read{this->revision * fleet::kRevisionStep, {}, false};
      for (const auto& [id, server] : this->store) {
        read.servers.push_back(server);
      }
      this->Apply(i, read);
    }
    if (this->now >= node.next_report) {
      node.next_report = this->now + kReportPeriod;
      this->Apply(i, this->Report(i));
    }
  }

  fleet::TrafficReported Report(size_t i) {
    Node& node = *this->nodes[i];
    node.admitted += this->admitting ? 10 : 0;
    fleet::TrafficReported traffic;
    traffic.report.suspects.emplace();
    traffic.report.admitted[serving::HashName("customer")] = node.admitted;
    for (size_t customer = 0; customer < 7; ++customer) {
      traffic.report.admitted[static_cast<uint32_t>(customer)] = node.admitted;
    }
    const size_t known = std::min(this->registered, kServersWithLoad);
    for (size_t k = 0; k < known; ++k) {
      const size_t server = this->random() % this->registered;
      traffic.report.loads[serving::HashName(ServerId(server))] = {3, 9000};
    }
    for (size_t k = 0; k < 8; ++k) {
      traffic.report.prefixes.push_back({static_cast<uint32_t>(this->random()),
                                         serving::HashName(ServerId(k)),
                                         this->now});
    }
    return traffic;
  }

  void Count(const std::string& kind, size_t from, size_t to, size_t bytes) {
    this->by_kind[kind].Add(bytes);
    this->nodes[from]->sent += bytes;
    if (RegionOf(from) != RegionOf(to)) {
      this->between_regions.Add(bytes);
    }
  }

  void Apply(size_t i, const fleet::Event& event) {
    std::vector<fleet::Effect> effects;
    fleet::Reduce(this->nodes[i]->state, event, this->now, effects);
    for (const fleet::Effect& effect : effects) {
      this->Execute(i, effect);
    }
  }

  void Execute(size_t i, const fleet::Effect& effect) {
    Node& node = *this->nodes[i];
    if (const auto* send = std::get_if<fleet::SendToPeers>(&effect)) {
      this->Send(i, *send);
    } else if (const auto* fetch = std::get_if<fleet::FetchState>(&effect)) {
      const size_t source = this->index.at(fetch->ip);
      this->queue.push({this->now + this->Latency(i, source),
                        this->next_order++, source, nullptr, 0,
                        std::make_shared<fleet::FetchState>(*fetch), i});
    } else if (const auto* follow = std::get_if<fleet::FollowStore>(&effect)) {
      // The list is read again when the node begins to follow.
      node.listed = node.listed && (node.follows || !follow->follow);
      node.follows = follow->follow;
      node.eager = follow->eager;
    } else if (const auto* publish =
                   std::get_if<fleet::PublishServers>(&effect)) {
      this->published_servers += 1;
      node.published_bytes +=
          publish->servers->servers.size() * sizeof(serving::BackendServer);
    } else if (const auto* peers = std::get_if<fleet::PublishPeers>(&effect)) {
      const auto found =
          peers->summary.admitted.find(serving::HashName("customer"));
      if (found != peers->summary.admitted.end()) {
        node.seen_admitted += found->second;
      }
    }
  }

  void Send(size_t i, const fleet::SendToPeers& send) {
    const std::string bytes = EncodePeerMessage(send.message, send.compressed);
    const size_t size = bytes.size() + kDatagramHeaderBytes;
    const serving::TrafficReport& report = send.message.report;
    const size_t copies = send.ips.size();
    this->by_part["loads"] += copies * report.loads.size() * kLoadBytes;
    this->by_part["admitted"] += copies * report.admitted.size() * kUnitsBytes;
    this->by_part["prefixes"] += copies * report.prefixes.size() * kPrefixBytes;
    this->by_part["known_ips"] +=
        copies * send.message.known_ips.size() * sizeof(uint32_t);
    this->by_part["departures"] +=
        copies * send.message.departures.size() * sizeof(uint32_t);
    this->by_part["all"] += copies * (EncodePeerMessage(send.message).size() +
                                      kDatagramHeaderBytes);
    auto decoded = DecodePeerMessage(bytes);
    const auto event = std::make_shared<const fleet::Event>(
        fleet::PeerMessageReceived{std::move(*decoded)});
    for (const std::string& ip : send.ips) {
      const size_t to = this->index.at(ip);
      this->Count(RegionOf(i) == RegionOf(to) ? "message_near" : "message_far",
                  i, to, size);
      if (std::uniform_real_distribution<>(0, 1)(this->random) <
          this->options.loss) {
        continue;
      }
      this->queue.push({this->now + this->Latency(i, to), this->next_order++,
                        to, event, size, nullptr, 0});
    }
  }

  void AnswerFetch(const Delivery& asked) {
    Node& node = *this->nodes[asked.node];
    if (!node.budget.MayAnswer(this->now)) {
      this->Count("fetch_refused", asked.node, asked.asking, 0);
      this->Post(asked.asking, this->Latency(asked.node, asked.asking),
                 fleet::FetchEnded{asked.fetch->ip, false, true});
      return;
    }
    const PeerState reply = MakePeerState(
        node.state,
        {asked.fetch->config_revision, asked.fetch->servers_revision});
    const std::string state = EncodePeerState(reply);
    const std::string bytes = Compress(state);
    node.budget.Record(bytes.size());
    this->Count(reply.full_list ? "fetch_list" : "fetch_changes", asked.node,
                asked.asking, bytes.size());
    const auto transfer =
        std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
            static_cast<double>(bytes.size()) / kLinkBytesPerSecond));
    const Duration delay = this->Latency(asked.node, asked.asking) + transfer;
    const auto fetched = DecodePeerState(state);
    if (fetched->config_revision > asked.fetch->config_revision) {
      fleet::ConfigRead config = this->Config();
      config.revision = fetched->config_revision;
      this->Post(asked.asking, delay, config);
    }
    if (fetched->servers_known && !fetched->full_list) {
      this->Post(
          asked.asking, delay,
          fleet::ServersPatched{fetched->base_revision,
                                fetched->servers_revision, fetched->changes});
    } else if (fetched->servers_known) {
      this->Post(asked.asking, delay,
                 fleet::ServersRead{fetched->servers_revision, fetched->servers,
                                    true});
    }
    this->nodes[asked.asking]->received += bytes.size();
    this->Post(asked.asking, delay, fleet::FetchEnded{asked.fetch->ip, true});
  }

  std::priority_queue<Delivery, std::vector<Delivery>, std::greater<>> queue;
  uint64_t next_order = 0;
  size_t registered = 0;
  std::map<std::string, size_t> index;
  std::mt19937 random{7};
};

}  // namespace boragewharf::node
