// A caller's request and its answer, independent of the HTTP library's types.
#ifndef EELGRASSBRIDGE_DAEMON_CALLER_REQUEST_HPP
#define EELGRASSBRIDGE_DAEMON_CALLER_REQUEST_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "eelgrassbridge/base/error.hpp"
#include "eelgrassbridge/base/error_table.hpp"
#include "eelgrassbridge/base/time.hpp"
#include "eelgrassbridge/daemon/http_exchange.hpp"

namespace eelgrassbridge::daemon {

inline constexpr std::string_view kKeyHeader = "Eelgrassbridge-Key";
inline constexpr std::string_view kAccountHeader = "Eelgrassbridge-Account";
inline constexpr std::string_view kDeadlineHeader =
    "Eelgrassbridge-Deadline-Ms";
inline constexpr std::string_view kRequestIdHeader =
    "Eelgrassbridge-Request-Id";
/// "1" if the request id is sent for the first time; see
/// DowngradeUnconfirmedRefusal.
inline constexpr std::string_view kFirstSendHeader =
    "Eelgrassbridge-First-Send";
inline constexpr std::string_view kHopsHeader = "Eelgrassbridge-Hops";
inline constexpr std::string_view kForwardProofHeader =
    "Eelgrassbridge-Forward-Proof";
inline constexpr std::string_view kOutcomeHeader = "Eelgrassbridge-Outcome";
inline constexpr std::string_view kErrorHeader = "Eelgrassbridge-Error";
inline constexpr std::string_view kAdviceHeader = "Eelgrassbridge-Advice";
inline constexpr std::string_view kOwnerHeader = "Eelgrassbridge-Owner";
inline constexpr std::string_view kEpochHeader = "Eelgrassbridge-Epoch";
inline constexpr std::string_view kGroupHeader = "Eelgrassbridge-Group";
inline constexpr std::string_view kNotAfterHeader = "Eelgrassbridge-Not-After";
inline constexpr std::string_view kNotRunHeader = "Eelgrassbridge-Not-Run";
/// Number of requests in flight on the answering daemon's target; an input of
/// target selection.
inline constexpr std::string_view kInFlightHeader = "Eelgrassbridge-In-Flight";
/// Identity of the target process that died, sent with the error target_lost.
inline constexpr std::string_view kTargetRunHeader =
    "Eelgrassbridge-Target-Run";

struct CallerRequest {
  std::string method;
  /// Request target (path with query) as received.
  std::string target;
  std::vector<Header> headers;
  std::string body;

  std::string service;
  std::string kind;
  std::string key;
  std::string account;
  std::string request_id;
  /// The caller states that the request id has not been sent before.
  bool is_first_send = false;
  std::uint32_t hops = 0;
  /// Another daemon of the site has already counted it against the limits.
  bool is_forwarded = false;
  /// Time limit that the caller asked for; nullopt: the deadline of the request
  /// kind applies.
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
  /// Memory of the body, reserved until the body has been sent to the caller.
  BodyReservation reservation;
  /// The outcome was checked against the request-id record, here or at the
  /// daemon that answered, so "not run" covers earlier sends of the id too.
  bool is_confirmed_by_id_record = false;
};

/// @brief Parses the request target and the Eelgrassbridge-* headers into the
/// fields of `request`. Fails with kBadRequest if one of them is malformed.
base::Result<void> ParseCallerRequest(CallerRequest& request);

/// @brief Builds the answer for an error kind, with a JSON body that contains
/// the detail.
CallerAnswer ErrorAnswer(base::ErrorKind kind, std::string_view detail);

/// @brief Changes the outcome of a refusal from "not run" to "unknown" if an
/// earlier send of the same request id may have run.
///
/// A refusal made before the owner's request-id record was consulted only
/// proves that this send was not run. The outcome stays "not run" if the caller
/// states that the id is sent for the first time. Sending the same id again is
/// always safe.
CallerAnswer DowngradeUnconfirmedRefusal(const CallerRequest& request,
                                         CallerAnswer answer);

/// @brief Converts the HTTP response of another daemon. A response without the
/// outcome header was not sent by a daemon; its outcome is unknown.
CallerAnswer ReadPeerAnswer(ExchangeAnswer answer);

}  // namespace eelgrassbridge::daemon

#endif  // EELGRASSBRIDGE_DAEMON_CALLER_REQUEST_HPP
