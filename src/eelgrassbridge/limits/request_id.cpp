// Formats and parses the text form of request ids.
#include "eelgrassbridge/limits/request_id.hpp"

#include <algorithm>
#include <charconv>

namespace eelgrassbridge::limits {

namespace {

constexpr std::size_t kRandomDigits = 32;

/// Removes and returns the part of `text` before the next '-'.
std::optional<std::string_view> NextPart(std::string_view& text) {
  const std::size_t end = text.find('-');
  if (end == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view part = text.substr(0, end);
  text.remove_prefix(end + 1);
  return part;
}

std::optional<std::uint64_t> ParseNumber(std::string_view text) {
  std::uint64_t value = 0;
  const char* const end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, value);
  // Accepting leading zeros would give one id several text forms.
  if (error != std::errc{} || stop != end ||
      (text.size() > 1 && text.front() == '0')) {
    return std::nullopt;
  }
  return value;
}

bool IsRandom(std::string_view text) {
  return text.size() == kRandomDigits &&
         std::all_of(text.begin(), text.end(), [](char c) {
           return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
         });
}

}  // namespace

std::string ToString(const RequestId& id) {
  return base::ToString(id.issuer) + '-' + std::to_string(id.epoch) + '-' +
         std::to_string(id.sequence) + '-' + id.random;
}

std::optional<RequestId> ParseRequestId(std::string_view text) {
  const auto issuer_text = NextPart(text);
  const auto epoch_text = NextPart(text);
  const auto sequence_text = NextPart(text);
  if (!issuer_text || !epoch_text || !sequence_text || !IsRandom(text)) {
    return std::nullopt;
  }
  const auto issuer = base::ParseDaemonId(*issuer_text);
  const auto epoch = ParseNumber(*epoch_text);
  const auto sequence = ParseNumber(*sequence_text);
  if (!issuer || !epoch || !sequence) {
    return std::nullopt;
  }
  return RequestId{*issuer, *epoch, *sequence, std::string(text)};
}

}  // namespace eelgrassbridge::limits
