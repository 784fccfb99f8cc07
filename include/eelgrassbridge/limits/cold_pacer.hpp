// Paces requests to a cold target, which crashes under more than its rate. The
// pace is that of the sends: a request may wait for long between its start and
// its send, and the target may become cold meanwhile.
#ifndef EELGRASSBRIDGE_LIMITS_COLD_PACER_HPP
#define EELGRASSBRIDGE_LIMITS_COLD_PACER_HPP

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

#include "eelgrassbridge/base/time.hpp"

namespace eelgrassbridge::limits {

/// @brief State of the pacing of one target.
///
/// Invariant: while the target is cold and its rate does not change, each
/// request that is sent is one of at most the rate, rounded up, in the second
/// before, however long ago it was started.
struct ColdPacer {
  /// Rate that the target can serve while cold; zero means unlimited. Without a
  /// value it is not known, and a cold target gets no requests.
  std::optional<double> requests_per_second;
  base::TimePoint cold_until{};
  /// Earliest start of the next request, which spaces them evenly.
  base::TimePoint next_start{};
  /// Requests that were started and are not sent yet.
  std::uint32_t unsent = 0;
  /// Requests sent in the last second, to a warm target too, oldest first.
  std::deque<base::TimePoint> sent;
  /// Sends before this time are not known: a former process of the daemon may
  /// have sent as many as the rate allows.
  base::TimePoint known_since{};
};

/// @brief Whether requests to the target are paced now.
bool IsCold(const ColdPacer& pacer, base::TimePoint now);

/// @brief Whether the target is cold and the rate that it can serve is unknown.
bool IsPaceUnknown(const ColdPacer& pacer, base::TimePoint now);

/// @brief Expected start of a request before which `ahead` others start.
base::TimePoint EarliestStart(const ColdPacer& pacer,
                              std::uint32_t ahead,
                              base::TimePoint now);

/// @brief Records a start. RecordSend or CancelStart must follow.
void RecordStart(ColdPacer& pacer, base::TimePoint now);

/// @brief Records that a started request will not be sent.
void CancelStart(ColdPacer& pacer);

/// @brief Whether a started request may be sent now. It may not if the target
/// became cold, or its rate was lowered, after the start.
bool MaySend(const ColdPacer& pacer, base::TimePoint now);

/// @brief Records that a started request is sent now. Returns the number of
/// requests sent in the last second, including this one.
std::size_t RecordSend(ColdPacer& pacer, base::TimePoint now);

/// @brief Number of requests sent in the last second.
std::size_t SentInLastSecond(const ColdPacer& pacer, base::TimePoint now);

}  // namespace eelgrassbridge::limits

#endif  // EELGRASSBRIDGE_LIMITS_COLD_PACER_HPP
