// Maps each error kind to its name, its HTTP status, and the outcome and retry
// advice that the caller receives with it.
#ifndef EELGRASSBRIDGE_BASE_ERROR_TABLE_HPP
#define EELGRASSBRIDGE_BASE_ERROR_TABLE_HPP

#include <span>
#include <string_view>

#include "eelgrassbridge/base/error.hpp"

namespace eelgrassbridge::base {

/// @brief Whether the request was executed, as far as it is known.
enum class Outcome : std::uint8_t {
  kAnswered,  ///< The complete answer was received.
  kNotRun,    ///< No part of the request was sent to a target.
  kUnknown,   ///< The request may or may not have run.
};

/// @brief How the caller should retry a failed request.
enum class RetryAdvice : std::uint8_t {
  kNone,       ///< A retry would get the same answer.
  kSoon,       ///< The same request may succeed after Retry-After.
  kElsewhere,  ///< Send the request to the address in the answer.
  kCheck,      ///< Only an idempotent request may be retried as it is; for
               ///< others, reuse the request id or check the state first.
};

enum class LogLevel : std::uint8_t { kNone, kWarning, kError };

/// @brief How one error kind is reported.
struct ErrorInfo {
  ErrorKind kind;
  std::string_view name;
  int http_status;
  Outcome outcome;
  RetryAdvice advice;
  LogLevel log_level;
};

/// @brief Returns the entries of all error kinds, in the order of ErrorKind.
std::span<const ErrorInfo> ErrorTable();

const ErrorInfo& GetErrorInfo(ErrorKind kind);

/// @brief Returns the value of the header Eelgrassbridge-Outcome.
std::string_view OutcomeName(Outcome outcome);

/// @brief Returns the value of the header Eelgrassbridge-Advice.
std::string_view AdviceName(RetryAdvice advice);

}  // namespace eelgrassbridge::base

#endif  // EELGRASSBRIDGE_BASE_ERROR_TABLE_HPP
