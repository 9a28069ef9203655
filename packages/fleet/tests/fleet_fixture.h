/**
 * @file fleet_fixture.h
 * Test fixture that applies events to one node's control state.
 */
#pragma once

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "fleet/fleet_cmd.h"

namespace boragewharf::fleet {

inline constexpr int64_t kStartWallMs = 1784182260000;

/** Control state of one node, to which tests apply events directly. */
class FleetTest : public testing::Test {
 protected:
  FleetTest() : state(MakeSettings("10.0.0.1")) {}

  static FleetSettings MakeSettings(const std::string& ip) {
    FleetSettings settings;
    settings.node_name = "node-" + ip;
    settings.ip = ip;
    settings.zone = "a";
    settings.region = "r1";
    settings.incarnation = MakeIncarnation(kStartWallMs, 7);
    settings.usage_window = std::chrono::seconds(5);
    settings.usage_late = std::chrono::seconds(10);
    settings.lease_timing.lease_time = std::chrono::milliseconds(3600);
    settings.lease_timing.order_lifetime = std::chrono::seconds(1);
    settings.lease_timing.renew_period = std::chrono::seconds(1);
    return settings;
  }

  /** Applies an event; @ref effects then holds its effects only. */
  void Apply(const Event& event) {
    this->effects.clear();
    Reduce(this->state, event, this->now, this->effects);
  }

  /** Advances the time with ticks. */
  void TickFor(Duration time) {
    const TimePoint end = this->now + time;
    while (this->now < end) {
      this->now += kTickPeriod;
      this->Apply(Tick{kStartWallMs + (this->now - TimePoint{}) /
                                          std::chrono::milliseconds(1)});
    }
  }

  /** Returns the first effect of a type from the last event, or nullptr. */
  template <class Wanted>
  const Wanted* Find() const {
    for (const Effect& effect : this->effects) {
      if (const auto* found = std::get_if<Wanted>(&effect)) {
        return found;
      }
    }
    return nullptr;
  }

  static std::shared_ptr<serving::ServingConfig> Config(uint64_t version) {
    auto config = std::make_shared<serving::ServingConfig>();
    config->version = version;
    serving::Customer customer;
    customer.name = "school";
    config->customers.push_back(customer);
    serving::IndexConfig(*config);
    return config;
  }

  static serving::BackendServer Server(const std::string& id) {
    serving::BackendServer server;
    server.id = id;
    server.service = "llm";
    server.zone = "a";
    return server;
  }

  serving::PeerMessage Message(const std::string& ip, uint64_t sequence) {
    serving::PeerMessage message;
    message.format = serving::kPeerFormat;
    message.status.name = "node-" + ip;
    message.status.ip = ip;
    message.status.region = "r1";
    message.status.incarnation = MakeIncarnation(kStartWallMs, 1);
    message.status.sequence = sequence;
    message.status.ready = true;
    message.status.wall_ms =
        kStartWallMs + (this->now - TimePoint{}) / std::chrono::milliseconds(1);
    return message;
  }

  /** Gives the node a configuration and a server list, so that it is ready. */
  void Configure() {
    this->Apply(StoreReachable{true});
    this->Apply(ConfigRead{10, Config(3), "{}"});
    this->Apply(ServersRead{11, {Server("s1"), Server("s2")}, false});
  }

  FleetState state;
  TimePoint now{std::chrono::seconds(1000)};
  std::vector<Effect> effects;
};

}  // namespace boragewharf::fleet
