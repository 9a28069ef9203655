/**
 * @file effect_executor_base.cc
 * Execution of membership, configuration and backend effects.
 */
#include "daemon/effect_executor_base.h"

#include "backend/backend_func.h"
#include "base/body_func.h"
#include "base/result_func.h"
#include "daemon/log_func.h"
#include "daemon/probe_func.h"
#include "membership/membership_func.h"

namespace boragewharf::daemon {

namespace {

constexpr Duration kTableTimeout = std::chrono::seconds(2);

/** A document of 1 MB takes 0.3 s over the link of 30 Mbit/s. */
constexpr Duration kDocumentTimeout = std::chrono::seconds(4);

constexpr Duration kProbeTimeout = std::chrono::milliseconds(500);

MessageType TypeOf(const membership::Ping&) {
  return MessageType::kPing;
}

MessageType TypeOf(const membership::Ack&) {
  return MessageType::kAck;
}

MessageType TypeOf(const membership::PingRequest&) {
  return MessageType::kPingRequest;
}

}  // namespace

void EffectExecutor::Handle(const control::ControlState& state,
                            std::span<const control::Effect> effects) {
  const uint32_t incarnation = state.membership.self.incarnation;
  this->parts.udp.SetIncarnation(incarnation);
  this->parts.peers.SetIncarnation(incarnation);
  bool snapshot_changed = false;
  for (const control::Effect& effect : effects) {
    if (std::holds_alternative<control::SnapshotChanged>(effect)) {
      snapshot_changed = true;
      continue;
    }
    if (const auto* notice = std::get_if<control::OwnReclaimNoticed>(&effect)) {
      LogStateChange("this instance is reclaimed; draining");
      this->parts.on_reclaim(notice->deadline);
      continue;
    }
    std::visit(
        [&](const auto& module_effect) {
          if constexpr (!std::is_empty_v<
                            std::decay_t<decltype(module_effect)>> &&
                        !std::is_same_v<std::decay_t<decltype(module_effect)>,
                                        control::OwnReclaimNoticed>) {
            this->Execute(state, module_effect);
          }
        },
        effect);
  }
  if (snapshot_changed) {
    this->parts.publisher.Publish(state);
  }
}

void EffectExecutor::Execute(const control::ControlState& state,
                             const membership::MembershipEffect& effect) {
  std::visit([&](const auto& concrete) { this->Run(state, concrete); }, effect);
}

void EffectExecutor::Execute(const control::ControlState& state,
                             const config::ConfigEffect& effect) {
  std::visit([&](const auto& concrete) { this->Run(state, concrete); }, effect);
}

void EffectExecutor::Execute(const control::ControlState& state,
                             const backend::BackendEffect& effect) {
  std::visit([&](const auto& concrete) { this->Run(state, concrete); }, effect);
}

void EffectExecutor::Run(const control::ControlState&,
                         const membership::SendDatagram& effect) {
  std::visit(
      [&](const auto& message) {
        this->parts.udp.Send(effect.to, TypeOf(message), EncodeBody(message));
      },
      effect.message);
}

void EffectExecutor::Run(const control::ControlState&,
                         const membership::FetchTable& effect) {
  this->parts.peer_tasks.Submit([this, effect] {
    const auto reply =
        this->parts.peers.Call(effect.from, MessageType::kJoin,
                               EncodeBody(effect.request), kTableTimeout);
    if (!reply) {
      return;
    }
    auto table = DecodeBody<membership::MemberTable>(reply->body);
    if (!table) {
      return;
    }
    this->parts.loop.Post(membership::MembershipEvent(
        membership::TableReceived{effect.from, std::move(*table)}));
  });
}

void EffectExecutor::Run(const control::ControlState&,
                         const membership::MemberChanged& effect) {
  if (effect.previous == effect.member.status) {
    return;
  }
  LogStateChange("member " + effect.member.instance + " is " +
                 std::string(StatusName(effect.member.status)));
}

void EffectExecutor::Run(const control::ControlState&,
                         const membership::MemberForgotten& effect) {
  LogStateChange("member " + effect.member.instance + " is forgotten");
}

void EffectExecutor::Run(const control::ControlState&,
                         const membership::MessageRefused& effect) {
  const std::string name(GetResultInfo(effect.code).name);
  this->parts.counters
      .Get("peer_messages_refused_total", "code=\"" + name + "\"")
      .Add();
}

void EffectExecutor::Run(const control::ControlState& state,
                         const config::FetchFromPeer& effect) {
  const auto member = membership::FindMember(state.membership, effect.peer);
  if (!member) {
    return;
  }
  const Endpoint address = member->peer_address;
  this->parts.peer_tasks.Submit([this, effect, address] {
    const auto reply =
        this->parts.peers.Call(address, MessageType::kFetchDocument, {},
                               kDocumentTimeout, effect.peer);
    if (!reply) {
      return;
    }
    this->parts.loop.Post(
        config::ConfigEvent(config::PeerDocument{effect.peer, reply->body}));
  });
}

void EffectExecutor::Run(const control::ControlState&,
                         const config::AnswerTicket& effect) {
  this->parts.tickets.Complete(effect.submission.value, effect);
}

void EffectExecutor::Run(const control::ControlState&,
                         const config::HeldRevisionChanged& effect) {
  LogStateChange("configuration revision " + std::to_string(effect.held.value) +
                 " is held, " + std::to_string(effect.accepted.value) +
                 " is accepted");
}

void EffectExecutor::Run(const control::ControlState&,
                         const backend::StatusChanged& effect) {
  this->parts.counters.Get("backend_status_changes_total").Add();
  LogStateChange("backend server " + effect.instance + " is " +
                 std::string(StatusName(effect.after)));
}

void EffectExecutor::Run(const control::ControlState& state,
                         const backend::ProbeServer& effect) {
  const auto known = state.backend.servers.find(effect.instance);
  if (known == state.backend.servers.end()) {
    return;
  }
  const Endpoint address = known->second.server.address;
  this->parts.peer_tasks.Submit([this, effect, address] {
    const bool connected = CanConnect(address, kProbeTimeout);
    this->parts.loop.Post(backend::BackendEvent(backend::ServerObserved{
        effect.instance,
        connected ? backend::Observation::kConnected
                  : backend::Observation::kConnectRefused,
        {}}));
  });
}

}  // namespace boragewharf::daemon
