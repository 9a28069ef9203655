/**
 * @file membership_event_type.h
 * Events and effects of the membership reducer.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/endpoint_type.h"
#include "base/result_type.h"
#include "base/strong_id_type.h"
#include "membership/member_type.h"
#include "membership/message_type.h"

namespace boragewharf::membership {

/** Peer addresses to join, of the settings and the instance list together. */
struct SeedsListed {
  std::vector<Endpoint> addresses;  ///< May contain the own address.
};

/**
 * The instance list was read successfully. Never sent after a failed read: a
 * failed member whose instance is not named is forgotten.
 */
struct InstancesListed {
  std::vector<std::string> names;  ///< All entry instances, leaving ones too.
};

/** A Ping arrived. */
struct PingReceived {
  Endpoint from;             ///< Source address.
  MemberId sender;           ///< Authenticated sender.
  uint32_t incarnation = 0;  ///< Of the envelope.
  Ping ping;                 ///< Message.
};

/** An Ack arrived. */
struct AckReceived {
  Endpoint from;             ///< Source address.
  MemberId sender;           ///< Authenticated sender.
  uint32_t incarnation = 0;  ///< Of the envelope.
  Ack ack;                   ///< Message.
};

/** A PingRequest arrived. */
struct PingRequestReceived {
  Endpoint from;             ///< Source address.
  MemberId sender;           ///< Authenticated sender.
  uint32_t incarnation = 0;  ///< Of the envelope.
  PingRequest request;       ///< Message.
};

/** A JoinRequest arrived over TCP; the owner answers MakeMemberTable(). */
struct JoinReceived {
  MemberId sender;      ///< Authenticated sender.
  JoinRequest request;  ///< Message.
};

/** A FetchTable effect succeeded. */
struct TableReceived {
  Endpoint from;      ///< Address asked.
  MemberTable table;  ///< Its answer.
};

/** State of this process, as a whole. */
struct LocalChanged {
  ConfigRevision held_revision;  ///< A lower one than before is ignored.
  bool is_leaving = false;       ///< Once true, stays true.
  uint32_t open_streams = 0;     ///< Streams in progress.
};

/** This process learnt that a backend server is leaving. */
struct BackendLeavingSeen {
  std::string instance;  ///< Name in the instance list.
};

/** This process saw a backend server crash while running a request. */
struct CrashSeen {
  uint64_t fingerprint = 0;  ///< Of customer and request.
};

/** Time passes; to be sent at least every 50 ms, or by NextDeadline(). */
struct Tick {};

using MembershipEvent = std::variant<SeedsListed,
                                     InstancesListed,
                                     PingReceived,
                                     AckReceived,
                                     PingRequestReceived,
                                     JoinReceived,
                                     TableReceived,
                                     LocalChanged,
                                     BackendLeavingSeen,
                                     CrashSeen,
                                     Tick>;

/** A message that is sent as a datagram. */
using DatagramMessage = std::variant<Ping, Ack, PingRequest>;

/** Send a datagram; it may be lost. */
struct SendDatagram {
  Endpoint to;              ///< Destination.
  DatagramMessage message;  ///< Message.
};

/** Send the JoinRequest over TCP and report success as TableReceived. */
struct FetchTable {
  Endpoint from;        ///< Member or seed to ask.
  JoinRequest request;  ///< Message.
};

/** A member is new, or its status, held revision or digest changed. */
struct MemberChanged {
  Member member;                         ///< As it is now.
  std::optional<MemberStatus> previous;  ///< Empty for a new member.
};

/** A failed member was forgotten; it counts no longer as known. */
struct MemberForgotten {
  Member member;  ///< As it was.
};

/** Another member knows that a backend server is leaving. */
struct BackendLeavingLearned {
  std::string instance;  ///< Name in the instance list.
};

/** The number of crashes of a request rose, here or elsewhere. */
struct CrashLearned {
  uint64_t fingerprint = 0;  ///< Of customer and request.
  uint32_t total = 0;        ///< Crashes seen by all members.
};

/** A message changed nothing and is to be counted. */
struct MessageRefused {
  ResultCode code = ResultCode::kPeerNotMember;  ///< Why.
};

using MembershipEffect = std::variant<SendDatagram,
                                      FetchTable,
                                      MemberChanged,
                                      MemberForgotten,
                                      BackendLeavingLearned,
                                      CrashLearned,
                                      MessageRefused>;

}  // namespace boragewharf::membership
