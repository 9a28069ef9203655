/**
 * @file endpoint_type.cc
 * Parsing and formatting of endpoints.
 */
#include "base/endpoint_type.h"

#include <arpa/inet.h>

#include <charconv>

#include "base/result_func.h"

namespace boragewharf {

std::optional<Endpoint> ParseEndpoint(std::string_view text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return Fail(ResultCode::kInvalidField, "expected IP:PORT");
  }
  Endpoint endpoint{std::string(text.substr(0, colon)), 0};
  in_addr address{};
  if (inet_pton(AF_INET, endpoint.host.c_str(), &address) != 1) {
    return Fail(ResultCode::kInvalidField, "expected a dotted IPv4 number");
  }
  const std::string_view port = text.substr(colon + 1);
  const auto [end, error] =
      std::from_chars(port.data(), port.data() + port.size(), endpoint.port);
  if (error != std::errc() || end != port.data() + port.size()) {
    return Fail(ResultCode::kInvalidField, "expected a port from 0 to 65535");
  }
  return endpoint;
}

std::string ToString(const Endpoint& endpoint) {
  return endpoint.host + ":" + std::to_string(endpoint.port);
}

}  // namespace boragewharf
