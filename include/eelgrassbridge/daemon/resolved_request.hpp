// A parsed request together with the catalogue entries that apply to it.
#ifndef EELGRASSBRIDGE_DAEMON_RESOLVED_REQUEST_HPP
#define EELGRASSBRIDGE_DAEMON_RESOLVED_REQUEST_HPP

#include <atomic>
#include <optional>
#include <string>

#include "eelgrassbridge/base/time.hpp"
#include "eelgrassbridge/catalogue/catalogue.hpp"
#include "eelgrassbridge/daemon/caller_request.hpp"
#include "eelgrassbridge/daemon/interrupt.hpp"
#include "eelgrassbridge/limits/request_id.hpp"
#include "eelgrassbridge/routing/request_plan.hpp"
#include "eelgrassbridge/routing/target_choice.hpp"

namespace eelgrassbridge::daemon {

/// @brief Input of the attempts at one request. References the request and the
/// catalogue; the routing view that the handler holds keeps the catalogue
/// alive.
struct ResolvedRequest {
  const CallerRequest& request;
  routing::EntryFacts entry;
  std::string residency;
  std::optional<limits::RequestId> id;
  base::TimePoint deadline;
  /// Maximum distance of the targets that may be chosen.
  routing::Locality farthest = routing::Locality::kOtherRegion;
  /// Lets another thread cancel the attempt; may be null.
  Interrupt* interrupt = nullptr;
  /// Receives the id of the chosen target's daemon before the request is sent;
  /// may be null.
  std::atomic<std::uint64_t>* chosen_target = nullptr;
};

}  // namespace eelgrassbridge::daemon

#endif  // EELGRASSBRIDGE_DAEMON_RESOLVED_REQUEST_HPP
