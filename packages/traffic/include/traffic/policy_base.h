/**
 * @file policy_base.h
 * Decisions that vary: admission, routing and retries.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "backend/backend_type.h"
#include "base/time_type.h"
#include "config/document_type.h"

namespace boragewharf::traffic {

/** A request that asks for admission. */
struct AdmissionRequest {
  const config::Customer& customer;  ///< Who sent it.
  std::string_view service;          ///< Service that runs it.
  uint64_t cost_tokens = 0;          ///< Estimate; 0 for plain services.
  TimePoint deadline;                ///< Latest end.
};

/** Decides which requests may run. Thread-safe. */
class AdmissionPolicy {
 public:
  virtual ~AdmissionPolicy() = default;

  /**
   * Blocks until the request may run.
   * @return False with the last reason if it is refused.
   */
  virtual bool Enter(const AdmissionRequest& request) = 0;

  /** Ends a request that was admitted. */
  virtual void Leave(const AdmissionRequest& request) = 0;
};

/** This daemon's requests in flight per backend server. Thread-safe. */
class ServerLoads {
 public:
  virtual ~ServerLoads() = default;

  /** Requests that this daemon has in flight at @p instance. */
  virtual uint32_t InFlight(std::string_view instance) const = 0;
};

/** A request that needs a backend server. */
struct RouteRequest {
  std::string_view zone;                  ///< Of this entry instance.
  std::string_view region;                ///< Of this entry instance.
  uint64_t cost_tokens = 0;               ///< Estimate of prompt and output.
  uint64_t prefix_hash = 0;               ///< Of the start of the prompt.
  std::span<const std::string> excluded;  ///< Instances that failed before.
};

/** Chooses backend servers. Thread-safe. */
class RoutingPolicy {
 public:
  virtual ~RoutingPolicy() = default;

  /**
   * Chooses among @p servers of one service.
   * @return Index, or empty if none is ready and not excluded.
   */
  virtual std::optional<size_t> Choose(
      const RouteRequest& request,
      std::span<const backend::BackendServer> servers,
      const ServerLoads& loads) = 0;
};

enum class RetryKind : uint8_t {
  kNotRun,        ///< The server refused or could not be reached.
  kAfterFailure,  ///< Work was lost.
  kMove,          ///< The server is leaving.
};

/** Limits retries. Thread-safe. */
class RetryPolicy {
 public:
  virtual ~RetryPolicy() = default;

  /** Counts a new request, which raises the budget. */
  virtual void CountRequest() = 0;

  /** Whether another attempt may be made now. */
  virtual bool MayRetry(RetryKind kind) = 0;
};

}  // namespace boragewharf::traffic
