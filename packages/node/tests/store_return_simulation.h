/**
 * @file store_return_simulation.h
 * Several reducers before a modelled store that comes back from earlier copies.
 */
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fleet/fleet_cmd.h"
#include "node/peer_codec.h"

namespace boragewharf::node {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Objects of the modelled store with their revisions. */
struct StoreContent {
  uint64_t revision = 100;
  uint64_t version = 0;  ///< Of the configuration.
  uint64_t config_revision = 0;
  std::map<std::string, serving::BackendServer> servers;
};

/** A store whose revisions are given out again after it came back. */
class ModelStore {
 public:
  void WriteConfig(uint64_t version) {
    if (this->content.version == version) {
      return;  // A write that changes nothing has no revision.
    }
    this->content.version = version;
    this->content.config_revision = ++this->content.revision;
  }

  void WriteServer(const serving::BackendServer& server) {
    auto& entry = this->content.servers[server.id];
    if (entry == server) {
      return;
    }
    entry = server;
    this->Record(server.id, server);
  }

  void RemoveServer(const std::string& id) {
    if (this->content.servers.erase(id) > 0) {
      this->Record(id, std::nullopt);
    }
  }

  void TakeCopy() {
    this->copies.push_back(this->content);
    if (this->copies.size() > 6) {
      this->copies.pop_front();
    }
  }

  /** Comes back from a copy; the last ones are the newest. */
  void Return(std::mt19937& random) {
    const size_t chosen = random() % this->copies.size();
    this->content = this->copies[chosen];
    this->copies.erase(
        this->copies.begin() + static_cast<std::ptrdiff_t>(chosen) + 1,
        this->copies.end());
    this->era += 1;
    this->history.clear();
    this->history_base = this->content.revision;
  }

  /** Changes of servers after a revision. */
  std::vector<fleet::ServerChanged> ChangesSince(uint64_t revision) const {
    std::vector<fleet::ServerChanged> changes;
    for (const fleet::ServerChanged& change : this->history) {
      if (change.revision > revision) {
        changes.push_back(change);
      }
    }
    return changes;
  }

  StoreContent content;
  uint64_t era = 1;
  bool up = true;

 private:
  void Record(const std::string& id,
              std::optional<serving::BackendServer> server) {
    this->content.revision += 1;
    this->history.push_back(
        {this->content.revision, id, std::move(server), this->era});
  }

  std::deque<StoreContent> copies{StoreContent{}};
  std::vector<fleet::ServerChanged> history;
  uint64_t history_base = 0;
};

/** A node: reducer, its watch of the store, and what its process has seen. */
struct SimulatedNode {
  std::unique_ptr<fleet::FleetState> state;
  bool following = true;
  uint64_t watched_era = 0;  ///< 0: the lists have to be read.
  uint64_t watched_revision = 0;
  TimePoint asleep_until;  ///< Neither watches nor receives until then.
  std::deque<fleet::Event> inbox;
  uint64_t highest_version = 0;
  /** Lifetimes that this process has published as draining. */
  std::set<std::pair<std::string, uint64_t>> draining;
};

/** Runs nodes, servers, the operator and the store with random events. */
class StoreReturnSimulation {
 public:
  static constexpr size_t kNodes = 6;

  explicit StoreReturnSimulation(uint64_t seed) : random(seed) {
    for (size_t i = 0; i < kNodes; ++i) {
      this->nodes.emplace_back();
      this->StartNode(i);
    }
    this->WriteNewConfig();
    for (int i = 0; i < 8; ++i) {
      this->StartServer();
    }
  }

  /** Random events, returns of the store among them. */
  void RunRandom(Duration time) {
    const TimePoint end = this->now + time;
    while (this->now < end) {
      this->RandomEvents();
      this->Step();
    }
  }

  /** No events, so that all nodes can catch up. */
  void Settle(Duration time) {
    for (SimulatedNode& node : this->nodes) {
      node.asleep_until = {};
    }
    this->loss = 0;
    const TimePoint end = this->now + time;
    while (this->now < end) {
      this->Step();
    }
  }

  void ExpectCurrent() const {
    for (size_t i = 0; i < kNodes; ++i) {
      const fleet::FleetState& state = *this->nodes[i].state;
      ASSERT_NE(state.config, nullptr) << i;
      EXPECT_EQ(state.config->version, this->store.content.version) << i;
      std::map<std::string, bool> known;
      for (const auto& [id, server] : state.servers) {
        known[id] = server.draining;
      }
      std::map<std::string, bool> stored;
      for (const auto& [id, server] : this->store.content.servers) {
        stored[id] = server.draining;
      }
      EXPECT_EQ(known, stored)
          << i << " era " << state.servers_era << " revision "
          << state.servers_revision << " of " << this->store.era << " "
          << this->store.content.revision;
    }
  }

  uint64_t Returns() const { return this->store.era - 1; }

 private:
  static std::string IpOf(size_t i) {
    return "10.0.0." + std::to_string(i + 1);
  }

