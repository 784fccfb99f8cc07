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

/// @brief Computes the load that the lease's row publishes.
ranges::OwnerLoad ComputeLoad(const KeyDemand& demand,
                              std::uint32_t slots,
                              base::TimePoint now);

}  // namespace eelgrassbridge::node

#endif  // EELGRASSBRIDGE_NODE_KEY_DEMAND_HPP
