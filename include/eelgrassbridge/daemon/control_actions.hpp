// Carrying out of what the cores ask for.
#ifndef EELGRASSBRIDGE_DAEMON_CONTROL_ACTIONS_HPP
#define EELGRASSBRIDGE_DAEMON_CONTROL_ACTIONS_HPP

#include "eelgrassbridge/daemon/control_state.hpp"

namespace eelgrassbridge::daemon {

/// @brief Where a changed row came from. Only rows that this daemon wrote are
/// put on the gossip channel by it: rows heard there are on it already, and a
/// full read of the table would put every row on it.
enum class RowSource : std::uint8_t { kOwnWrite, kElsewhere };

/// @brief Carries out actions of the ownership core, in their order.
void CarryOut(ControlState& state,
              base::TimePoint now,
              const ownership::Actions& actions,
              RowSource source);

/// @brief Carries out actions of the membership core, in their order.
void CarryOut(ControlState& state,
              base::TimePoint now,
              const membership::Actions& actions);

/// @brief An item that came with gossip or with the answer to a join.
void TakeItem(ControlState& state,
              base::TimePoint now,
              base::DaemonId from,
              const membership::GossipItem& item);

/// @brief Lets the next gossip round begin soon, for news that callers wait
/// for.
void HastenGossip(ControlState& state, base::TimePoint now);

}  // namespace eelgrassbridge::daemon

#endif  // EELGRASSBRIDGE_DAEMON_CONTROL_ACTIONS_HPP
