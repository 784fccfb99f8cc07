// Ownership of a key space that is divided into ranges.
//
// The map of a service is one row of the store and is changed only under the
// condition that nobody else has changed it meanwhile. It says for each key
// which target owns it; the lease of the owner's daemon (lease.hpp) says for
// how long the daemon may let the target act on it.
#ifndef EELGRASSBRIDGE_RANGES_RANGE_MAP_HPP
#define EELGRASSBRIDGE_RANGES_RANGE_MAP_HPP

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "eelgrassbridge/base/error.hpp"

namespace eelgrassbridge::ranges {

/// @brief Keys are numbers from 0 to kLastKey.
inline constexpr std::uint32_t kLastKey = 65535;

/// @brief Keys from first to last, both included.
struct KeyRange {
  std::uint32_t first = 0;
  std::uint32_t last = 0;

  bool operator==(const KeyRange&) const = default;
};

inline bool Contains(const KeyRange& range, std::uint32_t key) {
  return range.first <= key && key <= range.last;
}

inline std::uint32_t SizeOf(const KeyRange& range) {
  return range.last - range.first + 1;
}

/// @brief One life of a target, and the daemon beside it.
struct OwnerId {
  /// Address of the daemon.
  std::string daemon;
  std::string target;
  /// Unix milliseconds of the target's start; a target that starts again under
  /// the same id is another life, which holds nothing of before.
  std::int64_t born = 0;

  bool operator==(const OwnerId&) const = default;
};

struct RangeEntry {
  KeyRange keys;
  /// Increases each time the keys get another owner.
  std::uint64_t fencing_token = 0;
  OwnerId owner;
  /// What the last owner left for this one; empty if there is nothing.
  std::string handover;
  /// Daemon that the keys are to move to; empty if they stay. The owner lets
  /// its target release them, then writes the next owner.
  std::string next_daemon;

  bool operator==(const RangeEntry&) const = default;
};

/// @brief Who owns what.
///
/// Invariants: entries are sorted, do not overlap and cover all keys, or there
/// is none; each fencing token is below next_token, which never decreases.
struct RangeMap {
  std::uint64_t next_token = 1;
  std::vector<RangeEntry> entries;

  bool operator==(const RangeMap&) const = default;
};

/// @brief The entry of a key; null if the map is empty.
const RangeEntry* FindEntry(const RangeMap& map, std::uint32_t key);

/// @brief Divides all keys evenly, in the order given, in an empty map.
void DivideEvenly(RangeMap& map, std::span<const OwnerId> owners);

/// @brief Makes `key` the first key of an entry, by splitting one if needed.
void SplitAt(RangeMap& map, std::uint32_t key);

/// @brief Joins neighbours that differ in nothing but their keys.
void Merge(RangeMap& map);

/// @brief Gives an entry to another owner under a new fencing token.
void Reassign(RangeMap& map,
              RangeEntry& entry,
              const OwnerId& owner,
              std::string handover);

/// @brief The target beside `owner.daemon` has started again: its entries go
/// to the new life. Returns whether anything changed.
bool AdoptNewLife(RangeMap& map, const OwnerId& owner);

/// @brief JSON form of a map, and back; fails with kFrameInvalid for anything
/// that breaks the invariants.
std::string EncodeMap(const RangeMap& map);
base::Result<RangeMap> DecodeMap(std::string_view text);

}  // namespace eelgrassbridge::ranges

#endif  // EELGRASSBRIDGE_RANGES_RANGE_MAP_HPP
