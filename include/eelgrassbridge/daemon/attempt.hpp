// One attempt at a request with the view of this moment: gathers the facts,
// asks for the plan and carries it out.
#ifndef EELGRASSBRIDGE_DAEMON_ATTEMPT_HPP
#define EELGRASSBRIDGE_DAEMON_ATTEMPT_HPP

#include <optional>
#include <span>

#include "eelgrassbridge/daemon/request_context.hpp"
#include "eelgrassbridge/daemon/resolved_request.hpp"
#include "eelgrassbridge/daemon/target_selection.hpp"

namespace eelgrassbridge::daemon {

/// @brief An attempt's answer and the daemon whose target was asked, if any.
struct Attempt {
  CallerAnswer answer;
  std::optional<base::DaemonId> target;
};

/// @brief Serves the key here if this daemon owns it, or asks its owner.
CallerAnswer AttemptDivided(RequestContext& context,
                            const RoutingView& view,
                            const ResolvedRequest& resolved);

/// @brief Asks one target of an undivided service that was not tried yet.
Attempt AttemptUndivided(RequestContext& context,
                         const RoutingView& view,
                         const ResolvedRequest& resolved,
                         std::span<const base::DaemonId> tried);

}  // namespace eelgrassbridge::daemon

#endif  // EELGRASSBRIDGE_DAEMON_ATTEMPT_HPP
