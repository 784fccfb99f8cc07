// In-memory implementation of the table service and the object store.
//
// The embedded memory store and the table stand-in share it, so that both have
// the same semantics.
#ifndef EELGRASSBRIDGE_STORE_MEMORY_TABLE_HPP
#define EELGRASSBRIDGE_STORE_MEMORY_TABLE_HPP

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "eelgrassbridge/store/row.hpp"

namespace eelgrassbridge::store {

/// @brief Rows and objects, without persistence. The functions below lock
/// `mutex`.
///
/// Invariants: each applied transaction increments the revision by 1. The
/// version of a row is the revision that wrote it, so versions are never
/// reused, and a delayed write cannot match a row that was deleted and created
/// again.
struct MemoryTable {
  std::mutex mutex;
  std::uint64_t revision = 0;
  std::map<std::string, Row, std::less<>> rows;
  /// Deleted keys with the revision of the deletion, for FindChanges.
  std::map<std::string, std::uint64_t, std::less<>> deleted;
  std::map<std::string, std::string, std::less<>> objects;
};

/// @brief Selects the rows of one read.
struct RowRange {
  std::string_view prefix = {};
  /// Only keys greater than this one; if empty, all keys.
  std::string_view after = {};
  /// Maximum number of rows returned.
  std::size_t limit = 1000;
};

/// @brief One page of a read.
struct RowsPage {
  ReadResult read;
  /// Whether more rows follow the last one of this page.
  bool more = false;
};

/// @brief Applies all writes or none. The status is kApplied or kConflict.
TransactionResult ApplyTransaction(MemoryTable& table,
                                   const Transaction& transaction);

RowsPage FindRows(MemoryTable& table, const RowRange& range);

/// @brief Returns one row for each key, in the order of the keys. An absent row
/// has version 0.
ReadResult FindKeys(MemoryTable& table, std::span<const std::string> keys);

/// @brief Returns the rows written after that revision. A deleted row has
/// version 0.
ReadResult FindChanges(MemoryTable& table, std::uint64_t since_revision);

void SetObject(MemoryTable& table, std::string_view name, std::string content);
std::optional<std::string> FindObject(MemoryTable& table,
                                      std::string_view name);

}  // namespace eelgrassbridge::store

#endif  // EELGRASSBRIDGE_STORE_MEMORY_TABLE_HPP
