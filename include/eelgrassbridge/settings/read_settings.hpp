// Reading of a daemon's settings file.
#ifndef EELGRASSBRIDGE_SETTINGS_READ_SETTINGS_HPP
#define EELGRASSBRIDGE_SETTINGS_READ_SETTINGS_HPP

#include <optional>
#include <string>
#include <string_view>

#include "eelgrassbridge/base/error.hpp"
#include "eelgrassbridge/settings/settings.hpp"

namespace eelgrassbridge::settings {

/// @brief Reads and checks the whole text. The error's detail lists every
/// problem, one a line, as "file:line: field: what is accepted".
base::Result<Settings> ReadSettings(std::string_view yaml,
                                    std::string_view file_name);

/// @brief ReadSettings on a file; a file that cannot be read is an error too.
base::Result<Settings> ReadSettingsFile(const std::string& file_name);

/// @brief "127.0.0.1:8101" or "[::1]:8101"; none for names, for a missing port
/// and for port 0.
std::optional<Address> ParseAddress(std::string_view text);

std::string ToString(const Address& address);

}  // namespace eelgrassbridge::settings

#endif  // EELGRASSBRIDGE_SETTINGS_READ_SETTINGS_HPP
