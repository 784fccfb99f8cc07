// Sums the demand that owners publish.
#include "eelgrassbridge/ranges/demand_profile.hpp"

#include <algorithm>
#include <vector>

#include "eelgrassbridge/ranges/demand.hpp"

namespace eelgrassbridge::ranges {

namespace {

using Density = std::array<double, DemandProfile::kBuckets>;

/// Spreads demand evenly over a range of keys.
void AddDemand(Density& density, const KeyRange& keys, double rate) {
  constexpr std::uint32_t kWidth = DemandProfile::kKeysPerBucket;
  const double per_key = rate / SizeOf(keys);
  for (std::uint32_t i = keys.first / kWidth; i <= keys.last / kWidth; ++i) {
    const std::uint32_t first = std::max(keys.first, i * kWidth);
    const std::uint32_t last = std::min(keys.last, i * kWidth + kWidth - 1);
    density[i] += per_key * (last - first + 1);
  }
}

/// Adds the demand of an owner whose lease tells quantiles only.
void AddByQuantiles(Density& density,
                    const RangeMap& map,
                    const LeaseRecord& lease) {
  std::vector<DemandPart> parts;
  double total = 0;
  for (const RangeEntry& entry : map.entries) {
    if (entry.owner.daemon == lease.owner.daemon) {
      parts.push_back({entry.keys, DemandOf(lease.load, entry.keys)});
      total += parts.back().requests_per_second;
    }
  }
  for (const DemandPart& part : parts) {
    if (total > 0) {
      AddDemand(
          density, part.keys,
          part.requests_per_second * lease.load.requests_per_second / total);
    }
  }
}

}  // namespace

DemandProfile MakeDemandProfile(const RangeMap& map,
                                std::span<const LeaseRecord> live) {
  Density density{};
  for (const LeaseRecord& lease : live) {
    if (lease.load.parts.empty()) {
      AddByQuantiles(density, map, lease);
    }
    for (const DemandPart& part : lease.load.parts) {
      AddDemand(density, part.keys, part.requests_per_second);
    }
  }
  DemandProfile profile;
  for (std::size_t i = 0; i < density.size(); ++i) {
    profile.before[i + 1] = profile.before[i] + density[i];
  }
  return profile;
}

double DemandBefore(const DemandProfile& profile, std::uint32_t key) {
  const std::uint32_t bucket = key / DemandProfile::kKeysPerBucket;
  if (bucket >= DemandProfile::kBuckets) {
    return profile.before.back();
  }
  const double fraction =
      static_cast<double>(key % DemandProfile::kKeysPerBucket) /
      DemandProfile::kKeysPerBucket;
  return profile.before[bucket] +
         (profile.before[bucket + 1] - profile.before[bucket]) * fraction;
}

double DemandIn(const DemandProfile& profile, const KeyRange& keys) {
  return DemandBefore(profile, keys.last + 1) -
         DemandBefore(profile, keys.first);
}

}  // namespace eelgrassbridge::ranges
