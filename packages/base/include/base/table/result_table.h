/**
 * @file result_table.h
 * The table of result codes. docs/ERRORS.md is generated from it by
 * `boragewharfctl errors`.
 */
#pragma once

#include <array>

#include "base/result_type.h"

namespace boragewharf {

// clang-format off
inline constexpr std::array kResultTable = {
    ResultInfo{ResultCode::kOk, "ok", 200, RunState::kRan, false, "The request succeeded.", "Nothing to do."},

    ResultInfo{ResultCode::kMalformedJson, "malformed_json", 400, RunState::kNotRun, false, "The body is not valid JSON.", "Correct the body and send it again."},
    ResultInfo{ResultCode::kBodyTooLarge, "body_too_large", 413, RunState::kNotRun, false, "The body is larger than the limit.", "Send a smaller body."},
    ResultInfo{ResultCode::kMissingField, "missing_field", 400, RunState::kNotRun, false, "A required field is missing.", "Add the field and send the request again."},
    ResultInfo{ResultCode::kInvalidField, "invalid_field", 400, RunState::kNotRun, false, "A field has a value that is not allowed.", "Correct the field and send the request again."},
    ResultInfo{ResultCode::kUnauthenticated, "unauthenticated", 401, RunState::kNotRun, false, "The bearer token is missing or belongs to no customer.", "Send a valid token in the Authorization header."},
    ResultInfo{ResultCode::kForbidden, "forbidden", 403, RunState::kNotRun, false, "The key does not permit this call.", "Use the operator key for operator calls."},
    ResultInfo{ResultCode::kUnknownService, "unknown_service", 404, RunState::kNotRun, false, "No service of this name is configured.", "Check the name; an operator creates services by ticket."},
    ResultInfo{ResultCode::kUnknownModel, "unknown_model", 404, RunState::kNotRun, false, "No model of this name is configured.", "List the models with GET /v1/models."},
    ResultInfo{ResultCode::kIdempotencyKeyRequired, "idempotency_key_required", 400, RunState::kNotRun, false, "This service requires an Idempotency-Key header.", "Send a new unique key per operation, and the same key when repeating it."},
    ResultInfo{ResultCode::kUnknownStream, "unknown_stream", 404, RunState::kMayHaveRun, false, "No stream of this id is held here.", "Send the request again; streams are kept for a limited time."},
    ResultInfo{ResultCode::kNotFound, "not_found", 404, RunState::kNotRun, false, "There is no such path.", "See docs/API.md for the paths."},
    ResultInfo{ResultCode::kInvalidIdempotencyKey, "invalid_idempotency_key", 400, RunState::kNotRun, false, "The Idempotency-Key is empty, too long or has control characters.", "Use 1 to 255 printable characters."},

    ResultInfo{ResultCode::kOverloaded, "overloaded", 503, RunState::kNotRun, true, "The system is overloaded.", "Send the request again after Retry-After."},
    ResultInfo{ResultCode::kCustomerLimit, "customer_limit", 429, RunState::kNotRun, true, "The customer's limit is reached.", "Send fewer requests at once, or ask an operator to raise the limit."},
    ResultInfo{ResultCode::kDeadlineUnreachable, "deadline_unreachable", 503, RunState::kNotRun, true, "The request cannot be served within its deadline.", "Send it again later or with a longer deadline."},
    ResultInfo{ResultCode::kDraining, "draining", 503, RunState::kNotRun, true, "This entry instance is shutting down.", "Ask GET /v1/entries for another address."},
    ResultInfo{ResultCode::kTooManyConnections, "too_many_connections", 503, RunState::kNotRun, true, "This entry instance has reached its limit of connections.", "Use another address of GET /v1/entries."},
    ResultInfo{ResultCode::kServingLeaseLapsed, "serving_lease_lapsed", 503, RunState::kNotRun, true, "This entry instance cannot confirm that its configuration is current.", "Use another address of GET /v1/entries."},
    ResultInfo{ResultCode::kNotConfigured, "not_configured", 503, RunState::kNotRun, true, "This entry instance has no configuration yet.", "Wait until it has read the configuration, or file the first ticket."},

    ResultInfo{ResultCode::kNoBackendServer, "no_backend_server", 503, RunState::kNotRun, true, "No backend server is available for this service.", "Send the request again after Retry-After."},
    ResultInfo{ResultCode::kBackendUnreachable, "backend_unreachable", 502, RunState::kNotRun, true, "The backend server could not be reached.", "Send the request again."},
    ResultInfo{ResultCode::kBackendFailed, "backend_failed", 502, RunState::kMayHaveRun, true, "The backend server failed while running the request.", "Send it again if it is idempotent."},
    ResultInfo{ResultCode::kBackendSilent, "backend_silent", 504, RunState::kMayHaveRun, true, "The backend server stopped answering.", "Send it again if it is idempotent."},
    ResultInfo{ResultCode::kRequestCrashesServers, "request_crashes_servers", 422, RunState::kMayHaveRun, false, "Backend servers crashed each time they ran this request.", "Do not send this request again unchanged."},
    ResultInfo{ResultCode::kRetryBudgetSpent, "retry_budget_spent", 503, RunState::kMayHaveRun, true, "The request failed and the retry budget is used up.", "Send it again after Retry-After if it is idempotent."},
    ResultInfo{ResultCode::kOutcomeUnknown, "outcome_unknown", 502, RunState::kMayHaveRun, false, "The request was sent, but its outcome is unknown.", "Check the effect before using a new key; a repeat with the same key never runs it again."},
    ResultInfo{ResultCode::kBackendRefused, "backend_refused", 503, RunState::kNotRun, true, "The backend server refused the request without running it.", "Send the request again."},

    ResultInfo{ResultCode::kKeyInFlight, "key_in_flight", 409, RunState::kMayHaveRun, true, "A request with this Idempotency-Key is running.", "Repeat the same request after Retry-After to get its answer."},
    ResultInfo{ResultCode::kKeyUnresolved, "key_unresolved", 409, RunState::kMayHaveRun, false, "An earlier request with this Idempotency-Key may have run; its outcome is unknown.", "Check the effect before using a new key."},
    ResultInfo{ResultCode::kKeyReused, "key_reused", 422, RunState::kNotRun, false, "This Idempotency-Key belongs to a different request.", "Use a new key per operation."},
    ResultInfo{ResultCode::kLedgerFull, "ledger_full", 503, RunState::kNotRun, true, "The ledger has no room for further keys.", "Wait until old keys expire; an operator can raise the number of shards."},
    ResultInfo{ResultCode::kLedgerUnavailable, "ledger_unavailable", 503, RunState::kNotRun, true, "The claim for this key could not be committed.", "Repeat the request with the same key after Retry-After."},
    ResultInfo{ResultCode::kClaimDeadlinePassed, "claim_deadline_passed", 503, RunState::kNotRun, true, "The claim was committed too late to send the request.", "Repeat the request with a new key."},
    ResultInfo{ResultCode::kNotShardOwner, "not_shard_owner", 503, RunState::kNotRun, true, "This member does not own the ledger shard.", "Ask the member that owns it."},

    ResultInfo{ResultCode::kTicketConflict, "ticket_conflict", 409, RunState::kNotRun, false, "Another ticket changed the same object.", "Read that ticket, then file yours against the current revision."},
    ResultInfo{ResultCode::kTicketNumberUsed, "ticket_number_used", 409, RunState::kNotRun, false, "A different ticket has this number.", "Choose the next free number."},
    ResultInfo{ResultCode::kTicketStaged, "ticket_staged", 409, RunState::kNotRun, true, "Another ticket is being distributed.", "File yours again once that one is accepted."},
    ResultInfo{ResultCode::kTicketInvalid, "ticket_invalid", 400, RunState::kNotRun, false, "The ticket has faults.", "Correct the listed faults and check it with `boragewharfctl ticket check`."},
    ResultInfo{ResultCode::kTicketPending, "ticket_pending", 202, RunState::kNotRun, true, "The ticket is staged, but not every live member holds it.", "Look at the listed members; `boragewharfctl ticket show` tells when it is accepted."},
    ResultInfo{ResultCode::kTicketUnknown, "ticket_unknown", 404, RunState::kNotRun, false, "No ticket of this number is known.", "List the tickets with `boragewharfctl ticket list`."},
    ResultInfo{ResultCode::kNewerFormat, "newer_format", 503, RunState::kNotRun, false, "An object in the store has a newer format than this program knows.", "Upgrade this program."},
    ResultInfo{ResultCode::kStaleRevision, "stale_revision", 409, RunState::kNotRun, true, "The document is older than the one held.", "Nothing to do; the newer one is kept."},
    ResultInfo{ResultCode::kConfigurationTooLarge, "configuration_too_large", 413, RunState::kNotRun, false, "The configuration would exceed the size of a store object.", "Remove objects that are no longer needed."},

    ResultInfo{ResultCode::kStoreNotFound, "store_not_found", 404, RunState::kNotRun, false, "The store has no such object.", "Nothing to do."},
    ResultInfo{ResultCode::kStoreConflict, "store_conflict", 409, RunState::kNotRun, true, "The object has changed since it was read.", "Read it again."},
    ResultInfo{ResultCode::kStoreBusy, "store_busy", 503, RunState::kNotRun, true, "The store refuses calls above its rate limit.", "Wait and try again."},
    ResultInfo{ResultCode::kStoreUnavailable, "store_unavailable", 503, RunState::kNotRun, true, "The store cannot be reached; nothing was written.", "Wait until the platform's object API is back."},
    ResultInfo{ResultCode::kStoreUnknown, "store_unknown", 503, RunState::kMayHaveRun, true, "The store gave no answer; the write may have taken effect.", "Read the object back."},
    ResultInfo{ResultCode::kStoreMalformed, "store_malformed", 503, RunState::kNotRun, false, "The store's answer cannot be read.", "Check that the address is that of the object API."},
    ResultInfo{ResultCode::kCloudRefused, "cloud_refused", 503, RunState::kNotRun, true, "The cloud API refused the order.", "It is tried again elsewhere."},
    ResultInfo{ResultCode::kLeaseLost, "lease_lost", 409, RunState::kNotRun, true, "The duty lease has another holder.", "Nothing to do; the new holder goes on."},

    ResultInfo{ResultCode::kPeerUnreachable, "peer_unreachable", 503, RunState::kNotRun, true, "The peer cannot be reached.", "It is tried again."},
    ResultInfo{ResultCode::kPeerTruncated, "peer_truncated", 400, RunState::kNotRun, false, "A message from a peer is cut short.", "Check that all daemons run compatible versions."},
    ResultInfo{ResultCode::kPeerBadMac, "peer_bad_mac", 403, RunState::kNotRun, false, "A message from a peer fails authentication.", "Check that all daemons have the same peer keys."},
    ResultInfo{ResultCode::kPeerReplayed, "peer_replayed", 403, RunState::kNotRun, false, "A message from a peer was received before or is too old.", "Nothing to do unless the count rises steadily."},
    ResultInfo{ResultCode::kPeerUnknownKey, "peer_unknown_key", 403, RunState::kNotRun, false, "A message from a peer names an unknown key.", "Configure both keys on all daemons during a change of key."},
    ResultInfo{ResultCode::kPeerUnknownType, "peer_unknown_type", 400, RunState::kNotRun, false, "A message from a peer has an unknown type.", "Check that all daemons run compatible versions."},
    ResultInfo{ResultCode::kPeerNotMember, "peer_not_member", 403, RunState::kNotRun, false, "The sender is not a member.", "It must join first."},
    ResultInfo{ResultCode::kPeerTooLarge, "peer_too_large", 413, RunState::kNotRun, false, "A message from a peer exceeds the size limit.", "Check that all daemons run compatible versions."},
    ResultInfo{ResultCode::kPeerRefused, "peer_refused", 503, RunState::kNotRun, true, "The peer refused the call.", "It is tried again."},
    ResultInfo{ResultCode::kPeerNoAnswer, "peer_no_answer", 504, RunState::kMayHaveRun, true, "The peer did not answer in time; it may have handled the call.", "It is tried again where a repeat does no harm."},

    ResultInfo{ResultCode::kSettingsInvalid, "settings_invalid", 400, RunState::kNotRun, false, "The settings have faults.", "Correct the listed faults; see docs/CONFIG.md."},
    ResultInfo{ResultCode::kSettingsUnreadable, "settings_unreadable", 400, RunState::kNotRun, false, "The settings file cannot be read.", "Check the path and its permissions."},
    ResultInfo{ResultCode::kUsage, "usage", 400, RunState::kNotRun, false, "The command line is not valid.", "See --help."},
    ResultInfo{ResultCode::kSystemError, "system_error", 500, RunState::kNotRun, true, "A system call failed.", "See the detail."},
    ResultInfo{ResultCode::kInternal, "internal", 500, RunState::kMayHaveRun, false, "An internal error occurred.", "Report it with the request id."},
};
// clang-format on

}  // namespace boragewharf
