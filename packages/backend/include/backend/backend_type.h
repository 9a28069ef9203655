/**
 * @file backend_type.h
 * Backend servers as routing sees them.
 */
#pragma once

#include <cstdint>
#include <string>

#include "base/endpoint_type.h"
#include "base/time_type.h"

namespace boragewharf::backend {

/** Whether a backend server may receive new work. */
enum class BackendStatus : uint8_t {
  kReady,    ///< Receives work.
  kEjected,  ///< Failed recently; no work for a while.
  kDown,     ///< Health checks fail.
  kLeaving,  ///< Reclaimed or stopping; never receives new work again.
};

/** A backend server of the instance list with what this daemon knows of it. */
struct BackendServer {
  std::string instance;         ///< Name in the instance list.
  std::string service;          ///< Service that it runs.
  Endpoint address;             ///< Where it listens.
  std::string zone;             ///< Availability zone.
  std::string region;           ///< Region of the zone.
  std::string machine_class;    ///< Machine class.
  double price_per_hour = 0;    ///< In the platform's currency.
  bool reclaimable = false;     ///< Can be taken back with short notice.
  bool checks_fencing = false;  ///< Refuses orders with old fencing numbers.
  BackendStatus status = BackendStatus::kReady;  ///< See BackendStatus.
  uint32_t reported_running = 0;  ///< Requests running, as last reported.
  TimePoint reported_at;          ///< When that report was received.
  TimePoint reclaim_deadline;     ///< End of notice; epoch if there is none.

  auto operator<=>(const BackendServer&) const = default;
};

}  // namespace boragewharf::backend
