// Forwards a request to another daemon over HTTP.
#ifndef EELGRASSBRIDGE_DAEMON_FORWARDER_HPP
#define EELGRASSBRIDGE_DAEMON_FORWARDER_HPP

#include "eelgrassbridge/daemon/request_context.hpp"
#include "eelgrassbridge/daemon/resolved_request.hpp"

namespace eelgrassbridge::daemon {

/// @brief Forwards the request with an incremented hop count and a shorter
/// deadline, and returns the other daemon's answer.
CallerAnswer ForwardToPeer(RequestContext& context,
                           const ResolvedRequest& resolved,
                           const PeerView& peer);

}  // namespace eelgrassbridge::daemon

#endif  // EELGRASSBRIDGE_DAEMON_FORWARDER_HPP
