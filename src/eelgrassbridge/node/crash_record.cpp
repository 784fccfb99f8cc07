// Encodes and decodes crash records as JSON.
#include "eelgrassbridge/node/crash_record.hpp"

#include <nlohmann/json.hpp>

#include "eelgrassbridge/base/json_value.hpp"

namespace eelgrassbridge::node {

namespace {

using nlohmann::json;

base::Duration DecodeTime(const json& value) {
  return base::Duration{base::JsonInteger<std::int64_t>(value)};
}

CrashRecord DecodeCrash(const json& value) {
  CrashRecord record;
  record.request.high = base::JsonInteger<std::uint64_t>(value.at("high"));
  record.request.low = base::JsonInteger<std::uint64_t>(value.at("low"));
  record.crash.target_run =
      base::JsonInteger<std::uint64_t>(value.at("target_run"));
  record.crash.run_began = DecodeTime(value.at("began_us"));
  record.crash.crashed_at = DecodeTime(value.at("crashed_us"));
  record.answered = value.at("answered").get<bool>();
  return record;
}

}  // namespace

std::string EncodeCrashes(std::span<const CrashRecord> crashes) {
  json rows = json::array();
  for (const CrashRecord& record : crashes) {
    rows.push_back({{"high", record.request.high},
                    {"low", record.request.low},
                    {"target_run", record.crash.target_run},
                    {"began_us", record.crash.run_began.count()},
                    {"crashed_us", record.crash.crashed_at.count()},
                    {"answered", record.answered}});
  }
  return rows.dump();
}

base::Result<std::vector<CrashRecord>> DecodeCrashes(std::string_view text) {
  try {
    std::vector<CrashRecord> crashes;
    for (const json& value : json::parse(text).get<json::array_t>()) {
      crashes.push_back(DecodeCrash(value));
    }
    return crashes;
  } catch (const json::exception& error) {
    return base::Fail(base::ErrorKind::kFrameInvalid, error.what());
  } catch (const base::InvalidJsonValue& error) {
    return base::Fail(base::ErrorKind::kFrameInvalid, error.what());
  }
}

}  // namespace eelgrassbridge::node
