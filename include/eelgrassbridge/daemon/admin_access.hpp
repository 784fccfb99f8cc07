// Authentication and authorization of the admin endpoints by bearer token.
#ifndef EELGRASSBRIDGE_DAEMON_ADMIN_ACCESS_HPP
#define EELGRASSBRIDGE_DAEMON_ADMIN_ACCESS_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "eelgrassbridge/base/error.hpp"
#include "eelgrassbridge/settings/settings.hpp"

namespace eelgrassbridge::daemon {

/// @brief Returns the SHA-256 digest in lower-case hexadecimal digits, the form
/// in which the settings hold tokens.
std::string Sha256Hex(std::string_view data);

/// @brief Returns the operator that a token belongs to, or kUnauthorized for an
/// unknown or expired token. The error is the same for both, so that a client
/// cannot find out whether a token was ever valid.
/// @param authorization value of the Authorization header, "Bearer TOKEN"
/// @param now_s wall clock in Unix seconds
base::Result<const settings::OperatorToken*> FindOperator(
    const std::vector<settings::OperatorToken>& operators,
    std::string_view authorization,
    std::int64_t now_s);

bool HasScope(const settings::OperatorToken& token,
              settings::OperatorScope scope);

}  // namespace eelgrassbridge::daemon

#endif  // EELGRASSBRIDGE_DAEMON_ADMIN_ACCESS_HPP
