// Computes quantiles from counts, and demand from quantiles.
#include "eelgrassbridge/ranges/demand.hpp"

#include <algorithm>
#include <numeric>

namespace eelgrassbridge::ranges {

namespace {

/// Parts of equal demand; a part is then well below what one target serves.
constexpr double kEqualParts = 32;
/// A part ends before a gap of this many empty buckets, so that at most 32
/// parts end in this way.
constexpr std::size_t kGapBuckets = 32;
/// A bucket with a smaller fraction of the demand counts as empty: what remains
/// of decayed counts never reaches 0.
constexpr double kEmptyFraction = 1e-4;

/// A part of the demand that is being collected, in buckets.
struct OpenPart {
  std::size_t first = 0;
  std::size_t last = 0;
  double count = 0;
};

}  // namespace

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

std::vector<DemandPart> DemandParts(std::span<const float> counts,
                                    std::uint32_t keys_per_bucket,
                                    double rate) {
  std::vector<DemandPart> parts;
  const double total = std::accumulate(counts.begin(), counts.end(), 0.0);
  if (total <= 0) {
    return parts;
  }
  OpenPart open;
  const auto close = [&] {
    if (open.count > 0) {
      const auto first = static_cast<std::uint32_t>(open.first);
      const auto end = static_cast<std::uint32_t>(open.last + 1);
      parts.push_back({{first * keys_per_bucket, end * keys_per_bucket - 1},
                       open.count * rate / total});
    }
    open = OpenPart{};
  };
  for (std::size_t i = 0; i < counts.size(); ++i) {
    const double count = counts[i];
    if (count < total * kEmptyFraction) {
      continue;
    }
    if (count >= total / kEqualParts || i - open.last > kGapBuckets) {
      close();
    }
    open.first = open.count == 0 ? i : open.first;
    open.last = i;
    open.count += count;
    if (open.count >= total / kEqualParts) {
      close();
    }
  }
  close();
  return parts;
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
