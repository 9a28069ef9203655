/**
 * @file request_id_type.h
 * Identifier of a caller's request and of the stream that answers it.
 */
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace boragewharf {

/** 128 random bits, printed as 32 hexadecimal digits. */
struct RequestId {
  uint64_t high = 0;  ///< First half as printed.
  uint64_t low = 0;   ///< Second half as printed.

  auto operator<=>(const RequestId&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->high, this->low);
  }
};

/** A new random id. @note Thread-safe. */
RequestId NewRequestId();

/** 32 lower-case hexadecimal digits. @note Thread-safe. */
std::string ToString(const RequestId& id);

/**
 * Inverse of ToString().
 * @return Empty optional with kInvalidField for other text.
 * @note Thread-safe.
 */
std::optional<RequestId> ParseRequestId(std::string_view text);

}  // namespace boragewharf

template <>
struct std::hash<boragewharf::RequestId> {
  size_t operator()(const boragewharf::RequestId& id) const noexcept {
    return id.high ^ id.low;
  }
};
