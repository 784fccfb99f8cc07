// When the snapshot object is written and loaded, and what is taken from it.
//
// A loaded snapshot fills the routing view and the catalogue only. Its rows
// reach the ownership core after the table has answered with the changes since,
// and then as rows that were heard, never as rows that were read.
#ifndef EELGRASSBRIDGE_DAEMON_CONTROL_SNAPSHOT_HPP
#define EELGRASSBRIDGE_DAEMON_CONTROL_SNAPSHOT_HPP

#include "eelgrassbridge/daemon/control_state.hpp"

namespace eelgrassbridge::daemon {

/// @brief Asks for a write by the alive daemon with the lowest id, or for the
/// object by a daemon whose first read of the table failed or takes long.
void TickSnapshot(ControlState& state, base::TimePoint now);

void OnSnapshotResult(ControlState& state,
                      base::TimePoint now,
                      SnapshotResult result);

}  // namespace eelgrassbridge::daemon

#endif  // EELGRASSBRIDGE_DAEMON_CONTROL_SNAPSHOT_HPP
