/**
 * @file simulation_test.cc
 * Several membership reducers over a simulated network.
 */
#include "simulation.h"

#include <gtest/gtest.h>

#include <cereal/archives/portable_binary.hpp>
#include <sstream>

namespace boragewharf::membership {
namespace {

constexpr Duration kTick = std::chrono::milliseconds(10);
// Header and MAC of a datagram, and the header of UDP and IP.
constexpr size_t kEnvelopeBytes = 28 + 16;
constexpr size_t kIpBytes = 28;

template <class T>
size_t EncodedBytes(const T& message) {
  std::ostringstream out;
  cereal::PortableBinaryOutputArchive archive(out);
  archive(message);
  return out.str().size();
}

}  // namespace

Simulation::Simulation(uint64_t seed, NetworkOptions network_options)
    : network(network_options), random(seed) {}

size_t Simulation::AddNode(MembershipOptions options) {
  const size_t index = this->nodes.size();
  Member self;
  self.id = MemberId{this->random()};
  self.instance = "entry-" + std::to_string(index);
  self.zone = "brest-quay";
  self.region = "finistere";
  self.caller_address = Endpoint{"127.0.0.1", 8080};
  self.peer_address = Endpoint{"127.0.0.1", static_cast<uint16_t>(index + 1)};
  self.started_at = this->now.time_since_epoch().count();
  Node node;
  node.state = MakeMembershipState(self, options, this->random(), this->now);
  this->nodes.push_back(std::move(node));
  return index;
}

void Simulation::AddNodes(size_t count, const MembershipOptions& options) {
  SeedsListed seeds;
  InstancesListed listed;
  for (size_t i = 0; i < count; ++i) {
    this->AddNode(options);
    seeds.addresses.push_back(this->nodes[i].state.self.peer_address);
    listed.names.push_back(this->nodes[i].state.self.instance);
  }
  for (size_t i = 0; i < count; ++i) {
    this->Post(i, seeds);
    this->Post(i, listed);
  }
}

void Simulation::Restart(size_t index) {
  const MembershipState old = this->nodes[index].state;
  Member self = old.self;
  self.id = MemberId{this->random()};
  self.started_at = this->now.time_since_epoch().count();
  this->nodes[index] = Node{};
  this->nodes[index].state =
      MakeMembershipState(self, old.options, this->random(), this->now);
  this->Post(index, SeedsListed{old.seeds});
}

void Simulation::Post(size_t index, const MembershipEvent& event) {
  this->Apply(index, event);
}

void Simulation::Run(Duration time) {
  this->RunUntil(time, [] { return false; });
}

Duration Simulation::RunUntil(Duration limit,
                              const std::function<bool()>& condition) {
  const TimePoint start = this->now;
  while (this->now - start < limit && !condition()) {
    this->now += kTick;
    while (!this->queue.empty() && this->queue.begin()->first <= this->now) {
      const Delivery delivery = std::move(this->queue.begin()->second);
      this->queue.erase(this->queue.begin());
      this->Deliver(delivery);
    }
    for (size_t i = 0; i < this->nodes.size(); ++i) {
      if (this->nodes[i].is_running &&
          this->now >= this->nodes[i].paused_until) {
        this->Apply(i, Tick{});
      }
    }
  }
  return this->now - start;
}

void Simulation::Apply(size_t index, const MembershipEvent& event) {
  std::vector<MembershipEffect> effects;
  Reduce(this->nodes[index].state, event, this->now, effects);
  for (const MembershipEffect& effect : effects) {
    if (const auto* datagram = std::get_if<SendDatagram>(&effect)) {
      this->Carry(index, *datagram);
    } else if (const auto* fetch = std::get_if<FetchTable>(&effect)) {
      this->Schedule(this->network.max_delay,
                     {index, this->IndexOf(fetch->from), fetch->request});
    } else {
      this->nodes[index].news.push_back(effect);
    }
  }
}

void Simulation::Carry(size_t from, const SendDatagram& effect) {
  const size_t bytes =
      kEnvelopeBytes +
      std::visit([](const auto& message) { return EncodedBytes(message); },
                 effect.message);
  Node& node = this->nodes[from];
  node.sent_bytes += bytes + kIpBytes;
  ++node.sent_datagrams;
  node.largest_datagram = std::max(node.largest_datagram, bytes);
  if (std::uniform_real_distribution<>(0, 1)(this->random) <
      this->network.loss) {
    return;
  }
  const auto delay = std::uniform_int_distribution<int64_t>(
      this->network.min_delay.count(),
      this->network.max_delay.count())(this->random);
  this->Schedule(Duration(delay),
                 {from, this->IndexOf(effect.to), effect.message});
}

void Simulation::Schedule(Duration delay, Delivery delivery) {
  if (delivery.to < this->nodes.size()) {
    this->queue.emplace(this->now + delay, std::move(delivery));
  }
}

void Simulation::Deliver(const Delivery& delivery) {
  Node& node = this->nodes[delivery.to];
  if (!node.is_running || this->IsCut(delivery.from, delivery.to)) {
    return;
  }
  if (this->now < node.paused_until) {
    // Waits in the receive buffer of the paused process.
    this->queue.emplace(node.paused_until, delivery);
    return;
  }
  const Member& sender = this->nodes[delivery.from].state.self;
  const Endpoint& from = sender.peer_address;
  if (const auto* request = std::get_if<JoinRequest>(&delivery.message)) {
    this->Apply(delivery.to, JoinReceived{sender.id, *request});
    this->Schedule(
        this->network.max_delay,
        {delivery.to, delivery.from, MakeMemberTable(node.state, this->now)});
    return;
  }
  if (const auto* table = std::get_if<MemberTable>(&delivery.message)) {
    this->Apply(delivery.to, TableReceived{from, *table});
    return;
  }
  const auto& datagram = std::get<DatagramMessage>(delivery.message);
  if (const auto* ping = std::get_if<Ping>(&datagram)) {
    this->Apply(delivery.to,
                PingReceived{from, sender.id, sender.incarnation, *ping});
  } else if (const auto* ack = std::get_if<Ack>(&datagram)) {
    this->Apply(delivery.to,
                AckReceived{from, sender.id, sender.incarnation, *ack});
  } else if (const auto* request = std::get_if<PingRequest>(&datagram)) {
    this->Apply(delivery.to, PingRequestReceived{from, sender.id,
                                                 sender.incarnation, *request});
  }
}

bool Simulation::IsCut(size_t a, size_t b) const {
  return this->cut_off.contains(a) != this->cut_off.contains(b);
}

size_t Simulation::IndexOf(const Endpoint& endpoint) const {
  return static_cast<size_t>(endpoint.port) - 1;
}

MemberStatus Simulation::StatusAt(size_t observer, size_t target) const {
  const auto member =
      FindMember(this->nodes[observer].state, this->IdOf(target));
  return member ? member->status : MemberStatus::kFailed;
}

bool Simulation::HoldsLease(size_t index) const {
  return HoldsServingLease(this->nodes[index].state, this->now);
}

void Settle(Simulation& simulation) {
  constexpr Duration kLimit = std::chrono::seconds(60);
  const Duration joined = simulation.RunUntil(kLimit, [&] {
    return AllBut(simulation, kNone, [&](size_t i) {
      const MembershipState& state = simulation.At(i).state;
      // Under loss, some member is suspected at most moments.
      const size_t known =
          LiveMembers(state).size() + UnheardMembers(state).size();
      return known == simulation.size() && simulation.HoldsLease(i) &&
             DigestsAgree(state);
    });
  });
  ASSERT_LT(joined, kLimit);
  for (size_t i = 0; i < simulation.size(); ++i) {
    simulation.At(i).news.clear();
  }
}

bool AllBut(const Simulation& simulation,
            size_t except,
            const std::function<bool(size_t)>& condition) {
  for (size_t i = 0; i < simulation.size(); ++i) {
    if (i != except && simulation.At(i).is_running && !condition(i)) {
      return false;
    }
  }
  return true;
}

void Raise(Simulation& simulation, size_t index, uint64_t revision) {
  simulation.Post(index, LocalChanged{ConfigRevision{revision}, false, 0});
}

}  // namespace boragewharf::membership
