// Parsers of single values with units.
#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <array>
#include <charconv>

#include "eelgrassbridge/base/yaml_fields.hpp"

namespace eelgrassbridge::base {

namespace {

struct Unit {
  std::string_view name;
  std::uint64_t factor;
};

constexpr std::array kDurationUnits{
    Unit{"h", 3'600'000'000}, Unit{"min", 60'000'000}, Unit{"s", 1'000'000},
    Unit{"ms", 1'000}, Unit{"us", 1}};

constexpr std::array kSizeUnits{Unit{"GiB", 1ULL << 30U},
                                Unit{"MiB", 1ULL << 20U},
                                Unit{"KiB", 1ULL << 10U}, Unit{"B", 1}};

/// Keeps every product inside 63 bits.
constexpr std::uint64_t kMaxProduct = 1ULL << 62U;

std::optional<std::uint64_t> ParseWithUnit(std::string_view text,
                                           std::span<const Unit> units) {
  std::uint64_t count = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), count);
  if (error != std::errc()) {
    return std::nullopt;
  }
  text.remove_prefix(static_cast<std::size_t>(end - text.data()));
  const auto unit = std::ranges::find(units, text, &Unit::name);
  if (unit == units.end() || count > kMaxProduct / unit->factor) {
    return std::nullopt;
  }
  return count * unit->factor;
}

std::optional<int> TwoDigits(std::string_view text, std::size_t at) {
  int value = 0;
  const char* begin = text.data() + at;
  const auto [end, error] = std::from_chars(begin, begin + 2, value);
  if (error != std::errc() || end != begin + 2 || value < 0) {
    return std::nullopt;
  }
  return value;
}

}  // namespace

std::optional<Duration> ParseDuration(std::string_view text) {
  const auto value = ParseWithUnit(text, kDurationUnits);
  if (!value) {
    return std::nullopt;
  }
  return Duration{static_cast<std::int64_t>(*value)};
}

std::optional<std::uint64_t> ParseByteSize(std::string_view text) {
  return ParseWithUnit(text, kSizeUnits);
}

std::optional<std::uint32_t> ParsePercent(std::string_view text) {
  constexpr std::size_t kDecimals = 4;
  constexpr std::uint32_t kWholePercent = 10'000;
  if (text.size() < 2 || text.back() != '%') {
    return std::nullopt;
  }
  text.remove_suffix(1);
  const std::size_t point = text.find('.');
  const std::string_view whole_text = text.substr(0, point);
  std::string decimals;
  if (point != std::string_view::npos) {
    decimals = text.substr(point + 1);
  }
  const auto is_digit = [](char c) { return c >= '0' && c <= '9'; };
  if (whole_text.empty() || whole_text.size() > 3 ||
      decimals.size() > kDecimals || !std::ranges::all_of(decimals, is_digit) ||
      !std::ranges::all_of(whole_text, is_digit) ||
      (point != std::string_view::npos && decimals.empty())) {
    return std::nullopt;
  }
  decimals.resize(kDecimals, '0');
  std::uint32_t whole = 0;
  std::uint32_t part = 0;
  std::from_chars(whole_text.data(), whole_text.data() + whole_text.size(),
                  whole);
  std::from_chars(decimals.data(), decimals.data() + decimals.size(), part);
  return whole * kWholePercent + part;
}

std::optional<std::int64_t> ParseUtcTime(std::string_view text) {
  constexpr std::string_view kShape = "0000-00-00T00:00:00Z";
  if (text.size() != kShape.size()) {
    return std::nullopt;
  }
  for (std::size_t i = 0; i < text.size(); ++i) {
    const bool is_digit = text[i] >= '0' && text[i] <= '9';
    if (kShape[i] == '0' ? !is_digit : text[i] != kShape[i]) {
      return std::nullopt;
    }
  }
  const int year = *TwoDigits(text, 0) * 100 + *TwoDigits(text, 2);
  const std::chrono::year_month_day day{
      std::chrono::year{year},
      std::chrono::month{static_cast<unsigned>(*TwoDigits(text, 5))},
      std::chrono::day{static_cast<unsigned>(*TwoDigits(text, 8))}};
  const int hour = *TwoDigits(text, 11);
  const int minute = *TwoDigits(text, 14);
  const int second = *TwoDigits(text, 17);
  if (!day.ok() || hour > 23 || minute > 59 || second > 59) {
    return std::nullopt;
  }
  const auto time = std::chrono::sys_days{day} + std::chrono::hours{hour} +
                    std::chrono::minutes{minute} + std::chrono::seconds{second};
  return time.time_since_epoch().count();
}

bool IsValidName(std::string_view text) {
  constexpr std::size_t kMaxName = 63;
  const auto is_plain = [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9');
  };
  return !text.empty() && text.size() <= kMaxName && is_plain(text.front()) &&
         std::ranges::all_of(text,
                             [&](char c) { return is_plain(c) || c == '-'; });
}

std::string FormatDuration(Duration duration) {
  const auto count = static_cast<std::uint64_t>(duration.count());
  if (count == 0) {
    return "0s";
  }
  for (const Unit& unit : kDurationUnits) {
    if (count % unit.factor == 0) {
      return fmt::format("{}{}", count / unit.factor, unit.name);
    }
  }
  return fmt::format("{}us", count);
}

}  // namespace eelgrassbridge::base
