// Requests of callers, from their heads to their final answers.
#include "eelgrassbridge/node/entry.hpp"

#include "eelgrassbridge/node/attempts.hpp"
#include "eelgrassbridge/node/caller_terms.hpp"
#include "eelgrassbridge/node/crash_watch.hpp"
#include "eelgrassbridge/node/final_answer.hpp"
#include "eelgrassbridge/node/quota_reports.hpp"
#include "eelgrassbridge/node/request_watch.hpp"
#include "eelgrassbridge/node/transmit.hpp"

namespace eelgrassbridge::node {

namespace {

using asio::awaitable;
using base::ErrorKind;
using base::Outcome;

/// Body bytes buffered so that another attempt can send them again; most
/// uploads are shorter.
constexpr std::size_t kMaxBufferedBodyBytes = std::size_t{64} * 1024;
awaitable<void> SendFinalAnswer(Node& node,
                                http::Exchange& exchange,
                                const Attempts& attempts,
                                const Cancellation& cancellation,
                                RunResult& result) {
  DiscardRestOfBody(node, result);
  const CallerRequest& request = attempts.request;
  if (result.outcome == Outcome::kNotRun && !attempts.may_have_run) {
    ReturnQuota(node, request.terms);
  }
  if (cancellation.cause == ErrorKind::kCancelled &&
      result.outcome != Outcome::kAnswered) {
    Log(node.log, EventKind::kCallerLeft, {{"request", request.terms.id}});
    http::Abort(exchange);
  } else if (result.outcome == Outcome::kAnswered) {
    co_await SendAnswer(node, exchange, request, result);
  } else if (result.outcome == Outcome::kNotRun && !attempts.may_have_run &&
             result.cause == ErrorKind::kUnauthorized) {
    co_await SendRejection(node, exchange, request, result.cause);
  } else if (result.outcome == Outcome::kNotRun && !attempts.may_have_run) {
    co_await SendRefusal(node, exchange, request, *result.proof, result.cause);
  } else {
    co_await SendFailure(node, exchange, request, result.cause);
  }
  co_await AwaitBodyPump(result);
}

/// Makes the attempts for a request and answers it, unless its account has used
/// up its quota.
awaitable<void> RunWithinQuota(Node& node,
                               http::Exchange& exchange,
                               Attempts& attempts,
                               CancellationPointer cancellation) {
  const auto retry_after =
      co_await TakeQuota(node, attempts.request, *cancellation);
  if (retry_after) {
    co_await RefuseOverQuota(node, exchange, attempts.request, *cancellation,
                             *retry_after);
    co_return;
  }
  RunResult result = co_await RunAttempts(node, attempts, cancellation);
  co_await SendFinalAnswer(node, exchange, attempts, *cancellation, result);
}

}  // namespace

awaitable<void> HandleCallerRequest(Node& node, http::Exchange& exchange) {
  CallerRequest request;
  request.arrived = base::BootClock::now();
  request.terms.id =
      http::HeaderValue(exchange.head.headers, node.port.headers.request_id);
  const auto routes = node.routes;
  if (!routes || !node.fleet.loaded || node.refusing_requests) {
    co_await SendRefusal(
        node, exchange, request, NotRunProof::NeverSent(),
        node.refusing_requests ? ErrorKind::kDraining : ErrorKind::kNotReady);
    co_return;
  }
  if (request.terms.id.empty()) {
    co_await SendRejection(node, exchange, request, ErrorKind::kIdRequired);
    co_return;
  }
  const auto route = ReadTerms(node, *routes, exchange.head, request);
  if (!route) {
    co_await SendRejection(node, exchange, request, route.error().kind);
    co_return;
  }
  RequestWatch watch(node, exchange, request.terms.deadline);
  limits::NoteRequest(node.retries, request.terms.service, DaemonCount(node),
                      request.arrived);
  Message message = MakeMessage(node, exchange.head);
  const auto received = co_await ReceiveBody(
      exchange, message, kMaxBufferedBodyBytes, *watch.cancellation);
  if (received && node.refusing_requests) {
    // The body arrived so late that the answer of a target might not arrive
    // before the process ends.
    co_await SendRefusal(node, exchange, request, NotRunProof::NeverSent(),
                         ErrorKind::kDraining);
    co_return;
  }
  if (!received) {
    const ErrorKind cause = received.error().kind;
    if (cause == ErrorKind::kCancelled) {
      http::Abort(exchange);
      co_return;
    }
    if (watch.cancellation->cause == cause) {
      co_await SendRefusal(node, exchange, request, NotRunProof::NeverSent(),
                           cause);
      co_return;
    }
    exchange.close_after_response = true;
    co_await SendRejection(node, exchange, request, received.error().kind);
    co_return;
  }
  if (CrashVerdictOf(node, request.terms, message) ==
      routing::CrashVerdict::kQuarantined) {
    co_await SendRefusal(node, exchange, request, NotRunProof::NeverSent(),
                         ErrorKind::kQuarantined);
    co_return;
  }
  Attempts attempts{*route.value(), request, message, {}, 0, 0, false, true};
  co_await RunWithinQuota(node, exchange, attempts, watch.cancellation);
}

}  // namespace eelgrassbridge::node
