// Counters by service, outcome and cause, gauges of the node's current state,
// and latency histograms.
#include "eelgrassbridge/node/metrics.hpp"

#include <spdlog/fmt/fmt.h>

#include <array>

#include "eelgrassbridge/node/quota_rows.hpp"
#include "eelgrassbridge/node/target_capacity.hpp"

namespace eelgrassbridge::node {

namespace {

/// Upper bounds of the latency histogram, in milliseconds.
constexpr std::array<std::int64_t, 11> kLatencyBoundsMs = {
    5, 10, 25, 50, 100, 250, 500, 1000, 2000, 4000, 8000};

void SetGauge(Node& node,
              std::string_view name,
              std::int64_t value,
              std::string_view labels = {}) {
  base::GetCounter(node.counters, name, labels) = value;
}

void SetCloseCounts(Node& node,
                    std::string_view name,
                    std::string_view label,
                    const http::CloseCounts& counts) {
  for (std::size_t i = 0; i < counts.size(); ++i) {
    const auto reason = static_cast<http::CloseReason>(i);
    SetGauge(node, name, static_cast<std::int64_t>(counts[i]),
             fmt::format("{}=\"{}\"", label, CloseReasonName(reason)));
  }
}

void RecordLatency(Node& node, std::string_view service, std::int64_t took) {
  for (const std::int64_t bound : kLatencyBoundsMs) {
    if (took <= bound) {
      Count(node, "request_milliseconds_bucket",
            fmt::format("service=\"{}\",le=\"{}\"", service, bound));
    }
  }
  Count(node, "request_milliseconds_bucket",
        fmt::format("service=\"{}\",le=\"+Inf\"", service));
  const std::string labels = fmt::format("service=\"{}\"", service);
  Count(node, "request_milliseconds_count", labels);
  base::GetCounter(node.counters, "request_milliseconds_sum", labels) += took;
}

}  // namespace

void RecordFinalAnswer(Node& node,
                       const CallerRequest& request,
                       std::string_view outcome,
                       std::string_view cause) {
  Count(node, "requests_total",
        fmt::format("service=\"{}\",outcome=\"{}\",cause=\"{}\"",
                    request.terms.service, outcome, cause));
  const auto took = std::chrono::duration_cast<base::milliseconds>(
      base::BootClock::now() - request.arrived);
  RecordLatency(node, request.terms.service, took.count());
}

std::string MetricsText(Node& node) {
  const auto& limiter = node.admission.limiter;
  SetGauge(node, "routes_version",
           node.routes ? static_cast<std::int64_t>(node.routes->version) : 0);
  SetGauge(node, "members",
           static_cast<std::int64_t>(node.fleet.members.size()));
  SetGauge(node, "store_reachable", node.store.reachable ? 1 : 0);
  SetGauge(node, "lease_held", node.lease.held ? 1 : 0);
  const base::TimePoint now = base::BootClock::now();
  SetGauge(node, "quota_coordinator", IsQuotaCoordinator(node, now) ? 1 : 0);
  SetGauge(
      node, "quota_accounts_held",
      static_cast<std::int64_t>(limits::HeldAccounts(node.quota.shares, now)));
  SetGauge(node, "target_in_flight", limiter.in_flight);
  SetGauge(node, "target_queued", limiter.queued);
  SetGauge(node, "target_capacity",
           LearnedRoom(node).value_or(limits::InFlightLimit(limiter)));
  SetGauge(node, "capacity_changes_total",
           static_cast<std::int64_t>(limiter.learned.changes_total));
  SetGauge(node, "target_serving", TargetTakesRequests(node) ? 1 : 0);
  SetGauge(node, "target_cold", node.admission.reported_cold ? 1 : 0);
  SetGauge(node, "link_backlog_bytes",
           static_cast<std::int64_t>(limits::BacklogBytes(node.link.budget)));
  SetGauge(node, "link_turns_waiting", limits::TurnsWaiting(node.link.budget));
  SetGauge(node, "caller_connections", node.callers_server.counts.open);
  SetGauge(node, "peer_connections", node.peers_server.counts.open);
  SetGauge(node, "target_connections_opened_total",
           static_cast<std::int64_t>(node.targets.opened));
  SetGauge(node, "peer_connections_opened_total",
           static_cast<std::int64_t>(node.peers.opened));
  SetGauge(node, "peer_body_bytes_total",
           static_cast<std::int64_t>(node.peers_server.counts.body_bytes));
  SetCloseCounts(node, "requests_unanswered_total", "cause",
                 node.callers_server.counts.unanswered);
  SetCloseCounts(node, "peer_requests_unanswered_total", "cause",
                 node.peers_server.counts.unanswered);
  SetCloseCounts(node, "caller_connections_closed_total", "reason",
                 node.callers_server.counts.closed);
  SetCloseCounts(node, "peer_connections_closed_total", "reason",
                 node.peers_server.counts.closed);
  SetGauge(node, "log_lines_dropped_total",
           static_cast<std::int64_t>(node.log.dropped_total));
  return base::PrometheusText(node.counters);
}

}  // namespace eelgrassbridge::node
