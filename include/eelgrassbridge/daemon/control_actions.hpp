// Execution of the actions that the ownership and membership cores return.
#ifndef EELGRASSBRIDGE_DAEMON_CONTROL_ACTIONS_HPP
#define EELGRASSBRIDGE_DAEMON_CONTROL_ACTIONS_HPP

#include "eelgrassbridge/daemon/control_state.hpp"

namespace eelgrassbridge::daemon {

/// @brief Where a changed row came from. A daemon starts gossip only about rows
/// that it wrote itself: rows received by gossip are already being spread, and
/// after a full read of the table it would gossip every row.
enum class RowSource : std::uint8_t { kOwnWrite, kOther };

/// @brief Executes actions of the ownership core in order.
void CarryOut(ControlState& state,
              base::TimePoint now,
              const ownership::Actions& actions,
              RowSource source);

/// @brief Executes actions of the membership core in order.
void CarryOut(ControlState& state,
              base::TimePoint now,
              const membership::Actions& actions);

/// @brief Handles an item received in a gossip message or in a join reply.
void HandleGossipItem(ControlState& state,
                      base::TimePoint now,
                      base::DaemonId from,
                      const membership::GossipItem& item);

/// @brief Moves the next gossip round to at most 100 ms from now, for changes
/// that requests of callers depend on.
void ScheduleGossip(ControlState& state, base::TimePoint now);

}  // namespace eelgrassbridge::daemon

#endif  // EELGRASSBRIDGE_DAEMON_CONTROL_ACTIONS_HPP
