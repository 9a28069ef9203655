/**
 * @file result_type.h
 * Numbered result codes of all refusals and errors.
 */
#pragma once

#include <cstdint>
#include <string_view>

namespace boragewharf {

/** What is known about the execution of a request that got no answer. */
enum class RunState : uint8_t {
  kNotRun,      ///< It certainly did not run.
  kRan,         ///< It ran to its end.
  kMayHaveRun,  ///< It may have run, in part or whole.
};

/**
 * Stable numbers; a number is never given a new meaning. The texts are in
 * table/result_table.h.
 */
enum class ResultCode : uint16_t {
  kOk = 0,

  kMalformedJson = 100,
  kBodyTooLarge = 101,
  kMissingField = 102,
  kInvalidField = 103,
  kUnauthenticated = 104,
  kForbidden = 105,
  kUnknownService = 106,
  kUnknownModel = 107,
  kIdempotencyKeyRequired = 108,
  kUnknownStream = 109,
  kNotFound = 110,
  kInvalidIdempotencyKey = 111,

  kOverloaded = 200,
  kCustomerLimit = 201,
  kDeadlineUnreachable = 202,
  kDraining = 203,
  kTooManyConnections = 204,
  kServingLeaseLapsed = 205,
  kNotConfigured = 206,

  kNoBackendServer = 300,
  kBackendUnreachable = 301,
  kBackendFailed = 302,
  kBackendSilent = 303,
  kRequestCrashesServers = 304,
  kRetryBudgetSpent = 305,
  kOutcomeUnknown = 306,
  kBackendRefused = 307,

  kKeyInFlight = 400,
  kKeyUnresolved = 401,
  kKeyReused = 402,
  kLedgerFull = 403,
  kLedgerUnavailable = 404,
  kClaimDeadlinePassed = 405,
  kNotShardOwner = 406,

  kTicketConflict = 500,
  kTicketNumberUsed = 501,
  kTicketStaged = 502,
  kTicketInvalid = 503,
  kTicketPending = 504,
  kTicketUnknown = 505,
  kNewerFormat = 506,
  kStaleRevision = 507,
  kConfigurationTooLarge = 508,

  kStoreNotFound = 600,
  kStoreConflict = 601,
  kStoreBusy = 602,
  kStoreUnavailable = 603,
  kStoreUnknown = 604,
  kStoreMalformed = 605,
  kCloudRefused = 606,
  kLeaseLost = 607,

  kPeerUnreachable = 700,
  kPeerTruncated = 701,
  kPeerBadMac = 702,
  kPeerReplayed = 703,
  kPeerUnknownKey = 704,
  kPeerUnknownType = 705,
  kPeerNotMember = 706,
  kPeerTooLarge = 707,
  kPeerRefused = 708,
  kPeerNoAnswer = 709,

  kSettingsInvalid = 800,
  kSettingsUnreadable = 801,
  kUsage = 802,
  kSystemError = 803,
  kInternal = 804,
};

/** A row of the table of result codes. */
struct ResultInfo {
  ResultCode code;             ///< The number.
  std::string_view name;       ///< Stable name in snake case.
  uint16_t http_status;        ///< Status towards HTTP callers.
  RunState run_state;          ///< Default statement on execution.
  bool retryable;              ///< Whether a later retry can succeed.
  std::string_view sentence;   ///< What happened, as a plain sentence.
  std::string_view next_step;  ///< What the caller or operator does next.
};

}  // namespace boragewharf
