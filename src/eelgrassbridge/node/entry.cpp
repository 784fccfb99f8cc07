// Attempts of a caller's request and the decisions between them.
#include "eelgrassbridge/node/entry.hpp"

#include <algorithm>
#include <vector>

#include "eelgrassbridge/node/destination.hpp"
#include "eelgrassbridge/node/final_answer.hpp"
#include "eelgrassbridge/node/peer_call.hpp"
#include "eelgrassbridge/node/target_run.hpp"
#include "eelgrassbridge/node/transmit.hpp"

namespace eelgrassbridge::node {

namespace {

using asio::awaitable;
using base::ErrorKind;
using base::Outcome;
using base::TimePoint;
using catalogue::Route;

/// Body bytes kept for another attempt; most uploads are shorter.
constexpr std::size_t kKeptBody = std::size_t{64} * 1024;
/// Attempts that reach no target cost little, but each takes a round trip.
constexpr std::uint32_t kMaxAttempts = 5;
/// A request that waits for a slot longer than this part of its objective is
/// better sent by its caller once more.
constexpr double kWaitShare = 0.4;
/// The least wait for a slot, even for a request with a short objective: a call
/// of a target that is refused makes the work of its caller useless, and the
/// queue of a full target moves within this time. No request waits for more
/// than kWaitShare of its time.
constexpr base::Duration kLeastWait = base::milliseconds{150};
/// The last answer must still reach the caller before its deadline.
constexpr base::Duration kCallerMargin = base::milliseconds{25};
/// Another attempt needs at least this much time.
constexpr base::Duration kLeastTime = base::milliseconds{40};
/// Between attempts for a key whose owner changes or cannot be reached.
constexpr base::Duration kOwnerPause = base::milliseconds{60};
/// Part of the objective for which a request waits for the owner of its key.
constexpr double kOwnerWaitShare = 0.5;
constexpr int kFirstServerError = 500;
constexpr int kGatewayTimeout = 504;

struct Attempts {
  const Route& route;
  EntryRequest& request;
  const Message& message;
  std::vector<base::DaemonId> tried;
  std::uint32_t reached_targets = 0;
  /// An attempt may have run, so no later refusal proves anything.
  bool maybe_ran = false;
};

base::Duration PartOf(base::Duration time, double share) {
  return base::Duration{
      static_cast<std::int64_t>(static_cast<double>(time.count()) * share)};
}

/// How long a request may wait for a slot from now on: what its earlier
/// attempts have left of its whole wait.
base::Duration WaitFor(const EntryRequest& request) {
  const RequestTerms& terms = request.terms;
  const base::Duration time = terms.deadline - request.arrived;
  const base::Duration whole =
      std::max(PartOf(terms.objective, kWaitShare),
               std::min(kLeastWait, PartOf(time, kWaitShare)));
  const base::Duration passed = base::BootClock::now() - request.arrived;
  return std::max(base::Duration{0}, whole - passed);
}

awaitable<RunResult> RunHere(Node& node,
                             const RequestTerms& terms,
                             const Message& message,
                             CancellationPointer cancellation) {
  const base::DaemonId number = NumberOf(node.settings.peers);
  const TimePoint sent_at = base::BootClock::now();
  routing::RecordRequestSent(node.fleet.targets[terms.service], number,
                             sent_at);
  RunResult result = co_await RunOnTarget(node, terms, message, cancellation);
  using Kind = routing::AnswerReport::Kind;
  routing::AnswerReport report;
  const TimePoint now = base::BootClock::now();
  report.latency = now - sent_at;
  report.peer_in_flight = InFlight(node);
  if (result.cause == ErrorKind::kCancelled) {
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
  EntryRequest& request = attempts.request;
  ++request.attempts;
  request.last_daemon = destination.daemon;
  request.terms.target = destination.target;
  request.terms.wait = WaitFor(request);
  if (!request.terms.key) {
    attempts.tried.push_back(NumberOf(destination.daemon));
  }
  if (destination.daemon == node.settings.peers) {
    co_return co_await RunHere(node, request.terms, attempts.message,
                               cancellation);
  }
  co_return co_await RunOnPeer(node, destination.daemon, request.terms,
                               attempts.message, cancellation);
}

bool BodyIsKept(const Attempts& attempts) {
  return attempts.message.rest == nullptr ||
         attempts.message.rest->body_received == attempts.message.body.size();
}

std::uint32_t DaemonCount(const Node& node) {
  return static_cast<std::uint32_t>(node.fleet.members.size());
}

/// Whether the request may reach a target once more.
bool MayRepeat(Node& node, const Attempts& attempts) {
  return attempts.reached_targets < attempts.route.max_attempts &&
         limits::TakeRepeat(node.retries, attempts.request.terms.service,
                            DaemonCount(node), base::BootClock::now());
}

bool TimeIsLeft(const Attempts& attempts) {
  return base::BootClock::now() + kLeastTime < attempts.request.terms.deadline;
}

/// Whether another attempt may follow this result.
bool MayTryAgain(Node& node, Attempts& attempts, const RunResult& result) {
  const EntryRequest& request = attempts.request;
  const bool ended = result.cause == ErrorKind::kCancelled ||
                     result.cause == ErrorKind::kTargetTimeout;
  if (!TimeIsLeft(attempts) || !BodyIsKept(attempts) ||
      request.attempts >= kMaxAttempts) {
    return false;
  }
  switch (result.outcome) {
    case Outcome::kAnswered:
      // An answer after the objective is worth little, and under load each
      // repeat of a failed run takes the slot of another request.
      return IsIdempotent(request.terms) &&
             base::BootClock::now() <
                 request.arrived + request.terms.objective &&
             result.head.status >= kFirstServerError &&
             result.head.status != kGatewayTimeout && result.body_complete &&
             MayRepeat(node, attempts);
    case Outcome::kNotRun:
      // The owner of a key has no slot in time, and no other may run it.
      if (request.terms.key && result.cause == ErrorKind::kOverloaded) {
        return false;
      }
      return !ended && (!result.reached_target || MayRepeat(node, attempts));
    case Outcome::kUnknown:
      return !ended && IsIdempotent(request.terms) && MayRepeat(node, attempts);
  }
  return false;
}

/// Waits a moment for another owner of the key. False: it has waited enough.
awaitable<bool> AwaitOwner(Node& node, const Attempts& attempts) {
  const RequestTerms& terms = attempts.request.terms;
  const base::Duration wait = PartOf(terms.objective, kOwnerWaitShare);
  const TimePoint now = base::BootClock::now();
  if (now + kOwnerPause >
      std::min(attempts.request.arrived + wait, terms.deadline)) {
    co_return false;
  }
  co_await http::Sleep(node.io, kOwnerPause);
  co_return true;
}

void NoteResult(Node& node, Attempts& attempts, const RunResult& result) {
  attempts.reached_targets += result.reached_target ? 1 : 0;
  attempts.maybe_ran = attempts.maybe_ran || result.outcome != Outcome::kNotRun;
  if (result.outcome != Outcome::kAnswered) {
    Count(node, "attempts_failed_total", base::ErrorName(result.cause));
  }
}

RunResult NoDestination(const Attempts& attempts) {
  return attempts.maybe_ran
             ? Unknown(ErrorKind::kNoTarget)
             : NotRun(attempts.request.terms.key ? ErrorKind::kNoOwner
                                                 : ErrorKind::kNoTarget,
                      NotRunProof::NeverSent());
}

/// Makes attempts until one is final.
awaitable<RunResult> RunAttempts(Node& node,
                                 Attempts& attempts,
                                 CancellationPointer cancellation) {
  std::optional<RunResult> last;
  while (true) {
    const auto destination = ChooseDestination(
        node, attempts.route, attempts.request.terms, attempts.tried);
    if (!destination && last) {
      // Nobody else may take it, so the last attempt tells the cause.
      co_return std::move(*last);
    }
    RunResult result = NoDestination(attempts);
    if (destination) {
      result = co_await RunAttempt(node, attempts, *destination, cancellation);
    }
    NoteResult(node, attempts, result);
    const bool no_owner = attempts.request.terms.key &&
                          result.outcome == Outcome::kNotRun &&
                          !result.reached_target;
    if (cancellation->cause || !MayTryAgain(node, attempts, result)) {
      co_return result;
    }
    if (no_owner) {
      const bool waited = co_await AwaitOwner(node, attempts);
      if (!waited || cancellation->cause) {
        co_return result;
      }
    } else if (!destination) {
      co_return result;
    }
    Log(node.log, EventKind::kRequestRetried,
        {{"request", attempts.request.terms.id},
         {"cause", result.outcome == Outcome::kAnswered
                       ? std::string_view{}
                       : base::ErrorName(result.cause)},
         {"status", std::int64_t{result.head.status}},
         {"last_daemon", attempts.request.last_daemon},
         {"attempts", std::int64_t{attempts.request.attempts}}});
    co_await AwaitPump(result);
    last = std::move(result);
  }
}

awaitable<void> GiveFinalAnswer(Node& node,
                                http::Exchange& exchange,
                                const Attempts& attempts,
                                RunResult& result) {
  const EntryRequest& request = attempts.request;
  if (result.cause == ErrorKind::kCancelled &&
      result.outcome != Outcome::kAnswered) {
    Log(node.log, EventKind::kCallerLeft, {{"request", request.terms.id}});
    http::Abort(exchange);
  } else if (result.outcome == Outcome::kAnswered) {
    co_await Deliver(node, exchange, request, result);
  } else if (result.outcome == Outcome::kNotRun && !attempts.maybe_ran) {
    co_await Refuse(node, exchange, request, *result.proof, result.cause);
  } else {
    co_await Fail(node, exchange, request, result.cause);
  }
  co_await AwaitPump(result);
}

/// Fills the terms from the head; an error for a request that cannot be served.
base::Result<const Route*> ReadTerms(Node& node,
                                     const catalogue::RouteTable& routes,
                                     const http::RequestHead& head,
                                     EntryRequest& request) {
  const HeaderNames& names = node.port.headers;
  RequestTerms& terms = request.terms;
  const Route* const route = catalogue::FindRoute(
      routes, http::ValueOf(head.headers, "Host"), http::PathOf(head.target));
  if (route == nullptr) {
    return base::Fail(ErrorKind::kUnknownService, "no route matches");
  }
  request.route = route->name;
  request.routes_version = routes.version;
  terms.service = catalogue::PickService(*route, node.random());
  terms.request_class = route->request_class;
  terms.priority = route->priority;
  terms.objective = route->objective;
  terms.caller_service = node.settings.service;
  terms.deadline = request.arrived + route->timeout;
  const auto left =
      http::ParseNumber(http::ValueOf(head.headers, names.time_left));
  if (left) {
    terms.deadline =
        std::min(terms.deadline, request.arrived - kCallerMargin +
                                     base::Duration{base::milliseconds{std::min(
                                         *left, std::uint64_t{INT32_MAX})}});
  }
  const auto* const service = catalogue::FindService(routes, terms.service);
  if (service != nullptr && service->divided_by_key) {
    const auto key = http::ParseNumber(http::ValueOf(head.headers, names.key));
    if (!key || *key > ranges::kLastKey) {
      return base::Fail(ErrorKind::kBadRequest, "no key");
    }
    terms.key = static_cast<std::uint32_t>(*key);
  }
  return route;
}

Message MakeMessage(const Node& node, const http::RequestHead& head) {
  const HeaderNames& names = node.port.headers;
  Message message;
  message.method = head.method;
  message.target = head.target;
  message.headers = http::EndToEnd(head.headers);
  RemoveOwnHeaders(message.headers);
  http::Remove(message.headers, names.time_left);
  http::Remove(message.headers, names.caller_service);
  http::Remove(message.headers, names.expected_target);
  return message;
}

}  // namespace

awaitable<void> HandleCaller(Node& node, http::Exchange& exchange) {
  EntryRequest request;
  request.arrived = base::BootClock::now();
  request.terms.id =
      http::ValueOf(exchange.head.headers, node.port.headers.request_id);
  const auto routes = node.routes;
  if (!routes || !node.fleet.known || node.refusing) {
    co_await Refuse(
        node, exchange, request, NotRunProof::NeverSent(),
        node.refusing ? ErrorKind::kDraining : ErrorKind::kNotReady);
    co_return;
  }
  if (request.terms.id.empty()) {
    co_await Reject(node, exchange, request, ErrorKind::kIdRequired);
    co_return;
  }
  const auto route = ReadTerms(node, *routes, exchange.head, request);
  if (!route) {
    co_await Reject(node, exchange, request, route.error().kind);
    co_return;
  }
  RequestWatch watch(node, exchange, request.terms.deadline);
  limits::NoteRequest(node.retries, request.terms.service, DaemonCount(node),
                      request.arrived);
  Message message = MakeMessage(node, exchange.head);
  watch.cancellation->abort = [&exchange] { http::Abort(exchange); };
  const auto received = co_await ReceiveBody(exchange, message, kKeptBody);
  watch.cancellation->abort = nullptr;
  if (!received) {
    if (received.error().kind == ErrorKind::kCancelled) {
      http::Abort(exchange);
      co_return;
    }
    exchange.close_after = true;
    co_await Reject(node, exchange, request, received.error().kind);
    co_return;
  }
  Attempts attempts{*route.value(), request, message, {}, 0, false};
  RunResult result = co_await RunAttempts(node, attempts, watch.cancellation);
  co_await GiveFinalAnswer(node, exchange, attempts, result);
}

}  // namespace eelgrassbridge::node
