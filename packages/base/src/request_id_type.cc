/**
 * @file request_id_type.cc
 * Creation, formatting and parsing of request ids.
 */
#include "base/request_id_type.h"

#include <charconv>
#include <cstdio>

#include "base/digest_func.h"
#include "base/result_func.h"

namespace boragewharf {

namespace {

constexpr size_t kHalfDigits = 16;

std::optional<uint64_t> ParseHalf(std::string_view digits) {
  uint64_t half = 0;
  const auto [end, error] =
      std::from_chars(digits.data(), digits.data() + digits.size(), half, 16);
  if (error != std::errc() || end != digits.data() + digits.size()) {
    return std::nullopt;
  }
  return half;
}

}  // namespace

RequestId NewRequestId() {
  return {RandomU64(), RandomU64()};
}

std::string ToString(const RequestId& id) {
  char text[2 * kHalfDigits + 1];
  std::snprintf(text, sizeof(text), "%016lx%016lx", id.high, id.low);
  return text;
}

std::optional<RequestId> ParseRequestId(std::string_view text) {
  if (text.size() != 2 * kHalfDigits) {
    return Fail(ResultCode::kInvalidField, "expected 32 hexadecimal digits");
  }
  const std::optional<uint64_t> high = ParseHalf(text.substr(0, kHalfDigits));
  const std::optional<uint64_t> low = ParseHalf(text.substr(kHalfDigits));
  if (!high || !low) {
    return Fail(ResultCode::kInvalidField, "expected 32 hexadecimal digits");
  }
  return RequestId{*high, *low};
}

}  // namespace boragewharf
