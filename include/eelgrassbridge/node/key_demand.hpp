// Demand for keys, counted by the daemon of their owner.
#ifndef EELGRASSBRIDGE_NODE_KEY_DEMAND_HPP
#define EELGRASSBRIDGE_NODE_KEY_DEMAND_HPP

#include "eelgrassbridge/node/node.hpp"
#include "eelgrassbridge/ranges/lease.hpp"

namespace eelgrassbridge::node {

void NoteArrival(KeyDemand& demand, std::uint32_t key, base::TimePoint now);

void NoteRunTime(KeyDemand& demand, base::Duration run_time);

/// @brief The load as the lease's row tells it.
ranges::OwnerLoad LoadOf(const KeyDemand& demand,
                         std::uint32_t slots,
                         base::TimePoint now);

}  // namespace eelgrassbridge::node

#endif  // EELGRASSBRIDGE_NODE_KEY_DEMAND_HPP
