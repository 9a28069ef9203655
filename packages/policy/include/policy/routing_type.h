/**
 * @file routing_type.h
 * What routing policies decide on.
 */
#pragma once

#include <cstdint>
#include <span>

#include "backend/backend_type.h"
#include "base/strong_id_type.h"
#include "base/time_type.h"

namespace boragewharf::policy {

/** Index of a backend server in the views that a policy is given. */
using BackendIndex = StrongId<struct BackendIndexTag, uint32_t>;

/** How far a backend server is from the daemon. */
enum class Distance : uint8_t {
  kSameZone,     ///< In the daemon's availability zone.
  kSameRegion,   ///< In another zone of its region.
  kOtherRegion,  ///< In another region; traffic is slow and charged.
};

/** A backend server at the moment of a decision. */
struct BackendView {
  backend::BackendStatus status = backend::BackendStatus::kReady;
  Distance distance = Distance::kSameZone;  ///< From this daemon.
  uint32_t own_in_flight = 0;               ///< Requests of this daemon, now.
  uint32_t own_at_report = 0;     ///< The same when the load was reported.
  uint32_t reported_running = 0;  ///< Requests of all daemons, as reported.
  Duration report_age{0};         ///< Age of that report.
  bool reported = false;          ///< Whether there is a report at all.
  uint32_t slots = 16;            ///< Requests that it runs at once.
  bool reclaimable = false;       ///< Can be taken back with short notice.
  Duration remaining = Duration::max();  ///< Life left, if it is announced.
  double price_per_hour = 0;             ///< In the platform's currency.
  uint32_t cached_tokens = 0;  ///< Leading prompt tokens in its cache.
};

/** A request that needs a backend server. */
struct RouteRequest {
  uint32_t prompt_tokens = 0;   ///< Tokens to process before the first one.
  Duration expected_length{0};  ///< Expected run time.
  bool alone = false;           ///< Suspect: only on a server without work.
  uint64_t seed = 0;            ///< Random; for ties and equal choices.
  std::span<const BackendIndex> excluded;  ///< Tried already.
};

}  // namespace boragewharf::policy
