// Ownership of a key space that is divided into ranges.
//
// The map of a service is one row of the store, updated by compare-and-set. It
// names the owning target of each key. The lease of the owner's daemon
// (lease.hpp) limits how long the daemon may let that target serve the key.
#ifndef EELGRASSBRIDGE_RANGES_RANGE_MAP_HPP
#define EELGRASSBRIDGE_RANGES_RANGE_MAP_HPP

#include <cstdint>
#include <limits>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "eelgrassbridge/base/error.hpp"

namespace eelgrassbridge::ranges {

/// @brief Keys are numbers from 0 to kLastKey.
inline constexpr std::uint32_t kLastKey = 65535;

/// @brief More slots than any target has. A larger number in a report or a row
/// is invalid.
inline constexpr std::uint32_t kMaxSlots = 65536;

/// @brief Maximum of RangeMap::next_token: far above any token in use, and far
/// below the number after which tokens would start again from 0.
inline constexpr auto kMaxNextToken =
    static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());

/// @brief Keys from first to last, inclusive.
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

/// @brief One run of a target process, and the daemon beside it.
struct OwnerId {
  /// Address of the daemon.
  std::string daemon;
  std::string target;
  /// Start time of the target in Unix milliseconds. A target that restarts
  /// under the same id is a different owner without the former one's state.
  std::int64_t born = 0;

  bool operator==(const OwnerId&) const = default;
};

/// @brief Owner of one range of keys.
struct RangeEntry {
  KeyRange keys;
  /// Increases each time the keys change owner.
  std::uint64_t fencing_token = 0;
  OwnerId owner;
  /// Data that the previous owner passed on to this one; may be empty.
  std::string handover;
  /// Daemon that the keys are moving to; empty if they stay. The current
  /// owner's daemon lets its target release them, then writes the new owner.
  std::string next_daemon;

  bool operator==(const RangeEntry&) const = default;
};

/// @brief Ownership of all keys of a service.
///
/// Invariants: entries are sorted, do not overlap and cover all keys, unless
/// the map is empty; each fencing token is below next_token, which never
/// decreases.
struct RangeMap {
  std::uint64_t next_token = 1;
  std::vector<RangeEntry> entries;

  bool operator==(const RangeMap&) const = default;
};

/// @brief Returns the entry that contains a key; null if the map is empty.
const RangeEntry* FindEntry(const RangeMap& map, std::uint32_t key);

/// @brief Divides all keys of an empty map evenly among the owners, in order.
void DivideEvenly(RangeMap& map, std::span<const OwnerId> owners);

/// @brief Makes `key` the first key of an entry, splitting one if needed.
void SplitAt(RangeMap& map, std::uint32_t key);

/// @brief Merges adjacent entries that differ only in their keys.
void MergeAdjacent(RangeMap& map);

/// @brief Assigns an entry to another owner under a new fencing token and
/// clears its pending move.
void Reassign(RangeMap& map,
              RangeEntry& entry,
              const OwnerId& owner,
              std::string handover);

/// @brief Reassigns the entries of `owner.daemon` to `owner` after its target
/// has restarted, all under one new fencing token; pending moves stay. Returns
/// whether anything changed.
bool ReassignAfterRestart(RangeMap& map, const OwnerId& owner);

/// @brief Encodes a map as JSON. Owners and daemons are written once, in a
/// table, because the store bounds the size of a row and sends each change of
/// the map to all daemons. An entry is [first key, fencing token, index of the
/// owner, handover, index of the next daemon] without the trailing values that
/// are empty.
std::string EncodeMap(const RangeMap& map);

/// @brief Decodes a map; fails with kFrameInvalid if the text is malformed or
/// breaks the invariants. Also accepts the former encoding, in which each entry
/// is an object, since daemons of both versions run during an upgrade.
base::Result<RangeMap> DecodeMap(std::string_view text);

}  // namespace eelgrassbridge::ranges

#endif  // EELGRASSBRIDGE_RANGES_RANGE_MAP_HPP
