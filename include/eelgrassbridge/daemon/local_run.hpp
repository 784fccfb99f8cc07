// Serving a request at this daemon: suspects, request ids, the group's gate
// and the target, in this order.
#ifndef EELGRASSBRIDGE_DAEMON_LOCAL_RUN_HPP
#define EELGRASSBRIDGE_DAEMON_LOCAL_RUN_HPP

#include "eelgrassbridge/daemon/request_context.hpp"
#include "eelgrassbridge/daemon/resolved_request.hpp"

namespace eelgrassbridge::daemon {

/// @brief Runs the request on the target here, at most once for its id.
/// @param gate null for services that are not divided by key.
CallerAnswer ServeLocally(RequestContext& context,
                          const RoutingView& view,
                          const ResolvedRequest& resolved,
                          const routing::ServeHere& plan,
                          GroupGate* gate);

/// @brief The answer to a non-idempotent request without an id: not run, with
/// a fresh id to send it with.
CallerAnswer MakeIdRequiredAnswer(RequestContext& context,
                                  const RoutingView& view,
                                  const ResolvedRequest& resolved,
                                  const GroupGate* gate);

}  // namespace eelgrassbridge::daemon

#endif  // EELGRASSBRIDGE_DAEMON_LOCAL_RUN_HPP
