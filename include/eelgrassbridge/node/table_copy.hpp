// Rows of a table that a daemon keeps for other daemons. Plain data: how the
// rows travel is decided elsewhere.
#ifndef EELGRASSBRIDGE_NODE_TABLE_COPY_HPP
#define EELGRASSBRIDGE_NODE_TABLE_COPY_HPP

#include <cstdint>
#include <map>
#include <tuple>

#include "eelgrassbridge/node/row_store.hpp"

namespace eelgrassbridge::node {

/// @brief Order of rows by table, partition and key.
struct RowNameOrder {
  bool operator()(const RowName& left, const RowName& right) const {
    return std::tie(left.table, left.partition, left.key) <
           std::tie(right.table, right.partition, right.key);
  }
};

/// @brief Rows of a table as received in the present era of the store.
///
/// Invariant: each change in the interval (complete_at, version] is in `rows`,
/// unless a later change of the same row has replaced it.
struct TableCopy {
  /// Removed rows stay with their versions.
  std::map<RowName, StoredRow, RowNameOrder> rows;
  /// All changes up to this version were received.
  std::uint64_t version = 0;
  /// Version at which the copy began. Rows that were removed before are not in
  /// `rows`.
  std::uint64_t complete_at = 0;
  /// Version of the latest change in `rows`.
  std::uint64_t latest_change = 0;
};

/// @brief Begins the copy again with the rows of a complete read.
void RestartCopy(TableCopy& copy, const RowPage& page);

/// @brief Begins the copy again without rows: only changes after `version` will
/// be handed on.
void RestartCopy(TableCopy& copy, std::uint64_t version);

/// @brief Adds the changes of the next page of the table's feed.
void KeepChanges(TableCopy& copy, const RowPage& page);

/// @brief Whether the copy has all changes after a version.
bool HasChangesSince(const TableCopy& copy, std::uint64_t after);

/// @brief The changes after a version, with the version up to which they are
/// complete.
RowPage ChangesAfter(const TableCopy& copy, std::uint64_t after);

}  // namespace eelgrassbridge::node

#endif  // EELGRASSBRIDGE_NODE_TABLE_COPY_HPP
