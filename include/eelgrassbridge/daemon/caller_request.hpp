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
/// "1" on the first sending of a request id; see DowngradeUnconfirmedRefusal.
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
  /// The caller states that it sends this request id for the first time.
  bool is_first_send = false;
  std::uint32_t hops = 0;
  /// Another daemon of the site has counted it against the limits already.
  bool is_forwarded = false;
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
  /// Room for the body, held until the caller has it.
  BodyReservation reservation;
  /// "Not run" holds for every sending of the request's id, because the record
  /// of ids was asked, here or at the daemon that answered.
  bool is_confirmed_by_id_record = false;
};

/// @brief Fills service, kind and the product's own headers from target and
/// headers; refuses what is malformed.
base::Result<void> ParseCallerRequest(CallerRequest& request);

/// @brief The answer for an error kind, as JSON with the detail.
CallerAnswer ErrorAnswer(base::ErrorKind kind, std::string_view detail);

/// @brief Makes a refusal true for all sendings of a request id.
///
/// A refusal that was made before the owner's record of ids was asked proves
/// only that this sending was not run; an earlier sending of the same id may
/// have run. Unless the caller states that this is the first sending, the
/// outcome is then told as unknown. Resending the same id is always safe.
CallerAnswer DowngradeUnconfirmedRefusal(const CallerRequest& request,
                                         CallerAnswer answer);

/// @brief Reads the answer of another daemon; one without the product's
/// outcome header is not a daemon's answer and leaves the outcome unknown.
CallerAnswer ReadPeerAnswer(ExchangeAnswer answer);

}  // namespace eelgrassbridge::daemon

#endif  // EELGRASSBRIDGE_DAEMON_CALLER_REQUEST_HPP
