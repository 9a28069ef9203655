/**
 * @file digest_func.cc
 * Digests and hashes on top of OpenSSL and xxHash.
 */
#include "base/digest_func.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <xxhash.h>

#include <cstdlib>
#include <memory>

#include "base/result_func.h"

namespace boragewharf {

namespace {

constexpr char kHexDigits[] = "0123456789abcdef";

using DigestContext = std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)>;

DigestContext NewSha256Context() {
  DigestContext context(EVP_MD_CTX_new(), &EVP_MD_CTX_free);
  EVP_DigestInit_ex(context.get(), EVP_sha256(), nullptr);
  return context;
}

std::optional<uint8_t> HexValue(char digit) {
  if (digit >= '0' && digit <= '9') {
    return static_cast<uint8_t>(digit - '0');
  }
  if (digit >= 'a' && digit <= 'f') {
    return static_cast<uint8_t>(digit - 'a' + 10);
  }
  return std::nullopt;
}

}  // namespace

Digest Sha256(std::span<const std::string_view> parts) {
  DigestContext context = NewSha256Context();
  for (std::string_view part : parts) {
    const uint64_t length = part.size();
    EVP_DigestUpdate(context.get(), &length, sizeof(length));
    EVP_DigestUpdate(context.get(), part.data(), part.size());
  }
  Digest digest{};
  EVP_DigestFinal_ex(context.get(), digest.data(), nullptr);
  return digest;
}

Digest Sha256(std::string_view text) {
  DigestContext context = NewSha256Context();
  EVP_DigestUpdate(context.get(), text.data(), text.size());
  Digest digest{};
  EVP_DigestFinal_ex(context.get(), digest.data(), nullptr);
  return digest;
}

Digest HmacSha256(std::string_view key, std::string_view message) {
  Digest digest{};
  unsigned int length = digest.size();
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
       reinterpret_cast<const unsigned char*>(message.data()), message.size(),
       digest.data(), &length);
  return digest;
}

bool ConstantTimeEqual(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

void RandomBytes(std::span<uint8_t> out) {
  if (RAND_bytes(out.data(), static_cast<int>(out.size())) != 1) {
    std::abort();
  }
}

uint64_t RandomU64() {
  std::array<uint8_t, sizeof(uint64_t)> bytes{};
  RandomBytes(bytes);
  uint64_t value = 0;
  for (uint8_t byte : bytes) {
    value = value << 8 | byte;
  }
  return value;
}

std::string HexEncode(std::span<const uint8_t> bytes) {
  std::string hex;
  hex.reserve(bytes.size() * 2);
  for (uint8_t byte : bytes) {
    hex.push_back(kHexDigits[byte >> 4]);
    hex.push_back(kHexDigits[byte & 0xf]);
  }
  return hex;
}

std::string HexEncode(std::string_view text) {
  return HexEncode(
      std::span(reinterpret_cast<const uint8_t*>(text.data()), text.size()));
}

std::optional<std::string> HexDecode(std::string_view hex) {
  if (hex.size() % 2 != 0) {
    return Fail(ResultCode::kInvalidField, "odd number of hexadecimal digits");
  }
  std::string bytes;
  bytes.reserve(hex.size() / 2);
  for (size_t i = 0; i < hex.size(); i += 2) {
    const std::optional<uint8_t> high = HexValue(hex[i]);
    const std::optional<uint8_t> low = HexValue(hex[i + 1]);
    if (!high || !low) {
      return Fail(ResultCode::kInvalidField, "not a hexadecimal digit");
    }
    bytes.push_back(static_cast<char>(*high << 4 | *low));
  }
  return bytes;
}

uint64_t Hash64(std::string_view text, uint64_t seed) {
  return XXH64(text.data(), text.size(), seed);
}

}  // namespace boragewharf
