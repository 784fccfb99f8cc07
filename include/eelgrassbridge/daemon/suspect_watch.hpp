// Finding out that a target died with a request in flight, and holding back
// requests that killed targets.
#ifndef EELGRASSBRIDGE_DAEMON_SUSPECT_WATCH_HPP
#define EELGRASSBRIDGE_DAEMON_SUSPECT_WATCH_HPP

#include "eelgrassbridge/daemon/caller_request.hpp"
#include "eelgrassbridge/daemon/request_context.hpp"

namespace eelgrassbridge::daemon {

/// @brief Fingerprint of a request, for the quarantine and the id record.
routing::Fingerprint FingerprintOf(const CallerRequest& request);

/// @brief What holds for the request now.
routing::PoisonVerdict SuspectVerdict(RequestContext& context,
                                      const CallerRequest& request);

/// @brief Starts the only run of a suspect here; false: one is running.
bool TryStartSuspectRun(RequestContext& context, const CallerRequest& request);
void EndSuspectRun(RequestContext& context,
                   const CallerRequest& request,
                   bool answered);

/// @brief After a lost answer: asks the target whether it is still the same
/// instance, and records a death if it is not. Returns whether it did.
bool CheckTargetDeath(RequestContext& context,
                      const RoutingView& view,
                      const CallerRequest& request,
                      std::string_view instance_before);

/// @brief A death that another daemon told with its answer (kTargetLost).
void RecordRemoteTargetDeath(RequestContext& context,
                             const CallerRequest& request,
                             const CallerAnswer& answer);

}  // namespace eelgrassbridge::daemon

#endif  // EELGRASSBRIDGE_DAEMON_SUSPECT_WATCH_HPP
