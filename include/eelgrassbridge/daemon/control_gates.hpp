// The gates of the groups that this daemon owns; only control changes the set.
#ifndef EELGRASSBRIDGE_DAEMON_CONTROL_GATES_HPP
#define EELGRASSBRIDGE_DAEMON_CONTROL_GATES_HPP

#include <memory>
#include <unordered_map>
#include <vector>

#include "eelgrassbridge/daemon/group_gate.hpp"
#include "eelgrassbridge/ownership/ownership_actions.hpp"

namespace eelgrassbridge::daemon {

/// @brief Open gates, and closed ones that requests are still inside of.
///
/// Invariant: a group counts as drained only when no request is in flight
/// through any gate that could have admitted its keys: its own gates, also the
/// closed ones, and for a hot key the closed gates of its parent, since a
/// request that holds an old routing view may have entered there.
struct ControlGates {
  std::unordered_map<base::GroupId, std::shared_ptr<GroupGate>> open;
  std::vector<std::shared_ptr<GroupGate>> closed;
  /// Groups for which a drain has begun.
  std::vector<ownership::GroupEpoch> draining;
};

/// @brief Opens a gate. An open gate of the group is closed first, so that
/// requests which do not know the list of carved-out keys cannot enter.
void OpenGroupGate(ControlGates& gates, const ownership::OpenGate& action);

/// @brief Moves the lease end forward.
void ExtendGate(ControlGates& gates, const ownership::ExtendLease& action);

/// @brief Ends the lease at once and takes the gate off the open ones.
void CloseGroupGate(ControlGates& gates, const ownership::GroupEpoch& group);

/// @brief Stops admission; FinishedDrains names the group once it is empty.
void BeginGateDrain(ControlGates& gates, const ownership::GroupEpoch& group);

/// @brief Groups whose drain is complete; each is named once.
std::vector<ownership::GroupEpoch> TakeFinishedDrains(ControlGates& gates);

}  // namespace eelgrassbridge::daemon

#endif  // EELGRASSBRIDGE_DAEMON_CONTROL_GATES_HPP
