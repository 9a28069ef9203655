/**
 * @file leaving_servers_base.h
 * Servers that have said in an answer that they are about to stop.
 */
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "base/time_type.h"
#include "serving/peer_type.h"

namespace boragewharf::serving {

/** One lifetime of a server; a restart may keep the id. */
struct ServerLifetime {
  NameHash id = 0;
  uint64_t started = 0;  ///< Start time in Unix milliseconds.

  auto operator<=>(const ServerLifetime&) const = default;
};

/**
 * Lifetimes of servers that are leaving, from their own answers and from the
 * other nodes. A server that is leaving stays so until its lifetime ends,
 * whatever the platform's list says, since some servers leave without being
 * listed as draining. A wrong mark is found by asking the server again.
 *
 * Pure state, without any I/O. Not thread-safe.
 */
class LeavingServers {
 public:
  /** @param check_period Time after which a server is asked again. */
  explicit LeavingServers(Duration check_period) : period(check_period) {}

  /** Records an answer in which the server said that it is leaving.
   * @return Whether this was not known before. */
  bool Mark(const ServerLifetime& server, TimePoint now);

  /**
   * Records what another node knows. It does not renew a known mark; otherwise
   * nodes would renew each other's marks forever.
   * @return Whether this was not known before.
   */
  bool Merge(const LeavingServer& announced, TimePoint now);

  /** Removes the mark of a server that was asked at @p asked and answered that
   * it is not leaving. Announcements of earlier answers are ignored then. */
  void Clear(const ServerLifetime& server, TimePoint asked);

  /** Whether the server is leaving. */
  bool Contains(const ServerLifetime& server) const;

  /** Servers that have to be asked again; each is returned once per period. */
  std::vector<ServerLifetime> TakeDueChecks(TimePoint now);

  /** The most recent marks, to be announced to the other nodes. */
  std::vector<LeavingServer> Announce() const;

  /** Forgets all lifetimes that are not in @p present. */
  void Retain(const std::set<ServerLifetime>& present);

 private:
  struct Entry {
    std::optional<TimePoint> marked;   ///< Time of the newest answer.
    std::optional<TimePoint> cleared;  ///< See Clear().
    TimePoint next_check;
  };

  Duration period;
  std::map<ServerLifetime, Entry> entries;
};

}  // namespace boragewharf::serving
