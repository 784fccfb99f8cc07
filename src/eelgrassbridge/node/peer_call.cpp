// Forwarding of requests between daemons over persistent HTTP connections.
#include "eelgrassbridge/node/peer_call.hpp"

#include <spdlog/fmt/fmt.h>

#include <algorithm>

#include "eelgrassbridge/http/endpoint.hpp"
#include "eelgrassbridge/node/account.hpp"
#include "eelgrassbridge/node/fleet_relay.hpp"
#include "eelgrassbridge/node/lease_delegate.hpp"
#include "eelgrassbridge/node/link_share.hpp"
#include "eelgrassbridge/node/operator_confirmation.hpp"
#include "eelgrassbridge/node/operator_relay.hpp"
#include "eelgrassbridge/node/quota_coordinator.hpp"
#include "eelgrassbridge/node/request_watch.hpp"
#include "eelgrassbridge/node/store_era.hpp"
#include "eelgrassbridge/node/target_capacity.hpp"
#include "eelgrassbridge/node/target_run.hpp"
#include "eelgrassbridge/node/transmit.hpp"

namespace eelgrassbridge::node {

namespace {

using asio::awaitable;
using base::ErrorKind;
using base::Outcome;

/// Body bytes that are received before the request asks for a slot; most
/// uploads are shorter. The rest of a longer body is streamed to the target.
constexpr std::size_t kMaxQueuedBodyBytes = std::size_t{256} * 1024;
/// Bodies that arrive at a time. Two fill the link of the VM; more would only
/// delay each other and all other messages to the VM.
constexpr std::uint32_t kMaxArrivingBodies = 2;
/// Time after which a body no longer keeps others from arriving. A short body
/// takes less on the slowest link, and a slow caller must not hold up others.
constexpr base::Duration kMaxArrivalTurn = base::milliseconds{300};
constexpr int kBadRequest = 400;

struct ArrivingBody;

/// Stops counting the body as arriving; only the first call has an effect.
void EndTurn(ArrivingBody& body);

/// Counts a request among those whose bodies arrive, until it is destroyed or
/// its turn is over.
struct ArrivingBody {
  explicit ArrivingBody(Node& owner) : node(owner), turn(owner.io) {
    ++this->node.admission.arriving_bodies;
    http::Arm(this->turn, kMaxArrivalTurn, [this] { EndTurn(*this); });
  }
  ~ArrivingBody() { EndTurn(*this); }
  ArrivingBody(const ArrivingBody&) = delete;
  ArrivingBody& operator=(const ArrivingBody&) = delete;

