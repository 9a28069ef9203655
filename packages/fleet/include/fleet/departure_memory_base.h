/**
 * @file departure_memory_base.h
 * Ends of server lifetimes that a node knows of, kept for the case that the
 * store comes back from a copy that is older than them.
 */
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "base/time_type.h"
#include "fleet/list_order_type.h"
#include "serving/server_type.h"

namespace boragewharf::fleet {

/** How to use the entry of a server. */
enum class ListedAs : uint8_t {
  kListed,    ///< Nothing newer is known; use the entry as it is.
  kDraining,  ///< Its lifetime is known to end: use the entry as draining.
  kRemoved,   ///< Its lifetime is known to have ended: do not use the entry.
};

/**
 * Draining and removed servers with their lifetimes. A server does not become
 * ready again within a lifetime, so a list that shows it as ready in a later
 * era of the store was copied before. Not thread-safe.
 */
class DepartureMemory {
 public:
  /** Records that a server drains, as known at a position of the list. */
  void RecordDraining(const serving::BackendServer& server,
                      const ListOrder& position,
                      TimePoint now);

  /** Records that a server drains, as another node's list shows. That node may
   * know it from an earlier era than that of its list. */
  void RecordToldDraining(const serving::BackendServer& server, TimePoint now);

  /** Records that a server was removed, as known at a position of the list. */
  void RecordRemoval(const serving::BackendServer& server,
                     const ListOrder& position,
                     TimePoint now);

  /** How to use an entry of a complete list. */
  ListedAs JudgeListed(const serving::BackendServer& listed,
                       const ListOrder& position) const;

  /** How to use an entry of a complete list that another node only keeps in
   * case the server returns. */
  ListedAs JudgeLapsed(const serving::BackendServer& listed) const;

  /** How to use an entry that was written at the given position. */
  ListedAs JudgeChanged(const serving::BackendServer& changed,
                        const ListOrder& position) const;

  /** Whether the server has drained in its current lifetime. */
  bool HasDrained(const serving::BackendServer& server) const;

  /** Forgets a server whose entry is known to be current. */
  void Forget(const std::string& id) { this->known.erase(id); }

  /** Forgets removals after some time. Must be called regularly. */
  void Expire(TimePoint now);

 private:
  struct Departure {
    uint64_t started = 0;  ///< Start of the lifetime that ends.
    ListOrder position;    ///< Of the list that showed it.
    TimePoint seen;
    bool removed = false;
    bool drained = false;  ///< Has been draining.
  };

  /** What is known of the lifetime of an entry; null if nothing newer. */
  const Departure* Find(const serving::BackendServer& server) const;

  std::map<std::string, Departure> known;  ///< By server id.
};

}  // namespace boragewharf::fleet
