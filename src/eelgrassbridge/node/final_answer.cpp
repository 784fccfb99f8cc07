// Sending of final answers, with their log lines and metrics.
#include "eelgrassbridge/node/final_answer.hpp"

#include <spdlog/fmt/fmt.h>

#include "eelgrassbridge/node/metrics.hpp"
#include "eelgrassbridge/node/transmit.hpp"

namespace eelgrassbridge::node {

namespace {

using asio::awaitable;
using base::ErrorKind;

constexpr int kServiceUnavailable = 503;
constexpr int kBadGateway = 502;
constexpr int kGatewayTimeout = 504;
/// Base of Retry-After. Up to the same time is added at random, so that callers
/// refused at the same time do not all retry at the same time.
constexpr double kRetryAfterSeconds = 0.2;

double Milliseconds(base::Duration time) {
  return std::chrono::duration<double, std::milli>(time).count();
}

void LogFinal(Node& node,
              EventKind kind,
              const EntryRequest& request,
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

http::Headers OwnHeaders(const Node& node,
                         const EntryRequest& request,
                         ErrorKind cause) {
  http::Headers headers;
  if (!request.terms.id.empty()) {
    headers.push_back({node.port.headers.request_id, request.terms.id});
  }
  headers.push_back(
      {std::string(kCauseHeader), std::string(base::ErrorName(cause))});
  return headers;
}

awaitable<void> AnswerError(Node& node,
                            http::Exchange& exchange,
                            const EntryRequest& request,
                            ErrorKind cause,
                            int status,
                            std::string_view outcome) {
  LogFinal(node, EventKind::kRequestFailed, request, base::ErrorName(cause),
           status);
  CountFinal(node, request, outcome, base::ErrorName(cause));
  co_await http::Respond(exchange, status, OwnHeaders(node, request, cause),
                         {});
}

bool IsTimeout(ErrorKind cause) {
  return cause == ErrorKind::kTargetTimeout || cause == ErrorKind::kPeerTimeout;
}

}  // namespace

awaitable<void> Refuse(Node& node,
                       http::Exchange& exchange,
                       const EntryRequest& request,
                       NotRunProof /*proof*/,
                       ErrorKind cause) {
  std::uniform_real_distribution<double> spread(1, 2);
  const double retry_after = kRetryAfterSeconds * spread(node.random);
  http::Headers headers = OwnHeaders(node, request, cause);
  headers.push_back({std::string(kOutcomeHeader),
                     std::string(base::OutcomeName(base::Outcome::kNotRun))});
  headers.push_back(
      {node.port.headers.retry_after, fmt::format("{:.2f}", retry_after)});
  LogFinal(node, EventKind::kRequestRefused, request, base::ErrorName(cause),
           kServiceUnavailable);
  CountFinal(node, request, "refused", base::ErrorName(cause));
  co_await http::Respond(exchange, kServiceUnavailable, std::move(headers), {});
}

awaitable<void> Fail(Node& node,
                     http::Exchange& exchange,
                     const EntryRequest& request,
                     ErrorKind cause) {
  co_await AnswerError(node, exchange, request, cause,
                       IsTimeout(cause) ? kGatewayTimeout : kBadGateway,
                       "failed");
}

awaitable<void> Reject(Node& node,
                       http::Exchange& exchange,
                       const EntryRequest& request,
                       ErrorKind cause) {
  co_await AnswerError(node, exchange, request, cause,
                       base::AnswerFor(cause).http_status, "rejected");
}

awaitable<void> Deliver(Node& node,
                        http::Exchange& exchange,
                        const EntryRequest& request,
                        RunResult& result) {
  http::Headers headers = http::EndToEnd(result.head.headers);
  RemoveOwnHeaders(headers);
  const int status = result.head.status;
  const bool whole = co_await RelayAnswer(exchange, std::move(headers), result);
  LogFinal(node, whole ? EventKind::kRequestAnswered : EventKind::kCallerLeft,
           request, {}, status);
  CountFinal(node, request, whole ? "answered" : "cut", {});
}

}  // namespace eelgrassbridge::node
