/**
 * @file body_func.h
 * Message bodies in cereal's portable binary format.
 */
#pragma once

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/array.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <cstring>
#include <exception>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>

#include "base/result_func.h"

namespace boragewharf {

/**
 * Reads what cereal::PortableBinaryOutputArchive wrote on a little-endian
 * machine. cereal's own reader allocates any length that the input states;
 * this one refuses a length that exceeds the bytes that are left.
 */
class BodyReader
    : public cereal::InputArchive<BodyReader, cereal::AllowEmptyClassElision> {
 public:
  /** @param text Encoded body; must outlive the reader. */
  explicit BodyReader(std::string_view text)
      : cereal::InputArchive<BodyReader, cereal::AllowEmptyClassElision>(this),
        remaining(text) {
    uint8_t is_little_endian = 0;
    this->ReadBytes(&is_little_endian, sizeof(is_little_endian));
    if (is_little_endian != 1) {
      throw cereal::Exception("unsupported byte order");
    }
  }

  /** Copies @p size bytes; throws cereal::Exception if fewer are left. */
  void ReadBytes(void* out, size_t size) {
    this->CheckAvailable(size);
    if (size > 0) {
      std::memcpy(out, this->remaining.data(), size);
    }
    this->remaining.remove_prefix(size);
  }

  /** Throws cereal::Exception if fewer than @p size bytes are left. */
  void CheckAvailable(uint64_t size) const {
    if (size > this->remaining.size()) {
      throw cereal::Exception("body is truncated");
    }
  }

  /** Whether all bytes have been read. */
  bool AtEnd() const { return this->remaining.empty(); }

 private:
  std::string_view remaining;
};

/** Reads a number or flag. */
template <class T>
std::enable_if_t<std::is_arithmetic_v<T>> CEREAL_LOAD_FUNCTION_NAME(
    BodyReader& reader,
    T& value) {
  if constexpr (std::is_same_v<T, bool>) {
    uint8_t byte = 0;
    reader.ReadBytes(&byte, sizeof(byte));
    value = byte != 0;
  } else {
    reader.ReadBytes(&value, sizeof(value));
  }
}

/** Reads a name-value pair; names are not stored. */
template <class T>
void CEREAL_SERIALIZE_FUNCTION_NAME(BodyReader& reader,
                                    cereal::NameValuePair<T>& pair) {
  reader(pair.value);
}

/** Reads a length and checks it: each element takes at least one byte. */
template <class T>
void CEREAL_SERIALIZE_FUNCTION_NAME(BodyReader& reader,
                                    cereal::SizeTag<T>& tag) {
  reader(tag.size);
  reader.CheckAvailable(tag.size);
}

/** Reads a run of bytes, as of a string. */
template <class T>
void CEREAL_LOAD_FUNCTION_NAME(BodyReader& reader,
                               cereal::BinaryData<T>& data) {
  reader.ReadBytes(data.data, static_cast<size_t>(data.size));
}

/** Encodes a message. @note Thread-safe. */
template <class T>
std::string EncodeBody(const T& message) {
  std::ostringstream out;
  {
    cereal::PortableBinaryOutputArchive archive(out);
    archive(message);
  }
  return std::move(out).str();
}

/**
 * Decodes a message from any bytes.
 * @return Empty optional with kPeerTruncated if the bytes are not exactly one
 *     message of the type, or need more memory than is available.
 * @note Thread-safe.
 */
template <class T>
std::optional<T> DecodeBody(std::string_view text) {
  try {
    BodyReader reader(text);
    T message{};
    reader(message);
    if (!reader.AtEnd()) {
      return Fail(ResultCode::kPeerTruncated, "bytes after the message");
    }
    return message;
  } catch (const std::exception& fault) {
    return Fail(ResultCode::kPeerTruncated, fault.what());
  }
}

}  // namespace boragewharf

namespace cereal::traits::detail {
// cereal looks up the writer that belongs to a reader.
template <>
struct get_output_from_input<boragewharf::BodyReader> {
  using type = cereal::PortableBinaryOutputArchive;
};
}  // namespace cereal::traits::detail
