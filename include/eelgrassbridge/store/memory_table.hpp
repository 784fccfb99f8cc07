// The rules of the table service, held in memory.
//
// Used by the embedded memory store and by the table stand-in, so both follow
// the same rules.
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

/// @brief Rows and objects that live as long as the process.
///
/// Invariants: the revision grows by 1 with each applied transaction; the
/// version of a row is the revision that wrote it, so a version is never used
/// twice, not even after a deletion, and a late write cannot match a row that
/// was deleted and made anew.
struct MemoryTable {
  std::mutex mutex;
  std::uint64_t revision = 0;
  std::map<std::string, Row, std::less<>> rows;
  /// Deleted keys and the revision of the deletion, for readers of changes.
  std::map<std::string, std::uint64_t, std::less<>> deleted;
  std::map<std::string, std::string, std::less<>> objects;
};

/// @brief Which rows one read wants.
struct RowRange {
  std::string_view prefix = {};
  /// Only keys greater than this one; empty: from the start.
  std::string_view after = {};
  /// Most rows returned.
  std::size_t limit = 1000;
};

/// @brief One page of a read.
struct RowsPage {
  ReadResult read;
  /// More rows follow the last one of this page.
  bool more = false;
};

/// @brief Applies all writes or none. Status is kApplied or kConflict.
TransactionResult ApplyTransaction(MemoryTable& table,
                                   const Transaction& transaction);

RowsPage FindRows(MemoryTable& table, const RowRange& range);

/// @brief The rows of these keys in the order of the keys; an absent row has
/// version 0.
ReadResult FindKeys(MemoryTable& table, std::span<const std::string> keys);

/// @brief Rows written after that revision; a deleted row has version 0.
ReadResult FindChanges(MemoryTable& table, std::uint64_t since_revision);

void SetObject(MemoryTable& table, std::string_view name, std::string content);
std::optional<std::string> FindObject(MemoryTable& table,
                                      std::string_view name);

}  // namespace eelgrassbridge::store

#endif  // EELGRASSBRIDGE_STORE_MEMORY_TABLE_HPP
