// Copies of the catalogue and of all group rows in the object store.
//
// A snapshot is for repair and for a quick start. It says nothing about the
// present: a row of a snapshot never counts as a read of the table, so it never
// allows a daemon to serve, promise or take over.
#ifndef EELGRASSBRIDGE_STORE_TABLE_SNAPSHOT_HPP
#define EELGRASSBRIDGE_STORE_TABLE_SNAPSHOT_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "eelgrassbridge/base/error.hpp"
#include "eelgrassbridge/store/store.hpp"

namespace eelgrassbridge::store {

struct TableSnapshot {
  /// The table's revision; ReadChanges from here misses nothing.
  std::uint64_t revision = 0;
  std::vector<Row> rows;
  std::string site = {};
  /// Wall clock right before the table was read.
  std::int64_t written_at_ms = 0;
};

/// @brief Reads the rows below catalogue/ and group/.
base::Result<TableSnapshot> TakeTableSnapshot(Store& store);

/// @brief A line with format version, length and XXH3 of the body, then the
/// body: a line with time and site, and the table service's JSON.
std::string EncodeSnapshot(const TableSnapshot& snapshot);

/// @brief kSnapshotInvalid for a text that is cut, damaged, of another format
/// version, or holds rows of other prefixes.
base::Result<TableSnapshot> DecodeSnapshot(std::string_view text);

/// @brief kSnapshotInvalid for a snapshot of another site, older than that, or
/// written more than a minute ahead of this VM's clock.
base::Result<void> CheckSnapshot(const TableSnapshot& snapshot,
                                 std::string_view site,
                                 std::int64_t now_ms,
                                 base::Duration max_age);

base::Result<void> SaveSnapshot(Store& store,
                                std::string_view name,
                                const TableSnapshot& snapshot);
base::Result<TableSnapshot> LoadSnapshot(Store& store, std::string_view name);

}  // namespace eelgrassbridge::store

#endif  // EELGRASSBRIDGE_STORE_TABLE_SNAPSHOT_HPP
