/**
 * @file config_event_type.h
 * Events and effects of the configuration reducer.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/result_type.h"
#include "base/strong_id_type.h"
#include "base/time_type.h"
#include "config/document_type.h"

namespace boragewharf::config {

/** Names a submitted ticket at the daemon that received it. */
using SubmissionId = StrongId<struct SubmissionIdTag, uint64_t>;

/** An operator sent a ticket. */
struct TicketSubmitted {
  SubmissionId submission;  ///< Repeated in the answer.
  std::string body;         ///< JSON text as received.
};

/** The store answered ReadDocument. */
struct StoreRead {
  std::string version;  ///< Version of the object; empty if there is none.
  std::string body;     ///< Empty if there is none.
};

/** The store did not answer ReadDocument; not for kStoreNotFound. */
struct StoreReadFailed {
  ResultCode code = ResultCode::kStoreUnavailable;  ///< Cause.
};

/** The store confirmed WriteDocument. */
struct StoreWritten {
  std::string write_id;  ///< As in the effect.
  std::string version;   ///< New version of the object.
};

/** The store did not confirm WriteDocument. */
struct StoreWriteFailed {
  std::string write_id;                         ///< As in the effect.
  ResultCode code = ResultCode::kStoreUnknown;  ///< Cause.
};

/** A peer answered FetchFromPeer. */
struct PeerDocument {
  MemberId from;     ///< Peer that holds the document.
  std::string body;  ///< As made by HeldBody(); empty if it has none.
};

/** What the member table says of a live member other than this one. */
struct ObservedMember {
  MemberId id;           ///< The member.
  std::string instance;  ///< Its instance, for operators.
  /** Held revision that it reported last. */
  ConfigRevision held;
  /** Accepted revision that it reported last; 0 where not reported. */
  ConfigRevision accepted;

  auto operator<=>(const ObservedMember&) const = default;
};

/** The required members, without this one. Sent after every change. */
struct MembersObserved {
  std::vector<ObservedMember> live;  ///< Heard, neither suspected nor failed.
  std::vector<std::string> unheard;  ///< Instances suspected or failed.
  bool digests_agree = false;        ///< All report the same member set.
  /** When a member last left or was forgotten, or this process started. */
  TimePoint last_departure;
};

/** Time passes; sent at least every 500 ms. */
struct Tick {};

using ConfigEvent = std::variant<TicketSubmitted,
                                 StoreRead,
                                 StoreReadFailed,
                                 StoreWritten,
                                 StoreWriteFailed,
                                 PeerDocument,
                                 MembersObserved,
                                 Tick>;

/** Read configs/current; answered by StoreRead or StoreReadFailed. */
struct ReadDocument {};

/**
 * Write configs/current; answered by StoreWritten or StoreWriteFailed. It is
 * sent once and not repeated by whoever executes it.
 */
struct WriteDocument {
  std::string expected_version;  ///< Empty to create the object.
  std::string write_id;          ///< Names this write; part of the body.
  std::string body;              ///< JSON text.
};

/** Fetch the document from a peer; no answer if the peer does not answer. */
struct FetchFromPeer {
  MemberId peer;  ///< Whom to ask.
};

/** Answer a submitted ticket. Sent once per submission. */
struct AnswerTicket {
  SubmissionId submission;               ///< As in the event.
  ResultCode code = ResultCode::kOk;     ///< kOk: accepted.
  std::string detail;                    ///< Specifics for the operator.
  ConfigRevision revision;               ///< Of the ticket, if it has one.
  std::optional<TicketNumber> conflict;  ///< The other ticket, if any.
  std::vector<std::string> waiting_for;  ///< Instances, for kTicketPending.
};

/** A higher accepted revision is in force. */
struct PublishConfiguration {
  Configuration configuration;  ///< Whole state.
};

/** The held revision rose; membership reports it from now on. */
struct HeldRevisionChanged {
  ConfigRevision held;      ///< Accepted or staged.
  ConfigRevision accepted;  ///< In force.
};

using ConfigEffect = std::variant<ReadDocument,
                                  WriteDocument,
                                  FetchFromPeer,
                                  AnswerTicket,
                                  PublishConfiguration,
                                  HeldRevisionChanged>;

}  // namespace boragewharf::config
