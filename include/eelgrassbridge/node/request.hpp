// A request on its way through the daemons, and what became of it.
#ifndef EELGRASSBRIDGE_NODE_REQUEST_HPP
#define EELGRASSBRIDGE_NODE_REQUEST_HPP

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "eelgrassbridge/base/answer_table.hpp"
#include "eelgrassbridge/base/error.hpp"
#include "eelgrassbridge/base/time.hpp"
#include "eelgrassbridge/catalogue/route_table.hpp"
#include "eelgrassbridge/http/client.hpp"
#include "eelgrassbridge/http/server.hpp"
#include "eelgrassbridge/node/platform_port.hpp"

namespace eelgrassbridge::node {

/// @brief The terms of a request, which travel with it between daemons.
struct RequestTerms {
  std::string id;
  std::string service;
  catalogue::RequestClass request_class =
      catalogue::RequestClass::kNonIdempotent;
  std::uint32_t priority = 0;
  base::Duration objective{};
  /// Longest time that it may wait for a slot of the target; zero: only a free
  /// slot will do, because earlier attempts have used the whole wait.
  base::Duration wait{};
  /// Key of a divided service.
  std::optional<std::uint32_t> key;
  /// Service of the VM where the request began; set by the daemon there.
  std::string caller_service;
  /// Target that the sender has chosen; empty: any target of the service.
  std::string target;
  base::TimePoint deadline;
};

inline bool IsIdempotent(const RequestTerms& terms) {
  return terms.request_class == catalogue::RequestClass::kIdempotent;
}

/// @brief The request as it is sent on.
struct Message {
  std::string method;
  std::string target;
  /// End-to-end headers without those that daemons set.
  http::Headers headers;
  /// What has been received of the body. It is kept, so that the message can be
  /// sent again as long as nothing was taken from `rest`.
  std::string body;
  /// The caller's exchange, if the body is longer than what is kept.
  http::Exchange* rest = nullptr;
  /// Length of the whole body; none for a chunked one.
  std::optional<std::uint64_t> length;
  bool has_body = false;
};

/// @brief Ends the work for a request early: its caller has left or its time is
/// up.
struct Cancellation {
  std::optional<base::ErrorKind> cause;
  /// Ends what the request waits for now.
  std::function<void()> abort;
};

using CancellationPointer = std::shared_ptr<Cancellation>;

/// @brief Cancels once; later calls change nothing.
void Cancel(Cancellation& cancellation, base::ErrorKind cause);

/// @brief Proof that no target has run a request or will run it. Only the
/// functions below make one, each from what it takes as evidence.
class NotRunProof {
 public:
  /// No byte of the request has been sent.
  static NotRunProof NeverSent() { return NotRunProof{}; }

  /// The target itself says so in its answer.
  static std::optional<NotRunProof> FromTarget(
      const http::ResponseHead& response,
      const HeaderNames& names);

  /// Another daemon, which held such a proof, says so in its answer.
  static std::optional<NotRunProof> FromDaemon(
      const http::ResponseHead& response);

 private:
  NotRunProof() = default;
};

/// @brief The body of a caller on its way to a server, read beside the answer.
struct BodyPump {
  explicit BodyPump(asio::io_context& io) : ended(io) {}
  http::Event ended;
  bool done = false;
  /// The whole body has been sent.
  bool complete = false;
  /// The server has answered already: the rest is read and dropped.
  bool discard = false;
};

/// @brief What became of one attempt.
///
/// Invariant: `proof` is set if and only if the outcome is kNotRun.
struct RunResult {
  base::Outcome outcome = base::Outcome::kNotRun;
  base::ErrorKind cause = base::ErrorKind::kInternal;
  std::optional<NotRunProof> proof;
  /// The request has arrived at a target, which counts as an attempt.
  bool reached_target = false;
  /// The answer, for kAnswered; also a target's refusal, for kNotRun.
  http::ResponseHead head;
  std::string body;
  /// False: the rest of the body is still to be read from `connection`.
  bool body_complete = true;
  http::ClientPointer connection;
  http::ConnectionPool* pool = nullptr;
  std::shared_ptr<BodyPump> pump;
  /// Keeps the target's slot while the answer is read.
  std::shared_ptr<void> slot;
};

RunResult NotRun(base::ErrorKind cause, NotRunProof proof);
RunResult Unknown(base::ErrorKind cause);

/// @brief Names of the headers between daemons. They are removed from all that
/// comes from callers and targets.
inline constexpr std::string_view kServiceHeader = "Eelgrassbridge-Service";
inline constexpr std::string_view kCallerHeader = "Eelgrassbridge-Caller";
inline constexpr std::string_view kTargetHeader = "Eelgrassbridge-Target";
inline constexpr std::string_view kTermsHeader = "Eelgrassbridge-Terms";
inline constexpr std::string_view kOutcomeHeader = "Eelgrassbridge-Outcome";
inline constexpr std::string_view kCauseHeader = "Eelgrassbridge-Cause";
inline constexpr std::string_view kReachedHeader = "Eelgrassbridge-Reached";
inline constexpr std::string_view kInFlightHeader = "Eelgrassbridge-In-Flight";
/// "17;42": versions of the latest changes by the operator and of the fleet
/// that the sender has taken in.
inline constexpr std::string_view kSeenHeader = "Eelgrassbridge-Seen";
inline constexpr std::string_view kOwnPrefix = "Eelgrassbridge-";

/// @brief Removes all headers that only daemons may set.
void RemoveOwnHeaders(http::Headers& headers);

/// @brief "idempotent;1;500;200;4711": class, priority, objective and wait in
/// milliseconds, and key of a request, for another daemon.
std::string EncodeTerms(const RequestTerms& terms);
base::Result<void> DecodeTerms(std::string_view text, RequestTerms& terms);

/// @brief Milliseconds left until a deadline, at least zero.
std::int64_t MillisecondsLeft(base::TimePoint deadline, base::TimePoint now);

}  // namespace eelgrassbridge::node

#endif  // EELGRASSBRIDGE_NODE_REQUEST_HPP
