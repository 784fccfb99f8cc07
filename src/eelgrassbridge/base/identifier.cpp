// Generates, formats and parses identifiers.
#include "eelgrassbridge/base/identifier.hpp"

#include <spdlog/fmt/fmt.h>
#include <unistd.h>

#include <charconv>
#include <random>
#include <vector>

#include "eelgrassbridge/base/hash.hpp"

namespace eelgrassbridge::base {

namespace {

std::uint64_t RandomBits() {
  // Reads the kernel's entropy source on each call, because a generator that
  // is seeded once would return the same numbers in a cloned VM.
  // std::random_device would use RDSEED, which takes microseconds per word.
  std::uint64_t bits = 0;
  if (getentropy(&bits, sizeof(bits)) != 0) {
    std::random_device device;
    bits = (static_cast<std::uint64_t>(device()) << 32) | device();
  }
  return bits;
}

template <typename T>
std::optional<T> ParseNumber(std::string_view text, int number_base) {
  T value{};
  const auto [end, error] = std::from_chars(
      text.data(), text.data() + text.size(), value, number_base);
  if (error != std::errc{} || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

std::vector<std::string_view> Split(std::string_view text, char separator) {
  std::vector<std::string_view> parts;
  for (;;) {
    const std::size_t at = text.find(separator);
    parts.push_back(text.substr(0, at));
    if (at == std::string_view::npos) {
      return parts;
    }
    text.remove_prefix(at + 1);
  }
}

}  // namespace

DaemonId NewDaemonId() {
  for (;;) {
    const DaemonId id{RandomBits()};
    if (id) {
      return id;
    }
  }
}

std::string RandomHex128() {
  return fmt::format("{:016x}{:016x}", RandomBits(), RandomBits());
}

std::string ToString(DaemonId id) {
  return fmt::format("{:016x}", id.value);
}

std::optional<DaemonId> ParseDaemonId(std::string_view text) {
  if (text.size() != 16) {
    return std::nullopt;
  }
  const auto value = ParseNumber<std::uint64_t>(text, 16);
  return value ? std::optional(DaemonId{*value}) : std::nullopt;
}

std::string ToString(const GroupId& id) {
  std::string text =
      fmt::format("{}/{}/{}", id.service, id.residency, id.index);
  if (id.hot_key) {
    text += fmt::format("/{:016x}", *id.hot_key);
  }
  return text;
}

std::optional<GroupId> ParseGroupId(std::string_view text) {
  const std::vector<std::string_view> parts = Split(text, '/');
  if (parts.size() < 3 || parts.size() > 4 || parts[0].empty() ||
      parts[1].empty()) {
    return std::nullopt;
  }
  const auto index = ParseNumber<std::uint32_t>(parts[2], 10);
  if (!index) {
    return std::nullopt;
  }
  GroupId id{std::string(parts[0]), std::string(parts[1]), *index, {}};
  if (parts.size() == 4) {
    const auto hot_key = ParseNumber<std::uint64_t>(parts[3], 16);
    if (!hot_key || parts[3].size() != 16) {
      return std::nullopt;
    }
    id.hot_key = *hot_key;
  }
  return id;
}

}  // namespace eelgrassbridge::base

std::size_t std::hash<eelgrassbridge::base::GroupId>::operator()(
    const eelgrassbridge::base::GroupId& id) const noexcept {
  using eelgrassbridge::base::Hash64;
  return Hash64(id.service) ^ (Hash64(id.residency, id.index) * 3) ^
         id.hot_key.value_or(0);
}
