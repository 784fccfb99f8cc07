// Counts of requests to a cold target, and log lines of its changes.
#include "eelgrassbridge/node/target_pace.hpp"

#include <algorithm>
#include <cmath>

namespace eelgrassbridge::node {

namespace {

std::string_view PaceLabel(const limits::ColdPacer& pacer, std::size_t sent) {
  if (!pacer.requests_per_second) {
    return "pace=\"unknown\"";
  }
  return static_cast<double>(sent) > std::ceil(*pacer.requests_per_second)
             ? "pace=\"exceeded\""
             : "pace=\"kept\"";
}

}  // namespace

bool IsTargetCold(const Node& node, base::TimePoint now) {
  return now < node.admission.limiter.pace.cold_until;
}

SendRecord RecordSend(Node& node) {
  limits::ColdPacer& pacer = node.admission.limiter.pace;
  const base::TimePoint now = base::BootClock::now();
  SendRecord record;
  record.cold_left = std::max(base::Duration{0}, pacer.cold_until - now);
  record.sent_last_second = limits::RecordSend(pacer, now);
  if (limits::IsCold(pacer, now)) {
    Count(node, "cold_target_sends_total",
          PaceLabel(pacer, record.sent_last_second));
  }
  return record;
}

void RecordReportedCold(Node& node, base::Duration cold_left) {
  Admission& admission = node.admission;
  const limits::ColdPacer& pacer = admission.limiter.pace;
  const bool cold = cold_left > base::Duration{0};
  if (cold == admission.reported_cold) {
    return;
  }
  admission.reported_cold = cold;
  Log(node.log, cold ? EventKind::kTargetCold : EventKind::kTargetWarm,
      {{"target", node.target.id},
       {"cold_ms", cold_left.count() / 1000},
       {"pace", pacer.requests_per_second.value_or(-1)},
       {"routes_version",
        node.routes ? static_cast<std::int64_t>(node.routes->version) : 0},
       {"in_flight", std::int64_t{admission.limiter.in_flight}},
       {"queued", std::int64_t{admission.limiter.queued}},
       {"sent_last_second", static_cast<std::int64_t>(limits::SentInLastSecond(
                                pacer, base::BootClock::now()))}});
}

}  // namespace eelgrassbridge::node
