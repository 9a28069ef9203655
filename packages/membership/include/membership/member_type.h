/**
 * @file member_type.h
 * Members and what they report about themselves.
 */
#pragma once

#include <cstdint>
#include <string>

#include "base/endpoint_type.h"
#include "base/strong_id_type.h"

namespace boragewharf::membership {

/** State of a member as others see it; a later one prevails at equal
 * incarnation. */
enum class MemberStatus : uint8_t {
  kAlive = 0,    ///< Answers.
  kSuspect = 1,  ///< Did not answer; it can refute that.
  kFailed = 2,   ///< Did not refute in time; returns if it refutes later.
  kLeaving = 3,  ///< Announced that it leaves; final.
};

/** What a member says about itself; the higher number is the newer report. */
struct MemberReport {
  uint32_t number = 0;           ///< Rises with each change.
  ConfigRevision held_revision;  ///< Highest configuration revision it holds.
  uint64_t set_digest = 0;       ///< Its MemberSetDigest().
  uint32_t open_streams = 0;     ///< Streams in progress.

  auto operator<=>(const MemberReport&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->number, this->held_revision, this->set_digest,
            this->open_streams);
  }
};

/** A daemon process. */
struct Member {
  MemberId id;              ///< Random per process start.
  std::string instance;     ///< Name in the instance list.
  std::string zone;         ///< Availability zone.
  std::string region;       ///< Region of the zone.
  Endpoint caller_address;  ///< Where callers connect.
  Endpoint peer_address;    ///< UDP and TCP address for other daemons.
  int64_t started_at = 0;   ///< Wall clock, milliseconds since the epoch.
  MemberStatus status = MemberStatus::kAlive;  ///< See MemberStatus.
  uint32_t incarnation = 0;  ///< Raised by the member itself to refute.
  MemberReport report;       ///< Newest report known.

  auto operator<=>(const Member&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->id, this->instance, this->zone, this->region,
            this->caller_address, this->peer_address, this->started_at,
            this->status, this->incarnation, this->report);
  }
};

}  // namespace boragewharf::membership
