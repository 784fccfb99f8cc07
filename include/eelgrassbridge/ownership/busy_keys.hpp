// The busiest keys of one group, counted in bounded memory (Space-Saving of
// Metwally, Agrawal and El Abbadi, 2005).
#ifndef EELGRASSBRIDGE_OWNERSHIP_BUSY_KEYS_HPP
#define EELGRASSBRIDGE_OWNERSHIP_BUSY_KEYS_HPP

#include <array>
#include <cstdint>
#include <vector>

namespace eelgrassbridge::ownership {

/// @brief Request counts of the busiest keys in one interval.
///
/// Invariants: the counts add up to `total`; a key with more than
/// total / kEntries requests has an entry; the count of an entry is at least
/// the number of requests of its key, and above it by at most total / kEntries.
struct BusyKeys {
  /// 1/32 is well below the share of 20 % at which a key counts as hot, and
  /// the hashes fit into four cache lines.
  static constexpr std::uint32_t kEntries = 32;

  /// Stored apart from the counts, so that a look-up reads only hashes.
  std::array<std::uint64_t, kEntries> hashes{};
  std::array<std::uint32_t, kEntries> counts{};
  std::uint32_t used = 0;
  std::uint32_t total = 0;
};

/// @brief Counts one request of that key.
void CountKey(BusyKeys& keys, std::uint64_t key_hash);

struct KeyShare {
  std::uint64_t key_hash = 0;
  /// Share of the requests counted, rounded up by at most 1/kEntries.
  double share = 0;
};

/// @brief The keys with a share of more than 1/kEntries, busiest first.
std::vector<KeyShare> BusiestKeys(const BusyKeys& keys);

}  // namespace eelgrassbridge::ownership

#endif  // EELGRASSBRIDGE_OWNERSHIP_BUSY_KEYS_HPP
