// One attempt at a request with the current routing view: collects the inputs
// of routing::PlanRequest and executes the resulting plan.
#ifndef EELGRASSBRIDGE_DAEMON_ATTEMPT_HPP
#define EELGRASSBRIDGE_DAEMON_ATTEMPT_HPP

#include <optional>
#include <span>

#include "eelgrassbridge/daemon/request_context.hpp"
#include "eelgrassbridge/daemon/resolved_request.hpp"
#include "eelgrassbridge/daemon/target_selection.hpp"

namespace eelgrassbridge::daemon {

/// @brief The answer to an attempt and the daemon whose target it was sent to,
/// if any.
struct Attempt {
  CallerAnswer answer;
  std::optional<base::DaemonId> target;
};

/// @brief Runs the request here if this daemon owns its key, otherwise forwards
/// it to the owner.
CallerAnswer AttemptDivided(RequestContext& context,
                            const RoutingView& view,
                            const ResolvedRequest& resolved);

/// @brief Sends the request to one target of an undivided service.
/// @param tried targets of earlier attempts, which are not chosen again.
Attempt AttemptUndivided(RequestContext& context,
                         const RoutingView& view,
                         const ResolvedRequest& resolved,
                         std::span<const base::DaemonId> tried);

}  // namespace eelgrassbridge::daemon

#endif  // EELGRASSBRIDGE_DAEMON_ATTEMPT_HPP
