// Choice among the targets of an undivided service, kept current with the
// routing view.
#ifndef EELGRASSBRIDGE_DAEMON_TARGET_SELECTION_HPP
#define EELGRASSBRIDGE_DAEMON_TARGET_SELECTION_HPP

#include <optional>
#include <span>

#include "eelgrassbridge/daemon/request_context.hpp"
#include "eelgrassbridge/daemon/resolved_request.hpp"

namespace eelgrassbridge::daemon {

/// @brief The daemon whose target should run the request; none if no target
/// may take it.
std::optional<base::DaemonId> SelectTarget(
    RequestContext& context,
    const RoutingView& view,
    const ResolvedRequest& resolved,
    std::span<const base::DaemonId> exclude,
    routing::Locality farthest = routing::Locality::kOtherRegion);

/// @brief Daemons that may run a request of that service and residency, this
/// one included.
std::vector<base::DaemonId> EligibleDaemons(const RequestContext& context,
                                            const RoutingView& view,
                                            const ResolvedRequest& resolved);

/// @brief Tells the choice that a request goes to that daemon. Only a first
/// attempt earns retry budget.
void RecordAttempt(RequestContext& context,
                   const ResolvedRequest& resolved,
                   base::DaemonId target,
                   bool is_first);

/// @brief Tells the choice how it ended; once for each RecordAttempt.
void RecordAttemptEnd(RequestContext& context,
                      const ResolvedRequest& resolved,
                      base::DaemonId target,
                      const CallerAnswer& answer,
                      base::Duration latency);

/// @brief Whether the retry budget allows one more attempt elsewhere after a
/// failed or slow attempt at that target.
bool TakeRetry(RequestContext& context,
               const ResolvedRequest& resolved,
               base::DaemonId failed_target);

}  // namespace eelgrassbridge::daemon

#endif  // EELGRASSBRIDGE_DAEMON_TARGET_SELECTION_HPP
