// Rate of requests that a cold target bears. A target that gets more crashes,
// so requests are spaced and those that would wait too long are refused.
#ifndef EELGRASSBRIDGE_LIMITS_COLD_PACER_HPP
#define EELGRASSBRIDGE_LIMITS_COLD_PACER_HPP

#include <optional>

#include "eelgrassbridge/base/time.hpp"

namespace eelgrassbridge::limits {

struct ColdPacer {
  /// Zero: no limit.
  double requests_per_second = 0;
  base::TimePoint cold_until{};
  /// Earliest start of the next request.
  base::TimePoint next_start{};
};

/// @brief The time at which a request may start, which it takes; none if that
/// is later than `latest`.
std::optional<base::TimePoint> ReserveStart(ColdPacer& pacer,
                                            base::TimePoint now,
                                            base::TimePoint latest);

inline bool IsCold(const ColdPacer& pacer, base::TimePoint now) {
  return pacer.requests_per_second > 0 && now < pacer.cold_until;
}

}  // namespace eelgrassbridge::limits

#endif  // EELGRASSBRIDGE_LIMITS_COLD_PACER_HPP
