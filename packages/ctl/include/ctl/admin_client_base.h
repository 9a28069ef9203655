/**
 * @file admin_client_base.h
 * Operator calls to a daemon over HTTP.
 */
#pragma once

#include <cstddef>
#include <optional>
#include <string>

#include "base/endpoint_type.h"

namespace boragewharf::ctl {

/** What a daemon answered. */
struct AdminAnswer {
  int status = 0;    ///< HTTP status.
  std::string body;  ///< JSON text.
};

/** Calls one daemon with the operator key. */
class AdminClient {
 public:
  AdminClient(Endpoint address, std::string operator_key)
      : endpoint(std::move(address)), key(std::move(operator_key)) {}

  /**
   * GET of @p path.
   * @return Empty optional with the cause: kPeerUnreachable if nothing was
   *     sent, kOutcomeUnknown if no whole answer of kMaxAnswerBytes arrived.
   * @note Thread-safe.
   */
  std::optional<AdminAnswer> Get(const std::string& path) const;

  /**
   * POST of @p body to @p path.
   * @return As Get().
   * @note As Get().
   */
  std::optional<AdminAnswer> Post(const std::string& path,
                                  const std::string& body) const;

  /** Bytes of an answer's body. */
  static constexpr size_t kMaxAnswerBytes = size_t{16} * 1024 * 1024;

 private:
  Endpoint endpoint;
  std::string key;  ///< Secret; sent, never printed.
};

}  // namespace boragewharf::ctl
