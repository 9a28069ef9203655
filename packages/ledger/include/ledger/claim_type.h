/**
 * @file claim_type.h
 * Claims on idempotency keys: requests to the ledger and their results.
 */
#pragma once

#include <cstdint>
#include <string>

#include "base/digest_func.h"
#include "base/request_id_type.h"
#include "base/strong_id_type.h"

namespace boragewharf::ledger {

/** An answer kept for repeats of a finished request. */
struct StoredAnswer {
  uint16_t status = 0;       ///< HTTP status.
  std::string content_type;  ///< Of the body.
  std::string body;          ///< Empty if it was not kept.
  bool body_kept = true;     ///< False if the body exceeded the limit.

  auto operator<=>(const StoredAnswer&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->status, this->content_type, this->body, this->body_kept);
  }
};

/** Asks for the right to run a request under a key. */
struct ClaimRequest {
  RequestId claim;    ///< Unique per attempt to claim.
  Digest key{};       ///< Digest of customer, service and key.
  Digest request{};   ///< Digest of method, path and body.
  MemberId claimant;  ///< Daemon that will send the request.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->claim, this->key, this->request, this->claimant);
  }
};

enum class ClaimVerdict : uint8_t {
  kGranted,      ///< Committed; the claimant may send the request once.
  kReplay,       ///< Finished earlier; the stored answer is returned.
  kInFlight,     ///< Another claim is running at a live daemon.
  kUnresolved,   ///< An earlier claim may have run; never runs again.
  kReused,       ///< The key belongs to a different request.
  kFull,         ///< No room for a new key; nothing was claimed.
  kUnavailable,  ///< The claim could not be committed; it is not used.
  kNotOwner,     ///< The asked member does not own the shard.
};

/** Answer to a ClaimRequest. */
struct ClaimResult {
  RequestId claim;                                    ///< From the request.
  ClaimVerdict verdict = ClaimVerdict::kUnavailable;  ///< Decision.
  StoredAnswer answer;                                ///< For kReplay.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->claim, this->verdict, this->answer);
  }
};

enum class Outcome : uint8_t {
  kFinished,  ///< A complete answer arrived.
  kReleased,  ///< Provably never sent; the key may be claimed again.
  kUnknown,   ///< Sent, but no complete answer arrived.
};

/** Tells the ledger how a granted claim ended. */
struct OutcomeReport {
  RequestId claim;                      ///< The granted claim.
  Digest key{};                         ///< Its key.
  Outcome outcome = Outcome::kUnknown;  ///< How it ended.
  StoredAnswer answer;                  ///< For kFinished.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->claim, this->key, this->outcome, this->answer);
  }
};

}  // namespace boragewharf::ledger
