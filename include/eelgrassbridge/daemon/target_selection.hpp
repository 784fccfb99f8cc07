// Selects among the targets of an undivided service. The tables of targets are
// rebuilt when the routing view changes.
#ifndef EELGRASSBRIDGE_DAEMON_TARGET_SELECTION_HPP
#define EELGRASSBRIDGE_DAEMON_TARGET_SELECTION_HPP

#include <optional>
#include <span>

#include "eelgrassbridge/daemon/request_context.hpp"
#include "eelgrassbridge/daemon/resolved_request.hpp"

namespace eelgrassbridge::daemon {

/// @brief Returns the daemon whose target should run the request, or nullopt if
/// no target is available.
/// @param exclude daemons that must not be chosen.
std::optional<base::DaemonId> SelectTarget(
    RequestContext& context,
    const RoutingView& view,
    const ResolvedRequest& resolved,
    std::span<const base::DaemonId> exclude,
    routing::Locality farthest = routing::Locality::kOtherRegion);

/// @brief Returns the daemons that may run a request of that service and
/// residency, including this one.
std::vector<base::DaemonId> EligibleDaemons(const RequestContext& context,
                                            const RoutingView& view,
                                            const ResolvedRequest& resolved);

/// @brief Records that a request is sent to that daemon. Only first attempts
/// add to the retry budget.
void RecordAttempt(RequestContext& context,
                   const ResolvedRequest& resolved,
                   base::DaemonId target,
                   bool is_first);

/// @brief Records how an attempt ended. Must be called once for each
/// RecordAttempt.
void RecordAttemptEnd(RequestContext& context,
                      const ResolvedRequest& resolved,
                      base::DaemonId target,
                      const CallerAnswer& answer,
                      base::Duration latency);

/// @brief Takes one attempt at another target from the retry budget after a
/// failed or slow attempt at `failed_target`. Returns false if the budget is
/// exhausted.
bool TakeRetry(RequestContext& context,
               const ResolvedRequest& resolved,
               base::DaemonId failed_target);

}  // namespace eelgrassbridge::daemon

#endif  // EELGRASSBRIDGE_DAEMON_TARGET_SELECTION_HPP
