/**
 * @file admission_type.h
 * What admission policies decide on.
 */
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/result_type.h"
#include "base/strong_id_type.h"
#include "base/time_type.h"

namespace boragewharf::policy {

/** Kinds of work with different needs. */
enum class WorkClass : uint8_t {
  kInteractive,  ///< Questions and summaries; answered in time or refused.
  kLookup,       ///< Idempotent look-ups; quick.
  kBooking,      ///< Non-idempotent calls; neither lost nor doubled.
  kBatch,        ///< Long reports; may wait, must finish.
};

/** Number of classes. */
inline constexpr size_t kWorkClasses = 4;

/** Names a request between Offer() and Finish(). */
using AdmissionId = StrongId<struct AdmissionIdTag, uint64_t>;

/** A request that wants to run. */
struct AdmissionRequest {
  AdmissionId id;                       ///< Unique among those admitted.
  std::string customer;                 ///< Who sends it.
  uint32_t weight = 1;                  ///< Share of the customer; not 0.
  WorkClass work = WorkClass::kLookup;  ///< Kind of work.
  uint64_t cost = 1;                    ///< Expected tokens; not 0.
  TimePoint start_by;                   ///< Refused if it cannot start then.
};

enum class AdmissionVerdict : uint8_t {
  kRun,      ///< Starts now.
  kQueued,   ///< A later call tells that it starts or is refused.
  kRefused,  ///< Not run; see the code.
};

/** Result of an offer. */
struct AdmissionDecision {
  AdmissionVerdict verdict = AdmissionVerdict::kRefused;  ///< Decision.
  ResultCode code = ResultCode::kOk;  ///< kOverloaded, kDeadlineUnreachable.
};

/** A queued request that is refused as not run. */
struct AdmissionRefusal {
  AdmissionId id;                             ///< The request.
  ResultCode code = ResultCode::kOverloaded;  ///< Why.
};

/** What a call changes for queued requests; the caller wakes them. */
struct AdmissionChanges {
  std::vector<AdmissionId> started;       ///< Run now.
  std::vector<AdmissionRefusal> refused;  ///< Are not run.
};

}  // namespace boragewharf::policy
