// Reads and validates a daemon's settings file.
#ifndef EELGRASSBRIDGE_SETTINGS_READ_SETTINGS_HPP
#define EELGRASSBRIDGE_SETTINGS_READ_SETTINGS_HPP

#include <optional>
#include <string>
#include <string_view>

#include "eelgrassbridge/base/error.hpp"
#include "eelgrassbridge/settings/settings.hpp"

namespace eelgrassbridge::settings {

/// @brief Reads and validates the whole text. Fails with kSettingsInvalid; the
/// detail lists the problems, one per line, as "file:line: field: message".
base::Result<Settings> ReadSettings(std::string_view yaml,
                                    std::string_view file_name);

/// @brief Calls ReadSettings with the content of a file; also fails if the file
/// can't be read.
base::Result<Settings> ReadSettingsFile(const std::string& file_name);

/// @brief Parses e.g. "127.0.0.1:8101" or "[::1]:8101"; returns nothing for
/// host names, a missing port and port 0.
std::optional<Address> ParseAddress(std::string_view text);

std::string ToString(const Address& address);

}  // namespace eelgrassbridge::settings

#endif  // EELGRASSBRIDGE_SETTINGS_READ_SETTINGS_HPP
