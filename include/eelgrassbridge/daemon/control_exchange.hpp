// Exchange of request-path data with other daemons by gossip: demand of client
// accounts, suspect requests, and load.
#ifndef EELGRASSBRIDGE_DAEMON_CONTROL_EXCHANGE_HPP
#define EELGRASSBRIDGE_DAEMON_CONTROL_EXCHANGE_HPP

#include "eelgrassbridge/daemon/control_state.hpp"

namespace eelgrassbridge::daemon {

/// @brief Once a second, publishes the demand and the suspects of this daemon,
/// measures the load of the owned groups and of their busiest keys, and
/// publishes the sum of the load. New suspects are published at once.
void TickExchange(ControlState& state, base::TimePoint now);

/// @brief Called when a member joins, changes or leaves, which changes each
/// daemon's share of the limits.
void OnFleetChange(ControlState& state,
                   base::TimePoint now,
                   const membership::Member& member);

/// @brief Handlers for gossip items of other daemons.
void HandleDemandItem(ControlState& state,
                      base::TimePoint now,
                      const membership::GossipItem& item);
void HandleLoadItem(ControlState& state, const membership::GossipItem& item);
void HandleSuspectItem(ControlState& state,
                       base::TimePoint now,
                       const membership::GossipItem& item);

}  // namespace eelgrassbridge::daemon

#endif  // EELGRASSBRIDGE_DAEMON_CONTROL_EXCHANGE_HPP
