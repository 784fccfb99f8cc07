// Commands from other threads of the daemon to the control thread.
#ifndef EELGRASSBRIDGE_DAEMON_CONTROL_COMMANDS_HPP
#define EELGRASSBRIDGE_DAEMON_CONTROL_COMMANDS_HPP

#include <future>
#include <memory>
#include <variant>

#include "eelgrassbridge/daemon/admin_messages.hpp"

namespace eelgrassbridge::daemon {

/// @brief Writes an operator's change as the next version of the catalogue.
struct ApplyCatalogueChange {
  CatalogueChange change;
  std::shared_ptr<std::promise<ChangeResult>> answer;
};

/// @brief Queries the status of the fleet, as known to this daemon.
struct QueryStatus {
  std::shared_ptr<std::promise<FleetStatus>> answer;
};

/// @brief Begins a planned stop: all groups are moved to other daemons.
struct StartDrain {};

/// @brief Queries whether the planned stop may proceed: this daemon owns no
/// group any more, or no other daemon can take its groups.
struct QueryDrained {
  std::shared_ptr<std::promise<bool>> answer;
};

/// @brief Announces to the fleet that this daemon leaves.
struct LeaveFleet {
  std::shared_ptr<std::promise<bool>> answer;
};

using ControlCommand = std::variant<ApplyCatalogueChange,
                                    QueryStatus,
                                    StartDrain,
                                    QueryDrained,
                                    LeaveFleet>;

}  // namespace eelgrassbridge::daemon

#endif  // EELGRASSBRIDGE_DAEMON_CONTROL_COMMANDS_HPP
