/**
 * @file option_type.h
 * Settings of the front end.
 */
#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>

#include "base/endpoint_type.h"
#include "base/strong_id_type.h"
#include "config/document_type.h"

namespace boragewharf::traffic {

/** Settings of the front end; fixed while it runs. */
struct FrontEndOptions {
  Endpoint listen{"127.0.0.1", 0};  ///< Port 0 lets the kernel choose.
  std::string instance;             ///< Name in the instance list.
  std::string zone;                 ///< Own availability zone.
  std::string region;               ///< Own region.
  MemberId member;                  ///< Claimant of keys.
  /** Operator key; without one all operator calls are refused. */
  std::optional<config::TokenHash> operator_key;

  size_t max_connections = 256;        ///< One thread each.
  size_t max_streams = 1024;           ///< One upstream thread each.
  size_t max_body_bytes = 4U << 20;    ///< Of a caller's request.
  size_t max_answer_bytes = 8U << 20;  ///< Of a backend server's answer.
  size_t max_idle_per_server = 64;     ///< Idle connections kept per server.
  std::chrono::milliseconds keep_alive{30000};      ///< Idle callers.
  std::chrono::milliseconds caller_timeout{10000};  ///< Per read and write.
  std::chrono::milliseconds connect_timeout{1000};  ///< To backend servers.
  std::chrono::milliseconds silence_bound{5000};    ///< Per upstream read.
  /** Longest time from the request for a claim to sending. */
  std::chrono::milliseconds claim_send_deadline{10000};
  std::chrono::milliseconds stream_retention{60000};  ///< Of unread streams.
  /** Streams leave a reclaimed server this long before it ends. */
  std::chrono::milliseconds move_margin{2000};
  /** Moves off one server are spread over this time. */
  std::chrono::milliseconds move_spread{4000};
  /** Remaining streams are handed over this long before a drain ends. */
  std::chrono::milliseconds handover_margin{5000};
  std::chrono::seconds entries_lifetime{30};  ///< Callers cache /v1/entries.
};

}  // namespace boragewharf::traffic
