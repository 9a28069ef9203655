/**
 * @file endpoint_type.h
 * Network addresses by IP number and port.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace boragewharf {

/** An IPv4 address with a port. */
struct Endpoint {
  std::string host;   ///< Dotted IPv4 number.
  uint16_t port = 0;  ///< Port in host byte order.

  auto operator<=>(const Endpoint&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->host, this->port);
  }
};

/**
 * Parses "IP:PORT".
 * @return Empty optional with kInvalidField if @p text is anything else.
 * @note Thread-safe.
 */
std::optional<Endpoint> ParseEndpoint(std::string_view text);

/** Formats as "IP:PORT". @note Thread-safe. */
std::string ToString(const Endpoint& endpoint);

}  // namespace boragewharf
