// Lease expiry arithmetic and the JSON encoding of lease rows.
#include "eelgrassbridge/ranges/lease.hpp"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

#include "eelgrassbridge/base/json_value.hpp"

namespace eelgrassbridge::ranges {

namespace {

using nlohmann::json;

/// Bounds of the values that a daemon writes. A planner adds up the loads, so a
/// value beyond them would spoil the plan for all owners.
constexpr double kMaxRequestsPerSecond = 1e9;
constexpr double kMaxRunSeconds = 1e6;
constexpr std::size_t kMaxQuantiles = 64;
constexpr std::size_t kMaxParts = 128;
constexpr std::int64_t kMaxExpiry =
    static_cast<std::int64_t>(base::kMaxJsonSeconds) * 1'000'000;

base::Duration Scale(base::Duration duration, double factor) {
  return base::Duration{static_cast<std::int64_t>(
      static_cast<double>(duration.count()) * factor)};
}

std::vector<std::uint32_t> DecodeQuantiles(const json& value) {
  if (!value.is_array() || value.size() > kMaxQuantiles) {
    throw base::InvalidJsonValue("expected a short list of keys");
  }
  std::vector<std::uint32_t> quantiles;
  quantiles.reserve(value.size());
  for (const json& key : value) {
    quantiles.push_back(base::JsonInteger(key, kLastKey));
  }
  return quantiles;
}

/// Rounds to hundredths, which keeps the row short.
double Rounded(double rate) {
  constexpr double kSteps = 100;
  return std::round(rate * kSteps) / kSteps;
}

json EncodeParts(const std::vector<DemandPart>& parts) {
  json rows = json::array();
  for (const DemandPart& part : parts) {
    rows.push_back(
        {part.keys.first, part.keys.last, Rounded(part.requests_per_second)});
  }
  return rows;
}

std::vector<DemandPart> DecodeParts(const json& rows) {
  if (!rows.is_array() || rows.size() > kMaxParts) {
    throw base::InvalidJsonValue("expected a short list of demand parts");
  }
  std::vector<DemandPart> parts;
  parts.reserve(rows.size());
  for (const json& row : rows) {
    const KeyRange keys{base::JsonInteger(row.at(0), kLastKey),
                        base::JsonInteger(row.at(1), kLastKey)};
    if (keys.last < keys.first) {
      throw base::InvalidJsonValue("a demand part has no valid range");
    }
    parts.push_back({keys, base::JsonNumber(row.at(2), kMaxRequestsPerSecond)});
  }
  return parts;
}

/// Adds the values that only adaptive limits use; see OwnerLoad.
void EncodeAdaptiveLoad(const OwnerLoad& load, json& value) {
  if (load.steady_run_seconds > 0) {
    value["steady_run_s"] = load.steady_run_seconds;
  }
  if (load.refused_per_second > 0) {
    value["refused"] = Rounded(load.refused_per_second);
  }
  if (load.learned_limit > 0) {
    value["limit"] = load.learned_limit;
  }
  if (!load.parts.empty()) {
    value["parts"] = EncodeParts(load.parts);
  }
}

void DecodeAdaptiveLoad(const json& value, OwnerLoad& load) {
  if (value.contains("steady_run_s")) {
    load.steady_run_seconds =
        base::JsonNumber(value["steady_run_s"], kMaxRunSeconds);
  }
  if (value.contains("refused")) {
    load.refused_per_second =
        base::JsonNumber(value["refused"], kMaxRequestsPerSecond);
  }
  if (value.contains("limit")) {
    load.learned_limit = base::JsonInteger(value["limit"], kMaxSlots);
  }
  if (value.contains("parts")) {
    load.parts = DecodeParts(value["parts"]);
  }
}

json EncodeClaims(const std::vector<Claim>& claims) {
  json rows = json::array();
  for (const Claim& claim : claims) {
    rows.push_back({claim.keys.first, claim.keys.last, claim.fencing_token});
  }
  return rows;
}

std::vector<Claim> DecodeClaims(const json& rows) {
  std::vector<Claim> claims;
  for (const json& row : rows) {
    const KeyRange keys{base::JsonInteger(row.at(0), kLastKey),
                        base::JsonInteger(row.at(1), kLastKey)};
    if (keys.last < keys.first) {
      throw base::InvalidJsonValue("a claim has no valid range");
    }
    claims.push_back({keys, base::JsonInteger(row.at(2), kMaxNextToken - 1)});
  }
  return claims;
}

}  // namespace

base::Duration LatestStoreTime(const StoreClock& clock, base::TimePoint now) {
  return clock.store_time + (now - clock.sent_at);
}

std::string EncodeLease(const LeaseRecord& record) {
  json value = {{"daemon", record.owner.daemon},
                {"target", record.owner.target},
                {"born", record.owner.born},
                {"process", record.process},
                {"sequence", record.sequence},
                {"expires_us", record.expires.count()},
                {"accepting", record.accepting},
                {"rate", record.load.requests_per_second},
                {"run_s", record.load.run_seconds},
                {"slots", record.load.slots},
                {"quantiles", record.load.quantiles}};
  EncodeAdaptiveLoad(record.load, value);
  if (!record.claims.empty()) {
    value["claims"] = EncodeClaims(record.claims);
  }
  return value.dump();
}

base::Result<LeaseRecord> DecodeLease(std::string_view text) {
  try {
    const json value = json::parse(text);
    LeaseRecord record;
    record.owner = {base::JsonName(value.at("daemon")),
                    base::JsonName(value.at("target")),
                    base::JsonInteger<std::int64_t>(value.at("born"))};
    record.process = value.at("process").get<std::string>();
    record.sequence = base::JsonInteger<std::uint64_t>(value.at("sequence"));
    record.expires =
        base::Duration{base::JsonInteger(value.at("expires_us"), kMaxExpiry)};
    record.accepting = value.at("accepting").get<bool>();
    OwnerLoad& load = record.load;
    load.requests_per_second =
        base::JsonNumber(value.at("rate"), kMaxRequestsPerSecond);
    load.run_seconds = base::JsonNumber(value.at("run_s"), kMaxRunSeconds);
    load.slots = base::JsonInteger(value.at("slots"), kMaxSlots);
    load.quantiles = DecodeQuantiles(value.at("quantiles"));
    DecodeAdaptiveLoad(value, load);
    if (value.contains("claims")) {
      record.claims = DecodeClaims(value["claims"]);
    }
    return record;
  } catch (const json::exception& error) {
    return base::Fail(base::ErrorKind::kFrameInvalid, error.what());
  } catch (const base::InvalidJsonValue& error) {
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
