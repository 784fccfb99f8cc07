// How many requests per second an owner handles well, from what it publishes.
#ifndef EELGRASSBRIDGE_RANGES_CAPACITY_HPP
#define EELGRASSBRIDGE_RANGES_CAPACITY_HPP

#include <span>

#include "eelgrassbridge/ranges/lease.hpp"

namespace eelgrassbridge::ranges {

/// @brief Run time to assume for an owner that has had too few runs to tell its
/// own: the median of the others, or `fallback_seconds` if none tells one.
double UsualRunSeconds(std::span<const LeaseRecord> live,
                       double fallback_seconds);

/// @brief Requests per second that an owner handles well; more than 0.
///
/// It is the usable slots (the learned limit if there is one) divided by the
/// run time. While the owner refuses a part of its requests that matters, what
/// it serves is what it can serve; bursts make the owner refuse some requests
/// below its capacity, so this counts down to half of the former figure.
double CapacityOf(const OwnerLoad& load, double usual_run_seconds);

}  // namespace eelgrassbridge::ranges

#endif  // EELGRASSBRIDGE_RANGES_CAPACITY_HPP
