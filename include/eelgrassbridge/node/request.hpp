// Data of a request on its way through the daemons: its terms, message and
// cancellation, the result of an attempt, and the proof that it has not run.
#ifndef EELGRASSBRIDGE_NODE_REQUEST_HPP
#define EELGRASSBRIDGE_NODE_REQUEST_HPP

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "eelgrassbridge/base/error.hpp"
#include "eelgrassbridge/base/error_table.hpp"
#include "eelgrassbridge/base/time.hpp"
#include "eelgrassbridge/catalogue/route_table.hpp"
#include "eelgrassbridge/http/client.hpp"
#include "eelgrassbridge/http/server.hpp"
#include "eelgrassbridge/node/platform_port.hpp"

namespace eelgrassbridge::node {

/// @brief Maximum wait for a slot, as a share of the latency objective. Past
/// it, a retry by the caller has better prospects. Requests wait in the order
/// in which this time is up.
inline constexpr double kMaxWaitShare = 0.4;
/// @brief Lower bound of the maximum wait for a slot, for requests with a short
/// objective: a refused call wastes the work that its caller has already done,
/// and the queue of a full target advances within this time. Such a request is
/// due before the bound, so it goes ahead of longer ones. It never extends the
/// wait beyond kMaxWaitShare of the time from arrival to the deadline.
inline constexpr base::Duration kMaxWaitFloor = base::milliseconds{150};

/// @brief Parameters of a request, sent along when a daemon forwards it.
struct RequestTerms {
  std::string id;
  std::string service;
  /// Client account that the request is made for; empty if none.
  std::string account;
  /// Key with which the caller has identified the account. Set only on the
  /// daemon that received the request from its caller: it must not be logged,
  /// counted or sent.
  std::string api_key;
  /// Version of the routes in which another daemon has found the account; set
  /// if that daemon has forwarded the request.
  std::uint64_t account_found_in = 0;
  catalogue::RequestClass request_class =
      catalogue::RequestClass::kNonIdempotent;
  std::uint32_t priority = 0;
  /// Latency objective of the route.
  base::Duration objective{};
  /// Maximum wait for a slot of the target. Zero admits the request only to a
  /// free slot, because earlier attempts have used up the wait.
  base::Duration max_wait{};
  /// Set if the service is divided by key.
  std::optional<std::uint32_t> key;
  /// Service of the VM where the request began; set by the daemon there.
  std::string caller_service;
  /// Target chosen by the sender; empty allows any target of the service.
  std::string target;
  base::TimePoint deadline;
};

inline bool IsIdempotent(const RequestTerms& terms) {
  return catalogue::IsIdempotent(terms.request_class);
}

/// @brief The HTTP request as it is forwarded.
struct Message {
  std::string method;
  std::string request_target;
  /// End-to-end headers, except those that daemons set.
  http::Headers headers;
  /// Buffered start of the body. The message can be sent again as long as
  /// nothing more has been read from `body_source`.
  std::string body;
  /// Exchange that the rest of the body is read from; null if `body` is whole.
  http::Exchange* body_source = nullptr;
  /// Length of the complete body; none if it is chunked.
  std::optional<std::uint64_t> length;
  bool has_body = false;
};

/// @brief Cancellation state of a request, which is cancelled when its caller
/// disconnects or its deadline passes.
struct Cancellation {
  std::optional<base::ErrorKind> cause;
  /// Aborts the operation that the request is waiting for.
  std::function<void()> abort;
};

using CancellationPointer = std::shared_ptr<Cancellation>;

/// @brief Cancels the request; only the first call has an effect.
void Cancel(Cancellation& cancellation, base::ErrorKind cause);

/// @brief Proof that no target has run a request or will run it. It can only be
/// created by the functions below, each from its own kind of evidence.
class NotRunProof {
 public:
  /// No byte of the request has been sent.
  static NotRunProof NeverSent() { return NotRunProof{}; }

  /// The target's answer has status 421 or the not-run header.
  static std::optional<NotRunProof> FromTarget(
      const http::ResponseHead& response,
      const HeaderNames& names);

  /// The answer of another daemon, which held such a proof, states it.
  static std::optional<NotRunProof> FromDaemon(
      const http::ResponseHead& response);

