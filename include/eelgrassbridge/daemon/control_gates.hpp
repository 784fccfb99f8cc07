// The gates of the groups that this daemon owns. Only the control thread adds
// and removes gates.
#ifndef EELGRASSBRIDGE_DAEMON_CONTROL_GATES_HPP
#define EELGRASSBRIDGE_DAEMON_CONTROL_GATES_HPP

#include <memory>
#include <unordered_map>
#include <vector>

#include "eelgrassbridge/daemon/group_gate.hpp"
#include "eelgrassbridge/ownership/ownership_actions.hpp"

namespace eelgrassbridge::daemon {

/// @brief Open gates, and closed gates that still have requests in flight.
///
/// Invariant: a group counts as drained only when no request is in flight
/// through any gate that could have admitted its keys. These are its open and
/// closed gates and, for a hot key, the closed gates of its parent, through
/// which a request that uses an old routing view may have been admitted.
struct ControlGates {
  std::unordered_map<base::GroupId, std::shared_ptr<GroupGate>> open;
  std::vector<std::shared_ptr<GroupGate>> closed;
  /// Groups whose drain has begun and is not complete.
  std::vector<ownership::GroupEpoch> draining;
};

/// @brief Opens a gate. A gate of the group that is already open is closed, so
/// that requests with an old list of carved-out keys cannot enter.
void OpenGroupGate(ControlGates& gates, const ownership::OpenGate& action);

/// @brief Moves the lease end to a later time; an earlier one is ignored.
void ExtendGate(ControlGates& gates, const ownership::ExtendLease& action);

/// @brief Ends the lease at once and moves the gate to the closed gates.
void CloseGroupGate(ControlGates& gates, const ownership::GroupEpoch& group);

/// @brief Stops admission. TakeFinishedDrains returns the group once it has no
/// more requests in flight.
void BeginGateDrain(ControlGates& gates, const ownership::GroupEpoch& group);

/// @brief Returns the groups whose drain is complete, each of them once, and
/// removes closed gates without requests in flight.
std::vector<ownership::GroupEpoch> TakeFinishedDrains(ControlGates& gates);

}  // namespace eelgrassbridge::daemon

#endif  // EELGRASSBRIDGE_DAEMON_CONTROL_GATES_HPP
