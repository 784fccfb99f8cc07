// Deadlines that shrink at each hop.
#ifndef EELGRASSBRIDGE_ROUTING_DEADLINE_HPP
#define EELGRASSBRIDGE_ROUTING_DEADLINE_HPP

#include <optional>

#include "eelgrassbridge/base/time.hpp"
#include "eelgrassbridge/catalogue/catalogue.hpp"

namespace eelgrassbridge::routing {

struct DeadlineOptions {
  /// Taken off at each forward, so that the answer of the next hop arrives
  /// before this hop gives up.
  base::Duration hop_margin{base::milliseconds{5}};
};

/// @brief Deadline of a request: what the caller asked for, at most the
/// deadline of its kind.
base::TimePoint DeadlineOf(std::optional<base::Duration> asked,
                           const catalogue::RequestKind& kind,
                           base::TimePoint now);

/// @brief Time to grant to the next hop; none if none is left.
std::optional<base::Duration> TimeForNextHop(
    base::TimePoint deadline,
    base::TimePoint now,
    const DeadlineOptions& options = {});

/// @brief Latest time at which the target may still run a request:
/// min(deadline, now + run limit, lease end + run limit) for divided services,
/// the request deadline otherwise.
base::TimePoint NotAfter(base::TimePoint deadline,
                         const catalogue::Service& service,
                         base::TimePoint lease_end,
                         base::TimePoint now);

}  // namespace eelgrassbridge::routing

#endif  // EELGRASSBRIDGE_ROUTING_DEADLINE_HPP