 private:
  NotRunProof() = default;
};

/// @brief Streaming of a caller's body to a server while the answer is read.
///
/// Invariant: a stopped pump takes nothing more from the body, so another
/// attempt can continue there, and no two pumps read a body at a time.
struct BodyPump {
  BodyPump(asio::io_context& io, http::Exchange& body_source)
      : source(body_source.shared_from_this()), ended(io) {}
  std::shared_ptr<http::Exchange> source;
  http::Event ended;
  bool done = false;
  /// The whole body has been sent.
  bool complete = false;
  /// The attempt has ended: the rest of the body is left in `source`.
  bool stopped = false;
};

struct LinkShare;

/// @brief Result of one attempt.
///
/// Invariant: `proof` is set if and only if the outcome is kNotRun.
struct RunResult {
  base::Outcome outcome = base::Outcome::kNotRun;
  base::ErrorKind cause = base::ErrorKind::kInternal;
  std::optional<NotRunProof> proof;
  /// The request has reached a target. Only such attempts count against the
  /// route's max_attempts.
  bool reached_target = false;
  /// The answer for kAnswered, or a target's refusal for kNotRun.
  http::ResponseHead head;
  std::string body;
  /// If false, the rest of the body is still to be read from `connection`.
  bool body_complete = true;
  http::CallConnectionPtr connection;
  http::ConnectionPool* pool = nullptr;
  std::shared_ptr<BodyPump> pump;
  /// Holds the target's slot until the answer has been read.
  std::shared_ptr<void> slot;
  /// Reserves the VM's link for the answer of a download; null otherwise.
  std::shared_ptr<LinkShare> link;
  /// For kNotRun: time after which another request is likely to be admitted;
  /// none if it is not known.
  std::optional<base::Duration> retry_after;
};

/// @brief Result of an attempt that has provably not run and has reached no
/// target.
RunResult NotRunResult(base::ErrorKind cause, NotRunProof proof);

/// @brief Result of an attempt that may have run, counted as one that has
/// reached a target.
RunResult UnknownResult(base::ErrorKind cause);

/// @brief Names of the headers between daemons. They are removed from requests
/// of callers and from answers of targets.
inline constexpr std::string_view kServiceHeader = "Eelgrassbridge-Service";
inline constexpr std::string_view kCallerHeader = "Eelgrassbridge-Caller";
inline constexpr std::string_view kTargetHeader = "Eelgrassbridge-Target";
inline constexpr std::string_view kAccountHeader = "Eelgrassbridge-Account";
inline constexpr std::string_view kTermsHeader = "Eelgrassbridge-Terms";
inline constexpr std::string_view kOutcomeHeader = "Eelgrassbridge-Outcome";
inline constexpr std::string_view kCauseHeader = "Eelgrassbridge-Cause";
inline constexpr std::string_view kReachedHeader = "Eelgrassbridge-Reached";
inline constexpr std::string_view kInFlightHeader = "Eelgrassbridge-In-Flight";
/// Milliseconds after which another request is likely to be admitted.
inline constexpr std::string_view kRetryAfterHeader =
    "Eelgrassbridge-Retry-After";
/// Milliseconds until the link of the sender's VM has sent the downloads that
/// were admitted.
inline constexpr std::string_view kLinkBacklogHeader =
    "Eelgrassbridge-Link-Backlog";
/// Learned capacity of the target; absent if none is learned.
inline constexpr std::string_view kRoomHeader = "Eelgrassbridge-Room";
/// Versions of the operator's and the fleet's rows up to which the sender has
/// applied changes, e.g. "17;42".
inline constexpr std::string_view kSeenHeader = "Eelgrassbridge-Seen";
inline constexpr std::string_view kInternalHeaderPrefix = "Eelgrassbridge-";

/// @brief Removes all headers that only daemons may set.
void RemoveInternalHeaders(http::Headers& headers);

/// @brief Encodes class, priority, objective and wait (both in milliseconds)
/// and key of a request for another daemon, e.g. "idempotent;1;500;200;4711".
std::string EncodeTerms(const RequestTerms& terms);

/// @brief Reads what EncodeTerms wrote. Fails with kBadRequest if a field other
/// than the key is missing, or if one is invalid.
base::Result<void> DecodeTerms(std::string_view text, RequestTerms& terms);

/// @brief Maximum wait for a slot of a request that has just arrived.
/// @param time_limit Time from arrival to the deadline.
base::Duration MaxSlotWait(base::Duration objective, base::Duration time_limit);

/// @brief Multiplies a duration by a factor.
base::Duration ScaleDuration(base::Duration time, double factor);

/// @brief Milliseconds left until a deadline, at least zero.
std::int64_t MillisecondsLeft(base::TimePoint deadline, base::TimePoint now);

}  // namespace eelgrassbridge::node

#endif  // EELGRASSBRIDGE_NODE_REQUEST_HPP
