// Keys that have changed owner so recently that they must not move again: their
// new owner is slow until it has built up their state, and callers' requests
// for them were held up by the move.
#ifndef EELGRASSBRIDGE_RANGES_RECENT_MOVES_HPP
#define EELGRASSBRIDGE_RANGES_RECENT_MOVES_HPP

#include <vector>

#include "eelgrassbridge/base/time.hpp"
#include "eelgrassbridge/ranges/range_map.hpp"

namespace eelgrassbridge::ranges {

/// @brief Moves seen by a planner. Volatile: a planner that takes over starts
/// without them.
struct RecentMoves {
  struct Move {
    KeyRange keys;
    /// When the move was last seen pending.
    base::TimePoint pending_at{};
  };
  /// At most one for each range of keys.
  std::vector<Move> moves;
};

/// @brief Notes the pending moves of a map, and forgets those that have
/// settled.
void RecordMoves(RecentMoves& recent, const RangeMap& map, base::TimePoint now);

/// @brief The ranges that may not move for load yet.
std::vector<KeyRange> SettlingKeys(const RecentMoves& recent,
                                   base::TimePoint now);

}  // namespace eelgrassbridge::ranges

#endif  // EELGRASSBRIDGE_RANGES_RECENT_MOVES_HPP
