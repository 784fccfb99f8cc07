// Fleet status and metrics of the control thread.
#ifndef EELGRASSBRIDGE_DAEMON_CONTROL_STATUS_HPP
#define EELGRASSBRIDGE_DAEMON_CONTROL_STATUS_HPP

#include "eelgrassbridge/daemon/admin_messages.hpp"
#include "eelgrassbridge/daemon/control_state.hpp"

namespace eelgrassbridge::daemon {

/// @brief Returns the status of the fleet, as known to this daemon. Iterates
/// over all members and groups, so it is used only for operators' requests.
FleetStatus MakeFleetStatus(const ControlState& state);

/// @brief Copies the counters of the cores into the metrics.
void UpdateGauges(const ControlState& state);

}  // namespace eelgrassbridge::daemon

#endif  // EELGRASSBRIDGE_DAEMON_CONTROL_STATUS_HPP
