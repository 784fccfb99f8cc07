// A request with all that the catalogue says about it.
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

/// @brief Borrowed for the time of one request; the catalogue is kept alive by
/// the view that the handler holds.
struct ResolvedRequest {
  const CallerRequest& request;
  routing::EntryFacts entry;
  std::string residency;
  std::optional<limits::RequestId> id;
  base::TimePoint deadline;
  /// Farthest targets that may be chosen.
  routing::Locality farthest = routing::Locality::kOtherRegion;
  /// Lets another thread cancel the attempt; may be null.
  Interrupt* interrupt = nullptr;
  /// Where the chosen target's daemon is told before it is asked; may be null.
  std::atomic<std::uint64_t>* chosen_target = nullptr;
};

}  // namespace eelgrassbridge::daemon

#endif  // EELGRASSBRIDGE_DAEMON_RESOLVED_REQUEST_HPP
