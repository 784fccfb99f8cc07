// A caller's request and its answer, free of the HTTP library's types.
#ifndef EELGRASSBRIDGE_DAEMON_CALLER_REQUEST_HPP
#define EELGRASSBRIDGE_DAEMON_CALLER_REQUEST_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "eelgrassbridge/base/answer_table.hpp"
#include "eelgrassbridge/base/error.hpp"
#include "eelgrassbridge/base/time.hpp"
#include "eelgrassbridge/daemon/http_exchange.hpp"

namespace eelgrassbridge::daemon {

inline constexpr std::string_view kKeyHeader = "Eelgrassbridge-Key";
inline constexpr std::string_view kAccountHeader = "Eelgrassbridge-Account";
inline constexpr std::string_view kDeadlineHeader =
    "Eelgrassbridge-Deadline-Ms";
inline constexpr std::string_view kRequestIdHeader =
    "Eelgrassbridge-Request-Id";
inline constexpr std::string_view kHopsHeader = "Eelgrassbridge-Hops";
inline constexpr std::string_view kOutcomeHeader = "Eelgrassbridge-Outcome";
inline constexpr std::string_view kErrorHeader = "Eelgrassbridge-Error";
inline constexpr std::string_view kAdviceHeader = "Eelgrassbridge-Advice";
inline constexpr std::string_view kOwnerHeader = "Eelgrassbridge-Owner";
inline constexpr std::string_view kEpochHeader = "Eelgrassbridge-Epoch";
inline constexpr std::string_view kGroupHeader = "Eelgrassbridge-Group";
inline constexpr std::string_view kNotAfterHeader = "Eelgrassbridge-Not-After";
inline constexpr std::string_view kNotRunHeader = "Eelgrassbridge-Not-Run";
/// Requests on the answering daemon's target, for the choice among targets.
inline constexpr std::string_view kInFlightHeader = "Eelgrassbridge-In-Flight";
/// Identity of the run of a target that died, with the error target_lost.
inline constexpr std::string_view kTargetRunHeader =
    "Eelgrassbridge-Target-Run";

struct CallerRequest {
  std::string method;
  /// Path with query, as received.
  std::string target;
  std::vector<Header> headers;
  std::string body;

  std::string service;
  std::string kind;
  std::string key;
  std::string account;
  std::string request_id;
  std::uint32_t hops = 0;
  /// What the caller asked for; none: the deadline of the request kind.
  std::optional<base::Duration> allowed_time;
  base::TimePoint received_at;
};

struct CallerAnswer {
  int status = 0;
  base::Outcome outcome = base::Outcome::kUnknown;
  /// Set unless the outcome is kAnswered.
  std::optional<base::ErrorKind> error;
  std::vector<Header> headers;
  std::string body;
};

/// @brief Fills service, kind and the product's own headers from target and
/// headers; refuses what is malformed.
base::Result<void> ParseCallerRequest(CallerRequest& request);

/// @brief The answer for an error kind, as JSON with the detail.
CallerAnswer ErrorAnswer(base::ErrorKind kind, std::string_view detail);

/// @brief Reads the answer of another daemon; one without the product's
/// outcome header is not a daemon's answer and leaves the outcome unknown.
CallerAnswer ReadPeerAnswer(ExchangeAnswer answer);

}  // namespace eelgrassbridge::daemon

#endif  // EELGRASSBRIDGE_DAEMON_CALLER_REQUEST_HPP
