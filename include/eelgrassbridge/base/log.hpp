// Structured logging, based on spdlog: one line per event.
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
  /// Name of an spdlog level: debug, info, warning or error.
  std::string level = "info";
};

struct LogField {
  std::string_view name;
  std::string value;
};

/// @brief Sets the format and level for the process. Logs go to standard error.
void ConfigureLog(const LogOptions& options);

/// @brief Writes one line. Fields must not contain keys, accounts or request
/// contents, because logs may leave the home regions of a client account.
void LogEvent(std::string_view event,
              std::initializer_list<LogField> fields = {},
              LogLevel level = LogLevel::kNone);

}  // namespace eelgrassbridge::base

#endif  // EELGRASSBRIDGE_BASE_LOG_HPP
