// Sending of final answers, with their log lines and metrics.
#include "eelgrassbridge/node/final_answer.hpp"

#include <spdlog/fmt/fmt.h>

#include <algorithm>

#include "eelgrassbridge/node/metrics.hpp"
#include "eelgrassbridge/node/transmit.hpp"

namespace eelgrassbridge::node {

namespace {

using asio::awaitable;
using base::ErrorKind;

/// Status that requires a header with the accepted schemes (RFC 9110, section
/// 15.5.2).
constexpr int kUnauthorizedStatus = 401;
constexpr std::string_view kChallengeHeader = "WWW-Authenticate";
constexpr int kServiceUnavailable = 503;
constexpr int kBadGateway = 502;
constexpr int kGatewayTimeout = 504;
/// Base of Retry-After where the time until there is room is not known. Up to
/// the same time is added at random, so that callers refused at the same time
/// do not all retry at the same time.
constexpr double kRetryAfterSeconds = 0.2;

/// Lower bound of Retry-After, so that a caller does not come again before the
/// state that refused it can have changed.
constexpr base::Duration kMinRetryAfter = base::milliseconds{50};

double RetryAfterSeconds(Node& node, const CallerRequest& request) {
  if (request.retry_after) {
    return std::chrono::duration<double>(
               std::max(kMinRetryAfter, *request.retry_after))
        .count();
  }
  std::uniform_real_distribution<double> jitter(1, 2);
  return kRetryAfterSeconds * jitter(node.random);
}

double Milliseconds(base::Duration time) {
  return std::chrono::duration<double, std::milli>(time).count();
}

void LogFinal(Node& node,
              EventKind kind,
              const CallerRequest& request,
              std::string_view cause,
              int status) {
  const base::Duration took = base::BootClock::now() - request.arrived;
  Log(node.log, kind,
      {{"request", request.terms.id},
       {"route", request.route},
       {"service", request.terms.service},
       {"cause", cause},
       {"status", std::int64_t{status}},
       {"attempts", std::int64_t{request.attempts}},
       {"last_daemon", request.last_daemon},
       {"took_ms", Milliseconds(took)},
       {"left_ms",
        MillisecondsLeft(request.terms.deadline, base::BootClock::now())},
       {"routes_version", static_cast<std::int64_t>(request.routes_version)},
       {"ranges_version", RangesVersion(node, request.terms.service)}});
}

http::Headers ErrorHeaders(const Node& node,
                           const CallerRequest& request,
                           ErrorKind cause) {
  http::Headers headers;
  if (!request.terms.id.empty()) {
    headers.push_back({node.port.headers.request_id, request.terms.id});
  }
  headers.push_back(
      {std::string(kCauseHeader), std::string(base::ErrorName(cause))});
  if (base::GetErrorInfo(cause).http_status == kUnauthorizedStatus) {
    headers.push_back(
        {std::string(kChallengeHeader), node.port.headers.credentials_scheme});
  }
  return headers;
}

awaitable<void> SendError(Node& node,
                          http::Exchange& exchange,
                          const CallerRequest& request,
                          ErrorKind cause,
                          int status,
                          std::string_view outcome) {
  LogFinal(node, EventKind::kRequestFailed, request, base::ErrorName(cause),
           status);
  RecordFinalAnswer(node, request, outcome, base::ErrorName(cause));
  co_await http::Respond(exchange, status, ErrorHeaders(node, request, cause),
                         {});
}

/// Answers that the request has not run and will not.
awaitable<void> Refuse(Node& node,
                       http::Exchange& exchange,
                       const CallerRequest& request,
                       ErrorKind cause,
                       int status,
                       std::string retry_after) {
  http::Headers headers = ErrorHeaders(node, request, cause);
  headers.push_back({std::string(kOutcomeHeader),
                     std::string(base::OutcomeName(base::Outcome::kNotRun))});
  headers.push_back({node.port.headers.retry_after, std::move(retry_after)});
  LogFinal(node, EventKind::kRequestRefused, request, base::ErrorName(cause),
           status);
  RecordFinalAnswer(node, request, "refused", base::ErrorName(cause));
  co_await http::Respond(exchange, status, std::move(headers), {});
}

bool IsTimeout(ErrorKind cause) {
  return cause == ErrorKind::kTargetTimeout || cause == ErrorKind::kPeerTimeout;
}

}  // namespace

awaitable<void> SendRefusal(Node& node,
                            http::Exchange& exchange,
                            const CallerRequest& request,
                            NotRunProof /*proof*/,
                            ErrorKind cause) {
  const double retry_after = RetryAfterSeconds(node, request);
  co_await Refuse(node, exchange, request, cause, kServiceUnavailable,
                  fmt::format("{:.2f}", retry_after));
}

awaitable<void> SendLimitRefusal(Node& node,
                                 http::Exchange& exchange,
                                 const CallerRequest& request,
                                 NotRunProof /*proof*/,
                                 base::Duration retry_after) {
  // Rounded up, because there is no token before.
  const auto milliseconds =
      std::chrono::ceil<std::chrono::milliseconds>(retry_after).count();
  constexpr double kMillisecondsPerSecond = 1000;
  co_await Refuse(node, exchange, request, ErrorKind::kAccountLimit,
                  base::GetErrorInfo(ErrorKind::kAccountLimit).http_status,
                  fmt::format("{:.3f}", static_cast<double>(milliseconds) /
                                            kMillisecondsPerSecond));
}

awaitable<void> SendFailure(Node& node,
                            http::Exchange& exchange,
                            const CallerRequest& request,
                            ErrorKind cause) {
  co_await SendError(node, exchange, request, cause,
                     IsTimeout(cause) ? kGatewayTimeout : kBadGateway,
                     "failed");
}

awaitable<void> SendRejection(Node& node,
                              http::Exchange& exchange,
                              const CallerRequest& request,
                              ErrorKind cause) {
  co_await SendError(node, exchange, request, cause,
                     base::GetErrorInfo(cause).http_status, "rejected");
}

awaitable<void> SendAnswer(Node& node,
                           http::Exchange& exchange,
                           const CallerRequest& request,
                           RunResult& result) {
  http::Headers headers = http::EndToEndHeaders(result.head.headers);
  RemoveInternalHeaders(headers);
  const int status = result.head.status;
  const bool complete =
      co_await RelayAnswer(node, exchange, std::move(headers), result);
  LogFinal(node,
           complete ? EventKind::kRequestAnswered : EventKind::kCallerLeft,
           request, {}, status);
  RecordFinalAnswer(node, request, complete ? "answered" : "cut", {});
}

}  // namespace eelgrassbridge::node
