// Spaces the start times of requests to a cold target.
#include "eelgrassbridge/limits/cold_pacer.hpp"

#include <algorithm>

namespace eelgrassbridge::limits {

namespace {

/// The rate of a cold target limits the requests in any span of this length.
constexpr base::Duration kPaceWindow = base::seconds{1};

}  // namespace

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

std::size_t SentInLastSecond(const ColdPacer& pacer, base::TimePoint now) {
  return static_cast<std::size_t>(std::ranges::count_if(
      pacer.sent,
      [now](base::TimePoint at) { return at + kPaceWindow > now; }));
}

std::size_t RecordSend(ColdPacer& pacer, base::TimePoint now) {
  while (!pacer.sent.empty() && pacer.sent.front() + kPaceWindow <= now) {
    pacer.sent.pop_front();
  }
  pacer.sent.push_back(now);
  return pacer.sent.size();
}

}  // namespace eelgrassbridge::limits
