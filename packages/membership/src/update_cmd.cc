/**
 * @file update_cmd.cc
 * Spreading of updates on datagrams.
 */
#include "update_cmd.h"

#include <algorithm>
#include <cmath>
#include <type_traits>

namespace boragewharf::membership {
namespace {

// A newer status replaces an older one of the same member; so does a report.
UpdateKey KeyOf(const Update& update) {
  UpdateKey key;
  if (const auto* status = std::get_if<StatusUpdate>(&update)) {
    key.id = status->member.value;
  } else if (const auto* leaving = std::get_if<BackendLeavingUpdate>(&update)) {
    key.priority = 1;
    key.name = leaving->instance;
  } else if (std::holds_alternative<HeldSetUpdate>(update)) {
    key.priority = 2;
  } else if (const auto* crash = std::get_if<CrashUpdate>(&update)) {
    key.priority = 3;
    key.id = crash->fingerprint;
    key.observer = crash->observer.value;
  } else if (const auto* join = std::get_if<JoinUpdate>(&update)) {
    key.priority = 4;
    key.id = join->member.id.value;
  } else if (const auto* report = std::get_if<ReportUpdate>(&update)) {
    key.priority = 5;
    key.id = report->member.value;
  }
  return key;
}

size_t EncodedBytes(const std::string& text) {
  return 8 + text.size();  // The length is a 64-bit number.
}

// Encoded size with the index of the variant (32 bit).
size_t EncodedBytes(const Update& update) {
  constexpr size_t kIndexBytes = 4;
  constexpr size_t kReportBytes = 4 + 8 + 8 + 4;
  constexpr size_t kStatusBytes = 8 + 1 + 4;
  if (const auto* join = std::get_if<JoinUpdate>(&update)) {
    const Member& member = join->member;
    return kIndexBytes + kStatusBytes + 8 + kReportBytes +
           EncodedBytes(member.instance) + EncodedBytes(member.zone) +
           EncodedBytes(member.region) +
           EncodedBytes(member.caller_address.host) + 2 +
           EncodedBytes(member.peer_address.host) + 2;
  }
  if (std::holds_alternative<ReportUpdate>(update)) {
    return kIndexBytes + 8 + kReportBytes;
  }
  if (const auto* leaving = std::get_if<BackendLeavingUpdate>(&update)) {
    return kIndexBytes + EncodedBytes(leaving->instance);
  }
  if (const auto* held = std::get_if<HeldSetUpdate>(&update)) {
    return kIndexBytes + 8 + 8 + EncodedBytes(held->bits);
  }
  if (std::holds_alternative<CrashUpdate>(update)) {
    return kIndexBytes + 8 + 8 + 4;
  }
  return kIndexBytes + kStatusBytes;
}

uint32_t MaxTransmissions(const MembershipState& state) {
  const double members = static_cast<double>(state.members.size()) + 2;
  return static_cast<uint32_t>(
      std::ceil(state.options.transmissions_factor * std::log2(members)));
}

template <class Map, class IsOlder>
void DropOldest(Map& map, size_t limit, IsOlder is_older) {
  if (map.size() > limit) {
    map.erase(std::min_element(map.begin(), map.end(), is_older));
  }
}

}  // namespace

void QueueUpdate(const Context& context, Update update) {
  const UpdateKey key = KeyOf(update);
  context.state.updates[key] = QueuedUpdate{std::move(update), 0};
}

std::vector<Update> TakeUpdates(const Context& context,
                                std::vector<Update> first) {
  const MembershipOptions& options = context.state.options;
  using Queued = std::map<UpdateKey, QueuedUpdate>::iterator;
  std::vector<Queued> order;
  for (auto entry = context.state.updates.begin();
       entry != context.state.updates.end(); ++entry) {
    order.push_back(entry);
  }
  // Stable, so that equals keep the order of their priority.
  std::stable_sort(order.begin(), order.end(), [](Queued a, Queued b) {
    if (a->first.priority != b->first.priority) {
      return a->first.priority < b->first.priority;
    }
    return a->second.sent_count < b->second.sent_count;
  });
  std::vector<Update> taken = std::move(first);
  size_t bytes = 0;
  for (const Update& update : taken) {
    bytes += EncodedBytes(update);
  }
  const uint32_t max_transmissions = MaxTransmissions(context.state);
  for (const Queued entry : order) {
    if (taken.size() >= options.max_updates) {
      break;
    }
    const size_t size = EncodedBytes(entry->second.update);
    if (bytes + size > options.max_update_bytes) {
      continue;
    }
    bytes += size;
    taken.push_back(entry->second.update);
    ++entry->second.sent_count;
    if (entry->second.sent_count >= max_transmissions) {
      context.state.updates.erase(entry);
    }
  }
  return taken;
}

bool RecordLeavingBackend(const Context& context,
                          const std::string& instance,
                          TimePoint end) {
  auto& backends = context.state.leaving_backends;
  if (instance.empty() || instance.size() > kMaxNameBytes ||
      !backends.emplace(instance, end).second) {
    return false;
  }
  DropOldest(backends, context.state.options.max_leaving_backends,
             [](const auto& a, const auto& b) { return a.second < b.second; });
  QueueUpdate(context, BackendLeavingUpdate{instance});
  return true;
}

bool RecordCrash(const Context& context,
                 const CrashUpdate& crash,
                 TimePoint end) {
  auto& crashes = context.state.crashes;
  CrashEntry& entry = crashes[{crash.fingerprint, crash.observer}];
  if (crash.count <= entry.count) {
    if (entry.count == 0) {
      crashes.erase({crash.fingerprint, crash.observer});
    }
    return false;
  }
  entry = CrashEntry{crash.count, end};
  DropOldest(
      crashes, context.state.options.max_crashes,
      [](const auto& a, const auto& b) { return a.second.end < b.second.end; });
  QueueUpdate(context, crash);
  return true;
}

uint32_t TotalCrashes(const MembershipState& state, uint64_t fingerprint) {
  uint64_t total = 0;
  for (auto entry = state.crashes.lower_bound({fingerprint, MemberId{}});
       entry != state.crashes.end() && entry->first.first == fingerprint;
       ++entry) {
    total += entry->second.count;
  }
  return static_cast<uint32_t>(std::min<uint64_t>(total, UINT32_MAX));
}

void DropExpiredUpdates(const Context& context) {
  std::erase_if(context.state.leaving_backends,
                [&](const auto& entry) { return entry.second <= context.now; });
  std::erase_if(context.state.crashes, [&](const auto& entry) {
    return entry.second.end <= context.now;
  });
}

}  // namespace boragewharf::membership
