// Wraps the xxHash library.
#include "eelgrassbridge/base/hash.hpp"

#include <xxhash.h>

namespace eelgrassbridge::base {

std::uint64_t Hash64(std::string_view data, std::uint64_t seed) {
  return XXH3_64bits_withSeed(data.data(), data.size(), seed);
}

Hash128Value Hash128(std::string_view data) {
  const XXH128_hash_t hash = XXH3_128bits(data.data(), data.size());
  return {hash.high64, hash.low64};
}

std::uint64_t RendezvousScore(std::string_view item, DaemonId member) {
  return Hash64(item, member.value);
}

}  // namespace eelgrassbridge::base
