/**
 * @file message_type.h
 * Messages between daemons about members, and the updates they carry.
 */
#pragma once

#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "base/endpoint_type.h"
#include "base/strong_id_type.h"
#include "membership/member_type.h"

namespace boragewharf::membership {

/** The full record of a member. */
struct JoinUpdate {
  Member member;  ///< With its status as the sender sees it.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->member);
  }
};

/** A member's status changed. */
struct StatusUpdate {
  MemberId member;                             ///< Whose status.
  MemberStatus status = MemberStatus::kAlive;  ///< New status.
  uint32_t incarnation = 0;                    ///< The member's, at that time.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->member, this->status, this->incarnation);
  }
};

/**
 * A member's held revision or member-set digest. Spread only while digests
 * differ, see HeldSetUpdate.
 */
struct ReportUpdate {
  MemberId member;      ///< Whose report.
  MemberReport report;  ///< New report.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->member, this->report);
  }
};

/**
 * Which members hold a configuration revision, in one bit each. Only members
 * with the same member-set digest understand it. In this form the news that
 * all members hold a revision takes n/8 bytes, where one report of each member
 * would take 36n.
 */
struct HeldSetUpdate {
  uint64_t set_digest = 0;  ///< Digest that all members of the set reported.
  ConfigRevision revision;  ///< Revision that they hold, or a higher one.
  std::string bits;  ///< Bit i: the known member with the i-th lowest id.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->set_digest, this->revision, this->bits);
  }
};

/** A backend server is leaving. */
struct BackendLeavingUpdate {
  std::string instance;  ///< Name in the instance list.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->instance);
  }
};

/** Backend servers crashed while running a request. */
struct CrashUpdate {
  uint64_t fingerprint = 0;  ///< Of customer and request.
  MemberId observer;         ///< Member that saw the crashes.
  uint32_t count = 0;        ///< Crashes that this member saw, in total.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->fingerprint, this->observer, this->count);
  }
};

/** News that travels on pings and acknowledgements. */
using Update = std::variant<JoinUpdate,
                            StatusUpdate,
                            ReportUpdate,
                            BackendLeavingUpdate,
                            CrashUpdate,
                            HeldSetUpdate>;

/** Asks a member for a sign of life and a serving lease. */
struct Ping {
  uint64_t number = 0;          ///< Random; repeated by the Ack.
  MemberId target;              ///< Only this process answers.
  bool is_confirmed = false;    ///< Enough members know the sender.
  MemberReport report;          ///< The sender's.
  std::vector<Update> updates;  ///< News.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->number, this->target, this->is_confirmed, this->report,
            this->updates);
  }
};

/** Answers a Ping or PingRequest. */
struct Ack {
  uint64_t number = 0;  ///< Of the Ping or PingRequest.
  MemberId responder;   ///< Member that is alive.
  /// Serving lease, counted from the time the ping was sent; 0 for none.
  uint32_t lease_milliseconds = 0;
  bool wants_introduction = false;  ///< The pinging member is unknown here.
  MemberReport report;              ///< The sender's.
  std::vector<Update> updates;      ///< News.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->number, this->responder, this->lease_milliseconds,
            this->wants_introduction, this->report, this->updates);
  }
};

/** Asks a member to ping another one that did not answer. */
struct PingRequest {
  uint64_t number = 0;          ///< Number of the unanswered Ping.
  MemberId target;              ///< Member to ping.
  MemberReport report;          ///< The sender's.
  std::vector<Update> updates;  ///< News.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->number, this->target, this->report, this->updates);
  }
};

/** TCP request for the member table; introduces the sender. */
struct JoinRequest {
  Member member;  ///< The sender.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->member);
  }
};

/** An application update with its remaining lifetime. */
struct TimedUpdate {
  Update update;                        ///< BackendLeaving or Crash.
  uint32_t remaining_milliseconds = 0;  ///< Until it is dropped.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->update, this->remaining_milliseconds);
  }
};

/** Answer to a JoinRequest. */
struct MemberTable {
  std::vector<Member> members;       ///< The sender and all it knows.
  std::vector<TimedUpdate> updates;  ///< Application updates in force.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->members, this->updates);
  }
};

}  // namespace boragewharf::membership
