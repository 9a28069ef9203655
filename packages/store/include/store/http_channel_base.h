/**
 * @file http_channel_base.h
 * HTTP calls to one endpoint with bounded time and size, and an exact
 * statement on whether a call may have been applied.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

#include "base/counter_base.h"
#include "base/endpoint_type.h"
#include "base/result_type.h"
#include "base/time_type.h"

namespace boragewharf {

/** Limits of the calls to one endpoint. */
struct HttpChannelOptions {
  Endpoint endpoint;                            ///< Where the API listens.
  Duration timeout = std::chrono::seconds(2);   ///< Bound on a whole call.
  size_t max_request_bytes = 1'000'000;         ///< Larger bodies are refused.
  size_t max_response_bytes = 64'000'000;       ///< Larger answers are cut off.
  size_t max_idle_connections = 8;              ///< Kept for reuse.
  Duration max_idle = std::chrono::seconds(4);  ///< Then closed.
};

/** How far a call got. */
enum class HttpOutcome : uint8_t {
  kAnswered,  ///< A complete answer arrived.
  kNotSent,   ///< Nothing was written to a connection.
  kLost,      ///< Something was written, and no complete answer arrived.
  kTooLarge,  ///< The request exceeds the limit; it was not sent.
};

/** A request to the endpoint. */
struct HttpCall {
  std::string_view label;   ///< For counters; one of few fixed names.
  std::string_view method;  ///< GET, POST, PUT or DELETE.
  std::string path;         ///< With query, already encoded.
  std::string body;         ///< JSON text or empty.
};

/** Result of a call. */
struct HttpReply {
  HttpOutcome outcome = HttpOutcome::kNotSent;  ///< How far the call got.
  int status = 0;                               ///< HTTP status, if answered.
  std::string body;                             ///< Body, if answered.
};

/** A pool of kept-alive connections to one endpoint. */
class HttpChannel {
 public:
  /**
   * Also ignores SIGPIPE in the whole process, because the library writes to
   * closed connections without MSG_NOSIGNAL.
   * @param counters Outlives the channel.
   * @param counter_prefix Start of the counters' names, e.g. "store".
   */
  HttpChannel(HttpChannelOptions channel_options,
              CounterRegistry& counters,
              std::string_view counter_prefix);
  HttpChannel(const HttpChannel&) = delete;
  HttpChannel& operator=(const HttpChannel&) = delete;
  ~HttpChannel();

  /**
   * Performs one call; never repeats it. A connection on which a call failed
   * is closed. If it went silent, all idle connections are closed with it,
   * since they probably went silent for the same reason.
   * @return Within the timeout plus a small margin.
   * @note Thread-safe.
   */
  HttpReply Perform(const HttpCall& call);

  /**
   * Counts the result of a call in PREFIX_calls_total.
   * @note Thread-safe.
   */
  void CountResult(std::string_view label, ResultCode code);

 private:
  struct Connection;
  class Watchdog;

  std::unique_ptr<Connection> TakeConnection();
  void KeepConnection(std::unique_ptr<Connection> connection);
  HttpReply Exchange(const HttpCall& call);

  const HttpChannelOptions options;
  CounterRegistry& registry;
  const std::string prefix;
  std::mutex mutex;                             ///< Guards idle, generation.
  std::list<std::unique_ptr<Connection>> idle;  ///< Most recent first.
  uint64_t generation = 0;  ///< Rises when all connections are given up.
  std::unique_ptr<Watchdog> watchdog;
};

}  // namespace boragewharf
