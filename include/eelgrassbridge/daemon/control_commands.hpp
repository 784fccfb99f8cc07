// Commands to the control thread from other threads of the daemon.
#ifndef EELGRASSBRIDGE_DAEMON_CONTROL_COMMANDS_HPP
#define EELGRASSBRIDGE_DAEMON_CONTROL_COMMANDS_HPP

#include <future>
#include <memory>
#include <variant>

#include "eelgrassbridge/daemon/admin_messages.hpp"

namespace eelgrassbridge::daemon {

/// @brief Makes an operator's change the next version of the catalogue.
struct ApplyCatalogueChange {
  CatalogueChange change;
  std::shared_ptr<std::promise<ChangeResult>> answer;
};

/// @brief Asks for the fleet as this daemon knows it.
struct QueryStatus {
  std::shared_ptr<std::promise<FleetStatus>> answer;
};

/// @brief A planned stop begins: the groups are moved away.
struct StartDrain {};

/// @brief Asks whether the planned stop may go on: nothing is owned any more,
/// or nobody is left to move the groups to.
struct QueryDrained {
  std::shared_ptr<std::promise<bool>> answer;
};

/// @brief Tells the fleet that this daemon leaves.
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
