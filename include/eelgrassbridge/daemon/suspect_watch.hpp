// Detects that a target died while it ran a request, and quarantines requests
// that killed targets.
#ifndef EELGRASSBRIDGE_DAEMON_SUSPECT_WATCH_HPP
#define EELGRASSBRIDGE_DAEMON_SUSPECT_WATCH_HPP

#include "eelgrassbridge/daemon/caller_request.hpp"
#include "eelgrassbridge/daemon/request_context.hpp"

namespace eelgrassbridge::daemon {

/// @brief Returns the fingerprint under which the quarantine and the request-id
/// record identify a request.
routing::Fingerprint FingerprintOf(const CallerRequest& request);

/// @brief Returns whether the request is suspected or quarantined.
routing::PoisonVerdict SuspectVerdict(RequestContext& context,
                                      const CallerRequest& request);

/// @brief Starts a run of a suspect request. Returns false if one is already in
/// progress at this daemon; otherwise EndSuspectRun must follow.
bool TryStartSuspectRun(RequestContext& context, const CallerRequest& request);
void EndSuspectRun(RequestContext& context,
                   const CallerRequest& request,
                   bool answered);

/// @brief Checks after kTargetLost whether the target is still the same
/// instance, and records a death if it is not or does not answer. Returns
/// whether a death was recorded.
bool CheckTargetDeath(RequestContext& context,
                      const RoutingView& view,
                      const CallerRequest& request,
                      std::string_view instance_before);

/// @brief Records a target death that another daemon reported in its answer
/// (kTargetLost with Eelgrassbridge-Target-Run).
void RecordRemoteTargetDeath(RequestContext& context,
                             const CallerRequest& request,
                             const CallerAnswer& answer);

}  // namespace eelgrassbridge::daemon

#endif  // EELGRASSBRIDGE_DAEMON_SUSPECT_WATCH_HPP
