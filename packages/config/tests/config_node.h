/**
 * @file config_node.h
 * State of one simulated daemon.
 */
#pragma once

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "config/config_func.h"

namespace boragewharf::config {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline constexpr Duration kServingLease = seconds(4);
inline constexpr Duration kPingPeriod = milliseconds(500);
inline constexpr Duration kSuspectAfter = milliseconds(1500);

/** What one node knows of another one. */
struct KnownMember {
  std::string instance;
  TimePoint heard;
  ConfigRevision held;
  ConfigRevision accepted;
  uint64_t digest = 0;
  bool established = true;  ///< As reported; see Node.
};

/**
 * A daemon. The simulated membership is as strict as that of the membership
 * package, in a simpler form:
 * - A started member serves and grants leases only once two members that may
 *   do so (or the only one) have granted it a lease.
 * - Members of the instance list that are not in the table are known and
 *   unheard.
 * - A member that the instance list no longer contains is dropped only after a
 *   current read of the document that began after that.
 */
struct Node {
  Node(MemberId member, std::string name, uint64_t seed)
      : id(member), instance(std::move(name)), state(member, seed) {}

  MemberId id;
  std::string instance;
  ConfigState state;
  bool running = true;
  TimePoint paused_until;
  int group = 0;  ///< Only nodes of one group reach each other.
  std::map<MemberId, KnownMember> table;
  TimePoint lease_until;
  bool established = false;
  std::set<MemberId> confirmed_by;
  std::set<MemberId> listed;  ///< Instance list as read last.
  std::set<MemberId> gone;    ///< Dropped from the table.
  ConfigRevision published;
  MembersObserved observed;
};

/** Chances of faults, in percent. */
struct FaultRates {
  int lost_message = 10;
  int lost_answer = 12;
  int stale_read = 12;
  int busy = 4;
};

/** All answers to the submissions of one ticket. */
struct TicketHistory {
  int submissions = 0;
  std::vector<ResultCode> answers;
};

}  // namespace boragewharf::config
