// Who may use the operators' endpoints.
#ifndef EELGRASSBRIDGE_DAEMON_ADMIN_ACCESS_HPP
#define EELGRASSBRIDGE_DAEMON_ADMIN_ACCESS_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "eelgrassbridge/base/error.hpp"
#include "eelgrassbridge/settings/settings.hpp"

namespace eelgrassbridge::daemon {

/// @brief SHA-256 in lower-case hexadecimal digits, as kept in the settings.
std::string Sha256Hex(std::string_view data);

/// @brief The operator that a token belongs to; an error (kUnauthorized) for
/// an unknown or expired token. The error does not tell which of the two, so
/// that an old token cannot be told from a guess.
/// @param authorization value of the header Authorization, "Bearer TOKEN"
/// @param now_s wall clock in Unix seconds
base::Result<const settings::OperatorToken*> FindOperator(
    const std::vector<settings::OperatorToken>& operators,
    std::string_view authorization,
    std::int64_t now_s);

bool HasScope(const settings::OperatorToken& token,
              settings::OperatorScope scope);

}  // namespace eelgrassbridge::daemon

#endif  // EELGRASSBRIDGE_DAEMON_ADMIN_ACCESS_HPP
