// The way of one caller's request through this daemon.
#ifndef EELGRASSBRIDGE_DAEMON_REQUEST_HANDLER_HPP
#define EELGRASSBRIDGE_DAEMON_REQUEST_HANDLER_HPP

#include "eelgrassbridge/daemon/caller_request.hpp"
#include "eelgrassbridge/daemon/request_context.hpp"

namespace eelgrassbridge::daemon {

/// @brief Checks, routes and runs a request; every path ends in exactly one
/// outcome.
CallerAnswer HandleRequest(RequestContext& context, CallerRequest request);

}  // namespace eelgrassbridge::daemon

#endif  // EELGRASSBRIDGE_DAEMON_REQUEST_HANDLER_HPP
