// Computes request deadlines and how much of the remaining time is passed on to
// the next hop.
#ifndef EELGRASSBRIDGE_ROUTING_DEADLINE_HPP
#define EELGRASSBRIDGE_ROUTING_DEADLINE_HPP

#include <optional>

#include "eelgrassbridge/base/time.hpp"
#include "eelgrassbridge/catalogue/catalogue.hpp"

namespace eelgrassbridge::routing {

struct DeadlineOptions {
  /// Subtracted at each forward, so that the response of the next hop arrives
  /// before this hop times out.
  base::Duration hop_margin{base::milliseconds{5}};
};

/// @brief Returns the deadline of a request: `now` plus the time that the
/// caller asked for, capped at the deadline of the request kind. Without a
/// requested time the deadline of the kind applies.
base::TimePoint DeadlineOf(std::optional<base::Duration> asked,
                           const catalogue::RequestKind& kind,
                           base::TimePoint now);

/// @brief Returns the time that the next hop may use: the remaining time less
/// the hop margin, or nullopt if less than 1 ms is left.
std::optional<base::Duration> TimeForNextHop(
    base::TimePoint deadline,
    base::TimePoint now,
    const DeadlineOptions& options = {});

/// @brief Returns the latest time at which the target may still run a request:
/// min(deadline, now + run limit, lease end + run limit) for divided services,
/// the request deadline otherwise.
base::TimePoint NotAfter(base::TimePoint deadline,
                         const catalogue::Service& service,
                         base::TimePoint lease_end,
                         base::TimePoint now);

}  // namespace eelgrassbridge::routing

#endif  // EELGRASSBRIDGE_ROUTING_DEADLINE_HPP
