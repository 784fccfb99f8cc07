// How the demand of an owner is spread over its keys, told by a few quantiles.
#ifndef EELGRASSBRIDGE_RANGES_DEMAND_HPP
#define EELGRASSBRIDGE_RANGES_DEMAND_HPP

#include <cstdint>
#include <span>
#include <vector>

#include "eelgrassbridge/ranges/lease.hpp"
#include "eelgrassbridge/ranges/range_map.hpp"

namespace eelgrassbridge::ranges {

/// @brief Keys that split the demand into `parts` about equal parts, in
/// ascending order. Each quantile is the start of a bucket of keys.
///
/// A bucket that takes several parts is told by its quantiles: one at its
/// start, so that the keys before it can be split off, and one for each further
/// part at its end.
/// @param counts Demand of consecutive buckets of equal size.
std::vector<std::uint32_t> QuantileKeys(std::span<const float> counts,
                                        std::uint32_t keys_per_bucket,
                                        std::uint32_t parts);

/// @brief Divides the demand into parts of about equal demand, in ascending
/// order, without long gaps that nobody asks for. A bucket that makes up a part
/// by itself is told alone.
/// @param counts Demand of consecutive buckets of equal size, in any unit.
/// @param rate Requests per second of all buckets together.
/// @return At most 96 parts, whose rates add up to nearly `rate`.
std::vector<DemandPart> DemandParts(std::span<const float> counts,
                                    std::uint32_t keys_per_bucket,
                                    double rate);

/// @brief Estimates the demand for a range of an owner's keys, in requests per
/// second. The range counts with each part of the demand that it touches.
double DemandOf(const OwnerLoad& load, const KeyRange& keys);

}  // namespace eelgrassbridge::ranges

#endif  // EELGRASSBRIDGE_RANGES_DEMAND_HPP
