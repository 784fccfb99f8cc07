// Remembers which keys have moved recently.
#include "eelgrassbridge/ranges/recent_moves.hpp"

#include <algorithm>

namespace eelgrassbridge::ranges {

namespace {

/// A new owner is slow for 2 s to 5 s after it got keys without their state,
/// and the counts of demand have a time constant of 4 s.
constexpr base::Duration kSettleTime = base::milliseconds{5000};

}  // namespace

void RecordMoves(RecentMoves& recent,
                 const RangeMap& map,
                 base::TimePoint now) {
  std::erase_if(recent.moves, [now](const RecentMoves::Move& move) {
    return now - move.pending_at >= kSettleTime;
  });
  for (const RangeEntry& entry : map.entries) {
    if (entry.next_daemon.empty()) {
      continue;
    }
    const auto found =
        std::ranges::find(recent.moves, entry.keys, &RecentMoves::Move::keys);
    if (found == recent.moves.end()) {
      recent.moves.push_back({entry.keys, now});
    } else {
      found->pending_at = now;
    }
  }
}

std::vector<KeyRange> SettlingKeys(const RecentMoves& recent,
                                   base::TimePoint now) {
  std::vector<KeyRange> keys;
  for (const RecentMoves::Move& move : recent.moves) {
    if (now - move.pending_at < kSettleTime) {
      keys.push_back(move.keys);
    }
  }
  return keys;
}

}  // namespace eelgrassbridge::ranges
