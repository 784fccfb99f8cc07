// Answers of the control thread about the fleet, and its gauges.
#ifndef EELGRASSBRIDGE_DAEMON_CONTROL_STATUS_HPP
#define EELGRASSBRIDGE_DAEMON_CONTROL_STATUS_HPP

#include "eelgrassbridge/daemon/admin_messages.hpp"
#include "eelgrassbridge/daemon/control_state.hpp"

namespace eelgrassbridge::daemon {

/// @brief The fleet as this daemon knows it. Looks at all members and rows;
/// for operators only.
FleetStatus StatusOf(const ControlState& state);

/// @brief Copies the counters of the cores to the metrics.
void UpdateGauges(const ControlState& state);

}  // namespace eelgrassbridge::daemon

#endif  // EELGRASSBRIDGE_DAEMON_CONTROL_STATUS_HPP
