// XXH3 hashes and rendezvous hashing.
#ifndef EELGRASSBRIDGE_BASE_HASH_HPP
#define EELGRASSBRIDGE_BASE_HASH_HPP

#include <cstdint>
#include <string_view>

#include "eelgrassbridge/base/identifier.hpp"

namespace eelgrassbridge::base {

/// @brief A 128-bit hash, for uses where a collision would cause a wrong
/// answer.
struct Hash128Value {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  // clang-tidy 14 takes the zero of a defaulted comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const Hash128Value&) const = default;
};

/// @brief Returns the 64-bit XXH3 hash.
std::uint64_t Hash64(std::string_view data, std::uint64_t seed = 0);

/// @brief Returns the 128-bit XXH3 hash.
Hash128Value Hash128(std::string_view data);

/// @brief Returns a member's score for an item. The item is assigned to the
/// member with the highest score (rendezvous hashing), so the loss of a member
/// moves only the items of that member.
std::uint64_t RendezvousScore(std::string_view item, DaemonId member);

}  // namespace eelgrassbridge::base

#endif  // EELGRASSBRIDGE_BASE_HASH_HPP
