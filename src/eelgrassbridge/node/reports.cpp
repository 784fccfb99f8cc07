// Handles the target's reports and departures, the readiness check and metrics.
#include "eelgrassbridge/node/reports.hpp"

#include "eelgrassbridge/node/crash_watch.hpp"
#include "eelgrassbridge/node/departure.hpp"
#include "eelgrassbridge/node/metrics.hpp"
#include "eelgrassbridge/node/request_watch.hpp"
#include "eelgrassbridge/node/target_capacity.hpp"
#include "eelgrassbridge/node/target_pace.hpp"
#include "eelgrassbridge/node/target_run.hpp"

namespace eelgrassbridge::node {

namespace {

using asio::awaitable;

constexpr std::size_t kMaxReportBytes = std::size_t{64} * 1024;
constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kServiceUnavailable = 503;

/// Why a report is not from the target beside this daemon; empty if it is.
std::string_view ReportMismatch(const Node& node, const TargetReport& report) {
  if (report.service != node.settings.service) {
    return "the service differs from this daemon's service";
  }
  if (report.address != node.settings.target_address) {
    return "the address differs from target_address";
  }
  return {};
}

void HandleTargetReport(Node& node, const TargetReport& report) {
  const base::TimePoint now = base::BootClock::now();
  const bool was_leaving = node.target.leaving;
  const ReportStatus intake = ApplyReport(node.target, report, now);
  if (intake == ReportStatus::kStale) {
    return;
  }
  if (intake == ReportStatus::kNewIncarnation) {
    Log(node.log, EventKind::kTargetStarted,
        {{"target", report.target},
         {"born", report.born},
         {"slots", std::int64_t{report.slots}},
         {"cold_ms", report.cold_remaining.count() / 1000}});
    http::Notify(node.member_inputs_changed);
    http::Notify(node.lease_inputs_changed);
    ApplyRecordedDeparture(node);
    RecordRestart(node);
    RestartCapacity(node);
  } else {
    RecordSignOfLife(node);
  }
  node.admission.limiter.pace.cold_until = now + report.cold_remaining;
  RecordReportedCold(node, report.cold_remaining);
  if (report.leaving &&
      (!was_leaving || intake == ReportStatus::kNewIncarnation)) {
    AnnounceDeparture(node, "the target reported that it is leaving");
  }
  RefreshAdmission(node);
  http::Notify(node.release_possible);
}

ReportAnswer MakeReportAnswer(Node& node, const TargetReport& report) {
  const bool current = report.target == node.target.id &&
                       report.born == node.target.born &&
                       report.sequence == node.target.sequence;
  const auto found = node.ranges.find(node.settings.service);
  if (!current || found == node.ranges.end() || !IsDividedByKey(node) ||
      found->second.map.entries.empty()) {
    return {};
  }
  return GrantRanges(node.target, found->second.map, node.settings.peers,
                     node.lease.right, node.lease.options,
                     base::BootClock::now());
}

awaitable<void> HandleReport(Node& node,
                             http::Exchange& exchange,
                             std::string target) {
  Message message;
  const auto received =
      co_await ReceiveBody(exchange, message, kMaxReportBytes);
  if (!received) {
    http::Abort(exchange);
    co_return;
  }
  auto report = node.port.decode_report(target, message.body);
  const std::string_view mismatch =
      report ? ReportMismatch(node, report.value())
             : std::string_view(report.error().detail);
  if (!mismatch.empty()) {
    Count(node, "reports_rejected_total");
    Log(node.log, EventKind::kReportRejected,
        {{"target", target}, {"cause", mismatch}});
    co_await http::Respond(exchange, kBadRequest, {}, {});
    co_return;
  }
  HandleTargetReport(node, report.value());
  if (report.value().leaving) {
    const bool recorded = co_await AwaitRecordedDeparture(node);
    if (!recorded) {
      co_await http::Respond(exchange, kServiceUnavailable, {}, {});
      co_return;
    }
  }
  const ReportAnswer answer = MakeReportAnswer(node, report.value());
  http::Headers headers;
  headers.push_back({"Content-Type", "application/json"});
  const std::string body = node.port.encode_report_answer(answer);
  co_await http::Respond(exchange, kOk, std::move(headers), body);
  // Requests that wait for a key can be sent once the target has its grant.
  http::Notify(node.target_changed);
}

awaitable<void> HandleDeparture(Node& node,
                                http::Exchange& exchange,
                                std::string target) {
  Message message;
  const auto received =
      co_await ReceiveBody(exchange, message, kMaxReportBytes);
  if (!received) {
    http::Abort(exchange);
    co_return;
  }
  bool acknowledged = false;
  switch (ApplyDeparture(node.target,
                         node.port.decode_departure(target, message.body))) {
    case DepartureStatus::kLeaving:
      AnnounceDeparture(node, "the target announced its departure");
      acknowledged = co_await AwaitRecordedDeparture(node);
      break;
    case DepartureStatus::kFormer:
      acknowledged = true;
      break;
    case DepartureStatus::kUnknown:
      break;
  }
  co_await http::Respond(exchange, acknowledged ? kOk : kServiceUnavailable, {},
                         {});
}

}  // namespace

awaitable<void> HandleTargetCall(Node& node, http::Exchange& exchange) {
  const TargetCall call =
      node.port.target_call(exchange.head.method, exchange.head.target);
  switch (call.kind) {
    case TargetCall::Kind::kReport:
      co_await HandleReport(node, exchange, call.target);
      break;
    case TargetCall::Kind::kDeparture:
      co_await HandleDeparture(node, exchange, call.target);
      break;
    case TargetCall::Kind::kNone:
      co_await http::Respond(exchange, kNotFound, {}, {});
      break;
  }
}

awaitable<void> HandleReadiness(Node& node, http::Exchange& exchange) {
  if (node.port.is_readiness_call(exchange.head.method, exchange.head.target)) {
    const bool ready = !node.stopping && node.routes && node.fleet.loaded;
    co_await http::Respond(exchange, ready ? kOk : kServiceUnavailable, {}, {});
    co_return;
  }
  if (exchange.head.method == "GET" && exchange.head.target == "/metrics") {
    http::Headers headers;
    headers.push_back({"Content-Type", "text/plain"});
    const std::string text = MetricsText(node);
    co_await http::Respond(exchange, kOk, std::move(headers), text);
    co_return;
  }
  co_await http::Respond(exchange, kNotFound, {}, {});
}

}  // namespace eelgrassbridge::node
