// Counts requests per key and selects the busiest keys.
#include "eelgrassbridge/ownership/busy_keys.hpp"

#include <algorithm>
#include <functional>
#include <limits>

namespace eelgrassbridge::ownership {

void CountKey(BusyKeys& keys, std::uint64_t key_hash) {
  if (keys.total == std::numeric_limits<std::uint32_t>::max()) {
    return;
  }
  ++keys.total;
  const auto end = keys.hashes.begin() + keys.used;
  const auto known = std::find(keys.hashes.begin(), end, key_hash);
  if (known != end) {
    ++keys.counts[static_cast<std::size_t>(known - keys.hashes.begin())];
    return;
  }
  if (keys.used < BusyKeys::kEntries) {
    keys.hashes[keys.used] = key_hash;
    keys.counts[keys.used] = 1;
    ++keys.used;
    return;
  }
  const auto least = static_cast<std::size_t>(
      std::ranges::min_element(keys.counts) - keys.counts.begin());
  keys.hashes[least] = key_hash;
  ++keys.counts[least];
}

std::vector<KeyShare> BusiestKeys(const BusyKeys& keys) {
  std::vector<KeyShare> busiest;
  for (std::uint32_t i = 0; i < keys.used; ++i) {
    const double share = static_cast<double>(keys.counts[i]) / keys.total;
    if (share > 1.0 / BusyKeys::kEntries) {
      busiest.push_back({keys.hashes[i], share});
    }
  }
  std::ranges::sort(busiest, std::greater{}, &KeyShare::share);
  return busiest;
}

}  // namespace eelgrassbridge::ownership
