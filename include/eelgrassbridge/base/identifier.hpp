// Identifiers of daemons and shard groups.
#ifndef EELGRASSBRIDGE_BASE_IDENTIFIER_HPP
#define EELGRASSBRIDGE_BASE_IDENTIFIER_HPP

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace eelgrassbridge::base {

/// @brief Identifies one run of a daemon: 64 random bits generated at each
/// start, so that a restarted daemon on the same address and a second VM of the
/// same image get different ids. Zero means "none".
struct DaemonId {
  std::uint64_t value = 0;

  // clang-tidy 14 takes the zero of a defaulted comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const DaemonId&) const = default;
  explicit operator bool() const { return this->value != 0; }
};

/// @brief A shard group: a set of keys that always have the same owner.
struct GroupId {
  std::string service;
  /// Sorted home regions joined by '+', e.g. "litoral+sur".
  std::string residency;
  std::uint32_t index = 0;
  /// Hash of the key, for a hot key that has a row of its own; absent for an
  /// ordinary group.
  std::optional<std::uint64_t> hot_key;

  // clang-tidy 14 takes the zero of a defaulted comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const GroupId&) const = default;
};

/// @brief Generates an id from the system's entropy source.
DaemonId NewDaemonId();

/// @brief Returns 128 random bits as 32 hexadecimal digits.
std::string RandomHex128();

/// @brief Converts to and from 16 hexadecimal digits.
std::string ToString(DaemonId id);
std::optional<DaemonId> ParseDaemonId(std::string_view text);

/// @brief Converts to and from "service/residency/index", or
/// "service/residency/index/hash" for a hot key, the hash in 16 hexadecimal
/// digits.
std::string ToString(const GroupId& id);
std::optional<GroupId> ParseGroupId(std::string_view text);

}  // namespace eelgrassbridge::base

template <>
struct std::hash<eelgrassbridge::base::DaemonId> {
  std::size_t operator()(eelgrassbridge::base::DaemonId id) const noexcept {
    return id.value;
  }
};

template <>
struct std::hash<eelgrassbridge::base::GroupId> {
  std::size_t operator()(
      const eelgrassbridge::base::GroupId& id) const noexcept;
};

#endif  // EELGRASSBRIDGE_BASE_IDENTIFIER_HPP
