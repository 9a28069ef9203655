/**
 * @file caller_server_base.h
 * HTTP server towards callers, with explicit bounds.
 */
#pragma once

#include <httplib.h>

#include <atomic>
#include <functional>
#include <optional>
#include <string>
#include <thread>

#include "base/scope_guard.h"
#include "traffic/option_type.h"
#include "traffic/refusal_func.h"

namespace boragewharf::traffic {

/** Holds the caller's Content-Type, see CallerServer. */
inline constexpr const char* kContentTypeHeader = "X-Boragewharf-Content-Type";

/**
 * The library's server with a bound on connections and a refusal beyond it.
 *
 * The library parses multipart bodies and forms by content type and loses the
 * original body, so the content type is moved to kContentTypeHeader before the
 * body is read. Chunked and compressed bodies are refused, because the library
 * does not bound them.
 */
class CallerServer : public httplib::Server {
 public:
  /**
   * @param server_options Bounds; outlive the server.
   * @param refusal Whole HTTP response for connections beyond the bound.
   * @param on_refused Called for each such connection, on any thread.
   */
  CallerServer(const FrontEndOptions& server_options,
               std::string refusal,
               std::function<void()> on_refused);
  ~CallerServer() override;

  /** Binds and starts. @return Port, or 0 on failure. @pre Called once. */
  uint16_t Start();

  /** Makes all further answers close their connection. @note Thread-safe. */
  void CloseAfterAnswers() { this->closing = true; }

  /**
   * Ends idle connections and joins all threads. Answers in progress are cut
   * unless they were waited for before. May be called repeatedly.
   */
  void StopAndJoin();

  /** Why a request is refused before its body is read, if it is. */
  std::optional<Refusal> FramingFault(const httplib::Request& request) const;

 private:
  // NOLINTNEXTLINE(readability-identifier-naming)
  bool process_and_close_socket(socket_t sock) override;
  bool ServeConnection(socket_t sock);
  void RefuseConnection(socket_t sock);
  static void PrepareRequest(httplib::Request& request);

  const FrontEndOptions& options;
  const std::string refusal_response;
  const std::function<void()> connection_refused;
  std::atomic<bool> closing{false};
  UniqueFd stop_event;
  std::thread listener;
};

}  // namespace boragewharf::traffic
