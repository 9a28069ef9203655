/**
 * @file header_func.cc
 * Filters of headers.
 */
#include "traffic/header_func.h"

#include <strings.h>

#include <algorithm>
#include <array>
#include <span>

#include "traffic/caller_server_base.h"

namespace boragewharf::traffic {

namespace {

// Those of RFC 9110, section 7.6.1, and of the message framing.
constexpr std::array kConnectionHeaders{"Connection",
                                        "Content-Length",
                                        "Keep-Alive",
                                        "Proxy-Authenticate",
                                        "Proxy-Authorization",
                                        "Proxy-Connection",
                                        "TE",
                                        "Trailer",
                                        "Transfer-Encoding",
                                        "Upgrade"};
// REMOTE_ADDR and so on are added to each request by the library.
constexpr std::array kRequestOnly{
    "Authorization", "Content-Type",    "Expect",      "Host",
    "LOCAL_ADDR",    "LOCAL_PORT",      "REMOTE_ADDR", "REMOTE_PORT",
    "X-Request-Id",  kContentTypeHeader};
constexpr std::array kAnswerOnly{"Content-Type", "X-Request-Id"};

bool IsIn(std::span<const char* const> names, const std::string& name) {
  return std::ranges::any_of(names, [&](const char* candidate) {
    return strcasecmp(candidate, name.c_str()) == 0;
  });
}

httplib::Headers Filter(const httplib::Headers& headers,
                        std::span<const char* const> dropped) {
  httplib::Headers kept;
  for (const auto& [name, value] : headers) {
    if (!IsIn(kConnectionHeaders, name) && !IsIn(dropped, name)) {
      kept.emplace(name, value);
    }
  }
  return kept;
}

}  // namespace

httplib::Headers RequestHeaders(const httplib::Headers& headers) {
  httplib::Headers kept = Filter(headers, kRequestOnly);
  const auto content_type = headers.find(kContentTypeHeader);
  if (content_type != headers.end()) {
    kept.emplace("Content-Type", content_type->second);
  }
  // The answer is kept and replayed, so it must not be compressed.
  kept.emplace("Accept-Encoding", "identity");
  return kept;
}

httplib::Headers AnswerHeaders(const httplib::Headers& headers) {
  return Filter(headers, kAnswerOnly);
}

}  // namespace boragewharf::traffic
