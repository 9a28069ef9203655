/**
 * @file config_state_type.h
 * State of the configuration reducer.
 */
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "base/time_type.h"
#include "config/config_event_type.h"
#include "config/document_type.h"
#include "config/ticket_type.h"

namespace boragewharf::config {

/** Counted occurrences; only rise. */
struct ConfigCounters {
  uint64_t stale_documents = 0;      ///< Older than the held one.
  uint64_t malformed_documents = 0;  ///< Unreadable, ignored.
  uint64_t newer_formats = 0;        ///< Left unchanged.
  uint64_t store_failures = 0;       ///< Reads that failed.
  uint64_t write_conflicts = 0;      ///< Writes that lost.
  uint64_t unknown_writes = 0;       ///< Writes without an answer.
  uint64_t tickets_staged = 0;       ///< Staged by this member.
  uint64_t tickets_accepted = 0;     ///< Accepted by this member.
  uint64_t tickets_refused = 0;      ///< Answered with a refusal.
};

/** A submitted ticket that is not answered yet. */
struct PendingTicket {
  SubmissionId submission;  ///< For the answer.
  Ticket ticket;            ///< Without faults of its own.
  std::string digest;       ///< Of the ticket.
  TimePoint submitted;      ///< For the bound on the answer.
  bool store_read = false;  ///< A read that began afterwards has succeeded.
  /**
   * Position of the document that a write of this ticket was based on, if the
   * outcome of that write is unknown. Any higher position resolves it, because
   * the write can no longer take effect then.
   */
  std::optional<uint64_t> unknown_base;
};

enum class WriteKind : uint8_t { kStage, kAccept };

/** The one write of this member that the store has not answered. */
struct PendingWrite {
  WriteKind kind = WriteKind::kStage;  ///< What it does.
  std::string write_id;                ///< Names the write.
  Document document;                   ///< What it writes.
  std::string digest;                  ///< Of the ticket that it moves.
};

/** What is known of the other members. */
struct MemberView {
  bool observed = false;             ///< Whether there was any observation.
  std::vector<ObservedMember> live;  ///< Heard members.
  std::vector<std::string> unheard;  ///< Instances of unheard members.
  bool digests_agree = false;        ///< All report the same member set.
  TimePoint last_departure;          ///< Or the start of this process.
  /** When a live member was first observed to hold the staged revision. */
  std::map<MemberId, TimePoint> held_since;
};

/** Access to the store and to peers. */
struct SyncState {
  /** Version of the held document; empty optional if it came from a peer. */
  std::optional<std::string> version;
  bool store_read = false;  ///< Whether the store was ever read.
  bool reading = false;     ///< A read is in flight.
  TimePoint read_started;   ///< When the last read began.
  TimePoint next_read;      ///< When the next read is due.
  TimePoint next_write;     ///< No write before it.
  TimePoint next_fetch;     ///< No fetch from a peer before it.
  uint32_t failures = 0;    ///< Reads that failed in a row.
  /** Why the document in the store cannot be used; kOk if it can. */
  ResultCode unusable = ResultCode::kOk;
};

/** State of the reducer. Only Reduce() changes it after construction. */
struct ConfigState {
  /** @param seed Seed of the generator for jitter and write ids. */
  ConfigState(MemberId member, uint64_t seed) : self(member), random(seed) {}

  MemberId self;                         ///< This member.
  std::mt19937_64 random;                ///< The only source of randomness.
  Document document;                     ///< Held; revision 0 if none yet.
  TimePoint held_since;                  ///< When it took up the held revision.
  SyncState sync;                        ///< Store and peers.
  MemberView members;                    ///< The other members.
  std::vector<PendingTicket> tickets;    ///< In order of arrival.
  std::optional<PendingWrite> write;     ///< At most one at a time.
  std::optional<TimePoint> takeover_at;  ///< When this member may accept.
  ConfigCounters counters;               ///< For metrics.
};

}  // namespace boragewharf::config
