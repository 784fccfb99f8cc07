// Schedules writes and loads of the snapshot object, and applies a loaded one.
//
// A loaded snapshot fills only the routing view and the catalogue. Its rows are
// passed to the ownership core after the table has returned the changes since
// the snapshot, and then as rows received from peers, never as rows read from
// the table.
#ifndef EELGRASSBRIDGE_DAEMON_CONTROL_SNAPSHOT_HPP
#define EELGRASSBRIDGE_DAEMON_CONTROL_SNAPSHOT_HPP

#include "eelgrassbridge/daemon/control_state.hpp"

namespace eelgrassbridge::daemon {

/// @brief Requests a write if this is the alive daemon with the lowest id, or a
/// load if the first read of the table failed or takes too long.
void TickSnapshot(ControlState& state, base::TimePoint now);

void OnSnapshotResult(ControlState& state,
                      base::TimePoint now,
                      SnapshotResult result);

}  // namespace eelgrassbridge::daemon

#endif  // EELGRASSBRIDGE_DAEMON_CONTROL_SNAPSHOT_HPP