  bool Chance(double probability) {
    return std::uniform_real_distribution<>(0, 1)(this->random) < probability;
  }

  void StartNode(size_t i) {
    fleet::FleetSettings settings;
    settings.node_name = "node-" + std::to_string(i);
    settings.ip = IpOf(i);
    settings.zone = "a";
    settings.region = "r";
    settings.incarnation = ++this->processes;
    for (size_t other = 0; other < kNodes; ++other) {
      settings.seed_ips.push_back(IpOf(other));
    }
    SimulatedNode& node = this->nodes[i];
    node = SimulatedNode{};
    node.state = std::make_unique<fleet::FleetState>(settings);
  }

  void WriteNewConfig() {
    this->newest_version += 1 + this->random() % 3;
    if (this->store.up) {
      this->store.WriteConfig(this->newest_version);
    }
  }

  void StartServer() {
    serving::BackendServer server;
    server.id = "s" + std::to_string(this->servers_started++);
    server.service = "llm";
    server.started = ++this->lifetimes;
    this->live[server.id] = {server, this->now};
    this->WriteLater(server.id, milliseconds(0));
  }

  /** Each process writes its entry again some time after a change. */
  void WriteLater(const std::string& id, Duration delay) {
    this->writes.emplace(this->now + delay, id);
  }

  void RandomEvents() {
    if (Chance(0.03)) {
      this->WriteNewConfig();
    }
    if (Chance(0.04) && this->live.size() < 14) {
      this->StartServer();
    }
    if (Chance(0.06) && !this->live.empty()) {
      auto chosen = this->live.begin();
      std::advance(chosen, this->random() % this->live.size());
      this->EndOrRestart(chosen->first);
    }
    if (Chance(0.05)) {
      this->store.TakeCopy();
    }
    if (this->store.up && Chance(0.02)) {
      this->store.up = false;
      this->up_again = this->now + milliseconds(this->random() % 1500);
    }
    if (Chance(0.02)) {
      this->nodes[this->random() % kNodes].asleep_until =
          this->now + milliseconds(this->random() % 4000);
    }
    if (Chance(0.01)) {
      this->StartNode(this->random() % kNodes);
    }
  }

  // `id` may be a key of `live`, so it isn't used after its entry is erased.
  void EndOrRestart(const std::string& id) {
    auto& [server, draining_since] = this->live.at(id);
    if (!server.draining && Chance(0.6)) {
      server.draining = true;
      draining_since = this->now;
      this->WriteLater(id, milliseconds(0));
    } else if (server.draining && this->now - draining_since > seconds(2)) {
      this->WriteLater(id, milliseconds(0));
      this->live.erase(id);
    } else if (!server.draining && Chance(0.5)) {
      server.started = ++this->lifetimes;  // A crash.
      this->WriteLater(id, milliseconds(300));
    }
  }

  void StepStore() {
    if (!this->store.up && this->now >= this->up_again) {
      this->store.up = true;
      if (Chance(0.7)) {
        this->store.Return(this->random);
        this->returned_at = this->now;
        this->config_due = this->now + milliseconds(this->random() % 1500);
        for (const auto& [id, server] : this->live) {
          this->WriteLater(id, milliseconds(this->random() % 1700));
        }
      }
    }
    if (!this->store.up) {
      return;
    }
    if (this->now >= this->config_due) {
      this->store.WriteConfig(this->newest_version);
    }
    while (!this->writes.empty() && this->writes.begin()->first <= this->now) {
      const std::string id = this->writes.begin()->second;
      this->writes.erase(this->writes.begin());
      const auto found = this->live.find(id);
      if (found == this->live.end()) {
        this->store.RemoveServer(id);
      } else {
        this->store.WriteServer(found->second.first);
      }
    }
    // Entries of silent servers, which a copy may have, are removed.
    if (this->now - this->returned_at > milliseconds(3600)) {
      std::vector<std::string> silent;
      for (const auto& [id, server] : this->store.content.servers) {
        if (!this->live.contains(id)) {
          silent.push_back(id);
        }
      }
      for (const std::string& id : silent) {
        this->store.RemoveServer(id);
      }
    }
  }

  void WatchStore(size_t i) {
    SimulatedNode& node = this->nodes[i];
    if (!node.following) {
      node.watched_era = 0;
      return;
    }
    this->Apply(i, fleet::StoreReachable{this->store.up});
    if (!this->store.up || Chance(0.1)) {
      return;
    }
    const StoreContent& content = this->store.content;
    const bool has_history = node.watched_era == this->store.era;
    if (has_history) {
      for (fleet::ServerChanged change :
           this->store.ChangesSince(node.watched_revision)) {
        change.revision *= fleet::kRevisionStep;
        this->Apply(i, change);
      }
    }
    if (!has_history || content.config_revision > node.watched_revision) {
      this->Apply(i, this->Config(content.version, content.config_revision,
                                  this->store.era));
    }
    if (!has_history) {
      fleet::ServersRead read{
          content.revision * fleet::kRevisionStep, {}, false, this->store.era};
      for (const auto& [id, server] : content.servers) {
        read.servers.push_back(server);
      }
      this->Apply(i, read);
    }
    node.watched_era = this->store.era;
    node.watched_revision = content.revision;
  }

