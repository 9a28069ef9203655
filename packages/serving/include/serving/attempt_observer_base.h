/**
 * @file attempt_observer_base.h
 * Interface of modules that learn from the attempts of requests at backend
 * servers.
 */
#pragma once

#include <cstdint>
#include <span>
#include <string_view>

#include "base/time_type.h"
#include "serving/config_type.h"
#include "serving/routing_policy_base.h"
#include "serving/server_type.h"

namespace boragewharf::serving {

/** An attempt and the state on which the choice of its server was based. */
struct AttemptView {
  const BackendServer& server;
  const Route& route;
  std::string_view customer{};  ///< Empty on anonymous routes.
  Distance distance = Distance::kSameZone;
  bool engine = false;         ///< The service's servers are model engines.
  uint32_t running_seen = 0;   ///< Other requests at the server when chosen.
  uint64_t prefill_seen = 0;   ///< Their prompt tokens still to be read.
  uint32_t read_tokens = 0;    ///< Own prompt tokens that the server reads.
  bool copies_prefix = false;  ///< The server copies a part of the prompt.
  bool resumes = false;        ///< Continues a stream; reads little.
  bool first_event = false;    ///< An event has arrived.
  TimePoint started{};         ///< When the server was chosen.
  uint32_t running_now = 0;    ///< Requests at the server, this one included.
  uint64_t prefill_now = 0;    ///< Their prompt tokens still to be read.
};

/** How an attempt ended. */
enum class AttemptOutcome : uint8_t {
  kServed,
  kServerError,     ///< Complete response with a server error.
  kRejected,        ///< The server did not run the request.
  kNotSent,         ///< Nothing was sent.
  kConnectionLost,  ///< The connection ended without a complete response.
  kMalformed,
  kTimedOut,   ///< No data within the timeout.
  kCancelled,  ///< Given up for another reason, e.g. the client left or the
               ///< request's deadline passed.
};

/** Receives what happens to each attempt. All methods run on the traffic loop
 * and must not end or start attempts. */
class AttemptObserver {
 public:
  virtual ~AttemptObserver() = default;

  /** The first event of a stream arrived @p after the choice of the server. */
  virtual void OnFirstEvent(const AttemptView& attempt,
                            Duration after,
                            TimePoint now) = 0;

  /** Times between successive arrivals of events of a stream, in order;
   * reported every few events. */
  virtual void OnEventGaps(const AttemptView& attempt,
                           std::span<const Duration> gaps,
                           TimePoint now) = 0;

  /** The attempt ended; called once for each. */
  virtual void OnEnded(const AttemptView& attempt,
                       AttemptOutcome outcome,
                       Duration after,
                       TimePoint now) = 0;
};

}  // namespace boragewharf::serving
