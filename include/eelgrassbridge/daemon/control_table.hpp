// Schedules the control thread's reads of the table.
#ifndef EELGRASSBRIDGE_DAEMON_CONTROL_TABLE_HPP
#define EELGRASSBRIDGE_DAEMON_CONTROL_TABLE_HPP

#include "eelgrassbridge/daemon/control_state.hpp"

namespace eelgrassbridge::daemon {

/// @brief Requests a read of the whole table until one succeeds, then polls for
/// changes as a fallback for gossip.
void TickTable(ControlState& state, base::TimePoint now);

}  // namespace eelgrassbridge::daemon

#endif  // EELGRASSBRIDGE_DAEMON_CONTROL_TABLE_HPP
