// Hashing with XXH3, and rendezvous scores built on it.
#ifndef EELGRASSBRIDGE_BASE_HASH_HPP
#define EELGRASSBRIDGE_BASE_HASH_HPP

#include <cstdint>
#include <string_view>

#include "eelgrassbridge/base/identifier.hpp"

namespace eelgrassbridge::base {

/// @brief A 128-bit hash, used where a collision would change an answer.
struct Hash128Value {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  // clang-tidy 14 takes the zero of a defaulted comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const Hash128Value&) const = default;
};

/// @brief XXH3, 64 bits.
std::uint64_t Hash64(std::string_view data, std::uint64_t seed = 0);

/// @brief XXH3, 128 bits.
Hash128Value Hash128(std::string_view data);

/// @brief Score of a member for an item; the highest score wins (rendezvous
/// hashing), so the loss of one member moves only that member's items.
std::uint64_t RendezvousScore(std::string_view item, DaemonId member);

}  // namespace eelgrassbridge::base

#endif  // EELGRASSBRIDGE_BASE_HASH_HPP
