/**
 * @file forward_cmd.cc
 * Messages of large deployments.
 */
#include "forward_cmd.h"

#include <algorithm>
#include <iterator>

#include "fleet/fleet_cmd.h"
#include "spread_cmd.h"

namespace boragewharf::fleet {
namespace {

using std::chrono::milliseconds;

/** Up to this many nodes, or this product of nodes and servers, each node sends
 * complete messages to every other one. 95 nodes with 100 servers are below. */
constexpr size_t kMaxDirectNodes = 150;
constexpr size_t kMaxDirectNodeServers = 20000;

/** Shortest interval between messages caused by new processes in a large
 * deployment, where hundreds of processes start within a second. */
constexpr milliseconds kNewProcessMessagePeriod(500);

/** Most messages forwarded per second. In normal operation each node forwards
 * the messages of about one node of each other region. */
constexpr uint32_t kMaxForwardsPerSecond = 64;

bool MayForward(const FleetState& state,
                const PeerEntry& entry,
                TimePoint now) {
  return entry.forwards && !entry.status.leaving &&
         !IsSilent(entry.last_message_at, MessagePeriod(state), now);
}

}  // namespace

bool IsLarge(const FleetState& state) {
  const size_t nodes = state.peers.KnownAddresses() + 1;
  return nodes > kMaxDirectNodes ||
         nodes * state.servers.size() > kMaxDirectNodeServers;
}

void SetForwardingFlags(serving::PeerMessage& message, uint8_t flags) {
  constexpr auto kKind =
      static_cast<uint16_t>(serving::ExtensionKind::kForwarding);
  auto& extensions = message.report.extensions;
  std::erase_if(extensions, [&](const serving::PeerExtension& extension) {
    return extension.kind == kKind;
  });
  extensions.insert(extensions.begin(),
                    {kKind, std::string(1, static_cast<char>(flags)),
                     serving::ExtensionScope::kAllRegions});
  if (extensions.size() > serving::kMaxExtensions) {
    extensions.resize(serving::kMaxExtensions);
  }
}

void MakePartial(serving::PeerMessage& message) {
  serving::TrafficReport report;
  report.admitted = std::move(message.report.admitted);
  report.leaving = std::move(message.report.leaving);
  message.report = std::move(report);
  message.known_ips.clear();
}

std::map<std::string, std::vector<std::string>>
SelectForwarders(const FleetState& state, size_t copies, TimePoint now) {
  const std::string salt = state.settings.ip + std::to_string(state.sequence);
  std::map<std::string, std::vector<std::pair<uint32_t, std::string>>> ranked;
  for (const auto& [ip, entry] : state.peers.All()) {
    if (MayForward(state, entry, now)) {
      ranked[entry.status.region].emplace_back(serving::HashName(ip + salt),
                                               ip);
    }
  }
  std::map<std::string, std::vector<std::string>> selected;
  for (auto& [region, nodes] : ranked) {
    const size_t count = std::min(copies, nodes.size());
    std::ranges::partial_sort(
        nodes, nodes.begin() + static_cast<std::ptrdiff_t>(count));
    for (size_t i = 0; i < count; ++i) {
      selected[region].push_back(nodes[i].second);
    }
  }
  return selected;
}

void ForwardMessage(FleetState& state,
                    const serving::PeerMessage& message,
                    TimePoint now,
                    std::vector<Effect>& effects) {
  const auto flags = ForwardingFlags(message);
  if (!flags || (*flags & serving::kForward) == 0) {
    return;
  }
  if (now - state.forwards_counted_since >= std::chrono::seconds(1)) {
    state.forwards_counted_since = now;
    state.forwards = 0;
  }
  if (state.forwards >= kMaxForwardsPerSecond) {
    return;
  }
  state.forwards += 1;
  SendToPeers compressed{{}, message, true};
  SetForwardingFlags(compressed.message,
                     *flags & static_cast<uint8_t>(~serving::kForward));
  SendToPeers plain{{}, {}, false};
  for (const auto& [ip, entry] : state.peers.All()) {
    if (ip != message.status.ip &&
        entry.status.region == state.settings.region) {
      (entry.forwards ? compressed : plain).ips.push_back(ip);
    }
  }
  plain.message = compressed.message;
  for (SendToPeers* send : {&compressed, &plain}) {
    // A node of an earlier version would take a partial message for a complete
    // one.
    const bool is_readable =
        send->compressed || (*flags & serving::kPartial) == 0;
    if (!send->ips.empty() && is_readable) {
      effects.emplace_back(std::move(*send));
    }
  }
}

void ScheduleMessageToNewProcess(FleetState& state, TimePoint now) {
  // Lets the new process learn of this node and others sooner.
  if (!IsLarge(state)) {
    ScheduleEarlyMessage(state, now);
    return;
  }
  state.next_message_to_all = true;
  state.next_message =
      std::min(state.next_message,
               std::max(now, state.last_message + kNewProcessMessagePeriod));
}

}  // namespace boragewharf::fleet
