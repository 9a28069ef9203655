/**
 * @file simulation.h
 * Several membership reducers over a simulated network.
 */
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "membership/membership_func.h"

namespace boragewharf::membership {

/** Faults of the simulated network. */
struct NetworkOptions {
  double loss = 0;  ///< Probability that a datagram is lost.
  Duration min_delay = std::chrono::milliseconds(1);
  Duration max_delay = std::chrono::milliseconds(13);  ///< Reorders below it.
};

/** A process in the simulation. */
struct Node {
  MembershipState state;
  bool is_running = true;
  TimePoint paused_until;
  uint64_t sent_bytes = 0;  ///< With the envelope.
  uint64_t sent_datagrams = 0;
  size_t largest_datagram = 0;
  std::vector<MembershipEffect> news;  ///< Effects for the owner.
};

/** Runs reducers on virtual time; deterministic for a seed. */
class Simulation {
 public:
  Simulation(uint64_t seed, NetworkOptions network_options);

  /** Starts a process on its own instance; returns its index. */
  size_t AddNode(MembershipOptions options = {});

  /** Starts @p count processes that know all addresses as seeds. */
  void AddNodes(size_t count, const MembershipOptions& options = {});

  void Run(Duration time);

  /** Runs until the condition holds; the time taken, or @p limit. */
  Duration RunUntil(Duration limit, const std::function<bool()>& condition);

  /** Applies an event at once. */
  void Post(size_t index, const MembershipEvent& event);

  /** Replaces a process by a new one on the same instance and address. */
  void Restart(size_t index);

  void Kill(size_t index) { this->nodes[index].is_running = false; }
  void Pause(size_t index, Duration time) {
    this->nodes[index].paused_until = this->now + time;
  }

  /** Messages between the two groups are lost until Heal(). */
  void Cut(std::set<size_t> group) { this->cut_off = std::move(group); }
  void Heal() { this->cut_off.clear(); }

  Node& At(size_t index) { return this->nodes[index]; }
  const Node& At(size_t index) const { return this->nodes[index]; }
  size_t size() const { return this->nodes.size(); }
  TimePoint Now() const { return this->now; }

  /** Status of @p target as @p observer sees it; kFailed if forgotten. */
  MemberStatus StatusAt(size_t observer, size_t target) const;
  bool HoldsLease(size_t index) const;
  MemberId IdOf(size_t index) const { return this->nodes[index].state.self.id; }

  NetworkOptions network;

 private:
  struct Delivery {
    size_t from = 0;
    size_t to = 0;
    std::variant<DatagramMessage, JoinRequest, MemberTable> message;
  };

  void Apply(size_t index, const MembershipEvent& event);
  void Carry(size_t from, const SendDatagram& effect);
  void Deliver(const Delivery& delivery);
  bool IsCut(size_t a, size_t b) const;
  void Schedule(Duration delay, Delivery delivery);
  size_t IndexOf(const Endpoint& endpoint) const;

  std::mt19937_64 random;
  TimePoint now{std::chrono::seconds(1000)};
  std::vector<Node> nodes;
  std::set<size_t> cut_off;
  std::multimap<TimePoint, Delivery> queue;
};

/** Index that no node has. */
inline constexpr size_t kNone = SIZE_MAX;

/** Runs until the members have joined; fails the test after 60 s. */
void Settle(Simulation& simulation);

/** Whether a condition holds at all running nodes but one. */
bool AllBut(const Simulation& simulation,
            size_t except,
            const std::function<bool(size_t)>& condition);

/** Raises the held revision of a node. */
void Raise(Simulation& simulation, size_t index, uint64_t revision);

}  // namespace boragewharf::membership
