// Entry point for requests: parses, routes and runs one caller's request.
#ifndef EELGRASSBRIDGE_DAEMON_REQUEST_HANDLER_HPP
#define EELGRASSBRIDGE_DAEMON_REQUEST_HANDLER_HPP

#include "eelgrassbridge/daemon/caller_request.hpp"
#include "eelgrassbridge/daemon/request_context.hpp"

namespace eelgrassbridge::daemon {

/// @brief Handles a request from parsing to its answer. Records latency and
/// exactly one outcome.
CallerAnswer HandleRequest(RequestContext& context, CallerRequest request);

}  // namespace eelgrassbridge::daemon

#endif  // EELGRASSBRIDGE_DAEMON_REQUEST_HANDLER_HPP
