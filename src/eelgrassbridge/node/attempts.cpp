// Attempts for a caller's request and the decision to retry after each one.
#include "eelgrassbridge/node/attempts.hpp"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <optional>

#include "eelgrassbridge/node/account.hpp"
#include "eelgrassbridge/node/crash_watch.hpp"
#include "eelgrassbridge/node/destination.hpp"
#include "eelgrassbridge/node/link_share.hpp"
#include "eelgrassbridge/node/peer_call.hpp"
#include "eelgrassbridge/node/target_capacity.hpp"
#include "eelgrassbridge/node/target_run.hpp"
#include "eelgrassbridge/node/transmit.hpp"

namespace eelgrassbridge::node {

namespace {

using asio::awaitable;
using base::ErrorKind;
using base::Outcome;
using base::TimePoint;

/// Maximum number of attempts, including those that reach no target: they cost
/// little, but each takes a round trip.
constexpr std::uint32_t kMaxAttempts = 5;
/// Maximum number of attempts that end at a target without room. Under overload
/// further ones find no room either, but each sends the request once more over
/// links that all requests share.
constexpr std::uint32_t kMaxOverloadedAttempts = 2;
/// Minimum time to the deadline for another attempt.
constexpr base::Duration kMinAttemptTime = base::milliseconds{40};
/// Delay between attempts for a key whose owner is changing or unreachable.
constexpr base::Duration kOwnerRetryDelay = base::milliseconds{60};
/// Maximum time from arrival that a request waits for a reachable owner of its
/// key, as a share of the latency objective.
constexpr double kMaxOwnerWaitShare = 0.5;
constexpr int kFirstServerError = 500;
constexpr int kGatewayTimeout = 504;

/// Time that the request may still wait for a slot: its maximum wait less the
/// time since its arrival, which earlier attempts have used.
base::Duration RemainingSlotWait(const CallerRequest& request) {
  const RequestTerms& terms = request.terms;
  const base::Duration max_wait =
      MaxSlotWait(terms.objective, terms.deadline - request.arrived);
  const base::Duration elapsed = base::BootClock::now() - request.arrived;
  return std::max(base::Duration{0}, max_wait - elapsed);
}

/// Runs the request on the target beside this daemon and reports the result to
/// the choice of targets, as RunOnPeer does for other daemons.
awaitable<RunResult> RunLocally(Node& node,
                                const RequestTerms& terms,
                                const Message& message,
                                CancellationPointer cancellation) {
  const base::DaemonId number = DaemonIdOf(node.settings.peers);
  const TimePoint sent_at = base::BootClock::now();
  routing::RecordRequestSent(node.fleet.targets[terms.service], number,
                             sent_at);
  RunResult result = co_await RunOnTarget(node, terms, message, cancellation);
  using Kind = routing::AnswerReport::Kind;
  routing::AnswerReport report;
  const TimePoint now = base::BootClock::now();
  report.latency = now - sent_at;
  report.peer_in_flight = InFlight(node);
  if (limits::IsLimited(node.link.budget)) {
    report.link_backlog = LinkBacklog(node);
  }
  report.peer_room = LearnedRoom(node);
  // A withdrawn account says nothing about the load of the target.
  if (result.cause == ErrorKind::kCancelled ||
      result.cause == ErrorKind::kUnauthorized) {
    report.kind = Kind::kCancelled;
  } else if (result.outcome == Outcome::kNotRun) {
    report.kind = Kind::kOverloaded;
  } else if (result.outcome == Outcome::kUnknown ||
             result.head.status >= kFirstServerError) {
    report.kind = Kind::kFailed;
  }
  routing::RecordAnswer(node.fleet.targets[terms.service], number, report, now);
  co_return result;
}

awaitable<RunResult> RunAttempt(Node& node,
                                Attempts& attempts,
                                Destination destination,
                                CancellationPointer cancellation) {
  CallerRequest& request = attempts.request;
  ++request.attempts;
  request.last_daemon = destination.daemon;
  request.terms.target = destination.target;
  request.terms.max_wait = RemainingSlotWait(request);
  if (!request.terms.key) {
    attempts.tried.push_back(DaemonIdOf(destination.daemon));
  }
  if (destination.daemon == node.settings.peers) {
    co_return co_await RunLocally(node, request.terms, attempts.message,
                                  cancellation);
  }
  co_return co_await RunOnPeer(node, destination.daemon, request.terms,
                               attempts.message, cancellation);
}

/// Whether the buffer has all of the body that was read so far.
bool IsBodyBuffered(const Attempts& attempts) {
  return attempts.message.body_source == nullptr ||
         attempts.message.body_source->body_received ==
             attempts.message.body.size();
}

/// Whether the request may reach a target once more. Takes one retry from the
/// budget of the service if the route allows it.
bool TakeRetry(Node& node, const Attempts& attempts) {
  return attempts.reached_targets < attempts.route.max_attempts &&
         limits::TakeRetry(node.retries, attempts.request.terms.service,
                           DaemonCount(node), base::BootClock::now());
}

bool IsOverload(ErrorKind cause) {
  return cause == ErrorKind::kOverloaded ||
         cause == ErrorKind::kDeadlineBeforeRun;
}

bool HasTimeForAttempt(const Attempts& attempts) {
  return base::BootClock::now() + kMinAttemptTime <
         attempts.request.terms.deadline;
}

/// After a refusal because of the account: whether the request may be sent
/// again without it, also to the daemon that has refused it.
bool ContinueWithoutAccount(Attempts& attempts) {
  RequestTerms& terms = attempts.request.terms;
  if (terms.account.empty() || !DropAccount(attempts.route, terms)) {
    return false;
  }
  if (!terms.key) {
    attempts.tried.pop_back();
  }
  return true;
}

/// Whether another attempt may follow this result. Takes a retry from the
/// budget, or drops a withdrawn account on a public route, if it needs to.
bool MayRetry(Node& node, Attempts& attempts, const RunResult& result) {
  const CallerRequest& request = attempts.request;
  const bool expired = result.cause == ErrorKind::kTargetTimeout;
  if (!HasTimeForAttempt(attempts) || !IsBodyBuffered(attempts) ||
      request.attempts >= kMaxAttempts) {
    return false;
  }
  switch (result.outcome) {
    case Outcome::kAnswered:
      // An answer after the latency objective has little value, and under load
      // each retry of a failed run takes a slot from another request.
      return IsIdempotent(request.terms) &&
             base::BootClock::now() <
                 request.arrived + request.terms.objective &&
             result.head.status >= kFirstServerError &&
             result.head.status != kGatewayTimeout && result.body_complete &&
             TakeRetry(node, attempts);
    case Outcome::kNotRun:
      // The owner of the key has no free slot in time, and no other target may
      // run the request.
      if (request.terms.key && result.cause == ErrorKind::kOverloaded) {
        return false;
      }
      if (attempts.overloaded >= kMaxOverloadedAttempts ||
          (result.cause == ErrorKind::kUnauthorized &&
           !ContinueWithoutAccount(attempts))) {
        return false;
      }
      return !expired && (!result.reached_target || TakeRetry(node, attempts));
    case Outcome::kUnknown:
      return !expired && IsIdempotent(request.terms) &&
             CrashVerdictOf(node, request.terms, attempts.message) ==
                 routing::CrashVerdict::kNormal &&
             TakeRetry(node, attempts);
  }
  return false;
}

/// Waits before the next attempt for a key without a reachable owner. Returns
/// false once the time for such attempts is used up.
awaitable<bool> DelayOwnerRetry(Node& node, const Attempts& attempts) {
  const RequestTerms& terms = attempts.request.terms;
  const base::Duration wait =
      ScaleDuration(terms.objective, kMaxOwnerWaitShare);
  const TimePoint now = base::BootClock::now();
  if (now + kOwnerRetryDelay >
      std::min(attempts.request.arrived + wait, terms.deadline)) {
    co_return false;
  }
  co_await http::Sleep(node.io, kOwnerRetryDelay);
  co_return true;
}

/// Keeps the shortest of the attempts' times until there is room, as long as
/// each has one: a target that refused for another reason may have room sooner.
void RecordRetryAfter(Attempts& attempts, const RunResult& result) {
  std::optional<base::Duration>& shortest = attempts.request.retry_after;
  attempts.retry_after_known =
      attempts.retry_after_known && result.retry_after.has_value();
  if (attempts.retry_after_known) {
    shortest =
        std::min(shortest.value_or(base::Duration::max()), *result.retry_after);
  } else {
    shortest.reset();
  }
}

void RecordResult(Node& node, Attempts& attempts, const RunResult& result) {
  attempts.reached_targets += result.reached_target ? 1 : 0;
  attempts.overloaded += IsOverload(result.cause) ? 1 : 0;
  attempts.may_have_run =
      attempts.may_have_run || result.outcome != Outcome::kNotRun;
  RecordRetryAfter(attempts, result);
  if (result.outcome != Outcome::kAnswered) {
    Count(node, "attempts_failed_total",
          fmt::format("cause=\"{}\"", base::ErrorName(result.cause)));
  }
}

RunResult NoDestinationResult(const Attempts& attempts) {
  return attempts.may_have_run
             ? UnknownResult(ErrorKind::kNoTarget)
             : NotRunResult(attempts.request.terms.key ? ErrorKind::kNoOwner
                                                       : ErrorKind::kNoTarget,
                            NotRunProof::NeverSent());
}

/// Result of a request whose key was withdrawn since it arrived. If an attempt
/// may have run, 401 would be wrong, and the last result stands.
RunResult KeyWithdrawnResult(Node& node,
                             const Attempts& attempts,
                             std::optional<RunResult> last) {
  Count(node, "account_refusals_total", "cause=\"withdrawn_key\"");
  return attempts.may_have_run && last
             ? std::move(*last)
             : NotRunResult(ErrorKind::kUnauthorized, NotRunProof::NeverSent());
}

void LogRetry(Node& node, const Attempts& attempts, const RunResult& result) {
  Log(node.log, EventKind::kRequestRetried,
      {{"request", attempts.request.terms.id},
       {"cause", result.outcome == Outcome::kAnswered
                     ? std::string_view{}
                     : base::ErrorName(result.cause)},
       {"status", std::int64_t{result.head.status}},
       {"last_daemon", attempts.request.last_daemon},
       {"attempts", std::int64_t{attempts.request.attempts}}});
}

/// Makes the next attempt, if there is a destination for it.
awaitable<RunResult> RunNext(Node& node,
                             Attempts& attempts,
                             std::optional<Destination> destination,
                             CancellationPointer cancellation) {
  if (!destination) {
    co_return NoDestinationResult(attempts);
  }
  const TimePoint began = base::BootClock::now();
  RunResult result =
      co_await RunAttempt(node, attempts, *destination, cancellation);
  if (result.outcome == Outcome::kAnswered) {
    RecordAnswer(node, attempts.request.terms, attempts.message, began);
  }
  co_return result;
}

}  // namespace

std::uint32_t DaemonCount(const Node& node) {
  return static_cast<std::uint32_t>(node.fleet.members.size());
}

awaitable<RunResult> RunAttempts(Node& node,
                                 Attempts& attempts,
                                 CancellationPointer cancellation) {
  std::optional<RunResult> last;
  while (true) {
    RequestTerms& terms = attempts.request.terms;
    if (!IsAccountInForce(node, terms) && !DropAccount(attempts.route, terms)) {
      co_return KeyWithdrawnResult(node, attempts, std::move(last));
    }
    const auto destination = ChooseDestination(
        node, attempts.route, attempts.request.terms, attempts.tried);
    if (!destination && last) {
      // No other daemon may serve the request, so the result of the last
      // attempt gives the cause.
      co_return std::move(*last);
    }
    RunResult result =
        co_await RunNext(node, attempts, destination, cancellation);
    RecordResult(node, attempts, result);
    const bool owner_unavailable = attempts.request.terms.key &&
                                   result.outcome == Outcome::kNotRun &&
                                   !result.reached_target;
    if (cancellation->cause || !MayRetry(node, attempts, result)) {
      co_return result;
    }
    if (owner_unavailable) {
      const bool waited = co_await DelayOwnerRetry(node, attempts);
      if (!waited || cancellation->cause) {
        co_return result;
      }
    } else if (!destination) {
      co_return result;
    }
    LogRetry(node, attempts, result);
    co_await AwaitBodyPump(result);
    if (!IsBodyBuffered(attempts)) {
      co_return result;
    }
    last = std::move(result);
  }
}

}  // namespace eelgrassbridge::node
