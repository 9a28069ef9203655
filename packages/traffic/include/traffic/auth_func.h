/**
 * @file auth_func.h
 * Authentication of callers.
 */
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "config/document_type.h"

namespace boragewharf::traffic {

/**
 * The token of an Authorization header of the form "Bearer TOKEN".
 * @return Empty optional with kUnauthenticated for anything else.
 * @note Thread-safe.
 */
std::optional<std::string_view> BearerToken(std::string_view header);

/**
 * Whether @p hash is that of @p secret, in time independent of both.
 * @note Thread-safe.
 */
bool MatchesToken(const config::TokenHash& hash, std::string_view secret);

/**
 * Finds the customer that a token "NAME.SECRET" belongs to. Unknown names
 * take as long as known ones with a single token.
 * @return Null with kUnauthenticated if there is none; otherwise valid as long
 *     as @p configuration.
 * @note Thread-safe.
 */
const config::Customer* FindCustomer(const config::Configuration& configuration,
                                     std::string_view authorization);

}  // namespace boragewharf::traffic