  Node& node;
  http::Alarm turn;
  bool counted = true;
};

void EndTurn(ArrivingBody& body) {
  if (!body.counted) {
    return;
  }
  body.counted = false;
  --body.node.admission.arriving_bodies;
  http::Notify(body.node.admission.body_arrived);
}

/// Tells the other daemon how far this one has read the store's tables, and in
/// which era of the store.
void AddSeenHeader(const Node& node, http::Headers& headers) {
  headers.push_back(
      {std::string(kSeenHeader),
       fmt::format("{};{};{}", node.store.operator_rows.applied_version,
                   node.store.fleet_rows.applied_version, node.store.era)});
}

/// Notes how far the other daemon has read the store's tables, unless that was
/// in another era of the store. A header without an era counts as of the era
/// known here.
void ReadSeenHeader(Node& node, const http::Headers& headers) {
  std::string_view seen = http::HeaderValue(headers, kSeenHeader);
  if (seen.empty() || !node.store.era_known) {
    return;
  }
  const auto operator_version = http::ParseNumber(TakePart(seen));
  const auto fleet_version = http::ParseNumber(TakePart(seen));
  const std::uint64_t era =
      http::ParseNumber(TakePart(seen)).value_or(node.store.era);
  RecordPeerEra(node, era);
  if (era != node.store.era) {
    return;
  }
  RecordPeerVersion(node, node.store.operator_rows,
                    operator_version.value_or(0));
  RecordPeerVersion(node, node.store.fleet_rows, fleet_version.value_or(0));
}

http::Headers HeadersForPeer(const Node& node,
                             const RequestTerms& terms,
                             const Message& message) {
  const HeaderNames& names = node.port.headers;
  http::Headers headers = message.headers;
  RemoveAccountHeaders(node, headers);
  if (!terms.account.empty() && node.routes) {
    headers.push_back({std::string(kAccountHeader),
                       EncodeAccount(terms.account, node.routes->version)});
  }
  const std::int64_t left =
      MillisecondsLeft(terms.deadline, base::BootClock::now());
  headers.push_back({names.time_left, fmt::format("{}", left)});
  headers.push_back({std::string(kServiceHeader), terms.service});
  headers.push_back({std::string(kCallerHeader), terms.caller_service});
  headers.push_back({std::string(kTargetHeader), terms.target});
  headers.push_back({std::string(kTermsHeader), EncodeTerms(terms)});
  AddSeenHeader(node, headers);
  return headers;
}

ErrorKind ParseCause(std::string_view name, ErrorKind fallback) {
  for (const base::ErrorInfo& row : base::ErrorTable()) {
    if (row.name == name) {
      return row.kind;
    }
  }
  return fallback;
}

/// Duration in a header of another daemon; none if it is missing or invalid.
std::optional<base::Duration> ReadMilliseconds(const http::ResponseHead& head,
                                               std::string_view name) {
  const auto number = http::ParseNumber(http::HeaderValue(head.headers, name));
  if (!number || *number > std::uint64_t{INT32_MAX}) {
    return std::nullopt;
  }
  return base::milliseconds{*number};
}

/// Sets outcome, cause and proof from the headers of the other daemon's answer.
void InterpretAnswer(RunResult& result) {
  if (result.outcome != Outcome::kAnswered) {
    return;
  }
  const std::string_view outcome =
      http::HeaderValue(result.head.headers, kOutcomeHeader);
  const std::string_view cause =
      http::HeaderValue(result.head.headers, kCauseHeader);
  result.reached_target =
      http::Find(result.head.headers, kReachedHeader) != nullptr;
  if (const auto proof = NotRunProof::FromDaemon(result.head)) {
    result.outcome = Outcome::kNotRun;
    result.proof = *proof;
    result.cause = ParseCause(cause, ErrorKind::kTargetRefused);
    result.retry_after = ReadMilliseconds(result.head, kRetryAfterHeader);
  } else if (outcome != base::OutcomeName(Outcome::kAnswered)) {
    result.outcome = Outcome::kUnknown;
    result.reached_target = true;
    result.cause = ParseCause(cause, ErrorKind::kPeerLost);
  }
}

routing::AnswerReport MakeAnswerReport(const RunResult& result,
                                       base::Duration latency) {
  using Kind = routing::AnswerReport::Kind;
  routing::AnswerReport report;
  report.latency = latency;
  if (const auto in_flight = http::ParseNumber(
          http::HeaderValue(result.head.headers, kInFlightHeader))) {
    report.peer_in_flight = static_cast<std::uint32_t>(*in_flight);
  }
  report.link_backlog = ReadMilliseconds(result.head, kLinkBacklogHeader);
  if (const auto room = http::ParseNumber(
          http::HeaderValue(result.head.headers, kRoomHeader))) {
    report.peer_room =
        static_cast<std::uint32_t>(std::min(*room, std::uint64_t{UINT32_MAX}));
  }
  // A withdrawn account says nothing about the load of the target.
  if (result.cause == ErrorKind::kCancelled ||
      result.cause == ErrorKind::kUnauthorized) {
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

base::Result<RequestTerms> ReadPeerTerms(const Node& node,
                                         const http::Headers& headers) {
  const HeaderNames& names = node.port.headers;
  RequestTerms terms;
  terms.id = http::HeaderValue(headers, names.request_id);
  terms.service = http::HeaderValue(headers, kServiceHeader);
  terms.caller_service = http::HeaderValue(headers, kCallerHeader);
  terms.target = http::HeaderValue(headers, kTargetHeader);
  const auto left =
      http::ParseNumber(http::HeaderValue(headers, names.time_left));
  if (terms.id.empty() || terms.service.empty() || !left) {
    return base::Fail(ErrorKind::kBadRequest,
                      "request id, service or time left is missing");
  }
  terms.deadline =
      base::BootClock::now() +
      base::milliseconds{std::min(*left, std::uint64_t{INT32_MAX})};
  const auto decoded =
      DecodeTerms(http::HeaderValue(headers, kTermsHeader), terms);
  if (!decoded) {
    return base::Fail(ErrorKind::kBadRequest, decoded.error().detail);
  }
  const auto account =
      DecodeAccount(http::HeaderValue(headers, kAccountHeader), terms);
  if (!account) {
    return base::Fail(ErrorKind::kBadRequest, account.error().detail);
  }
  return terms;
}

std::string FormatMilliseconds(base::Duration time) {
  return fmt::format("{}", std::chrono::ceil<base::milliseconds>(time).count());
}

/// Headers that report the outcome of the request to the other daemon.
http::Headers OutcomeHeaders(Node& node,
                             const RequestTerms& terms,
                             const RunResult& result) {
  http::Headers headers;
  if (result.outcome == Outcome::kAnswered) {
    headers = http::EndToEndHeaders(result.head.headers);
    RemoveInternalHeaders(headers);
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
  if (limits::IsLimited(node.link.budget)) {
    headers.push_back({std::string(kLinkBacklogHeader),
                       FormatMilliseconds(LinkBacklog(node))});
  }
  if (result.retry_after) {
    headers.push_back({std::string(kRetryAfterHeader),
                       FormatMilliseconds(*result.retry_after)});
  }
  if (const auto room = LearnedRoom(node)) {
    headers.push_back({std::string(kRoomHeader), fmt::format("{}", *room)});
  }
  AddSeenHeader(node, headers);
  return headers;
}

awaitable<void> SendPeerAnswer(Node& node,
                               http::Exchange& exchange,
                               const RequestTerms& terms,
                               RunResult& result) {
  constexpr int kUnavailable = 503;
  constexpr int kBadGateway = 502;
  DiscardRestOfBody(node, result);
  http::Headers headers = OutcomeHeaders(node, terms, result);
  switch (result.outcome) {
    case Outcome::kAnswered:
      co_await RelayAnswer(node, exchange, std::move(headers), result);
      break;
    case Outcome::kNotRun:
      co_await http::Respond(exchange, kUnavailable, std::move(headers), {});
      break;
    case Outcome::kUnknown:
      co_await http::Respond(exchange, kBadGateway, std::move(headers), {});
      break;
  }
  co_await AwaitBodyPump(result);
}

/// Waits until the body may be received, and takes that time off the wait for a
/// slot. Returns the reason if the request is refused or cancelled instead.
awaitable<std::optional<ErrorKind>> AwaitArrival(Node& node,
                                                 RequestTerms& terms,
                                                 Cancellation& cancellation) {
  http::Event& arrived = node.admission.body_arrived;
  const base::TimePoint latest = base::BootClock::now() + terms.max_wait;
  cancellation.abort = [&arrived] { http::Notify(arrived); };
  while (node.admission.arriving_bodies >= kMaxArrivingBodies &&
         !node.refusing_requests) {
    if (cancellation.cause || base::BootClock::now() >= latest) {
      cancellation.abort = nullptr;
      co_return cancellation.cause.value_or(ErrorKind::kOverloaded);
    }
    co_await http::WaitUntil(arrived, latest);
  }
  cancellation.abort = nullptr;
  if (cancellation.cause) {
    co_return cancellation.cause;
  }
  terms.max_wait = std::max(base::Duration{0}, latest - base::BootClock::now());
  co_return ExpectedRefusal(node, terms);
}

/// Receives the body before the request takes a slot of the target, because a
/// slot that waits for a body on a slow link serves nobody. A body that the
/// sender holds back is left there if the request is refused, so that the
/// sender can choose another target at no cost.
awaitable<base::Result<void>> ReceiveBodyBeforeSlot(
    Node& node,
    http::Exchange& exchange,
    RequestTerms& terms,
    Message& message,
    Cancellation& cancellation) {
  std::optional<ArrivingBody> arriving;
  if (exchange.continue_expected) {
    const auto refusal = co_await AwaitArrival(node, terms, cancellation);
    if (refusal) {
      co_return base::Fail(*refusal, {});
    }
    arriving.emplace(node);
  }
  co_return co_await ReceiveBody(exchange, message, kMaxQueuedBodyBytes,
                                 cancellation);
}

/// Handles a request that another daemon forwards, up to its answer.
awaitable<void> HandleForwardedRequest(Node& node, http::Exchange& exchange) {
  auto terms = ReadPeerTerms(node, exchange.head.headers);
  if (!terms) {
    Count(node, "invalid_peer_requests_total");
    co_await http::Respond(exchange, kBadRequest, {}, {});
    co_return;
  }
  ReadSeenHeader(node, exchange.head.headers);
  const base::TimePoint arrived = base::BootClock::now();
  RequestWatch watch(node, exchange, terms.value().deadline);
  Message message;
  message.method = exchange.head.method;
  message.request_target = exchange.head.target;
  message.headers = http::EndToEndHeaders(exchange.head.headers);
  RemoveInternalHeaders(message.headers);
  http::Remove(message.headers, node.port.headers.time_left);
  const auto received = co_await ReceiveBodyBeforeSlot(
      node, exchange, terms.value(), message, *watch.cancellation);
  const bool interrupted = watch.cancellation->cause.value_or(
                               ErrorKind::kCancelled) != ErrorKind::kCancelled;
  if (!received && (exchange.body_received == 0 || interrupted)) {
    RecordRefusedArrival(node, terms.value(), received.error().kind, arrived);
    RunResult refused =
        TurnAway(node, terms.value(), received.error().kind, arrived);
    co_await SendPeerAnswer(node, exchange, terms.value(), refused);
    co_return;
  }
  if (!received) {
    // The sender has left or has sent a malformed body.
    http::Abort(exchange);
    co_return;
  }
  RunResult result =
      co_await RunOnTarget(node, terms.value(), message, watch.cancellation);
  co_await SendPeerAnswer(node, exchange, terms.value(), result);
}

}  // namespace

awaitable<RunResult> RunOnPeer(Node& node,
                               std::string address,
                               const RequestTerms& terms,
                               const Message& message,
                               CancellationPointer cancellation) {
  const auto endpoint = http::ParseEndpoint(address);
  if (!endpoint) {
    co_return NotRunResult(ErrorKind::kPeerUnreachable,
                           NotRunProof::NeverSent());
  }
  const base::DaemonId number = DaemonIdOf(address);
  routing::TargetTable& table = node.fleet.targets[terms.service];
  const base::TimePoint sent_at = base::BootClock::now();
  routing::RecordRequestSent(table, number, sent_at);
  Transmission transmission;
  transmission.pool = &node.peers;
  transmission.endpoint = *endpoint;
  transmission.headers = HeadersForPeer(node, terms, message);
  transmission.request_id = terms.id;
  transmission.await_continue = true;
  transmission.before_send = [&node, &terms] {
    return IsAccountInForce(node, terms)
               ? std::nullopt
               : std::optional(ErrorKind::kUnauthorized);
  };
  RunResult result =
      co_await Transmit(node, message, std::move(transmission), cancellation);
  InterpretAnswer(result);
  ReadSeenHeader(node, result.head.headers);
  const base::TimePoint now = base::BootClock::now();
  routing::RecordAnswer(node.fleet.targets[terms.service], number,
                        MakeAnswerReport(result, now - sent_at), now);
  co_return result;
}

awaitable<void> HandlePeerRequest(Node& node, http::Exchange& exchange) {
  if (IsConfirmationRequest(exchange.head)) {
    return HandleConfirmationRequest(node, exchange);
  }
  if (IsOperatorRowsRequest(exchange.head)) {
    return HandleOperatorRowsRequest(node, exchange);
  }
  if (IsFleetRowsRequest(exchange.head)) {
    return HandleFleetRowsRequest(node, exchange);
  }
  if (IsRenewalRequest(exchange.head)) {
    return HandleRenewalRequest(node, exchange);
  }
  if (IsQuotaRequest(exchange.head)) {
    return HandleQuotaRequest(node, exchange);
  }
  return HandleForwardedRequest(node, exchange);
}

}  // namespace eelgrassbridge::node
