// Forwarding of a request to another daemon over HTTP.
#ifndef EELGRASSBRIDGE_DAEMON_FORWARDER_HPP
#define EELGRASSBRIDGE_DAEMON_FORWARDER_HPP

#include "eelgrassbridge/daemon/request_context.hpp"
#include "eelgrassbridge/daemon/resolved_request.hpp"

namespace eelgrassbridge::daemon {

/// @brief Sends the request on with one hop more and less time, and reads the
/// other daemon's answer.
CallerAnswer ForwardToPeer(RequestContext& context,
                           const ResolvedRequest& resolved,
                           const PeerView& peer);

}  // namespace eelgrassbridge::daemon

#endif  // EELGRASSBRIDGE_DAEMON_FORWARDER_HPP
