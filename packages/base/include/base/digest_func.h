/**
 * @file digest_func.h
 * Cryptographic digests, random bytes (OpenSSL) and fast hashes (xxHash).
 */
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace boragewharf {

/** Size of a SHA-256 digest in bytes. */
inline constexpr size_t kDigestBytes = 32;

using Digest = std::array<uint8_t, kDigestBytes>;

/**
 * SHA-256 over the concatenation of @p parts, each preceded by its length, so
 * that different splits of the same bytes have different digests.
 * @note Thread-safe.
 */
Digest Sha256(std::span<const std::string_view> parts);

/** SHA-256 of one text, without a length prefix. @note Thread-safe. */
Digest Sha256(std::string_view text);

/**
 * HMAC-SHA256.
 * @pre @p key is not empty.
 * @note Thread-safe.
 */
Digest HmacSha256(std::string_view key, std::string_view message);

/**
 * Compares in time that depends on the lengths only.
 * @note Thread-safe.
 */
bool ConstantTimeEqual(std::string_view a, std::string_view b);

/**
 * Fills @p out with bytes of the system's random generator.
 * @note Thread-safe. Ends the process if the generator fails.
 */
void RandomBytes(std::span<uint8_t> out);

/** 64 random bits. @note Thread-safe. */
uint64_t RandomU64();

/** Lower-case hexadecimal text. @note Thread-safe. */
std::string HexEncode(std::span<const uint8_t> bytes);

/** Lower-case hexadecimal text of the bytes of @p text. @note Thread-safe. */
std::string HexEncode(std::string_view text);

/**
 * Inverse of HexEncode().
 * @return Raw bytes; empty optional with kInvalidField for other text.
 * @note Thread-safe.
 */
std::optional<std::string> HexDecode(std::string_view hex);

/** View of a digest's bytes. */
inline std::string_view AsView(const Digest& digest) {
  return {reinterpret_cast<const char*>(digest.data()), digest.size()};
}

/**
 * 64-bit xxHash; not for anything an attacker chooses.
 * @note Thread-safe.
 */
uint64_t Hash64(std::string_view text, uint64_t seed = 0);

}  // namespace boragewharf
