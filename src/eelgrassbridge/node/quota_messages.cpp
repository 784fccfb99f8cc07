// Encodes and decodes reports and answers.
#include "eelgrassbridge/node/quota_messages.hpp"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <nlohmann/json.hpp>

#include "eelgrassbridge/base/json_value.hpp"

namespace eelgrassbridge::node {

namespace {

using nlohmann::json;

constexpr double kMillion = 1e6;
/// Largest number of requests or seconds in a message.
constexpr double kLargest = 1e9;
constexpr auto kLastMillionths = static_cast<std::int64_t>(kLargest * kMillion);

std::int64_t ToMillionths(double number) {
  return std::llround(std::clamp(number, 0.0, kLargest) * kMillion);
}

double FromMillionths(const json& value) {
  return static_cast<double>(
             base::JsonInteger<std::int64_t>(value, kLastMillionths)) /
         kMillion;
}

base::Duration ToDuration(const json& value) {
  return base::Duration{
      base::JsonInteger<std::int64_t>(value, kLastMillionths)};
}

/// Parses the text and reads it with `read`, which may throw.
template <typename T, typename Read>
base::Result<T> Decode(std::string_view text, Read read) {
  try {
    return read(json::parse(text));
  } catch (const json::exception& error) {
    return base::Fail(base::ErrorKind::kFrameInvalid, error.what());
  } catch (const base::InvalidJsonValue& error) {
    return base::Fail(base::ErrorKind::kFrameInvalid, error.what());
  }
}

}  // namespace

std::string EncodeQuotaReport(const limits::QuotaReport& report) {
  json accounts = json::array();
  for (const limits::QuotaDemand& one : report.accounts) {
    accounts.push_back({one.account, ToMillionths(one.demand), one.share,
                        ToMillionths(one.extra), ToMillionths(one.tokens),
                        ToMillionths(one.needed), ToMillionths(one.wanted),
                        ToMillionths(one.spare), one.left.count()});
  }
  return json{{"daemon", report.daemon},
              {"process", report.process},
              {"tenure", report.tenure},
              {"sequence", report.sequence},
              {"accounts", std::move(accounts)}}
      .dump();
}

base::Result<limits::QuotaReport> DecodeQuotaReport(std::string_view text) {
  return Decode<limits::QuotaReport>(text, [](const json& value) {
    limits::QuotaReport report;
    report.daemon = base::JsonName(value.at("daemon"));
    report.process = base::JsonName(value.at("process"));
    report.tenure = base::JsonInteger<std::uint64_t>(value.at("tenure"));
    report.sequence = base::JsonInteger<std::uint64_t>(value.at("sequence"));
    for (const json& row : value.at("accounts")) {
      limits::QuotaDemand one;
      one.account = row.at(0).get<std::string>();
      one.demand = FromMillionths(row.at(1));
      one.share = base::JsonInteger(row.at(2), limits::kWholeShare);
      one.extra = FromMillionths(row.at(3));
      one.tokens = FromMillionths(row.at(4));
      one.needed = FromMillionths(row.at(5));
      one.wanted = FromMillionths(row.at(6));
      one.spare = FromMillionths(row.at(7));
      one.left = ToDuration(row.at(8));
      report.accounts.push_back(std::move(one));
    }
    return report;
  });
}

std::string EncodeQuotaAnswer(const limits::QuotaAnswer& answer) {
  json grants = json::array();
  for (const limits::QuotaGrant& one : answer.grants) {
    grants.push_back({one.account, one.share, ToMillionths(one.extra),
                      ToMillionths(one.tokens), one.valid.count(),
                      one.next_token.count()});
  }
  return json{{"tenure", answer.tenure},
              {"interval_us", answer.interval.count()},
              {"ask_interval_us", answer.ask_interval.count()},
              {"grants", std::move(grants)}}
      .dump();
}

base::Result<limits::QuotaAnswer> DecodeQuotaAnswer(std::string_view text) {
  return Decode<limits::QuotaAnswer>(text, [](const json& value) {
    limits::QuotaAnswer answer;
    answer.tenure = base::JsonInteger<std::uint64_t>(value.at("tenure"));
    answer.interval = ToDuration(value.at("interval_us"));
    answer.ask_interval = ToDuration(value.at("ask_interval_us"));
    for (const json& row : value.at("grants")) {
      limits::QuotaGrant one;
      one.account = row.at(0).get<std::string>();
      one.share = base::JsonInteger(row.at(1), limits::kWholeShare);
      one.extra = FromMillionths(row.at(2));
      one.tokens = FromMillionths(row.at(3));
      one.valid = ToDuration(row.at(4));
      one.next_token = ToDuration(row.at(5));
      answer.grants.push_back(std::move(one));
    }
    return answer;
  });
}

}  // namespace eelgrassbridge::node
