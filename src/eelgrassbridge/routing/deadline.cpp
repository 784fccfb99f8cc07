// Arithmetic of deadlines, hop margins and run limits.
#include "eelgrassbridge/routing/deadline.hpp"

#include <algorithm>

namespace eelgrassbridge::routing {

base::TimePoint DeadlineOf(std::optional<base::Duration> asked,
                           const catalogue::RequestKind& kind,
                           base::TimePoint now) {
  return now + std::clamp(asked.value_or(kind.deadline), base::Duration{0},
                          kind.deadline);
}

std::optional<base::Duration> TimeForNextHop(base::TimePoint deadline,
                                             base::TimePoint now,
                                             const DeadlineOptions& options) {
  const base::Duration left = deadline - now - options.hop_margin;
  // Deadlines are sent in whole milliseconds, so less than one cannot be
  // expressed.
  if (left < base::milliseconds{1}) {
    return std::nullopt;
  }
  return left;
}

base::TimePoint NotAfter(base::TimePoint deadline,
                         const catalogue::Service& service,
                         base::TimePoint lease_end,
                         base::TimePoint now) {
  if (!service.divided_by_key) {
    return deadline;
  }
  return std::min(
      {deadline, now + service.run_limit, lease_end + service.run_limit});
}

}  // namespace eelgrassbridge::routing
