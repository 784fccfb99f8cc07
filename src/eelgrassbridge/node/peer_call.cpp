// Forwarding between daemons over kept HTTP connections.
#include "eelgrassbridge/node/peer_call.hpp"

#include <spdlog/fmt/fmt.h>

#include "eelgrassbridge/node/target_run.hpp"
#include "eelgrassbridge/node/transmit.hpp"

namespace eelgrassbridge::node {

namespace {

using asio::awaitable;
using base::ErrorKind;
using base::Outcome;

void AddSeen(const Node& node, http::Headers& headers) {
  headers.push_back({std::string(kSeenHeader),
                     fmt::format("{};{}", node.store.operator_rows.taken,
                                 node.store.fleet_rows.taken)});
}

void TakeSeen(Node& node, const http::Headers& headers) {
  const std::string_view seen = http::ValueOf(headers, kSeenHeader);
  const auto middle = seen.find(';');
  if (middle == std::string_view::npos) {
    return;
  }
  const auto by_operator = http::ParseNumber(seen.substr(0, middle));
  const auto by_fleet = http::ParseNumber(seen.substr(middle + 1));
  NoteHeard(node, node.store.operator_rows, by_operator.value_or(0));
  NoteHeard(node, node.store.fleet_rows, by_fleet.value_or(0));
}

http::Headers HeadersForPeer(const Node& node,
                             const RequestTerms& terms,
                             const Message& message) {
  const HeaderNames& names = node.port.headers;
  http::Headers headers = message.headers;
  const std::int64_t left =
      MillisecondsLeft(terms.deadline, base::BootClock::now());
  headers.push_back({names.time_left, fmt::format("{}", left)});
  headers.push_back({std::string(kServiceHeader), terms.service});
  headers.push_back({std::string(kCallerHeader), terms.caller_service});
  headers.push_back({std::string(kTargetHeader), terms.target});
  headers.push_back({std::string(kTermsHeader), EncodeTerms(terms)});
  AddSeen(node, headers);
  return headers;
}

ErrorKind CauseNamed(std::string_view name, ErrorKind otherwise) {
  for (const base::Answer& row : base::AnswerTable()) {
    if (row.name == name) {
      return row.kind;
    }
  }
  return otherwise;
}

/// What the other daemon's answer says about the request.
void ReadMeaning(RunResult& result) {
  if (result.outcome != Outcome::kAnswered) {
    return;
  }
  const std::string_view outcome =
      http::ValueOf(result.head.headers, kOutcomeHeader);
  const std::string_view cause =
      http::ValueOf(result.head.headers, kCauseHeader);
  result.reached_target =
      http::Find(result.head.headers, kReachedHeader) != nullptr;
  if (const auto proof = NotRunProof::FromDaemon(result.head)) {
    result.outcome = Outcome::kNotRun;
    result.proof = *proof;
    result.cause = CauseNamed(cause, ErrorKind::kTargetRefused);
  } else if (outcome != base::OutcomeName(Outcome::kAnswered)) {
    result.outcome = Outcome::kUnknown;
    result.reached_target = true;
    result.cause = CauseNamed(cause, ErrorKind::kPeerLost);
  }
}

routing::AnswerReport ReportOf(const RunResult& result,
                               base::Duration latency) {
  using Kind = routing::AnswerReport::Kind;
  routing::AnswerReport report;
  report.latency = latency;
  if (const auto load = http::ParseNumber(
          http::ValueOf(result.head.headers, kInFlightHeader))) {
    report.peer_in_flight = static_cast<std::uint32_t>(*load);
  }
  if (result.cause == ErrorKind::kCancelled) {
    report.kind = Kind::kCancelled;
  } else if (result.outcome == Outcome::kAnswered) {
    constexpr int kFirstServerError = 500;
    report.kind = result.head.status >= kFirstServerError ? Kind::kFailed
                                                          : Kind::kAnswered;
  } else if (result.outcome == Outcome::kNotRun &&
             result.cause != ErrorKind::kPeerUnreachable) {
    report.kind = Kind::kOverloaded;
  } else {
    report.kind = Kind::kFailed;
  }
  return report;
}

base::Result<RequestTerms> TermsFromPeer(const Node& node,
                                         const http::Headers& headers) {
  const HeaderNames& names = node.port.headers;
  RequestTerms terms;
  terms.id = http::ValueOf(headers, names.request_id);
  terms.service = http::ValueOf(headers, kServiceHeader);
  terms.caller_service = http::ValueOf(headers, kCallerHeader);
  terms.target = http::ValueOf(headers, kTargetHeader);
  const auto left = http::ParseNumber(http::ValueOf(headers, names.time_left));
  if (terms.id.empty() || terms.service.empty() || !left) {
    return base::Fail(ErrorKind::kBadRequest,
                      "headers of a daemon are missing");
  }
  terms.deadline = base::BootClock::now() + base::milliseconds{*left};
  const auto decoded = DecodeTerms(http::ValueOf(headers, kTermsHeader), terms);
  if (!decoded) {
    return base::Fail(ErrorKind::kBadRequest, decoded.error().detail);
  }
  return terms;
}

/// The headers that tell the other daemon what has become of the request.
http::Headers OutcomeHeaders(const Node& node,
                             const RequestTerms& terms,
                             const RunResult& result) {
  http::Headers headers;
  if (result.outcome == Outcome::kAnswered) {
    headers = http::EndToEnd(result.head.headers);
    RemoveOwnHeaders(headers);
  } else {
    headers.push_back({node.port.headers.request_id, terms.id});
    headers.push_back({std::string(kCauseHeader),
                       std::string(base::ErrorName(result.cause))});
  }
  headers.push_back({std::string(kOutcomeHeader),
                     std::string(base::OutcomeName(result.outcome))});
  if (result.reached_target) {
    headers.push_back({std::string(kReachedHeader), "1"});
  }
  headers.push_back(
      {std::string(kInFlightHeader), fmt::format("{}", InFlight(node))});
  AddSeen(node, headers);
  return headers;
}

awaitable<void> AnswerPeer(Node& node,
                           http::Exchange& exchange,
                           const RequestTerms& terms,
                           RunResult& result) {
  constexpr int kUnavailable = 503;
  constexpr int kBadGateway = 502;
  http::Headers headers = OutcomeHeaders(node, terms, result);
  switch (result.outcome) {
    case Outcome::kAnswered:
      co_await RelayAnswer(exchange, std::move(headers), result);
      break;
    case Outcome::kNotRun:
      co_await http::Respond(exchange, kUnavailable, std::move(headers), {});
      break;
    case Outcome::kUnknown:
      co_await http::Respond(exchange, kBadGateway, std::move(headers), {});
      break;
  }
  co_await AwaitPump(result);
}

}  // namespace

RequestWatch::RequestWatch(Node& node,
                           http::Exchange& watched,
                           base::TimePoint deadline)
    : cancellation(std::make_shared<Cancellation>()),
      alarm(node.io),
      exchange(watched) {
  watched.connection->on_caller_left = [pointer = this->cancellation] {
    Cancel(*pointer, ErrorKind::kCancelled);
  };
  http::Arm(this->alarm, deadline - base::BootClock::now(),
            [pointer = this->cancellation] {
              Cancel(*pointer, ErrorKind::kTargetTimeout);
            });
}

RequestWatch::~RequestWatch() {
  this->exchange.connection->on_caller_left = nullptr;
}

awaitable<base::Result<void>> ReceiveBody(http::Exchange& exchange,
                                          Message& message,
                                          std::size_t most) {
  message.has_body = exchange.head.has_body;
  message.length = exchange.head.length;
  if (!message.has_body) {
    co_return base::outcome::success();
  }
  http::BodyRead read = http::BodyRead::kMore;
  while (read == http::BodyRead::kMore && message.body.size() < most) {
    read = co_await http::ReadBody(exchange, message.body);
  }
  switch (read) {
    case http::BodyRead::kComplete:
      co_return base::outcome::success();
    case http::BodyRead::kMore:
      message.rest = &exchange;
      co_return base::outcome::success();
    case http::BodyRead::kTooLarge:
      co_return base::Fail(ErrorKind::kBodyTooLarge, {});
    case http::BodyRead::kCallerLeft:
      co_return base::Fail(ErrorKind::kCancelled, {});
    case http::BodyRead::kInvalid:
      break;
  }
  co_return base::Fail(ErrorKind::kBadRequest, "the body cannot be read");
}

awaitable<RunResult> RunOnPeer(Node& node,
                               std::string address,
                               const RequestTerms& terms,
                               const Message& message,
                               CancellationPointer cancellation) {
  const auto endpoint = http::ParseEndpoint(address);
  if (!endpoint) {
    co_return NotRun(ErrorKind::kPeerUnreachable, NotRunProof::NeverSent());
  }
  const base::DaemonId number = NumberOf(address);
  routing::TargetTable& table = node.fleet.targets[terms.service];
  const base::TimePoint sent_at = base::BootClock::now();
  routing::RecordRequestSent(table, number, sent_at);
  Transmission transmission;
  transmission.pool = &node.peers;
  transmission.endpoint = *endpoint;
  transmission.headers = HeadersForPeer(node, terms, message);
  transmission.request_id = terms.id;
  transmission.await_continue = true;
  RunResult result =
      co_await Transmit(node, message, std::move(transmission), cancellation);
  ReadMeaning(result);
  TakeSeen(node, result.head.headers);
  const base::TimePoint now = base::BootClock::now();
  routing::RecordAnswer(node.fleet.targets[terms.service], number,
                        ReportOf(result, now - sent_at), now);
  co_return result;
}

awaitable<void> HandlePeer(Node& node, http::Exchange& exchange) {
  auto terms = TermsFromPeer(node, exchange.head.headers);
  if (!terms) {
    constexpr int kBadRequest = 400;
    Count(node, "invalid_peer_requests_total");
    co_await http::Respond(exchange, kBadRequest, {}, {});
    co_return;
  }
  TakeSeen(node, exchange.head.headers);
  RequestWatch watch(node, exchange, terms.value().deadline);
  Message message;
  message.method = exchange.head.method;
  message.target = exchange.head.target;
  message.headers = http::EndToEnd(exchange.head.headers);
  RemoveOwnHeaders(message.headers);
  http::Remove(message.headers, node.port.headers.time_left);
  message.has_body = exchange.head.has_body;
  message.length = exchange.head.length;
  // The body is read only when the target takes it, so that the sender can
  // still choose another target.
  message.rest = message.has_body ? &exchange : nullptr;
  RunResult result =
      co_await RunOnTarget(node, terms.value(), message, watch.cancellation);
  co_await AnswerPeer(node, exchange, terms.value(), result);
}

}  // namespace eelgrassbridge::node
