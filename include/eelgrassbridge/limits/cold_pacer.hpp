// Paces requests to a cold target. A cold target crashes under more than its
// rate, so requests are spaced and those that would wait too long are rejected.
#ifndef EELGRASSBRIDGE_LIMITS_COLD_PACER_HPP
#define EELGRASSBRIDGE_LIMITS_COLD_PACER_HPP

#include <cstddef>
#include <deque>
#include <optional>

#include "eelgrassbridge/base/time.hpp"

namespace eelgrassbridge::limits {

/// @brief State of the pacing of one target.
struct ColdPacer {
  /// Rate that the target can serve while cold; zero means unlimited.
  double requests_per_second = 0;
  base::TimePoint cold_until{};
  /// Earliest start of the next request.
  base::TimePoint next_start{};
  /// Requests sent in the last second, oldest first.
  std::deque<base::TimePoint> sent;
};

/// @brief Reserves and returns the time at which a request may start; returns
/// nothing and reserves nothing if that is later than `latest`.
std::optional<base::TimePoint> ReserveStart(ColdPacer& pacer,
                                            base::TimePoint now,
                                            base::TimePoint latest);

/// @brief Number of requests sent in the last second.
std::size_t SentInLastSecond(const ColdPacer& pacer, base::TimePoint now);

/// @brief Records that a request is sent now. Returns the number of requests
/// sent in the last second, including this one.
std::size_t RecordSend(ColdPacer& pacer, base::TimePoint now);

inline bool IsCold(const ColdPacer& pacer, base::TimePoint now) {
  return pacer.requests_per_second > 0 && now < pacer.cold_until;
}

}  // namespace eelgrassbridge::limits

#endif  // EELGRASSBRIDGE_LIMITS_COLD_PACER_HPP
