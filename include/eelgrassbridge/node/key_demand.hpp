// Request rate by key and run times, recorded by the daemon that owns the keys
// and published in its lease for range planning.
#ifndef EELGRASSBRIDGE_NODE_KEY_DEMAND_HPP
#define EELGRASSBRIDGE_NODE_KEY_DEMAND_HPP

#include "eelgrassbridge/node/node.hpp"
#include "eelgrassbridge/ranges/lease.hpp"

namespace eelgrassbridge::node {

/// @brief Counts a request for the key.
void RecordArrival(KeyDemand& demand, std::uint32_t key, base::TimePoint now);

/// @brief Adds the run time of an answered request to the moving mean.
void RecordRunTime(KeyDemand& demand, base::Duration run_time);

/// @brief Adds the run time of an answered request of a warm target to the mean
/// from which the target's capacity is computed.
void RecordSteadyRunTime(KeyDemand& demand,
                         base::Duration run_time,
                         base::TimePoint now);

/// @brief Counts a request that was refused because the target was full. It has
/// been counted as an arrival.
void RecordRefusal(KeyDemand& demand);

/// @brief Whether the load has changed so much since the last renewal of the
/// lease that a renewal is due before its time: requests were refused since.
bool IsLoadNews(const KeyDemand& demand, base::TimePoint now);

/// @brief Computes the load that the lease's row publishes.
ranges::OwnerLoad ComputeLoad(const KeyDemand& demand,
                              std::uint32_t slots,
                              base::TimePoint now);

/// @brief Computes the load including what is published only where limits are
/// adaptive.
/// @param usable_slots Concurrent requests that the target handles well.
ranges::OwnerLoad ComputeAdaptiveLoad(const KeyDemand& demand,
                                      std::uint32_t slots,
                                      std::uint32_t usable_slots,
                                      base::TimePoint now);

}  // namespace eelgrassbridge::node

#endif  // EELGRASSBRIDGE_NODE_KEY_DEMAND_HPP
