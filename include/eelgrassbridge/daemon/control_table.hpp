// When control reads the table.
#ifndef EELGRASSBRIDGE_DAEMON_CONTROL_TABLE_HPP
#define EELGRASSBRIDGE_DAEMON_CONTROL_TABLE_HPP

#include "eelgrassbridge/daemon/control_state.hpp"

namespace eelgrassbridge::daemon {

/// @brief Reads the whole table until that succeeds once, then polls its
/// changes as the fallback of gossip.
void TickTable(ControlState& state, base::TimePoint now);

}  // namespace eelgrassbridge::daemon

#endif  // EELGRASSBRIDGE_DAEMON_CONTROL_TABLE_HPP
