// Parses and formats single values.
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

/// Keeps products within 63 bits, so that they fit into a signed integer.
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

std::optional<int> ParseTwoDigits(std::string_view text, std::size_t at) {
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
  constexpr std::uint32_t kPpmPerPercent = 10'000;
  if (text.size() < 2 || text.back() != '%') {
    return std::nullopt;
  }
  text.remove_suffix(1);
  const std::size_t point = text.find('.');
  const std::string_view integer_text = text.substr(0, point);
  std::string decimals;
  if (point != std::string_view::npos) {
    decimals = text.substr(point + 1);
  }
  const auto is_digit = [](char c) { return c >= '0' && c <= '9'; };
  if (integer_text.empty() || integer_text.size() > 3 ||
      decimals.size() > kDecimals || !std::ranges::all_of(decimals, is_digit) ||
      !std::ranges::all_of(integer_text, is_digit) ||
      (point != std::string_view::npos && decimals.empty())) {
    return std::nullopt;
  }
  decimals.resize(kDecimals, '0');
  std::uint32_t integer = 0;
  std::uint32_t fraction = 0;
  std::from_chars(integer_text.data(),
                  integer_text.data() + integer_text.size(), integer);
  std::from_chars(decimals.data(), decimals.data() + decimals.size(), fraction);
  return integer * kPpmPerPercent + fraction;
}

std::optional<std::int64_t> ParseUtcTime(std::string_view text) {
  constexpr std::string_view kPattern = "0000-00-00T00:00:00Z";
  if (text.size() != kPattern.size()) {
    return std::nullopt;
  }
  for (std::size_t i = 0; i < text.size(); ++i) {
    const bool is_digit = text[i] >= '0' && text[i] <= '9';
    if (kPattern[i] == '0' ? !is_digit : text[i] != kPattern[i]) {
      return std::nullopt;
    }
  }
  const int year = *ParseTwoDigits(text, 0) * 100 + *ParseTwoDigits(text, 2);
  const std::chrono::year_month_day day{
      std::chrono::year{year},
      std::chrono::month{static_cast<unsigned>(*ParseTwoDigits(text, 5))},
      std::chrono::day{static_cast<unsigned>(*ParseTwoDigits(text, 8))}};
  const int hour = *ParseTwoDigits(text, 11);
  const int minute = *ParseTwoDigits(text, 14);
  const int second = *ParseTwoDigits(text, 17);
  if (!day.ok() || hour > 23 || minute > 59 || second > 59) {
    return std::nullopt;
  }
  const auto time = std::chrono::sys_days{day} + std::chrono::hours{hour} +
                    std::chrono::minutes{minute} + std::chrono::seconds{second};
  return time.time_since_epoch().count();
}

bool IsValidName(std::string_view text) {
  constexpr std::size_t kMaxNameLength = 63;
  const auto is_letter_or_digit = [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9');
  };
  return !text.empty() && text.size() <= kMaxNameLength &&
         is_letter_or_digit(text.front()) &&
         std::ranges::all_of(
             text, [&](char c) { return is_letter_or_digit(c) || c == '-'; });
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
