/**
 * @file leaving_servers_base.cc
 * Servers that have said in an answer that they are about to stop.
 */
#include "serving/leaving_servers_base.h"

#include <algorithm>

namespace boragewharf::serving {
namespace {

/** Servers in an announcement, so that it fits into one packet with the rest of
 * the message. */
constexpr size_t kMaxAnnounced = 32;

/** Lifetimes that are kept. A peer may announce servers that this node's list
 * does not contain yet. */
constexpr size_t kMaxEntries = 4096;

}  // namespace

bool LeavingServers::Mark(const ServerLifetime& server, TimePoint now) {
  Entry& entry = this->entries[server];
  const bool is_new = !entry.marked;
  entry.marked = now;
  if (is_new) {
    entry.next_check = now + this->period;
  }
  return is_new;
}

bool LeavingServers::Merge(const LeavingServer& announced, TimePoint now) {
  const ServerLifetime server{announced.server, announced.started};
  const TimePoint answered = now - std::chrono::milliseconds(announced.age_ms);
  const auto found = this->entries.find(server);
  if (found == this->entries.end()) {
    if (this->entries.size() >= kMaxEntries) {
      return false;
    }
    this->entries[server] = {answered, std::nullopt, now + this->period};
    return true;
  }
  Entry& entry = found->second;
  if (entry.marked || answered <= *entry.cleared) {
    return false;
  }
  entry.marked = answered;
  entry.next_check = now + this->period;
  return true;
}

void LeavingServers::Clear(const ServerLifetime& server, TimePoint asked) {
  const auto found = this->entries.find(server);
  if (found == this->entries.end() || !found->second.marked ||
      *found->second.marked >= asked) {
    return;
  }
  found->second.marked.reset();
  found->second.cleared = asked;
}

bool LeavingServers::Contains(const ServerLifetime& server) const {
  if (this->entries.empty()) {
    return false;
  }
  const auto found = this->entries.find(server);
  return found != this->entries.end() && found->second.marked;
}

std::vector<ServerLifetime> LeavingServers::TakeDueChecks(TimePoint now) {
  std::vector<ServerLifetime> due;
  for (auto& [server, entry] : this->entries) {
    if (entry.marked && now >= entry.next_check) {
      entry.next_check = now + this->period;
      due.push_back(server);
    }
  }
  return due;
}

std::vector<LeavingServer> LeavingServers::Announce() const {
  std::vector<LeavingServer> announced;
  for (const auto& [server, entry] : this->entries) {
    if (entry.marked) {
      announced.push_back({server.id, server.started, 0, *entry.marked});
    }
  }
  if (announced.size() > kMaxAnnounced) {
    std::ranges::nth_element(announced, announced.begin() + kMaxAnnounced,
                             std::ranges::greater(), &LeavingServer::answered);
    announced.resize(kMaxAnnounced);
  }
  return announced;
}

void LeavingServers::Retain(const std::set<ServerLifetime>& present) {
  std::erase_if(this->entries, [&](const auto& entry) {
    return !present.contains(entry.first);
  });
}

}  // namespace boragewharf::serving
