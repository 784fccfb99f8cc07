// The demand over the key space, summed over what all owners publish.
//
// Each owner counts requests with the same exponential decay. After keys have
// moved, the counts of the former owner fall as those of the new one rise, so
// their sum is the demand at any time. A plan can therefore be made right after
// a move, without waiting until the counts have settled.
#ifndef EELGRASSBRIDGE_RANGES_DEMAND_PROFILE_HPP
#define EELGRASSBRIDGE_RANGES_DEMAND_PROFILE_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>

#include "eelgrassbridge/ranges/lease.hpp"
#include "eelgrassbridge/ranges/range_map.hpp"

namespace eelgrassbridge::ranges {

/// @brief Cumulative demand by bucket of neighbouring keys. Within a bucket the
/// demand counts as even.
struct DemandProfile {
  /// The buckets in which owners count requests.
  static constexpr std::size_t kBuckets = 1024;
  static constexpr std::uint32_t kKeysPerBucket = (kLastKey + 1) / kBuckets;

  /// Requests per second for all keys before a bucket; never decreases.
  std::array<double, kBuckets + 1> before{};
};

/// @brief Sums the demand that the owners publish. The demand of an owner whose
/// lease does not tell its parts is spread over its entries by its quantiles.
DemandProfile MakeDemandProfile(const RangeMap& map,
                                std::span<const LeaseRecord> live);

/// @brief Requests per second for the keys below `key`, which may be one above
/// the last key.
double DemandBefore(const DemandProfile& profile, std::uint32_t key);

/// @brief Requests per second for a range of keys.
double DemandIn(const DemandProfile& profile, const KeyRange& keys);

}  // namespace eelgrassbridge::ranges

#endif  // EELGRASSBRIDGE_RANGES_DEMAND_PROFILE_HPP