  static fleet::ConfigRead Config(uint64_t version,
                                  uint64_t revision,
                                  uint64_t era) {
    auto config = std::make_shared<serving::ServingConfig>();
    config->version = version;
    return {revision, config, std::to_string(version), era};
  }

  void Step() {
    this->now += milliseconds(100);
    this->StepStore();
    for (size_t i = 0; i < kNodes; ++i) {
      if (this->now < this->nodes[i].asleep_until) {
        std::erase_if(this->nodes[i].inbox, [](const fleet::Event& event) {
          return std::holds_alternative<fleet::PeerMessageReceived>(event);
        });
        continue;
      }
      this->WatchStore(i);
      std::deque<fleet::Event> received;
      received.swap(this->nodes[i].inbox);
      for (const fleet::Event& event : received) {
        this->Apply(i, event);
      }
      this->Apply(i, fleet::Tick{1784182260000});
    }
  }

  void Apply(size_t i, const fleet::Event& event) {
    std::vector<fleet::Effect> effects;
    fleet::Reduce(*this->nodes[i].state, event, this->now, effects);
    for (const fleet::Effect& effect : effects) {
      if (const auto* send = std::get_if<fleet::SendToPeers>(&effect)) {
        this->Send(*send);
      } else if (const auto* fetch = std::get_if<fleet::FetchState>(&effect)) {
        this->Fetch(i, *fetch);
      } else if (const auto* follow =
                     std::get_if<fleet::FollowStore>(&effect)) {
        this->nodes[i].following = follow->follow;
      } else if (const auto* config =
                     std::get_if<fleet::PublishConfig>(&effect)) {
        EXPECT_GE(config->config->version, this->nodes[i].highest_version);
        this->nodes[i].highest_version = config->config->version;
      } else if (const auto* servers =
                     std::get_if<fleet::PublishServers>(&effect)) {
        this->CheckPublished(this->nodes[i], *servers->servers);
      }
    }
  }

  static void CheckPublished(SimulatedNode& node,
                             const serving::ServerSet& published) {
    for (const serving::BackendServer& server : published.servers) {
      const std::pair lifetime(server.id, server.started);
      if (server.draining) {
        node.draining.insert(lifetime);
      } else {
        EXPECT_FALSE(node.draining.contains(lifetime))
            << server.id << " is published as ready after it was draining";
      }
    }
  }

  void Send(const fleet::SendToPeers& send) {
    const auto message =
        DecodePeerMessage(EncodePeerMessage(send.message, send.compressed));
    for (size_t i = 0; i < kNodes; ++i) {
      if (std::ranges::count(send.ips, IpOf(i)) > 0 && !Chance(this->loss)) {
        this->nodes[i].inbox.push_back(fleet::PeerMessageReceived{*message});
      }
    }
  }

  void Fetch(size_t i, const fleet::FetchState& fetch) {
    size_t source = 0;
    while (IpOf(source) != fetch.ip) {
      ++source;
    }
    auto& inbox = this->nodes[i].inbox;
    if (this->now < this->nodes[source].asleep_until || Chance(this->loss)) {
      inbox.push_back(fleet::FetchEnded{fetch.ip, false});
      return;
    }
    const KnownState known{
        fetch.config_revision, fetch.servers_revision, true,
        fetch.config_version,  fetch.config_era,       fetch.servers_era};
    const auto reply = DecodePeerState(
        EncodePeerState(MakePeerState(*this->nodes[source].state, known)));
    if (!reply->config_text.empty()) {
      inbox.push_back(Config(std::stoull(*Decompress(reply->config_text)),
                             reply->config_revision, reply->config_era));
    }
    if (reply->servers_known && reply->full_list) {
      inbox.push_back(fleet::ServersRead{
          reply->servers_revision, reply->servers, true, reply->servers_era});
    } else if (reply->servers_known) {
      inbox.push_back(
          fleet::ServersPatched{reply->base_revision, reply->servers_revision,
                                reply->changes, reply->servers_era});
    }
    inbox.push_back(fleet::FetchEnded{fetch.ip, true});
  }

  std::mt19937 random;
  TimePoint now{seconds(1000)};
  ModelStore store;
  std::vector<SimulatedNode> nodes;
  uint64_t processes = 0;
  double loss = 0.05;
  TimePoint up_again;
  TimePoint returned_at;
  TimePoint config_due;
  uint64_t newest_version = 0;
  uint64_t servers_started = 0;
  uint64_t lifetimes = 0;
  /** Servers that run, with the time since when they drain. */
  std::map<std::string, std::pair<serving::BackendServer, TimePoint>> live;
  std::multimap<TimePoint, std::string> writes;
};

}  // namespace boragewharf::node
