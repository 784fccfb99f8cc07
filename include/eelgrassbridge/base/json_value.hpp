// Strict reading of JSON values that another writer may have spoiled. The
// conversions of the JSON library wrap and truncate numbers that do not fit.
#ifndef EELGRASSBRIDGE_BASE_JSON_VALUE_HPP
#define EELGRASSBRIDGE_BASE_JSON_VALUE_HPP

#include <algorithm>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <string_view>

#include "eelgrassbridge/base/time.hpp"

namespace eelgrassbridge::base {

/// @brief Thrown for well-formed JSON with an invalid value.
struct InvalidJsonValue : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// @brief Longest duration that is accepted. Clock readings plus this duration
/// stay representable, also in the nanoseconds of timers.
inline constexpr double kMaxJsonSeconds = 4e9;
/// @brief Maximum length of a name, as in the store.
inline constexpr std::size_t kMaxNameBytes = 200;

/// @brief Returns an integer from 0 to `last`.
template <typename Number>
Number JsonInteger(const nlohmann::json& value,
                   Number last = std::numeric_limits<Number>::max()) {
  // Only integers of at least 0 are parsed as unsigned ones.
  if (!value.is_number_unsigned() ||
      value.get<std::uint64_t>() > static_cast<std::uint64_t>(last)) {
    throw InvalidJsonValue("expected an integer from 0 to " +
                           std::to_string(last));
  }
  return value.get<Number>();
}

/// @brief Returns a number from 0 to `last`.
inline double JsonNumber(const nlohmann::json& value, double last) {
  const double number = value.get<double>();
  if (!value.is_number() || !(number >= 0 && number <= last)) {
    throw InvalidJsonValue("expected a number from 0 to " +
                           std::to_string(last));
  }
  return number;
}

/// @brief Returns a duration given in seconds.
inline Duration JsonSeconds(const nlohmann::json& value) {
  constexpr double kMicroseconds = 1e6;
  constexpr double kRounding = 0.5;
  return Duration{static_cast<std::int64_t>(
      JsonNumber(value, kMaxJsonSeconds) * kMicroseconds + kRounding)};
}

/// @brief Whether the text may be used as a name in headers and in JSON:
/// printable ASCII characters without spaces.
inline bool IsName(std::string_view text) {
  constexpr char kFirst = '!';
  constexpr char kLast = '~';
  return !text.empty() && text.size() <= kMaxNameBytes &&
         std::ranges::all_of(text, [](char letter) {
           return letter >= kFirst && letter <= kLast;
         });
}

/// @brief Returns a name.
inline std::string JsonName(const nlohmann::json& value) {
  auto text = value.get<std::string>();
  if (!IsName(text)) {
    throw InvalidJsonValue("expected a name");
  }
  return text;
}

}  // namespace eelgrassbridge::base

#endif  // EELGRASSBRIDGE_BASE_JSON_VALUE_HPP
