// Limits the encoded size of a range map. The store refuses a row that is too
// long, and then no keys could be reassigned any more; each change of the map
// is also sent to all daemons.
#ifndef EELGRASSBRIDGE_RANGES_MAP_SIZE_HPP
#define EELGRASSBRIDGE_RANGES_MAP_SIZE_HPP

#include <cstddef>
#include <functional>
#include <span>

#include "eelgrassbridge/ranges/range_map.hpp"

namespace eelgrassbridge::ranges {

/// @brief Default limit. A row holds 65,536 bytes and its value is sent as
/// base64; 48 KiB become 65,536 characters, so a map of this size fits
/// whichever of the two the store counts.
inline constexpr std::size_t kMaxEncodedMapSize = 49152;

inline bool AnyEntry(const RangeEntry& /*entry*/) {
  return true;
}

/// @brief Returns how many entries a map of these owners and of `joining` may
/// have so that it encodes to at most `max_size` bytes without handovers,
/// whichever owners the entries have and move to.
std::size_t MaxEntries(const RangeMap& map,
                       std::span<const OwnerId> joining,
                       std::size_t max_size);

/// @brief Merges adjacent entries of one owner under the higher of their
/// tokens. Entries with a pending move or a handover, and those that `allowed`
/// excludes, stay as they are.
void MergeOwnEntries(RangeMap& map,
                     const std::function<bool(const RangeEntry&)>& allowed);

/// @brief Drops the handovers that owners no longer need and merges the entries
/// of each owner, apart from entries that `allowed` excludes. A handover is
/// needed until the owner's target has been granted the keys, which is taken to
/// be the case once many later tokens have been assigned or the keys move on.
void CompactMap(RangeMap& map,
                const std::function<bool(const RangeEntry&)>& allowed);

/// @brief Makes the map encode to at most `max_size` bytes with as little loss
/// as possible: merges equal entries, compacts the map, drops the remaining
/// handovers and finally the pending moves, which the next plan may start
/// again. Owners and the tokens of their keys never change otherwise than by a
/// higher token. A map whose owners alone exceed the limit stays above it.
void LimitEncodedSize(RangeMap& map, std::size_t max_size = kMaxEncodedMapSize);

}  // namespace eelgrassbridge::ranges

#endif  // EELGRASSBRIDGE_RANGES_MAP_SIZE_HPP
