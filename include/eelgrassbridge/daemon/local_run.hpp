// Runs a request on the local target: enters the group's gate, looks up the
// request id and lets requests that are suspected of killing targets run one at
// a time.
#ifndef EELGRASSBRIDGE_DAEMON_LOCAL_RUN_HPP
#define EELGRASSBRIDGE_DAEMON_LOCAL_RUN_HPP

#include "eelgrassbridge/daemon/request_context.hpp"
#include "eelgrassbridge/daemon/resolved_request.hpp"

namespace eelgrassbridge::daemon {

/// @brief Runs the request on the local target, at most once for each request
/// id.
/// @param gate null for services that are not divided by key.
CallerAnswer ServeLocally(RequestContext& context,
                          const RoutingView& view,
                          const ResolvedRequest& resolved,
                          const routing::ServeHere& plan,
                          GroupGate* gate);

/// @brief Refuses a non-idempotent request that has no id (kIdRequired, not
/// run). The answer contains a new id for the caller to send it with.
CallerAnswer MakeIdRequiredAnswer(RequestContext& context,
                                  const RoutingView& view,
                                  const ResolvedRequest& resolved,
                                  const GroupGate* gate);

}  // namespace eelgrassbridge::daemon

#endif  // EELGRASSBRIDGE_DAEMON_LOCAL_RUN_HPP
