// Forwarding of a request to another daemon over HTTP.
#ifndef EELGRASSBRIDGE_DAEMON_FORWARDER_HPP
#define EELGRASSBRIDGE_DAEMON_FORWARDER_HPP

#include "eelgrassbridge/daemon/planned_request.hpp"
#include "eelgrassbridge/daemon/request_context.hpp"

namespace eelgrassbridge::daemon {

/// @brief Sends the request on with one hop more and less time, and reads the
/// other daemon's answer.
CallerAnswer ForwardToPeer(RequestContext& context,
                           const PlannedRequest& planned,
                           const PeerView& peer);

}  // namespace eelgrassbridge::daemon

#endif  // EELGRASSBRIDGE_DAEMON_FORWARDER_HPP
