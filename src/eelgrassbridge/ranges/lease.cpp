// Lease expiry arithmetic and the JSON encoding of lease rows.
#include "eelgrassbridge/ranges/lease.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace eelgrassbridge::ranges {

namespace {

using nlohmann::json;

base::Duration Scale(base::Duration duration, double factor) {
  return base::Duration{static_cast<std::int64_t>(
      static_cast<double>(duration.count()) * factor)};
}

}  // namespace

base::Duration LatestStoreTime(const StoreClock& clock, base::TimePoint now) {
  return clock.store_time + (now - clock.sent_at);
}

std::string EncodeLease(const LeaseRecord& record) {
  return json{{"daemon", record.owner.daemon},
              {"target", record.owner.target},
              {"born", record.owner.born},
              {"process", record.process},
              {"sequence", record.sequence},
              {"expires_us", record.expires.count()},
              {"accepting", record.accepting},
              {"rate", record.load.requests_per_second},
              {"run_s", record.load.run_seconds},
              {"slots", record.load.slots},
              {"quantiles", record.load.quantiles}}
      .dump();
}

base::Result<LeaseRecord> DecodeLease(std::string_view text) {
  try {
    const json value = json::parse(text);
    LeaseRecord record;
    record.owner = {value.at("daemon").get<std::string>(),
                    value.at("target").get<std::string>(),
                    value.at("born").get<std::int64_t>()};
    record.process = value.at("process").get<std::string>();
    record.sequence = value.at("sequence").get<std::uint64_t>();
    record.expires = base::Duration{value.at("expires_us").get<std::int64_t>()};
    record.accepting = value.at("accepting").get<bool>();
    record.load = {value.at("rate").get<double>(),
                   value.at("run_s").get<double>(),
                   value.at("slots").get<std::uint32_t>(),
                   value.at("quantiles").get<std::vector<std::uint32_t>>()};
    return record;
  } catch (const json::exception& error) {
    return base::Fail(base::ErrorKind::kFrameInvalid, error.what());
  }
}

void Extend(LeaseRight& right,
            base::TimePoint sent_at,
            const LeaseOptions& options) {
  right.ends = std::max(right.ends, sent_at + options.length - options.margin);
}

base::Duration ComputeHold(const LeaseRight& right,
                           base::TimePoint now,
                           const LeaseOptions& options) {
  if (!IsValid(right, now)) {
    return base::Duration{0};
  }
  const base::Duration remaining =
      Scale(right.ends - now, 1 - options.target_clock_error);
  return std::min(remaining, options.hold);
}

base::TimePoint LatestHoldEnd(base::Duration hold,
                              base::TimePoint now,
                              const LeaseOptions& options) {
  return now + Scale(hold, 1 / (1 - options.target_clock_error));
}

}  // namespace eelgrassbridge::ranges
