// The row of one shard group, and its JSON encoding in the table.
#ifndef EELGRASSBRIDGE_OWNERSHIP_GROUP_ROW_HPP
#define EELGRASSBRIDGE_OWNERSHIP_GROUP_ROW_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "eelgrassbridge/base/error.hpp"
#include "eelgrassbridge/base/identifier.hpp"
#include "eelgrassbridge/store/row.hpp"

namespace eelgrassbridge::ownership {

/// @brief One row of the table "group/...".
///
/// Invariants: the epoch increases by 1 at each change of owner and never
/// decreases, even when a hot key's row is deleted and created again
/// (hot_epoch_floor of the parent). A version is never reused for the same key;
/// the store must guarantee this across deletions too.
struct GroupRow {
  base::GroupId group;
  base::DaemonId owner;
  /// None: the owner's lease is based on reads of the table alone.
  base::DaemonId deputy;
  std::uint64_t epoch = 0;
  /// The daemon that announced a take-over; none: no take-over announced.
  base::DaemonId intent;
  /// Hashes of the hot keys that have rows of their own; sorted.
  std::vector<std::uint64_t> carved_out;
  /// Highest epoch of any hot-key row that was merged back into this group.
  std::uint64_t hot_epoch_floor = 0;
  /// Operation that wrote this version; identifies it after a lost reply.
  std::string operation_id;
  /// Version in the table; zero: the row is absent. Not part of the value.
  std::uint64_t version = 0;

  bool operator==(const GroupRow&) const = default;
};

/// @brief Common prefix of the keys of group rows.
inline constexpr std::string_view kGroupRowPrefix = "group/";

/// @brief Key of a group's row in the table.
std::string RowKey(const base::GroupId& group);

/// @brief JSON value of a row, without its version.
std::string EncodeRow(const GroupRow& row);

/// @brief Decodes a row of the table. Fails with kInternal if the key or the
/// value is malformed.
base::Result<GroupRow> DecodeRow(const store::Row& row);

}  // namespace eelgrassbridge::ownership

#endif  // EELGRASSBRIDGE_OWNERSHIP_GROUP_ROW_HPP
