// Structured logging on spdlog: one line for each change of state.
#ifndef EELGRASSBRIDGE_BASE_LOG_HPP
#define EELGRASSBRIDGE_BASE_LOG_HPP

#include <initializer_list>
#include <string>
#include <string_view>

#include "eelgrassbridge/base/error_table.hpp"

namespace eelgrassbridge::base {

enum class LogFormat : std::uint8_t { kText, kJson };

struct LogOptions {
  LogFormat format = LogFormat::kText;
  /// spdlog level name: debug, info, warning, error.
  std::string level = "info";
};

/// @brief One named value of a log line.
struct LogField {
  std::string_view name;
  std::string value;
};

/// @brief Sets format and level of the process; lines go to standard error.
void ConfigureLog(const LogOptions& options);

/// @brief Writes one line. Keys, accounts and request contents never go into a
/// field, since logs may leave the home regions of a client account.
void LogEvent(std::string_view event,
              std::initializer_list<LogField> fields = {},
              LogLevel level = LogLevel::kNone);

}  // namespace eelgrassbridge::base

#endif  // EELGRASSBRIDGE_BASE_LOG_HPP
