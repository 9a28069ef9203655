/**
 * @file auth_func.cc
 * Token checks.
 */
#include "traffic/auth_func.h"

#include "base/digest_func.h"
#include "base/result_func.h"

namespace boragewharf::traffic {

namespace {

constexpr std::string_view kBearer = "Bearer ";

const config::TokenHash& UnknownCustomerHash() {
  static const config::TokenHash kHash{std::string(32, '0'),
                                       std::string(2 * kDigestBytes, '0')};
  return kHash;
}

}  // namespace

std::optional<std::string_view> BearerToken(std::string_view header) {
  if (!header.starts_with(kBearer) || header.size() == kBearer.size()) {
    return Fail(ResultCode::kUnauthenticated, "no bearer token");
  }
  return header.substr(kBearer.size());
}

bool MatchesToken(const config::TokenHash& hash, std::string_view secret) {
  const std::optional<std::string> salt = HexDecode(hash.salt);
  if (!salt) {
    return false;
  }
  const Digest digest = Sha256(*salt + std::string(secret));
  return ConstantTimeEqual(HexEncode(digest), hash.hash);
}

const config::Customer* FindCustomer(const config::Configuration& configuration,
                                     std::string_view authorization) {
  const std::optional<std::string_view> token = BearerToken(authorization);
  if (!token) {
    return nullptr;
  }
  const size_t dot = token->find('.');
  const std::string name(token->substr(0, dot));
  const std::string_view secret = dot == std::string_view::npos
                                      ? std::string_view()
                                      : token->substr(dot + 1);
  const auto found = configuration.customers.find(name);
  bool matches = false;
  if (found == configuration.customers.end()) {
    MatchesToken(UnknownCustomerHash(), secret);
  } else {
    for (const config::TokenHash& hash : found->second.tokens) {
      matches |= MatchesToken(hash, secret);
    }
  }
  if (!matches) {
    Fail(ResultCode::kUnauthenticated, "unknown token");
    return nullptr;
  }
  return &found->second;
}

}  // namespace boragewharf::traffic
