// The table from error kind to what is told to the caller.
#ifndef EELGRASSBRIDGE_BASE_ERROR_TABLE_HPP
#define EELGRASSBRIDGE_BASE_ERROR_TABLE_HPP

#include <span>
#include <string_view>

#include "eelgrassbridge/base/error.hpp"

namespace eelgrassbridge::base {

/// @brief What the caller may conclude about its request.
enum class Outcome : std::uint8_t {
  kAnswered,  ///< The answer is whole.
  kNotRun,    ///< Nothing of the request was handed to a target.
  kUnknown,   ///< The request may or may not have run.
};

/// @brief What the caller is advised to do.
enum class RetryAdvice : std::uint8_t {
  kNone,       ///< A repeat gives the same answer.
  kSoon,       ///< The same request may succeed after Retry-After.
  kElsewhere,  ///< The same request should go to the address in the answer.
  kCheck,      ///< Only an idempotent request may be repeated; otherwise resend
               ///< with the same request id or look at the state first.
};

enum class LogLevel : std::uint8_t { kNone, kWarning, kError };

/// @brief One row of the table.
struct ErrorInfo {
  ErrorKind kind;
  std::string_view name;
  int http_status;
  Outcome outcome;
  RetryAdvice advice;
  LogLevel log_level;
};

/// @brief All rows, in the order of ErrorKind.
std::span<const ErrorInfo> ErrorTable();

/// @brief The row of one kind.
const ErrorInfo& GetErrorInfo(ErrorKind kind);

/// @brief Value of the header Eelgrassbridge-Outcome.
std::string_view OutcomeName(Outcome outcome);

/// @brief Name of a piece of retry advice.
std::string_view AdviceName(RetryAdvice advice);

}  // namespace eelgrassbridge::base

#endif  // EELGRASSBRIDGE_BASE_ERROR_TABLE_HPP
