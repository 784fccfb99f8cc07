// Computes quantiles from counts, and demand from quantiles.
#include "eelgrassbridge/ranges/demand.hpp"

#include <algorithm>
#include <numeric>

namespace eelgrassbridge::ranges {

std::vector<std::uint32_t> QuantileKeys(std::span<const float> counts,
                                        std::uint32_t keys_per_bucket,
                                        std::uint32_t parts) {
  std::vector<std::uint32_t> keys;
  const double total = std::accumulate(counts.begin(), counts.end(), 0.0);
  if (total <= 0) {
    return keys;
  }
  double cumulative = 0;
  std::uint32_t start = 0;
  for (const float count : counts) {
    cumulative += count;
    const std::uint32_t end = std::min(start + keys_per_bucket, kLastKey);
    // Number of parts that end within this bucket or before.
    const auto ended = std::min(
        parts - 1, static_cast<std::uint32_t>(cumulative * parts / total));
    const bool takes_several = ended >= keys.size() + 2;
    if (takes_several && start > 0 && (keys.empty() || keys.back() < start)) {
      keys.push_back(start);
    }
    while (keys.size() < ended) {
      keys.push_back(end);
    }
    start = end;
  }
  return keys;
}

double DemandOf(const OwnerLoad& load, const KeyRange& keys) {
  const std::uint32_t end = keys.last + 1;
  const auto parts = static_cast<double>(load.quantiles.size() + 1);
  const auto ended =
      std::ranges::count_if(load.quantiles, [&keys, end](std::uint32_t key) {
        return keys.first < key && key <= end;
      });
  const bool ends_with_part =
      std::ranges::find(load.quantiles, end) != load.quantiles.end();
  return load.requests_per_second *
         static_cast<double>(ended + (ends_with_part ? 0 : 1)) / parts;
}

}  // namespace eelgrassbridge::ranges
