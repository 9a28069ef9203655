/**
 * @file departure_memory_base.cc
 * Ends of server lifetimes that a node knows of.
 */
#include "fleet/departure_memory_base.h"

namespace boragewharf::fleet {
namespace {

/** Time for which removals are remembered: the age of the store's copies (some
 * seconds), an outage of the store before it returns, and several returns in a
 * row. */
constexpr std::chrono::seconds kRemovalMemory(60);

/** Largest number of remembered servers. Bounds the memory when thousands of
 * servers are replaced within kRemovalMemory. */
constexpr size_t kMaxRemembered = 16384;

}  // namespace

void DepartureMemory::RecordDraining(const serving::BackendServer& server,
                                     const ListOrder& position,
                                     TimePoint now) {
  this->known[server.id] = {server.started, position, now, false, true};
}

void DepartureMemory::RecordToldDraining(const serving::BackendServer& server,
                                         TimePoint now) {
  const auto found = this->known.find(server.id);
  const bool is_known = found != this->known.end() &&
                        found->second.started >= server.started &&
                        !found->second.removed;
  if (!is_known) {
    // Before all eras, so that only a change shows it as ready again.
    this->RecordDraining(server, {}, now);
  }
}

void DepartureMemory::RecordRemoval(const serving::BackendServer& server,
                                    const ListOrder& position,
                                    TimePoint now) {
  if (this->known.size() < kMaxRemembered || this->known.contains(server.id)) {
    const bool drained = server.draining || this->HasDrained(server);
    this->known[server.id] = {server.started, position, now, true, drained};
  }
}

const DepartureMemory::Departure* DepartureMemory::Find(
    const serving::BackendServer& server) const {
  const auto found = this->known.find(server.id);
  // A server may start again under its id. An entry of an even earlier
  // lifetime is older, too.
  if (found == this->known.end() || server.draining ||
      server.started > found->second.started) {
    return nullptr;
  }
  return &found->second;
}

bool DepartureMemory::HasDrained(const serving::BackendServer& server) const {
  const auto found = this->known.find(server.id);
  return found != this->known.end() && found->second.drained &&
         server.started <= found->second.started;
}

ListedAs DepartureMemory::JudgeListed(const serving::BackendServer& listed,
                                      const ListOrder& position) const {
  const Departure* departure = this->Find(listed);
  if (departure == nullptr || (position.era == departure->position.era &&
                               position >= departure->position)) {
    return ListedAs::kListed;
  }
  return departure->removed ? ListedAs::kRemoved : ListedAs::kDraining;
}

ListedAs DepartureMemory::JudgeLapsed(
    const serving::BackendServer& listed) const {
  const Departure* departure = this->Find(listed);
  if (departure == nullptr) {
    return ListedAs::kListed;
  }
  return departure->removed ? ListedAs::kRemoved : ListedAs::kDraining;
}

ListedAs DepartureMemory::JudgeChanged(const serving::BackendServer& changed,
                                       const ListOrder& position) const {
  const Departure* departure = this->Find(changed);
  if (departure == nullptr || position >= departure->position) {
    return ListedAs::kListed;
  }
  return departure->removed ? ListedAs::kRemoved : ListedAs::kDraining;
}

void DepartureMemory::Expire(TimePoint now) {
  std::erase_if(this->known, [&](const auto& entry) {
    return entry.second.removed && now - entry.second.seen > kRemovalMemory;
  });
}

}  // namespace boragewharf::fleet
