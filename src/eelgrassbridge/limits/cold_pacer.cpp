// Spaces the start times of requests to a cold target.
#include "eelgrassbridge/limits/cold_pacer.hpp"

#include <algorithm>

namespace eelgrassbridge::limits {

std::optional<base::TimePoint> ReserveStart(ColdPacer& pacer,
                                            base::TimePoint now,
                                            base::TimePoint latest) {
  if (!IsCold(pacer, now)) {
    return now;
  }
  const base::TimePoint start = std::max(now, pacer.next_start);
  if (start > latest) {
    return std::nullopt;
  }
  const auto interval = base::Duration{static_cast<std::int64_t>(
      static_cast<double>(base::Duration{base::seconds{1}}.count()) /
      pacer.requests_per_second)};
  pacer.next_start = start + interval;
  return start;
}

}  // namespace eelgrassbridge::limits
